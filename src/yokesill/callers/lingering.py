"""Lets callers that were refused finish sending for a moment, before their connections are closed.

Bytes that arrive at a closed connection are answered with a reset, which may overtake the refusal or make the
caller drop it unread.
"""

import asyncio

# A caller's next bytes may be under way, or follow within some milliseconds.
LINGER_S = 0.1
# Each takes a descriptor beyond the listener's bound on connections.
MAX_LINGERING = 16
# What is read, and thrown away, of a connection that lingers.
MAX_DISCARDED_BYTES = 64 * 1024


class LingeringConnections:
    """The connections whose sending side is closed; for a new one above the bound, the oldest is closed."""

    __slots__ = ("_timeouts",)

    def __init__(self) -> None:
        # A dict keeps the order.
        self._timeouts: dict[asyncio.Transport, asyncio.TimerHandle] = {}

    def __len__(self) -> int:
        return len(self._timeouts)

    def add(self, transport: asyncio.Transport, loop: asyncio.AbstractEventLoop) -> None:
        """Close a connection's sending side now, and the connection after ``LINGER_S``."""
        try:
            transport.write_eof()
        except OSError:
            # The caller has gone.
            transport.close()
            return
        while len(self._timeouts) >= MAX_LINGERING:
            self._close(next(iter(self._timeouts)))
        self._timeouts[transport] = loop.call_later(LINGER_S, self._close, transport)

    def remove(self, transport: asyncio.Transport) -> None:
        """Forget a connection that has ended, if it lingered."""
        timeout = self._timeouts.pop(transport, None)
        if timeout is not None:
            timeout.cancel()

    def _close(self, transport: asyncio.Transport) -> None:
        self.remove(transport)
        transport.close()

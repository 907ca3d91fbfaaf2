"""Bounds the memory of answers that callers don't take, and the time that they may take them.

A caller that doesn't read holds its answer in the node's memory, and its connection open, for as long as it
likes. When all such answers exceed the bound, the largest one is cut off.
"""

import asyncio

# A caller that has taken nothing of its answer for this time has gone, or never will.
STALLED_AFTER_S = 20.0


class UnsentAnswers:
    """The connections whose answers wait for their callers; ``limit_bytes`` bounds their sum."""

    __slots__ = ("_limit_bytes", "_stalled")

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._stalled: dict[asyncio.Transport, asyncio.TimerHandle] = {}

    def stalled(self, transport: asyncio.Transport) -> None:
        """Watch a connection whose caller doesn't take its answer; above the limit, cut off the largest."""
        loop = asyncio.get_running_loop()
        unsent = transport.get_write_buffer_size()
        self._stalled[transport] = loop.call_later(STALLED_AFTER_S, self._check, transport, unsent)
        while sum(each.get_write_buffer_size() for each in self._stalled) > self._limit_bytes:
            self._abort(max(self._stalled, key=lambda each: each.get_write_buffer_size()))

    def taken(self, transport: asyncio.Transport) -> None:
        """Stop watching a connection whose caller has taken its answer, or which has ended."""
        timer = self._stalled.pop(transport, None)
        if timer is not None:
            timer.cancel()

    def _check(self, transport: asyncio.Transport, unsent_before: int) -> None:
        """Cut off an answer of which nothing was taken; otherwise check again later."""
        unsent = transport.get_write_buffer_size()
        if unsent >= unsent_before:
            self._abort(transport)
            return
        loop = asyncio.get_running_loop()
        self._stalled[transport] = loop.call_later(STALLED_AFTER_S, self._check, transport, unsent)

    def _abort(self, transport: asyncio.Transport) -> None:
        self.taken(transport)
        transport.abort()

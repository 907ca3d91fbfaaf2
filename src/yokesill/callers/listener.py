"""HTTP listener for callers, operators and other nodes: uvicorn without its loop of ten wake-ups a second.

Owns the listening socket and the bounds of its connections, which ``protocol`` keeps; ``process`` decides
when to stop.
"""

import contextlib
import socket
from typing import Any

from yokesill.callers.bounds import BoundedConfig, ListenerBounds, ListenerShares
from yokesill.callers.closings import ReportClosed, ignore_closed
from yokesill.callers.memory import CallerMemory
from yokesill.callers.protocol import BoundedProtocol
from yokesill.callers.sockets import BACKLOG, listen
from yokesill.frontend.server import UVICORN_OPTIONS, EmbeddedServer
from yokesill.serving.settings import Address

# Connections accepted in a turn of the loop: each takes a descriptor until those above the bound are closed,
# and work from those that are open.
ACCEPTED_AT_ONCE = 4


class Listener(EmbeddedServer):
    """A uvicorn server on one address."""

    config: BoundedConfig

    async def start(self, address: Address, listening: socket.socket | None = None) -> None:
        """Bind and listen, or take over a socket that already listens; raises ``OSError``."""
        if not self.config.loaded:
            self.config.load()
        self.lifespan = self.config.lifespan_class(self.config)
        if listening is None:
            listening = listen(address.host, address.port)
        _bound_kernel_buffers(listening, self.config.shares.bounds.kernel_buffer_bytes)
        await self.startup(sockets=[listening])
        # asyncio shortened the queue to its number of connections per wake-up.
        listening.listen(BACKLOG)

    def set_limits(
        self, header_timeout_s: float, idle_timeout_s: float, header_bytes: int | None = None
    ) -> None:
        """Set the timeouts for heads and idle connections, in seconds, and the size of a head."""
        bounds = self.config.shares.bounds
        bounds.header_timeout_s = header_timeout_s
        bounds.idle_timeout_s = idle_timeout_s
        if header_bytes is not None:
            bounds.header_bytes = header_bytes


def _bound_kernel_buffers(listening: socket.socket, size: int | None) -> None:
    """Bound what the system holds of each connection that will be accepted, in each direction."""
    if size is None:
        return
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        with contextlib.suppress(OSError):
            listening.setsockopt(socket.SOL_SOCKET, option, size)


def create_listener(
    app: Any,
    bounds: ListenerBounds | None = None,
    memory: CallerMemory | None = None,
    report_closed: ReportClosed = ignore_closed,
) -> Listener:
    """Return a listener that serves the ASGI application ``app``.

    Parameters
    ----------
    app
        The application.
    bounds
        Bounds of its connections.
    memory
        The account that its connections are counted in, with those of other listeners.
    report_closed
        Called with each connection that is closed for a bound.
    """
    config = BoundedConfig(
        app,
        http=BoundedProtocol,
        date_header=False,
        backlog=ACCEPTED_AT_ONCE,
        **UVICORN_OPTIONS,
    )
    config.shares = ListenerShares(bounds or ListenerBounds(), memory or CallerMemory(), report_closed)
    return Listener(config)

"""HTTP listener for callers, operators and other nodes: uvicorn without its loop of ten wake-ups a second.

Owns the listening socket and the bounds of its connections, which ``protocol`` keeps; ``process`` decides
when to stop.
"""

import socket
from typing import Any

import uvicorn

from yokesill.callers.protocol import DEFAULT_HEADER_TIMEOUT_S, BoundedProtocol
from yokesill.callers.sockets import BACKLOG, listen
from yokesill.callers.unsent import UnsentAnswers
from yokesill.frontend.server import UVICORN_OPTIONS, EmbeddedServer
from yokesill.serving.settings import Address

# Default until the first configuration: the time that a connection may stay idle.
DEFAULT_IDLE_TIMEOUT_S = 15.0
DEFAULT_MAX_CONNECTIONS = 500
# Connections accepted before those above the bound are closed: each takes a descriptor meanwhile.
ACCEPTED_AT_ONCE = 8
# Answers that callers have not taken yet, without settings.
DEFAULT_UNSENT_BYTES = 32 * 1024 * 1024


class BoundedConfig(uvicorn.Config):
    """uvicorn's configuration with the listener's bounds: a timeout in seconds, and counts."""

    header_timeout_s = DEFAULT_HEADER_TIMEOUT_S
    max_connections = DEFAULT_MAX_CONNECTIONS
    unsent: UnsentAnswers


class Listener(EmbeddedServer):
    """A uvicorn server on one address."""

    async def start(self, address: Address, listening: socket.socket | None = None) -> None:
        """Bind and listen, or take over a socket that already listens; raises ``OSError``."""
        if not self.config.loaded:
            self.config.load()
        self.lifespan = self.config.lifespan_class(self.config)
        if listening is None:
            listening = listen(address.host, address.port)
        await self.startup(sockets=[listening])
        # asyncio shortened the queue to its number of connections per wake-up.
        listening.listen(BACKLOG)

    def set_limits(self, header_timeout_s: float, idle_timeout_s: float) -> None:
        """Set the timeouts for heads and idle connections, in seconds, for connections opened from now on."""
        self.config.timeout_keep_alive = idle_timeout_s  # type: ignore[assignment]
        if isinstance(self.config, BoundedConfig):
            self.config.header_timeout_s = header_timeout_s

    def close_idle_connections(self) -> None:
        """Close connections without a pending request now, and the others after their answer."""
        for connection in list(self.server_state.connections):
            connection.shutdown()


def create_listener(
    app: Any,
    max_connections: int = DEFAULT_MAX_CONNECTIONS,
    max_unsent_bytes: int = DEFAULT_UNSENT_BYTES,
) -> Listener:
    """Return a listener that serves the ASGI application ``app``.

    Parameters
    ----------
    app
        The application.
    max_connections
        How many connections may be open; idle ones are closed for new ones.
    max_unsent_bytes
        How many bytes of answers may wait for callers that don't take them.
    """
    config = BoundedConfig(
        app,
        http=BoundedProtocol,
        date_header=False,
        timeout_keep_alive=int(DEFAULT_IDLE_TIMEOUT_S),
        backlog=ACCEPTED_AT_ONCE,
        **UVICORN_OPTIONS,
    )
    config.max_connections = max_connections
    config.unsent = UnsentAnswers(max_unsent_bytes)
    return Listener(config)

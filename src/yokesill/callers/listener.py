"""Listens for callers, operators and other nodes by uvicorn, without its loop of ten wake-ups a second.

Owns the listening socket and the bounds on slow or idle connections; relies on uvicorn's httptools protocol
for HTTP itself, and on ``process`` for when to stop.
"""

import asyncio
import socket
from typing import Any

import uvicorn
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from yokesill.callers.application import FRESH_CONNECTION
from yokesill.callers.sockets import BACKLOG, listen
from yokesill.frontend.server import UVICORN_OPTIONS, EmbeddedServer
from yokesill.serving.settings import Address

# In force until a configuration says otherwise: how long a request's head may take, and how long a connection
# may stay idle.
DEFAULT_HEADER_TIMEOUT_S = 3.0
DEFAULT_IDLE_TIMEOUT_S = 15.0
REQUEST_TIMEOUT_RESPONSE = b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n"


class BoundedConfig(uvicorn.Config):
    """uvicorn's configuration with a bound on how long a request's head may take, in seconds."""

    header_timeout_s = DEFAULT_HEADER_TIMEOUT_S


class BoundedProtocol(HttpToolsProtocol):
    """uvicorn's connection; one that is silent from the start, or slow to send a head, is closed."""

    _time_limit: asyncio.TimerHandle | None = None
    _fresh = True

    def connection_made(self, transport: Any) -> None:
        """Expect a first request within the idle time-out."""
        super().connection_made(transport)
        self._limit_time(self.timeout_keep_alive)

    def on_message_begin(self) -> None:
        """Expect the whole head within the header time-out."""
        super().on_message_begin()
        self.scope[FRESH_CONNECTION] = self._fresh  # type: ignore[literal-required]
        self._fresh = False
        self._limit_time(getattr(self.config, "header_timeout_s", DEFAULT_HEADER_TIMEOUT_S))

    def on_headers_complete(self) -> None:
        """The head is whole."""
        self._lift_time_limit()
        super().on_headers_complete()

    def connection_lost(self, exc: Exception | None) -> None:
        """Nothing is expected any more."""
        self._lift_time_limit()
        super().connection_lost(exc)

    def _limit_time(self, seconds: float) -> None:
        self._lift_time_limit()
        self._time_limit = self.loop.call_later(seconds, self._time_out)

    def _lift_time_limit(self) -> None:
        if self._time_limit is not None:
            self._time_limit.cancel()
            self._time_limit = None

    def _time_out(self) -> None:
        self._time_limit = None
        if self.transport.is_closing():
            return
        self.transport.write(REQUEST_TIMEOUT_RESPONSE)
        self.transport.close()


class Listener(EmbeddedServer):
    """A uvicorn server on one address."""

    async def start(self, address: Address, listening: socket.socket | None = None) -> None:
        """Bind and listen, or take over what listens already; raises ``OSError``."""
        self.config.load()
        self.lifespan = self.config.lifespan_class(self.config)
        if listening is None:
            listening = listen(address.host, address.port)
        await self.startup(sockets=[listening])

    def set_limits(self, header_timeout_s: float, idle_timeout_s: float) -> None:
        """Limit heads and idle connections, in seconds; applies to connections opened from now on."""
        self.config.timeout_keep_alive = idle_timeout_s  # type: ignore[assignment]
        if isinstance(self.config, BoundedConfig):
            self.config.header_timeout_s = header_timeout_s

    def close_idle_connections(self) -> None:
        """Close connections without a request, and the others after their answer."""
        for connection in list(self.server_state.connections):
            connection.shutdown()


def create_listener(app: Any) -> Listener:
    """Return a listener for ``app``."""
    config = BoundedConfig(
        app,
        http=BoundedProtocol,
        date_header=False,
        timeout_keep_alive=int(DEFAULT_IDLE_TIMEOUT_S),
        backlog=BACKLOG,
        **UVICORN_OPTIONS,
    )
    return Listener(config)

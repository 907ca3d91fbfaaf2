"""Listens by uvicorn without its loop of ten wake-ups a second: a node knows itself when it stops."""

import asyncio
import socket
from typing import Any

import uvicorn
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from yokesill.callers.application import FRESH_CONNECTION
from yokesill.callers.sockets import BACKLOG, listen
from yokesill.frontend.server import EmbeddedServer
from yokesill.serving.settings import Address

DEFAULT_HEADER_TIMEOUT, DEFAULT_IDLE_TIMEOUT = 3.0, 15.0
HEAD_TOO_SLOW = b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n"


class BoundedConfig(uvicorn.Config):
    """uvicorn's configuration with a bound on how long a request's head may take, in seconds."""

    header_timeout = DEFAULT_HEADER_TIMEOUT


class BoundedProtocol(HttpToolsProtocol):
    """uvicorn's connection; one that is silent from the start, or slow to send a head, is closed."""

    _bound: asyncio.TimerHandle | None = None
    _fresh = True

    def connection_made(self, transport: Any) -> None:
        """Expect a first request within the idle time-out."""
        super().connection_made(transport)
        self._set_bound(self.timeout_keep_alive)

    def on_message_begin(self) -> None:
        """Expect the whole head within the header time-out."""
        super().on_message_begin()
        self.scope[FRESH_CONNECTION] = self._fresh  # type: ignore[literal-required]
        self._fresh = False
        self._set_bound(getattr(self.config, "header_timeout", DEFAULT_HEADER_TIMEOUT))

    def on_headers_complete(self) -> None:
        """The head is whole."""
        self._clear_bound()
        super().on_headers_complete()

    def connection_lost(self, exc: Exception | None) -> None:
        """Nothing is expected any more."""
        self._clear_bound()
        super().connection_lost(exc)

    def _set_bound(self, seconds: float) -> None:
        self._clear_bound()
        self._bound = self.loop.call_later(seconds, self._out_of_time)

    def _clear_bound(self) -> None:
        if self._bound is not None:
            self._bound.cancel()
            self._bound = None

    def _out_of_time(self) -> None:
        self._bound = None
        if self.transport.is_closing():
            return
        self.transport.write(HEAD_TOO_SLOW)
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

    def set_limits(self, header_timeout: float, idle_timeout: float) -> None:
        """Bound heads and idle connections, in seconds; holds for connections opened from now on."""
        self.config.timeout_keep_alive = idle_timeout  # type: ignore[assignment]
        if isinstance(self.config, BoundedConfig):
            self.config.header_timeout = header_timeout

    def close_idle_connections(self) -> None:
        """Close connections without a request, and the others after their answer."""
        for connection in list(self.server_state.connections):
            connection.shutdown()


def create_listener(app: Any) -> Listener:
    """Return a listener for ``app``."""
    config = BoundedConfig(
        app,
        loop="asyncio",
        http=BoundedProtocol,
        ws="none",
        lifespan="off",
        log_config=None,
        access_log=False,
        proxy_headers=False,
        server_header=False,
        date_header=False,
        timeout_keep_alive=int(DEFAULT_IDLE_TIMEOUT),
        backlog=BACKLOG,
    )
    return Listener(config)

"""HTTP listener for callers, operators and other nodes: uvicorn without its loop of ten wake-ups a second.

Owns the listening socket and the timeouts of slow and idle connections. uvicorn's httptools protocol
implements HTTP; ``process`` decides when to stop.
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

# Defaults until the first configuration: the time to receive a request's head, and the time that a connection
# may stay idle.
DEFAULT_HEADER_TIMEOUT_S = 3.0
DEFAULT_IDLE_TIMEOUT_S = 15.0
REQUEST_TIMEOUT_RESPONSE = b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n"


class BoundedConfig(uvicorn.Config):
    """uvicorn's configuration with a timeout for receiving a request's head, in seconds."""

    header_timeout_s = DEFAULT_HEADER_TIMEOUT_S


class BoundedProtocol(HttpToolsProtocol):
    """uvicorn's HTTP protocol; closes connections that send no first request or a head too slowly."""

    _timeout_handle: asyncio.TimerHandle | None = None
    _is_fresh = True

    def connection_made(self, transport: Any) -> None:
        """Start the idle timeout for the first request."""
        super().connection_made(transport)
        self._start_timeout(self.timeout_keep_alive)

    def on_message_begin(self) -> None:
        """Start the header timeout."""
        super().on_message_begin()
        self.scope[FRESH_CONNECTION] = self._is_fresh  # type: ignore[literal-required]
        self._is_fresh = False
        self._start_timeout(getattr(self.config, "header_timeout_s", DEFAULT_HEADER_TIMEOUT_S))

    def on_headers_complete(self) -> None:
        """Stop the header timeout."""
        self._cancel_timeout()
        super().on_headers_complete()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop any running timeout."""
        self._cancel_timeout()
        super().connection_lost(exc)

    def _start_timeout(self, seconds: float) -> None:
        self._cancel_timeout()
        self._timeout_handle = self.loop.call_later(seconds, self._on_timeout)

    def _cancel_timeout(self) -> None:
        if self._timeout_handle is not None:
            self._timeout_handle.cancel()
            self._timeout_handle = None

    def _on_timeout(self) -> None:
        self._timeout_handle = None
        if self.transport.is_closing():
            return
        self.transport.write(REQUEST_TIMEOUT_RESPONSE)
        self.transport.close()


class Listener(EmbeddedServer):
    """A uvicorn server on one address."""

    async def start(self, address: Address, listening: socket.socket | None = None) -> None:
        """Bind and listen, or take over a socket that already listens; raises ``OSError``."""
        self.config.load()
        self.lifespan = self.config.lifespan_class(self.config)
        if listening is None:
            listening = listen(address.host, address.port)
        await self.startup(sockets=[listening])

    def set_limits(self, header_timeout_s: float, idle_timeout_s: float) -> None:
        """Set the timeouts for heads and idle connections, in seconds, for connections opened from now on."""
        self.config.timeout_keep_alive = idle_timeout_s  # type: ignore[assignment]
        if isinstance(self.config, BoundedConfig):
            self.config.header_timeout_s = header_timeout_s

    def close_idle_connections(self) -> None:
        """Close connections without a pending request now, and the others after their answer."""
        for connection in list(self.server_state.connections):
            connection.shutdown()


def create_listener(app: Any) -> Listener:
    """Return a listener that serves the ASGI application ``app``."""
    config = BoundedConfig(
        app,
        http=BoundedProtocol,
        date_header=False,
        timeout_keep_alive=int(DEFAULT_IDLE_TIMEOUT_S),
        backlog=BACKLOG,
        **UVICORN_OPTIONS,
    )
    return Listener(config)

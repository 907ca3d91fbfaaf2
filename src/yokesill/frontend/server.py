"""Serves an application with uvicorn in the running event loop, without uvicorn's signal handling."""

import asyncio
import contextlib
import resource
import socket
from collections.abc import Iterable, Iterator
from typing import Any

import anyio
import uvicorn

from yokesill.callers.bounds import BoundedConfig, ListenerBounds, ListenerShares
from yokesill.callers.handshakes import HANDSHAKE_S, ignore_new_handshakes
from yokesill.callers.memory import CallerMemory
from yokesill.callers.protocol import BoundedProtocol
from yokesill.callers.sockets import has_unread_data

POLL_S = 0.01
# An accepted connection's first bytes are read within so many turns of the event loop.
ACCEPT_TURNS = 8
# Callers that go on sending don't hold the end of a server back for longer.
MAX_FINISH_S = 60.0
# Bounds of a server that has no settings for them.
IDLE_TIMEOUT_S = 60.0
CONNECTION_DESCRIPTOR_SHARE = 0.7
# Options of every listener of this package: asyncio's event loop, no uvicorn logs, no unneeded headers.
UVICORN_OPTIONS: dict[str, Any] = {
    "loop": "asyncio",
    "ws": "none",
    "lifespan": "off",
    "log_config": None,
    "access_log": False,
    "proxy_headers": False,
    "server_header": False,
}


class EmbeddedServer(uvicorn.Server):
    """A uvicorn server that installs no signal handlers."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Do nothing: the process handles its signals itself."""
        yield

    async def close_listener(self) -> None:
        """Stop listening; open connections and those waiting to be accepted are still served.

        Closing a listening socket resets the connections in its accept queue. So a duplicate of the socket
        outlives the close, and the waiting connections are accepted from it and served. Handshakes under way
        are let finish first, where the system can ignore new ones meanwhile. All accepted connections are
        among ``server_state.connections`` afterwards.
        """
        duplicates = _duplicates(each for server in self.servers for each in server.sockets)
        for server in self.servers:
            server.close()
        for listener in duplicates:
            await self._accept_last(listener)
        for _ in range(ACCEPT_TURNS):
            await asyncio.sleep(0)

    async def _accept_last(self, listener: socket.socket) -> None:
        """Serve connections that are set up, or whose handshakes are under way, and close ``listener``."""
        with listener:
            if ignore_new_handshakes(listener):
                await self._serve_accepted(_accept_waiting(listener))
                await asyncio.sleep(HANDSHAKE_S)
            last = _accept_waiting(listener)
        await self._serve_accepted(last)

    async def _serve_accepted(self, connections: Iterable[socket.socket]) -> None:
        for connection in connections:
            await asyncio.get_running_loop().connect_accepted_socket(self._protocol, connection)

    def _protocol(self) -> asyncio.Protocol:
        """Return a protocol instance, created as uvicorn does for its own connections."""
        protocol_class: Any = self.config.http_protocol_class
        protocol: asyncio.Protocol = protocol_class(
            config=self.config, server_state=self.server_state, app_state={}
        )
        return protocol

    def close_unused_connections(self) -> None:
        """Close connections without a request, except those on which bytes wait to be read.

        A connection with a running request closes after its answer.
        """
        for connection in list(self.server_state.connections):
            if not has_unread_data(connection.transport):
                connection.shutdown()

    async def finish_connections(self, grace: float) -> None:
        """Wait up to ``grace`` seconds for connections to close, then until running requests are answered.

        A caller may have connected, or sent its request, just before the listener closed. Closing its
        connection at once would abort that request.
        """
        with anyio.move_on_after(grace):
            while self.server_state.connections:
                await anyio.sleep(POLL_S)
        self.close_unused_connections()
        with anyio.move_on_after(MAX_FINISH_S):
            while self.server_state.tasks or any(map(has_unread_data, self._transports())):
                await anyio.sleep(POLL_S)
                self.close_unused_connections()

    def _transports(self) -> list[Any]:
        return [each.transport for each in self.server_state.connections]


def _duplicates(sockets: Iterable[socket.socket]) -> list[socket.socket]:
    """Return duplicates of listening sockets, as far as there are descriptors for them."""
    duplicates = []
    with contextlib.suppress(OSError):
        for each in sockets:
            duplicates.append(each.dup())
    return duplicates


def _accept_waiting(listener: socket.socket) -> list[socket.socket]:
    """Accept all waiting connections of ``listener``."""
    listener.setblocking(False)
    accepted = []
    while True:
        try:
            connection, _ = listener.accept()
        except OSError:
            # None waits any more, or none can be accepted for want of descriptors.
            break
        connection.setblocking(False)
        accepted.append(connection)
    return accepted


def create_server(app: Any, host: str, port: int) -> EmbeddedServer:
    """Return a server for ``app``; ``serve()`` runs it and ``should_exit`` stops it."""
    config = BoundedConfig(
        app,
        host=host,
        port=port,
        http=BoundedProtocol,
        backlog=1024,
        **UVICORN_OPTIONS,
    )
    bounds = ListenerBounds(max_connections=_max_connections(), idle_timeout_s=IDLE_TIMEOUT_S)
    config.shares = ListenerShares(bounds, CallerMemory())
    return EmbeddedServer(config)


def _max_connections() -> int:
    """Return the connections that the process may accept: a share of the descriptors that it may open."""
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return max(2, int(CONNECTION_DESCRIPTOR_SHARE * descriptors))

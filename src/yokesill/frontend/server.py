"""Serves an application by uvicorn within the caller's event loop, without its signal handling."""

import asyncio
import contextlib
import socket
from collections.abc import Iterator
from typing import Any

import anyio
import uvicorn

POLL_S = 0.01
# The same for every listener of the package: one event loop, no logs but our own, no headers nobody reads.
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
    """A uvicorn server that leaves signals to the process's own handling."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Capture nothing."""
        yield

    async def close_listener(self) -> None:
        """Take no new connections; those that are open, or wait to be accepted, go on.

        Closing a listening socket resets what waits in its queue, so a duplicate outlives the
        close, and whatever had connected by then is accepted from it and served.
        """
        duplicates = [each.dup() for server in self.servers for each in server.sockets]
        for server in self.servers:
            server.close()
        for listener in duplicates:
            for connection in _accept_waiting(listener):
                await asyncio.get_running_loop().connect_accepted_socket(self._protocol, connection)

    def _protocol(self) -> asyncio.Protocol:
        """Return a protocol as uvicorn makes it for a connection of its own."""
        protocol_class: Any = self.config.http_protocol_class
        protocol: asyncio.Protocol = protocol_class(
            config=self.config, server_state=self.server_state, app_state={}
        )
        return protocol

    async def finish_connections(self, grace: float) -> None:
        """Let each open connection have its last request answered; idle ones get ``grace`` seconds.

        A caller may have connected, or sent its request, just before the listener closed. Closing
        its connection at once would cut that request off.
        """
        with anyio.move_on_after(grace):
            while self.server_state.connections:
                await anyio.sleep(POLL_S)
        while self.server_state.tasks:
            await anyio.sleep(POLL_S)


def _accept_waiting(listener: socket.socket) -> list[socket.socket]:
    """Accept all that wait on ``listener`` and close it right after the last one."""
    listener.setblocking(False)
    accepted = []
    with listener:
        while True:
            try:
                connection, _ = listener.accept()
            except BlockingIOError:
                break
            connection.setblocking(False)
            accepted.append(connection)
    return accepted


def create_server(app: Any, host: str, port: int) -> EmbeddedServer:
    """Return a server for ``app``; run it with ``serve()``, stop it with ``should_exit``."""
    config = uvicorn.Config(
        app,
        host=host,
        port=port,
        http="httptools",
        timeout_keep_alive=60,
        backlog=1024,
        **UVICORN_OPTIONS,
    )
    return EmbeddedServer(config)

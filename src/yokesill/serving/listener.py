"""Listens by uvicorn without its loop of ten wake-ups a second: a node knows itself when it stops."""

import socket
from typing import Any

import uvicorn

from yokesill.frontend.server import EmbeddedServer
from yokesill.serving.settings import Address

BACKLOG = 512


class Listener(EmbeddedServer):
    """A uvicorn server on one address."""

    async def start(self, address: Address) -> None:
        """Bind and listen; raises ``OSError``."""
        self.config.load()
        self.lifespan = self.config.lifespan_class(self.config)
        listening = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.bind((address.host, address.port))
        await self.startup(sockets=[listening])

    def set_idle_timeout(self, seconds: float) -> None:
        """Close connections that are idle for ``seconds``; holds for those opened from now on."""
        self.config.timeout_keep_alive = seconds  # type: ignore[assignment]

    def close_idle_connections(self) -> None:
        """Close connections without a request, and the others after their answer."""
        for connection in list(self.server_state.connections):
            connection.shutdown()


def create_listener(app: Any) -> Listener:
    """Return a listener for ``app``."""
    config = uvicorn.Config(
        app,
        loop="asyncio",
        http="httptools",
        ws="none",
        lifespan="off",
        log_config=None,
        access_log=False,
        proxy_headers=False,
        server_header=False,
        date_header=False,
        timeout_keep_alive=15,
        backlog=BACKLOG,
    )
    return Listener(config)

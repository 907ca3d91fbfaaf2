"""Serves an application by uvicorn within the caller's event loop, without its signal handling."""

import contextlib
from collections.abc import Iterator
from typing import Any

import uvicorn


class EmbeddedServer(uvicorn.Server):
    """A uvicorn server that leaves signals to the process's own handling."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Capture nothing."""
        yield


def create_server(app: Any, host: str, port: int) -> EmbeddedServer:
    """Return a server for ``app``; run it with ``serve()``, stop it with ``should_exit``."""
    config = uvicorn.Config(
        app,
        host=host,
        port=port,
        loop="asyncio",
        http="httptools",
        ws="none",
        lifespan="off",
        log_config=None,
        access_log=False,
        proxy_headers=False,
        server_header=False,
        timeout_keep_alive=60,
        backlog=1024,
    )
    return EmbeddedServer(config)

"""``yokesill serve``: run one node."""

import random
import signal
import time
from pathlib import Path

import anyio
from cleo.helpers import argument, option

from yokesill import logs
from yokesill.backends.http_backend import HttpBackendClient
from yokesill.cli.base import BaseCommand, ExitCode
from yokesill.comm.network import NetworkTransport, split_address
from yokesill.frontend.app import create_app
from yokesill.frontend.server import create_server
from yokesill.node import Node
from yokesill.serving.signals import signals_delivered
from yokesill.settings import Settings, load_settings
from yokesill.store.http_store import HttpStore

CONNECTION_GRACE_S = 1.0
STOP_POLL_S = 0.01


class ServeCommand(BaseCommand):
    """Runs a node until SIGTERM or SIGINT, which start a planned stop."""

    name = "serve"
    description = "Run a node"
    arguments = [argument("settings", "settings file (TOML)")]
    options = [
        option("address", None, "IP:PORT, instead of the settings file's", flag=False),
        option("zone", None, "zone, instead of the settings file's", flag=False),
    ]

    def handle(self) -> int:
        """Load the settings and run the node."""
        settings = load_settings(Path(self.argument("settings")))
        if isinstance(settings, list):
            return self.fail_with_errors(self.argument("settings"), settings)
        changes = {name: self.option(name) for name in ("address", "zone") if self.option(name)}
        if changes:
            settings = settings.model_copy(update={"node": settings.node.model_copy(update=changes)})
        logs.configure(settings.logs.level)
        return self.run_async(lambda: serve(settings))


async def serve(settings: Settings) -> int:
    """Run a node until its planned stop is complete."""
    node = build_node(settings)
    host, port = split_address(settings.node.address)
    server = create_server(create_app(node), host, port)
    node.close_listener = server.close_listener
    async with anyio.create_task_group() as task_group:
        task_group.start_soon(_stop_on_signal, node)
        task_group.start_soon(server.serve)
        await node.run()
        await server.finish_connections(CONNECTION_GRACE_S)
        server.should_exit = True
        while server.server_state.connections:
            await anyio.sleep(STOP_POLL_S)
        task_group.cancel_scope.cancel()
    return int(ExitCode.OK)


def build_node(settings: Settings) -> Node:
    """Return a node with the real store, transport and back-end clients."""
    return Node(
        settings=settings,
        store=HttpStore(settings.store.url, settings.store.timeout_seconds),
        transport=NetworkTransport(settings.node.address),
        backends=HttpBackendClient(settings.routing.connections_a_server),
        random_source=random.Random(settings.node.seed),
        incarnation=int(time.time() * 1000),
    )


async def _stop_on_signal(node: Node) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals, signals_delivered():
        async for _ in signals:
            node.stop()

"""``yokesill gateway``: run one gateway node from a file, without a registry."""

import random
import signal
from pathlib import Path

import anyio
from cleo.helpers import argument

from yokesill import logs
from yokesill.cli.base import BaseCommand, ExitCode
from yokesill.cli.gateway_file import GatewayFile, read_gateway_file
from yokesill.gateway.events import ConfigurationReceived, Event, ServersReplaced
from yokesill.positions import Position
from yokesill.registry.feeds import Batch, Feed, NodeContact, NodeDirectory, NodeEntry
from yokesill.serving.dependencies import Dependencies
from yokesill.serving.header_names import HeaderNames
from yokesill.serving.process import GatewayProcess
from yokesill.serving.signals import HANDLED, signals_delivered
from yokesill.verdict import Failure

READY_PATH = "/ready"


class FileFeed(Feed):
    """Feed of one event that ``publish`` replaces."""

    def __init__(self, name: str, event: Event) -> None:
        self.name = name
        self._event = event
        self._position = Position(0, 1)
        self._changed = anyio.Event()

    def publish(self, event: Event) -> None:
        """Replace the event and wake up the follower."""
        self._event = event
        self._position = Position(0, self._position.revision + 1)
        self._changed.set()
        self._changed = anyio.Event()

    async def list(self, stale: bool = False) -> Batch | Failure:
        """See ``Feed.list``."""
        return Batch(self._position, (self._event,))

    async def changes(self, position: Position, wait: float) -> Batch | Failure:
        """See ``Feed.changes``."""
        if position == self._position:
            with anyio.move_on_after(wait):
                await self._changed.wait()
        return Batch(self._position, (self._event,) if position != self._position else ())


class SingleNodeDirectory(NodeDirectory):
    """Directory of a gateway that consists of one node."""

    def __init__(self, node: str) -> None:
        self._node = node

    async def announce(self, contact: NodeContact, beat: int) -> Failure | None:
        """See ``NodeDirectory.announce``."""
        return None

    async def nodes(self) -> tuple[NodeEntry, ...] | Failure:
        """See ``NodeDirectory.nodes``."""
        return (NodeEntry(NodeContact(self._node), 1),)


class FileGateway:
    """Gateway that takes its configuration and servers from a file."""

    def __init__(self, gateway_file: GatewayFile, output: logs.LogOutput) -> None:
        settings = gateway_file.settings()
        self._configuration = FileFeed("configuration", ConfigurationReceived(gateway_file.configuration()))
        self._servers = FileFeed("servers", ServersReplaced(gateway_file.records()))
        dependencies = Dependencies(
            self._configuration, self._servers, SingleNodeDirectory(settings.node), HeaderNames(), READY_PATH
        )
        self.process = GatewayProcess(settings, dependencies, random.Random(), output)

    def reload(self, gateway_file: GatewayFile) -> None:
        """Apply a changed file; the node keeps its own addresses."""
        self._configuration.publish(ConfigurationReceived(gateway_file.configuration()))
        self._servers.publish(ServersReplaced(gateway_file.records()))


class GatewayCommand(BaseCommand):
    """Runs a gateway until SIGTERM or SIGINT; SIGHUP reloads the file."""

    name = "gateway"
    description = "Run a gateway node from a file of routes and servers"
    arguments = [argument("file", "the gateway's file (TOML)")]

    def handle(self) -> int:
        """Check the file and serve."""
        path = Path(self.argument("file"))
        gateway_file = read_gateway_file(path)
        if isinstance(gateway_file, list):
            for problem in gateway_file:
                self.line_error(f"<error>error:</error> {path}: {problem}")
            return int(ExitCode.INVALID)
        gateway = FileGateway(gateway_file, logs.configure())
        return self.run_async(lambda: _serve(gateway, path))


async def _serve(gateway: FileGateway, path: Path) -> int:
    async with anyio.create_task_group() as task_group:
        task_group.start_soon(_handle_signals, gateway, path)
        await gateway.process.run()
        task_group.cancel_scope.cancel()
    return int(ExitCode.OK)


async def _handle_signals(gateway: FileGateway, path: Path) -> None:
    log = logs.get_logger("settings")
    with anyio.open_signal_receiver(*HANDLED) as signals, signals_delivered():
        async for number in signals:
            if number != signal.SIGHUP:
                gateway.process.stop()
                continue
            gateway_file = read_gateway_file(path)
            if isinstance(gateway_file, list):
                log.error("settings_rejected", problems=[str(each) for each in gateway_file])
            else:
                gateway.reload(gateway_file)
                log.info("settings_reloaded", version=gateway_file.version)

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
from yokesill.verdict import Failure

READY_PATH = "/ready"


class FileFeed(Feed):
    """Events from a file; ``publish`` tells new ones."""

    def __init__(self, name: str, event: Event) -> None:
        self.name = name
        self._event = event
        self._position = Position(0, 1)
        self._changed = anyio.Event()

    def publish(self, event: Event) -> None:
        """Tell the follower of a new state."""
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


class OneNode(NodeDirectory):
    """A gateway that shares with nobody."""

    def __init__(self, node: str) -> None:
        self._node = node

    async def announce(self, contact: NodeContact, beat: int) -> Failure | None:
        """See ``NodeDirectory.announce``."""
        return None

    async def nodes(self) -> tuple[NodeEntry, ...] | Failure:
        """See ``NodeDirectory.nodes``."""
        return (NodeEntry(NodeContact(self._node), 1),)


class FileGateway:
    """A gateway whose configuration and servers stand in a file."""

    def __init__(self, described: GatewayFile, output: logs.LogOutput) -> None:
        settings = described.settings()
        self._configuration = FileFeed("configuration", ConfigurationReceived(described.configuration()))
        self._servers = FileFeed("servers", ServersReplaced(described.records()))
        around = Dependencies(
            self._configuration, self._servers, OneNode(settings.node), HeaderNames(), READY_PATH
        )
        self.process = GatewayProcess(settings, around, random.Random(), output)

    def reload(self, described: GatewayFile) -> None:
        """Take a changed file; the node's own addresses stay as they are."""
        self._configuration.publish(ConfigurationReceived(described.configuration()))
        self._servers.publish(ServersReplaced(described.records()))


class GatewayCommand(BaseCommand):
    """Runs a gateway until SIGTERM or SIGINT; SIGHUP reads the file again."""

    name = "gateway"
    description = "Run a gateway node from a file of routes and servers"
    arguments = [argument("file", "the gateway's file (TOML)")]

    def handle(self) -> int:
        """Check the file and serve."""
        path = Path(self.argument("file"))
        described = read_gateway_file(path)
        if isinstance(described, list):
            for problem in described:
                self.line_error(f"<error>error:</error> {path}: {problem}")
            return int(ExitCode.INVALID)
        gateway = FileGateway(described, logs.configure())
        return self.run_async(lambda: _serve(gateway, path))


async def _serve(gateway: FileGateway, path: Path) -> int:
    async with anyio.create_task_group() as task_group:
        task_group.start_soon(_follow_signals, gateway, path)
        await gateway.process.run()
        task_group.cancel_scope.cancel()
    return int(ExitCode.OK)


async def _follow_signals(gateway: FileGateway, path: Path) -> None:
    log = logs.get_logger("settings")
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        async for number in signals:
            if number != signal.SIGHUP:
                gateway.process.stop()
                continue
            described = read_gateway_file(path)
            if isinstance(described, list):
                log.error("settings_rejected", problems=[str(each) for each in described])
            else:
                gateway.reload(described)
                log.info("settings_reloaded", version=described.version)

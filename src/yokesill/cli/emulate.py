"""``yokesill emulate``: run stand-ins for the platform and the back ends of a scenario."""

import random
import signal
from pathlib import Path
from typing import Any

import anyio
import yaml
from cleo.helpers import argument, option

from yokesill.cli.base import BaseCommand, ExitCode
from yokesill.cli.gateway_file import GatewayFile, read_gateway_file
from yokesill.emulator.record_server import RecordServer
from yokesill.emulator.running import (
    build_models,
    run_events,
    start_backends,
    start_record_servers,
    start_store,
)
from yokesill.emulator.scenario import Scenario, documents_of, load_scenario, place_servers
from yokesill.emulator.store_model import StoreModel

DEFAULT_HOST = "127.0.0.1"


class EmulateCommand(BaseCommand):
    """Runs stand-ins for the platform, the back ends, or both, until SIGTERM or SIGINT.

    Given a gateway file (TOML), runs stand-ins for the servers that it lists.
    """

    name = "emulate"
    description = "Run stand-ins for the platform and a scenario's back ends"
    arguments = [argument("scenario", "scenario file (YAML), or a gateway's file (TOML)")]
    options = [
        option("first-port", None, "port of the first back end", flag=False, default="7300"),
        option("store-port", None, "port of the platform; 0: none", flag=False, default="7000"),
        option("no-backends", None, "run the platform only"),
        option("part", None, "run only every N-th back end: K/N, K from 0", flag=False, default="0/1"),
        option("documents", None, "write the configuration documents to this file and exit", flag=False),
        option("seed", None, "seed of service times and faults", flag=False, default="1"),
    ]

    def handle(self) -> int:
        """Read the scenario and run it."""
        path = Path(self.argument("scenario"))
        if path.suffix == ".toml":
            return self._handle_gateway(path)
        scenario = load_scenario(path)
        if isinstance(scenario, list):
            return self.fail_with_errors(self.argument("scenario"), scenario)
        if self.option("documents"):
            placed = place_servers(scenario, DEFAULT_HOST, int(self.option("first-port")))
            text = dump_documents(documents_of(scenario, placed))
            Path(self.option("documents")).write_text(text)
            return int(ExitCode.OK)
        return self.run_async(lambda: self._run(scenario))

    async def _run(self, scenario: Scenario) -> int:
        part, _, parts = str(self.option("part")).partition("/")
        placed = place_servers(scenario, DEFAULT_HOST, int(self.option("first-port")))
        placed = placed[int(part) :: int(parts or 1)]
        async with anyio.create_task_group() as task_group:
            if int(self.option("store-port")):
                port = int(self.option("store-port"))
                await start_store(StoreModel(), DEFAULT_HOST, port, task_group)
            if not self.option("no-backends"):
                models = build_models(placed, random.Random(int(self.option("seed"))))
                await start_backends(scenario, models, task_group)
                task_group.start_soon(run_events, scenario, placed, models)
            self.line(f"{scenario.name}: stand-ins are up")
            await _until_signal()
            task_group.cancel_scope.cancel()
        return int(ExitCode.OK)

    def _handle_gateway(self, path: Path) -> int:
        gateway_file = read_gateway_file(path)
        if isinstance(gateway_file, list):
            for problem in gateway_file:
                self.line_error(f"<error>error:</error> {path}: {problem}")
            return int(ExitCode.INVALID)
        return self.run_async(lambda: self._run_servers(gateway_file))

    async def _run_servers(self, gateway_file: GatewayFile) -> int:
        source = random.Random(int(self.option("seed")))
        servers = {
            each.address: RecordServer(each.instance, each.service, source) for each in gateway_file.servers
        }
        async with anyio.create_task_group() as task_group:
            await start_record_servers(servers, task_group)
            self.line(f"{len(servers)} servers are up")
            await _until_signal()
            task_group.cancel_scope.cancel()
        return int(ExitCode.OK)


async def _until_signal() -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            break


def dump_documents(documents: dict[str, dict[str, Any]]) -> str:
    """Return a file of documents, as ``yokesill apply`` reads it."""
    items = [{"key": key, **value} for key, value in documents.items()]
    return yaml.safe_dump_all(items, sort_keys=False)

"""``yokesill demo``: what users run, in one process: servers, two gateway nodes, and what callers see."""

import random
import tempfile
from importlib import resources
from pathlib import Path
from typing import NamedTuple, TextIO

import anyio
import anyio.abc
from cleo.helpers import option

from yokesill import logs
from yokesill.cli.base import BaseCommand, ExitCode
from yokesill.cli.explain import read_lines, story
from yokesill.cli.gateway import FileGateway
from yokesill.cli.gateway_file import GatewayFile, read_gateway_file
from yokesill.comm.http_client import HttpClient, HttpReply
from yokesill.emulator.record_server import RecordServer
from yokesill.emulator.running import start_record_servers
from yokesill.serving.header_names import HeaderNames
from yokesill.verdict import Failure

FIRST_PORT, NODES = 7900, 2
PATIENCE_S = 2.0
READY_POLL_S, READY_TIMEOUT_S = 0.02, 10.0
SLOW_S = 0.4
SEARCHES, GATE_CHECKS, SLOW_SEARCHES = 4, 3, 12
TABLE = ["request", "node", "status", "shards", "records", "answered by", "ms"]


class Asked(NamedTuple):
    """One request's answer as its caller saw it; ``servers`` signed it, ``coverage`` is parts of asked."""

    request: str
    node: int
    status: int
    coverage: str
    records: int
    servers: tuple[str, ...]
    elapsed_ms: float

    def row(self) -> list[str]:
        """Return it as a row of ``TABLE``."""
        cells = (self.node, self.status, self.coverage, self.records, " ".join(self.servers))
        return [self.request, *map(str, cells), f"{self.elapsed_ms:.0f}"]


class Stage:
    """The servers, the nodes before them, and a caller."""

    def __init__(self, described: GatewayFile, output: logs.LogOutput, first_port: int) -> None:
        self.described = _at_ports(described, first_port - FIRST_PORT)
        source = random.Random(1)
        self.servers = {
            each.instance: RecordServer(each.instance, each.service, source)
            for each in self.described.servers
        }
        self._nodes = [FileGateway(_node(self.described, number), output) for number in range(NODES)]
        self._client = HttpClient()
        self._names = HeaderNames()
        self._number = 0

    async def start(self, task_group: anyio.abc.TaskGroup) -> None:
        """Start everything; returns once both nodes are ready."""
        addresses = {each.address: self.servers[each.instance] for each in self.described.servers}
        await start_record_servers(addresses, task_group)
        for node in self._nodes:
            task_group.start_soon(node.process.run)
        with anyio.fail_after(READY_TIMEOUT_S):
            while not all(node.process.ready for node in self._nodes):
                await anyio.sleep(READY_POLL_S)

    async def take_away(self, instance: str) -> None:
        """Let a server leave: a newer file without it goes to every node, and is in force on return."""
        kept = tuple(each for each in self.described.servers if each.instance != instance)
        newer = {"servers": kept, "version": self.described.version + 1}
        self.described = self.described.model_copy(update=newer)
        for number, node in enumerate(self._nodes):
            node.reload(_node(self.described, number))
        await anyio.sleep(self._nodes[0].process.settings.coalescing_delay_s + READY_POLL_S)

    async def ask(self, path: str, method: str = "GET") -> Asked:
        """Send a request to the nodes in turn."""
        node = self._number % NODES
        self._number += 1
        request = f"{path.split('/')[1]}-{self._number}"
        names = self._names
        headers = {
            "Host": self.described.routes[0].host,
            names.request_id.decode(): request,
            names.deadline.decode(): str(int(PATIENCE_S * 1000)),
        }
        url = f"http://{_node(self.described, node).node.callers}{path}"
        started = anyio.current_time()
        reply = await self._client.call(method, url, PATIENCE_S, headers=headers)
        return self._asked(request, node + 1, reply, (anyio.current_time() - started) * 1000)

    def _asked(self, request: str, node: int, reply: HttpReply | Failure, elapsed_ms: float) -> Asked:
        if isinstance(reply, Failure):
            return Asked(request, node, 0, "-", 0, (), elapsed_ms)
        names = self._names
        told = reply.headers.get(names.parts.decode()) or reply.headers.get(names.signature.decode(), "")
        servers = tuple(each.strip().rpartition(".")[0] for each in told.split(",") if each.strip())
        missing = int(reply.headers.get(names.missing.decode(), "0"))
        coverage = f"{len(servers)} of {len(servers) + missing}"
        return Asked(request, node, reply.status, coverage, len(reply.body) // 16, servers, elapsed_ms)

    async def aclose(self) -> None:
        """Close the caller's connections."""
        await self._client.aclose()


class DemoCommand(BaseCommand):
    """Runs everything once and prints what callers get."""

    name = "demo"
    description = "Run servers and two gateway nodes in one process; show answers, and trouble gone around"
    options = [option("first-port", None, "first of the ports to use", flag=False, default=str(FIRST_PORT))]

    def handle(self) -> int:
        """Run the demonstration."""
        with resources.as_file(resources.files("yokesill.cli").joinpath("demo.toml")) as path:
            described = read_gateway_file(Path(path))
        if isinstance(described, list):
            return self.fail(ExitCode.INVALID, f"demo.toml: {described[0]}")
        with tempfile.TemporaryFile("w+") as log:
            output = logs.configure("info", logs.LogOutput(log.fileno()))
            stage = Stage(described, output, int(self.option("first-port")))
            return self.run_async(lambda: self._run(stage, log))

    async def _run(self, stage: Stage, log: TextIO) -> int:
        async with anyio.create_task_group() as task_group:
            await stage.start(task_group)
            self.line(f"{len(stage.servers)} servers and {NODES} gateway nodes are up\n")
            asked = await self._calm(stage)
            slow = await self._slow(stage)
            asked += slow + await self._leaving(stage)
            await stage.aclose()
            task_group.cancel_scope.cancel()
        self._explain(max(slow, key=lambda each: each.elapsed_ms), log)
        return int(ExitCode.OK if all(each.status == 200 for each in asked) else ExitCode.FAILED)

    async def _calm(self, stage: Stage) -> list[Asked]:
        self.line("Searches ask one server of each of 4 shards, gate checks one desk. All may be repeated.")
        asked = [await stage.ask(f"/search/crew-{number}") for number in range(SEARCHES)]
        asked += [await stage.ask(f"/gate/worker-{number}") for number in range(GATE_CHECKS)]
        self.print_table(TABLE, [each.row() for each in asked])
        self.line("\nA booking must not run twice: it is sent again only if it surely did not run.")
        booking = await stage.ask("/book/shift-7", "POST")
        self.print_table(TABLE, [booking.row()])
        ran = sum(each.ran.count(booking.request) for each in stage.servers.values())
        self.line(f"servers that ran it: {ran}\n")
        return [*asked, booking]

    async def _slow(self, stage: Stage) -> list[Asked]:
        used = await stage.ask("/search/before")
        slow = next(each for each in used.servers if each.startswith("hours-1"))
        stage.servers[slow].slow_s = SLOW_S
        self.line(f"{slow} turns slow: each answer takes {SLOW_S * 1000:.0f} ms more. Its part is asked")
        self.line("for at the shard's other server, and then it is gone around.")
        before = len(stage.servers[slow].ran)
        asked = [await stage.ask(f"/search/slow-{number}") for number in range(SLOW_SEARCHES)]
        self.print_table(TABLE, [each.row() for each in asked])
        tried = len(stage.servers[slow].ran) - before
        self.line(f"{slow} was tried in {tried} of {len(asked)} searches\n")
        stage.servers[slow].slow_s = 0.0
        return asked

    async def _leaving(self, stage: Stage) -> list[Asked]:
        used = await stage.ask("/search/before")
        leaving = next(each for each in used.servers if each.startswith("hours-2"))
        await stage.take_away(leaving)
        self.line(f"{leaving} leaves: a newer configuration is without it.")
        asked = [await stage.ask(f"/search/left-{number}") for number in range(SEARCHES)]
        self.print_table(TABLE, [each.row() for each in asked])
        return asked

    def _explain(self, asked: Asked, log: TextIO) -> None:
        self.line(f"\nThe story of {asked.request}, as `yokesill explain {asked.request} LOG...` tells it:")
        log.seek(0)
        for line in story(read_lines("demo", log), asked.request):
            self.line(str(line))


def _at_ports(described: GatewayFile, shift: int) -> GatewayFile:
    """Return the file with every port moved."""
    node = described.node
    moved = {"callers": _move(node.callers, shift), "probes": _move(node.probes, shift)}
    servers = tuple(
        each.model_copy(update={"address": _move(each.address, shift)}) for each in described.servers
    )
    return described.model_copy(update={"node": node.model_copy(update=moved), "servers": servers})


def _node(described: GatewayFile, number: int) -> GatewayFile:
    """Return the file as the node of a number reads it; nodes have neighbouring ports."""
    node = described.node
    own = {"name": f"{node.name}-{number + 1}"}
    own |= {"callers": _move(node.callers, number), "probes": _move(node.probes, number)}
    return described.model_copy(update={"node": node.model_copy(update=own)})


def _move(address: str, shift: int) -> str:
    host, _, port = address.rpartition(":")
    return f"{host}:{int(port) + shift}"

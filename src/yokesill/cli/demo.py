"""``yokesill demo``: runs servers and two gateway nodes in one process and shows the replies to callers."""

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
from yokesill.cli.explain import lines_about, read_lines
from yokesill.cli.gateway import FileGateway
from yokesill.cli.gateway_file import GatewayFile, read_gateway_file
from yokesill.comm.http_client import HttpClient, HttpReply
from yokesill.emulator.record_server import RecordServer
from yokesill.emulator.running import start_record_servers
from yokesill.serving.header_names import HeaderNames
from yokesill.verdict import Failure

DEFAULT_FIRST_PORT, NODE_COUNT = 7900, 2
CALLER_TIMEOUT_S = 2.0
READY_POLL_S, READY_TIMEOUT_S = 0.02, 10.0
ADDED_DELAY_S = 0.4
SEARCH_COUNT, GATE_CHECK_COUNT, SLOW_SEARCH_COUNT = 4, 3, 12
TABLE_HEADERS = ["request", "node", "status", "shards", "records", "answered by", "ms"]


class ObservedReply(NamedTuple):
    """Reply to one request as its caller saw it.

    ``servers`` are those that signed it; ``coverage`` is how many of the requested parts it holds.
    """

    request: str
    node: int
    status: int
    coverage: str
    records: int
    servers: tuple[str, ...]
    elapsed_ms: float

    def row(self) -> list[str]:
        """Return it as a row of ``TABLE_HEADERS``."""
        cells = (self.node, self.status, self.coverage, self.records, " ".join(self.servers))
        return [self.request, *map(str, cells), f"{self.elapsed_ms:.0f}"]


class DemoDeployment:
    """The servers, the gateway nodes in front of them, and a caller."""

    def __init__(self, gateway_file: GatewayFile, output: logs.LogOutput, first_port: int) -> None:
        self.gateway_file = _shift_ports(gateway_file, first_port - DEFAULT_FIRST_PORT)
        source = random.Random(1)
        self.servers = {
            each.instance: RecordServer(each.instance, each.service, source)
            for each in self.gateway_file.servers
        }
        self._nodes = [
            FileGateway(_file_of_node(self.gateway_file, number), output) for number in range(NODE_COUNT)
        ]
        self._client = HttpClient()
        self._names = HeaderNames()
        self._number = 0

    async def start(self, task_group: anyio.abc.TaskGroup) -> None:
        """Start everything; returns once both nodes are ready."""
        addresses = {each.address: self.servers[each.instance] for each in self.gateway_file.servers}
        await start_record_servers(addresses, task_group)
        for node in self._nodes:
            task_group.start_soon(node.process.run)
        with anyio.fail_after(READY_TIMEOUT_S):
            while not all(node.process.ready for node in self._nodes):
                await anyio.sleep(READY_POLL_S)

    async def remove_server(self, instance: str) -> None:
        """Remove a server from the configuration of all nodes; returns once the nodes have applied it."""
        kept = tuple(each for each in self.gateway_file.servers if each.instance != instance)
        changes = {"servers": kept, "version": self.gateway_file.version + 1}
        self.gateway_file = self.gateway_file.model_copy(update=changes)
        for number, node in enumerate(self._nodes):
            node.reload(_file_of_node(self.gateway_file, number))
        await anyio.sleep(self._nodes[0].process.settings.coalescing_delay_s + READY_POLL_S)

    async def ask(self, path: str, method: str = "GET") -> ObservedReply:
        """Send a request to the next node, round-robin."""
        node = self._number % NODE_COUNT
        self._number += 1
        request = f"{path.split('/')[1]}-{self._number}"
        names = self._names
        headers = {
            "Host": self.gateway_file.routes[0].host,
            names.request_id.decode(): request,
            names.deadline.decode(): str(int(CALLER_TIMEOUT_S * 1000)),
        }
        url = f"http://{_file_of_node(self.gateway_file, node).node.callers}{path}"
        started = anyio.current_time()
        reply = await self._client.call(method, url, CALLER_TIMEOUT_S, headers=headers)
        return self._observe(request, node + 1, reply, (anyio.current_time() - started) * 1000)

    def _observe(
        self, request: str, node: int, reply: HttpReply | Failure, elapsed_ms: float
    ) -> ObservedReply:
        if isinstance(reply, Failure):
            return ObservedReply(request, node, 0, "-", 0, (), elapsed_ms)
        names = self._names
        server_list = reply.headers.get(names.parts.decode()) or reply.headers.get(
            names.signature.decode(), ""
        )
        servers = tuple(each.strip().rpartition(".")[0] for each in server_list.split(",") if each.strip())
        missing = int(reply.headers.get(names.missing.decode(), "0"))
        coverage = f"{len(servers)} of {len(servers) + missing}"
        return ObservedReply(
            request, node, reply.status, coverage, len(reply.body) // 16, servers, elapsed_ms
        )

    async def aclose(self) -> None:
        """Close the caller's connections."""
        await self._client.aclose()


class DemoCommand(BaseCommand):
    """Runs the demonstration once and prints the replies to callers."""

    name = "demo"
    description = (
        "Run servers and two gateway nodes in one process; show how they avoid slow and leaving servers"
    )
    options = [
        option("first-port", None, "first of the ports to use", flag=False, default=str(DEFAULT_FIRST_PORT))
    ]

    def handle(self) -> int:
        """Run the demonstration."""
        with resources.as_file(resources.files("yokesill.cli").joinpath("demo.toml")) as path:
            gateway_file = read_gateway_file(Path(path))
        if isinstance(gateway_file, list):
            return self.fail(ExitCode.INVALID, f"demo.toml: {gateway_file[0]}")
        with tempfile.TemporaryFile("w+") as log:
            output = logs.configure("info", logs.LogOutput(log.fileno()))
            deployment = DemoDeployment(gateway_file, output, int(self.option("first-port")))
            return self.run_async(lambda: self._run(deployment, log))

    async def _run(self, deployment: DemoDeployment, log: TextIO) -> int:
        async with anyio.create_task_group() as task_group:
            await deployment.start(task_group)
            self.line(f"{len(deployment.servers)} servers and {NODE_COUNT} gateway nodes are up\n")
            asked = await self._show_normal_operation(deployment)
            slow = await self._show_slow_server(deployment)
            asked += slow + await self._show_leaving_server(deployment)
            await deployment.aclose()
            task_group.cancel_scope.cancel()
        self._print_request_log(max(slow, key=lambda each: each.elapsed_ms), log)
        return int(ExitCode.OK if all(each.status == 200 for each in asked) else ExitCode.FAILED)

    async def _show_normal_operation(self, deployment: DemoDeployment) -> list[ObservedReply]:
        self.line(
            "Searches ask one server of each of 4 shards, gate checks one desk server. Both may be repeated."
        )
        asked = [await deployment.ask(f"/search/crew-{number}") for number in range(SEARCH_COUNT)]
        asked += [await deployment.ask(f"/gate/worker-{number}") for number in range(GATE_CHECK_COUNT)]
        self.print_table(TABLE_HEADERS, [each.row() for each in asked])
        self.line("\nA booking must not run twice: it is retried only if it certainly did not run.")
        booking = await deployment.ask("/book/shift-7", "POST")
        self.print_table(TABLE_HEADERS, [booking.row()])
        ran = sum(each.ran.count(booking.request) for each in deployment.servers.values())
        self.line(f"servers that ran it: {ran}\n")
        return [*asked, booking]

    async def _show_slow_server(self, deployment: DemoDeployment) -> list[ObservedReply]:
        used = await deployment.ask("/search/before")
        slow = next(each for each in used.servers if each.startswith("hours-1"))
        deployment.servers[slow].slow_s = ADDED_DELAY_S
        self.line(
            f"{slow} becomes slow: each answer takes {ADDED_DELAY_S * 1000:.0f} ms longer. Nodes first hedge"
        )
        self.line("its part to the shard's other server, then avoid the slow one.")
        before = len(deployment.servers[slow].ran)
        asked = [await deployment.ask(f"/search/slow-{number}") for number in range(SLOW_SEARCH_COUNT)]
        self.print_table(TABLE_HEADERS, [each.row() for each in asked])
        tried = len(deployment.servers[slow].ran) - before
        self.line(f"{slow} was tried in {tried} of {len(asked)} searches\n")
        deployment.servers[slow].slow_s = 0.0
        return asked

    async def _show_leaving_server(self, deployment: DemoDeployment) -> list[ObservedReply]:
        used = await deployment.ask("/search/before")
        leaving = next(each for each in used.servers if each.startswith("hours-2"))
        await deployment.remove_server(leaving)
        self.line(f"{leaving} leaves: the new configuration no longer lists it.")
        asked = [await deployment.ask(f"/search/left-{number}") for number in range(SEARCH_COUNT)]
        self.print_table(TABLE_HEADERS, [each.row() for each in asked])
        return asked

    def _print_request_log(self, asked: ObservedReply, log: TextIO) -> None:
        self.line(f"\nLog lines of {asked.request}, as printed by `yokesill explain {asked.request} LOG...`:")
        log.seek(0)
        for line in lines_about(read_lines("demo", log), asked.request):
            self.line(str(line))


def _shift_ports(gateway_file: GatewayFile, shift: int) -> GatewayFile:
    """Return the file with all ports shifted."""
    node = gateway_file.node
    moved = {"callers": _shift_port(node.callers, shift), "probes": _shift_port(node.probes, shift)}
    servers = tuple(
        each.model_copy(update={"address": _shift_port(each.address, shift)}) for each in gateway_file.servers
    )
    return gateway_file.model_copy(update={"node": node.model_copy(update=moved), "servers": servers})


def _file_of_node(gateway_file: GatewayFile, number: int) -> GatewayFile:
    """Return the file for the node with this number; nodes use consecutive ports."""
    node = gateway_file.node
    own = {"name": f"{node.name}-{number + 1}"}
    own |= {"callers": _shift_port(node.callers, number), "probes": _shift_port(node.probes, number)}
    return gateway_file.model_copy(update={"node": node.model_copy(update=own)})


def _shift_port(address: str, shift: int) -> str:
    host, _, port = address.rpartition(":")
    return f"{host}:{int(port) + shift}"

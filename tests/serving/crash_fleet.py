"""A fleet of gateway nodes, in virtual time, with servers that a request can crash.

Each node has a real router and driver; servers, the registry, datagrams and callers are simulated.
"""

import itertools
import random
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import anyio
from conftest import run_virtual
from harness import HOST, configuration, gather_route

from yokesill.gateway import events as ev
from yokesill.gateway.documents import Route, ServerRecord
from yokesill.gateway.limits.budget import BudgetLimits
from yokesill.gateway.messages import Attempt, GatewayRequest, ServerReply
from yokesill.gateway.options import GatewayOptions
from yokesill.gateway.router import GatewayRouter
from yokesill.peers.dissemination import Peer
from yokesill.quarantine.exchange import QuarantineExchange
from yokesill.registry.feeds import QuarantineRecords
from yokesill.serving.driver import GatewayDriver
from yokesill.serving.quarantine_link import QuarantineLink
from yokesill.verdict import Failure, Reason, Verdict

SHARDS = tuple(f"shard-{number}" for number in range(10))
REPLICAS = 3
ROUTE = gather_route(0.89, SHARDS, attempts=3)
DEADLY = "/wide/deadly"
SERVICE_TIME_S, RESTART_S, REMOVAL_DELAY_S, FEED_DELAY_S, DATAGRAM_S = 0.04, 1.0, 3.6, 0.35, 0.002
BATCHING_S = 0.015
MAX_CONTACT_S = 5.0
BUDGET = BudgetLimits(ratio=0.2, allowance=58.0, window_s=10.0)
LOST = Failure(Reason.CONNECTION_LOST, Verdict.MAY_HAVE_RUN, "closed before a reply")
DOWN = Failure(Reason.CONNECT_FAILED, Verdict.NOT_RUN, "connection refused")


class Arrival(NamedTuple):
    """A request that reached a server: its time in seconds, its path, and the sending node."""

    at_s: float
    path: str
    node: str


class SimulatedServers:
    """Simulated servers; ``deadly`` says which paths crash a server partway through processing."""

    def __init__(self, fleet: "CrashFleet") -> None:
        self.fleet = fleet
        self.arrivals: list[Arrival] = []
        self.crashed_at_s: list[float] = []
        self.deadly: Callable[[str], bool] = lambda path: path == DEADLY
        self._numbers = itertools.count(1)
        self._up: dict[str, ServerRecord] = {}
        self._in_progress: dict[str, dict[tuple[str, int], anyio.Event]] = {}
        for service in fleet.services:
            for replica in range(REPLICAS):
                self._start(service, f"z{replica % 3 + 1}")

    def records(self) -> tuple[ServerRecord, ...]:
        return tuple(self._up.values())

    def _start(self, service: str, zone: str) -> ServerRecord:
        number = next(self._numbers)
        record = ServerRecord(f"{service}-{number}", service, "10.1.0.1", 80 + number, zone, 5)
        self._up[record.instance] = record
        self._in_progress[record.instance] = {}
        return record

    async def run_attempt(self, attempt: Attempt, node: str) -> ServerReply | Failure:
        """Process an attempt as its server would."""
        instance = attempt.server.instance
        await anyio.sleep(0.001)
        if instance not in self._up:
            return DOWN
        path = attempt.request.path
        self.arrivals.append(Arrival(anyio.current_time(), path, node))
        number = (node, attempt.number)
        lost = self._in_progress[instance][number] = anyio.Event()
        service_time_s = SERVICE_TIME_S * self.fleet.source.uniform(0.5, 1.5)
        with anyio.move_on_after(service_time_s * (0.7 if self.deadly(path) else 1.0)):
            await lost.wait()
        if lost.is_set():
            return LOST
        if self.deadly(path):
            self.crash(instance)
            return LOST
        del self._in_progress[instance][number]
        return ServerReply(200, (), b"", f"{instance}.{attempt.number}".encode())

    def crash(self, instance: str) -> None:
        """Crash a server: its attempts in progress are lost, and a replacement starts."""
        record = self._up.pop(instance)
        self.crashed_at_s.append(anyio.current_time())
        for lost in self._in_progress.pop(instance).values():
            lost.set()
        self.fleet.tasks.start_soon(self._replace, record)

    async def _replace(self, record: ServerRecord) -> None:
        await anyio.sleep(RESTART_S)
        started = self._start(record.service, record.zone)
        await anyio.sleep(FEED_DELAY_S)
        self.fleet.publish(ev.ServerListed(started))
        await anyio.sleep(REMOVAL_DELAY_S - RESTART_S - FEED_DELAY_S)
        self.fleet.publish(ev.ServerRemoved(record.instance))


class SimulatedClient:
    """One node's client for the simulated servers."""

    def __init__(self, fleet: "CrashFleet", node: str) -> None:
        self.connections_changed: Callable[[str, int], None] = lambda _instance, _count: None
        self.may_start: Callable[[ServerRecord], bool] = lambda _server: True
        self._fleet = fleet
        self._node = node
        self._cancelled: set[int] = set()

    async def run(self, *, task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED) -> None:
        task_status.started()

    def send(self, attempt: Attempt, done: Callable[[ev.AttemptAnswered | ev.AttemptFailed], None]) -> None:
        self._fleet.tasks.start_soon(self._run, attempt, done)

    def cancel(self, number: int) -> None:
        self._cancelled.add(number)

    def forget(self, instance: str) -> None:
        pass

    async def _run(
        self, attempt: Attempt, done: Callable[[ev.AttemptAnswered | ev.AttemptFailed], None]
    ) -> None:
        sent_at = anyio.current_time()
        outcome = await self._fleet.servers.run_attempt(attempt, self._node)
        if attempt.number in self._cancelled:
            return
        if isinstance(outcome, Failure):
            done(ev.AttemptFailed(attempt.number, outcome))
        else:
            done(ev.AttemptAnswered(attempt.number, outcome, sent_at_s=sent_at))


class Registry(QuarantineRecords):
    """Records quarantined requests and publishes them to all nodes; while ``down``, it refuses all calls."""

    def __init__(self, fleet: "CrashFleet") -> None:
        self._fleet = fleet
        self.down = False
        self.recorded: frozenset[str] = frozenset()

    async def record(self, fingerprint: str) -> Failure | None:
        await anyio.sleep(0.004)
        if self.down:
            return DOWN
        self.recorded |= {fingerprint}
        self._fleet.tasks.start_soon(self._publish, ev.RequestQuarantined(fingerprint))
        return None

    async def lift(self, fingerprint: str) -> Failure | None:
        await anyio.sleep(0.004)
        if self.down:
            return DOWN
        self.recorded -= {fingerprint}
        self._fleet.tasks.start_soon(self._publish, ev.QuarantineLifted(fingerprint))
        return None

    async def _publish(self, event: ev.Event) -> None:
        await anyio.sleep(FEED_DELAY_S)
        self._fleet.publish(event)


class CrashNode:
    """One node; a ``killed`` one has ended, an ``isolated`` one neither sends nor receives datagrams."""

    def __init__(self, fleet: "CrashFleet", name: str) -> None:
        self.name = name
        self.fleet = fleet
        self.killed = self.isolated = False
        number = int(name.removeprefix("n"))
        self.zone = f"z{number % 3 + 1}"
        options = GatewayOptions(self.zone, name, budget=BUDGET)
        source = random.Random(1000 + number)
        self.router = GatewayRouter(options, source, anyio.current_time() - 100.0)
        self.driver = GatewayDriver(self.router, SimulatedClient(fleet, name), lambda _note: None)
        self.peer = Peer(name, f"10.0.0.{number + 1}:9", self.zone)
        self.exchange = QuarantineExchange(self.peer, source)
        feed = (self.router.quarantine, self.driver.feed)
        self.link = QuarantineLink(
            self.exchange, *feed, fleet.registry, source, lambda: fleet.tasks.start_soon(self._send)
        )
        self.driver.on_crash_finding = self.link.on_finding
        self.scope = anyio.CancelScope()

    async def run(self) -> None:
        with self.scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.link.run)
                await self.driver.run()

    async def _send(self) -> None:
        await anyio.sleep(0.0 if self.link.urgent else BATCHING_S)
        datagrams = [] if self.isolated or self.killed else self.link.flush()
        await anyio.sleep(DATAGRAM_S)
        for datagram in datagrams:
            for node in self.fleet.nodes:
                if node.peer.address == datagram.address and not node.killed and not node.isolated:
                    node.link.receive(datagram.data, self.peer.address, anyio.current_time())
                    if node.link.pending:
                        self.fleet.tasks.start_soon(node._send)

    def learn(self, event: ev.Event) -> None:
        if not self.killed:
            self.driver.feed(event)

    def kill(self) -> None:
        self.killed = True
        self.scope.cancel()


class CrashFleet:
    """Nodes, servers and callers; ``finals`` counts requests by kind (deadly or other) and outcome."""

    def __init__(self, tasks: anyio.abc.TaskGroup, nodes: int, seed: int, routes: tuple[Route, ...]) -> None:
        self.tasks = tasks
        self.source = random.Random(seed)
        self.routes = routes
        self.services = tuple(dict.fromkeys(name for route in routes for name in route.services))
        self.servers = SimulatedServers(self)
        self.registry = Registry(self)
        self.finals: Counter[tuple[str, str]] = Counter()
        self.nodes: list[CrashNode] = []
        self._numbers = itertools.count(1)
        for number in range(nodes):
            self.start_node(f"n{number}")

    def start_node(self, name: str) -> CrashNode:
        """Start a node without state other than what the registry and its peers send."""
        node = CrashNode(self, name)
        self.nodes = [each for each in self.nodes if each.name != name] + [node]
        self.tasks.start_soon(node.run)
        self.publish(ev.NodeCountUpdated(len(self.nodes)))
        for each in self.nodes:
            each.exchange.set_peers(other.peer for other in self.nodes)
        node.learn(ev.ConfigurationReceived(configuration(1, *self.routes)))
        node.learn(ev.ServersReplaced(self.servers.records()))
        if not self.registry.down:
            node.learn(ev.QuarantineReplaced(self.registry.recorded))
        return node

    def node(self, name: str) -> CrashNode:
        return next(each for each in self.nodes if each.name == name)

    def publish(self, event: ev.Event) -> None:
        """Deliver an event of the registry to every node."""
        for node in self.nodes:
            node.learn(event)

    async def send_request(self, name: str, path: str = DEADLY, timeout_s: float = 4.0) -> ev.FinalAnswer:
        """Send a request to a node and return its final answer."""
        number = next(self._numbers)
        now = anyio.current_time()
        request = GatewayRequest(
            f"k{number}", f"id-{number}", b"GET", HOST, path, path.encode(), (), b"", now, timeout_s
        )
        final = await self.node(name).driver.execute(request)
        outcome = final.failure.reason.value if isinstance(final, ev.Refuse) else "answered"
        self.finals[("deadly" if path == DEADLY else "other", outcome)] += 1
        return final

    async def _send_other_request(self, number: int) -> None:
        node = self.source.choice(self.nodes)
        await self.send_request(node.name, f"/wide/other-{number}", timeout_s=4.0)

    async def send_other_requests(self, per_s: float, for_s: float) -> None:
        """Send other requests, each with its own path, to random nodes for ``for_s`` seconds."""
        end = anyio.current_time() + for_s
        for number in itertools.count(1):
            await anyio.sleep(self.source.expovariate(per_s))
            if anyio.current_time() > end:
                return
            self.tasks.start_soon(self._send_other_request, number)

    def sent(self, path: str = DEADLY, since_s: float = 0.0) -> int:
        """Return how often a path has reached servers since ``since_s``."""
        return sum(each.path == path and each.at_s >= since_s for each in self.servers.arrivals)

    def sent_after_bound(self, path: str = DEADLY) -> int:
        """Return how often it reached servers later than ``MAX_CONTACT_S`` after the third crash."""
        return self.sent(path, sorted(self.servers.crashed_at_s)[2] + MAX_CONTACT_S)


def run_crash_fleet(
    body: Callable[[CrashFleet], Awaitable[None]],
    nodes: int = 9,
    seed: int = 1,
    routes: tuple[Route, ...] = (ROUTE,),
) -> None:
    """Run ``body`` with a running fleet."""

    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            fleet = CrashFleet(tasks, nodes, seed, routes)
            await anyio.sleep(0.1)
            await body(fleet)
            tasks.cancel_scope.cancel()

    run_virtual(main)

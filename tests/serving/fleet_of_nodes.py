"""Simulates gateway nodes that roll out a service together, in virtual time.

Each node has a real router, driver, decider and link; datagrams, the registry and servers are simulated.
"""

import itertools
import random
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from typing import NamedTuple

import anyio
from conftest import run_virtual
from harness import BUDGET, HOST, configuration, single_route

from yokesill.gateway import events as ev
from yokesill.gateway.documents import Route, ServerRecord
from yokesill.gateway.messages import Attempt, GatewayRequest, ServerReply
from yokesill.gateway.options import GatewayOptions
from yokesill.gateway.router import GatewayRouter
from yokesill.registry.feeds import NodeContact, RevisionConflict, RolloutRecords
from yokesill.rollouts.decider import RolloutDecider
from yokesill.rollouts.orders import RolloutLimits, RolloutOrder, RolloutState
from yokesill.serving.driver import GatewayDriver
from yokesill.serving.rollout_link import RolloutLink
from yokesill.serving.rollout_port import RouterPort
from yokesill.verdict import Failure, Reason, Verdict

OLD, NEW = "v1", "v2"
ROLLOUT_LIMITS = RolloutLimits(canary_share=0.1, canary_slack=50.0, rollback_s=5.0)
FEED_DELAY_S = 0.35
SERVER_LATENCY_S = 0.02
DOWN = Failure(Reason.CONNECT_FAILED, Verdict.NOT_RUN, "down")
LOST = Failure(Reason.CONNECTION_LOST, Verdict.MAY_HAVE_RUN, "the answer was lost")


class Arrival(NamedTuple):
    """A request that reached a server: the time in seconds, the sending node and the server's version."""

    at_s: float
    node: str
    version: str


@dataclass
class Quality:
    """Behaviour of servers from ``bad_from_s`` on: share of failures and latency factor (``slow``)."""

    fails: float = 0.0
    slow: float = 1.0
    bad_from_s: float = 0.0
    path: str = ""


class Registry:
    """Holds the order; ``modes`` by node: ``up``, ``down``, ``silent``, ``lossy`` (applied, answer lost)."""

    def __init__(self, fleet: "Fleet") -> None:
        self.fleet = fleet
        self.order: RolloutOrder | None = None
        self.revision = 100
        self.modes: dict[str, str] = {}
        self.writes: list[tuple[str, RolloutOrder]] = []

    def put(self, order: RolloutOrder) -> RolloutOrder:
        self.revision += 1
        self.order = order._replace(revision=self.revision)
        self.fleet.tasks.start_soon(self._publish, self.order)
        return self.order

    async def _publish(self, order: RolloutOrder) -> None:
        await anyio.sleep(FEED_DELAY_S)
        for node in self.fleet.nodes:
            if self.mode_of(node.name) == "up":
                node.apply_event(ev.RolloutOrdered(order))

    def mode_of(self, node: str) -> str:
        return self.modes.get(node, self.modes.get("*", "up"))

    async def record(self, node: str, order: RolloutOrder) -> RolloutOrder | RevisionConflict | Failure:
        mode = self.mode_of(node)
        await anyio.sleep(2.0 if mode == "silent" else 0.01)
        if mode in ("down", "silent"):
            return DOWN
        if self.order is None or order.revision != self.order.revision:
            return RevisionConflict(self.order)
        self.writes.append((node, order))
        stored = self.put(order)
        return LOST if mode == "lossy" else stored


class Records(RolloutRecords):
    """One node's access to the registry."""

    def __init__(self, registry: Registry, node: str) -> None:
        self._registry = registry
        self._node = node

    async def record(self, order: RolloutOrder) -> RolloutOrder | RevisionConflict | Failure:
        return await self._registry.record(self._node, order)


class ModelClient:
    """Answers each attempt according to the quality of its server or version."""

    def __init__(self, fleet: "Fleet", node: str) -> None:
        self.connections_changed: Callable[[str, int], None] = lambda _instance, _count: None
        self.may_start: Callable[[ServerRecord], bool] = lambda _server: True
        self._fleet = fleet
        self._node = node
        self._cancelled: set[int] = set()

    async def run(self, *, task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED) -> None:
        task_status.started()

    def send(self, attempt: Attempt, done: Callable[[ev.AttemptAnswered | ev.AttemptFailed], None]) -> None:
        self._fleet.tasks.start_soon(self._answer, attempt, done)

    def cancel(self, number: int) -> None:
        self._cancelled.add(number)

    def forget(self, instance: str) -> None:
        pass

    async def _answer(
        self, attempt: Attempt, done: Callable[[ev.AttemptAnswered | ev.AttemptFailed], None]
    ) -> None:
        fleet = self._fleet
        started = anyio.current_time()
        fleet.arrivals.append(Arrival(started, self._node, attempt.server.version))
        quality = fleet.quality_of(attempt)
        await anyio.sleep(SERVER_LATENCY_S * quality.slow * fleet.source.uniform(0.7, 1.4))
        if attempt.number in self._cancelled:
            return
        if attempt.server.instance in fleet.stopped:
            fleet.cut_requests.append(Arrival(started, self._node, attempt.server.version))
            done(ev.AttemptFailed(attempt.number, LOST))
            return
        status = 500 if fleet.source.random() < quality.fails else 200
        done(ev.AttemptAnswered(attempt.number, ServerReply(status, (), b"", b"sig"), sent_at_s=started))


class FleetNode:
    """One node. If ``dead``, it does not run; if ``cut``, no datagram reaches or leaves it."""

    def __init__(self, fleet: "Fleet", number: int) -> None:
        self.name = f"n{number}"
        self.address = f"10.0.0.{number + 1}:9"
        self.fleet = fleet
        self.cut = self.dead = False
        now = anyio.current_time()
        options = GatewayOptions("z1", self.name, budget=BUDGET, rollouts=ROLLOUT_LIMITS)
        source = random.Random(1000 + number)
        self.router = GatewayRouter(options, source, now - 100.0)
        self.driver = GatewayDriver(self.router, ModelClient(fleet, self.name), lambda _note: None)
        self.decider = RolloutDecider(self.name, number, ROLLOUT_LIMITS, source, now)
        self.contact = NodeContact(self.name, "z1", rollouts=self.address)
        self.link = RolloutLink(
            self.contact, number, self.decider, RouterPort(self.driver), Records(fleet.registry, self.name)
        )
        self.scope = anyio.CancelScope()

    def apply_event(self, event: ev.Event) -> None:
        if not self.dead:
            self.driver.feed(event)
            self.link.apply_update(event)

    async def run(self) -> None:
        with self.scope:
            async with anyio.create_task_group() as tasks:
                await tasks.start(self.driver.run)
                await self.link.serve(self._send)

    async def _send(self, address: str, data: bytes) -> None:
        fleet = self.fleet
        if self.cut or fleet.source.random() < fleet.loss:
            return
        for node in fleet.nodes:
            if node.address == address and not node.dead and not node.cut:
                node.link.receive(data, self.address, anyio.current_time())

    def kill(self) -> None:
        self.dead = True
        self.scope.cancel()


class Fleet:
    """Nodes, servers and callers; ``cut_requests`` are the ``arrivals`` that a stopped server cut off."""

    def __init__(self, tasks: anyio.abc.TaskGroup, nodes: int, seed: int, routes: tuple[Route, ...]) -> None:
        self.tasks = tasks
        self.source = random.Random(seed)
        self.loss = 0.0
        self.arrivals: list[Arrival] = []
        self.cut_requests: list[Arrival] = []
        self.stopped: set[str] = set()
        self.outcomes: Counter[str] = Counter()
        self.quality: dict[str, Quality] = {}
        self.started_at_s = anyio.current_time()
        self.ordered_at_s = 0.0
        self.registry = Registry(self)
        self.routes = routes
        self.nodes = [FleetNode(self, number) for number in range(nodes)]
        for node in self.nodes:
            self.initialise(node)

    def initialise(self, node: FleetNode) -> None:
        """Give a node everything that it needs to serve."""
        node.link.set_nodes(each.contact for each in self.nodes)
        node.apply_event(ev.NodeCountUpdated(len(self.nodes)))
        node.apply_event(ev.ConfigurationReceived(configuration(1, *self.routes)))
        node.apply_event(ev.RolloutsReplaced(()))
        node.apply_event(ev.ServersReplaced(tuple(self.servers(OLD))))

    def servers(self, version: str) -> list[ServerRecord]:
        return [
            ServerRecord(f"{version}-{n}", "desk", f"10.1.{version[1:]}.1", 80 + n, "z1", 4, version=version)
            for n in range(3)
        ]

    def quality_of(self, attempt: Attempt) -> Quality:
        quality = self.quality.get(attempt.server.instance) or self.quality.get(attempt.server.version)
        if quality is None or anyio.current_time() - self.ordered_at_s < quality.bad_from_s:
            return Quality()
        return quality if attempt.request.path.startswith(quality.path) else Quality()

    def order(self, duration_s: float = 12.0) -> None:
        """Order the new version and start its servers."""
        self.ordered_at_s = anyio.current_time()
        self.registry.put(
            RolloutOrder("desk", NEW, duration_s, created_revision=self.registry.revision + 1, revision=0)
        )
        for node in self.nodes:
            for record in self.servers(NEW):
                node.apply_event(ev.ServerListed(record))

    async def finish(self) -> None:
        """Stop the old servers, as the platform does, once the registry holds a completed order."""
        while self.registry.order is None or not self.registry.order.state.final:
            await anyio.sleep(0.005)
        if self.registry.order.state is RolloutState.COMPLETED:
            self.stopped.update(each.instance for each in self.servers(OLD))

    async def call(self, per_s: float, for_s: float, path: str = "/one/x") -> None:
        """Send requests to random nodes at a mean rate of ``per_s``."""
        numbers = itertools.count(self.source.randrange(1 << 30))
        end = anyio.current_time() + for_s
        while anyio.current_time() < end:
            await anyio.sleep(self.source.expovariate(per_s))
            node = self.source.choice([each for each in self.nodes if not each.dead])
            self.tasks.start_soon(self._request, node, f"r{next(numbers)}", path)

    async def _request(self, node: FleetNode, name: str, path: str) -> None:
        now = anyio.current_time()
        request = GatewayRequest(name, name, b"GET", HOST, path, path.encode(), (), b"", now, 3.0)
        final = await node.driver.execute(request)
        good = isinstance(final, ev.PassOn) and final.reply.succeeded
        self.outcomes["good" if good else "bad"] += 1

    def requests_sent(self, version: str, since_s: float = 0.0, until_s: float = float("inf")) -> int:
        """Return how many requests reached a version's servers between two times since the order."""
        return sum(
            each.version == version and since_s <= each.at_s - self.ordered_at_s < until_s
            for each in self.arrivals
        )

    @property
    def state(self) -> RolloutState:
        assert self.registry.order is not None
        return self.registry.order.state


def run_fleet(
    body: Callable[[Fleet], Awaitable[None]],
    nodes: int = 9,
    seed: int = 1,
    routes: tuple[Route, ...] = (replace(single_route(attempts=3), objective_s=0.2),),
) -> None:
    """Run ``body`` with a serving fleet."""

    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            fleet = Fleet(tasks, nodes, seed, routes)
            for node in fleet.nodes:
                tasks.start_soon(node.run)
            tasks.start_soon(fleet.finish)
            await anyio.sleep(0.1)
            await body(fleet)
            tasks.cancel_scope.cancel()

    run_virtual(main)

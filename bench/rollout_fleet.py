"""Simulates nodes that decide on roll-outs, with their registry, network and services, in virtual time.

Used by the tests of roll-out decisions and by ``rollout_verdicts.py``. The nodes follow decisions and records
in a simplified way; their real handling of requests is tested with the router.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from rollout_world import NEW, OLD, Registry, Server

from yokesill.rollouts.decider import RolloutDecider
from yokesill.rollouts.messages import OrderDecision, OrderReport, RolloutDecisions, RolloutReport, Sample
from yokesill.rollouts.orders import OrderId, RolloutLimits, RolloutOrder, RolloutState

STEP_S = 0.05


@dataclass
class Node:
    """A node with its decider, and the records and decisions that it follows."""

    name: str
    decider: RolloutDecider
    incarnation: int
    alive: bool = True
    paused: bool = False
    records: dict[str, RolloutOrder] = field(default_factory=dict)
    decisions: dict[str, dict[str, tuple[OrderDecision, float]]] = field(default_factory=dict)
    announced_states: dict[OrderId, set[RolloutState]] = field(default_factory=dict)
    sent: dict[OrderId, list[int]] = field(default_factory=dict)
    samples: dict[str, list[Sample]] = field(default_factory=dict)
    in_flight: list[tuple[float, str, Sample]] = field(default_factory=list)
    reported_at_s: float = -1.0
    announced_at_s: float = -1.0

    @property
    def running(self) -> bool:
        """Whether the node is neither dead nor paused."""
        return self.alive and not self.paused

    def effective_state(self, service: str) -> RolloutState:
        """Return the effective state of a service's order at this node."""
        record = self.records[service]
        announced = self.announced_states.get(record.id, set())
        if record.state.final or RolloutState.COMPLETED in announced:
            return record.state if record.state.final else RolloutState.COMPLETED
        if RolloutState.ROLLED_BACK in announced:
            return RolloutState.ROLLED_BACK
        return max((record.state, *announced), key=lambda state: state.rank)

    def share(self, service: str, now: float) -> float:
        """Return the probability that a request goes to the new version."""
        order = self.records.get(service)
        if order is None:
            return 0.0
        state = self.effective_state(service)
        if state in (RolloutState.SWITCHING, RolloutState.COMPLETED):
            return 1.0
        fresh = [
            decision.share
            for decision, until in self.decisions.get(service, {}).values()
            if now < until and decision.order == order.id
        ]
        return min(fresh, default=0.0) if state is RolloutState.CANARY else 0.0


class Fleet:
    """Nodes, a registry and one or more services, whose servers all behave alike."""

    def __init__(
        self, count: int = 9, rate: float = 20.0, seed: int = 1, routes: Iterable[str] = ("r",)
    ) -> None:
        self.now = 0.0
        self.source = random.Random(seed)
        self.registry = Registry()
        self.rate = rate
        self.routes = tuple(routes)
        self.services = ["svc"]
        self.servers = [Server(f"{version}-{n}", version) for version in (OLD, NEW) for n in range(3)]
        self.nodes = {f"n{number}": self._start(f"n{number}", 1) for number in range(count)}
        self.cut_links: set[tuple[str, str]] = set()
        self.loss = 0.0
        self.feed_delay_s = 0.3
        self.old_version_delay_s = 0.0
        self.sent_new = self.bad_new = self.old_after_completed = self.new_after_rollback = 0
        self._feed_queue: list[tuple[float, str, RolloutOrder | None]] = []
        self._published: dict[str, RolloutOrder] = {}
        self._ordered_at_s: dict[OrderId, float] = {}
        self.wall_clock_offset_s = 0.0

    def _start(self, name: str, incarnation: int) -> Node:
        decider = RolloutDecider(name, incarnation, RolloutLimits(), random.Random(1), self.now)
        decider.set_services(self.services)
        return Node(name, decider, incarnation)

    def restart(self, name: str) -> None:
        """Restart a node, which then knows everything published by the feed."""
        self.nodes[name] = self._start(name, self.nodes[name].incarnation + 1)
        for service, order in self._published.items():
            self._apply_order(self.nodes[name], service, order)

    def deciders(self) -> list[str]:
        """Return the names of the current deciders."""
        return [node.name for node in self.nodes.values() if node.alive and node.decider.deciding]

    def state(self, service: str = "svc") -> RolloutState:
        """Return the recorded state of a service's order."""
        return self.registry.orders[service].state

    def cut_off(self, name: str) -> None:
        """Cut all links between a node and the others."""
        self.cut_links |= {(name, other) for other in self.nodes if other != name}

    def run(self, seconds: float) -> "Fleet":
        """Advance time by a number of seconds."""
        for _ in range(round(seconds / STEP_S)):
            self.step()
        return self

    def run_until(self, state: RolloutState, limit_s: float = 30.0) -> float:
        """Advance time until a state is recorded or ``limit_s`` has passed; return the time."""
        ends = self.now + limit_s
        while self.state() is not state and self.now < ends:
            self.step()
        return self.now

    def step(self) -> None:
        """Advance time by one step."""
        self.now = round(self.now + STEP_S, 3)
        self._deliver_feed()
        self._serve()
        for node in self.nodes.values():
            if node.running:
                self._run_node(node)

    def _deliver_feed(self) -> None:
        for service in {*self.registry.orders, *self._published}:
            order = self.registry.orders.get(service)
            if order != self._published.get(service):
                self._feed_queue.append((self.now + self.feed_delay_s, service, order))
                if order is None:
                    del self._published[service]
                else:
                    self._published[service] = order
        due = [each for each in self._feed_queue if each[0] <= self.now]
        self._feed_queue = [each for each in self._feed_queue if each[0] > self.now]
        for _, service, order in due:
            for node in self.nodes.values():
                if node.alive and node.name not in self.registry.refused_nodes:
                    self._apply_order(node, service, order)

    def _apply_order(self, node: Node, service: str, order: RolloutOrder | None) -> None:
        if order is None:
            node.records.pop(service, None)
            node.decider.withdraw(service, self.now)
            return
        known = node.records.get(service)
        if known is None or order.position > known.position:
            node.records[service] = order
        node.decider.set_order(self._as_read(order), self.now)

    def _as_read(self, order: RolloutOrder) -> RolloutOrder:
        """Return an order with the elapsed time that a reader derives from its record now."""
        ordered_at_s = self._ordered_at_s.get(order.id)
        if ordered_at_s is None or order.state is RolloutState.ORDERED:
            return order
        by_wall_clock_s = self.now + self.wall_clock_offset_s - ordered_at_s
        return order._replace(elapsed_s=max(order.elapsed_s, by_wall_clock_s))

    def _serve(self) -> None:
        running = [node for node in self.nodes.values() if node.running]
        expected = self.rate * STEP_S
        for service in self.services:
            count = int(expected) + (self.source.random() < expected % 1.0)
            for _ in range(count if running else 0):
                self._request(self.source.choice(running), service)
        for node in running:
            ended = [each for each in node.in_flight if each[0] <= self.now]
            node.in_flight = [each for each in node.in_flight if each[0] > self.now]
            for _, service, sample in ended:
                node.samples.setdefault(service, []).append(sample)

    def _request(self, node: Node, service: str) -> None:
        new = self.source.random() < node.share(service, self.now)
        version = NEW if new else OLD
        servers = [server for server in self.servers if server.version == version]
        if not servers:
            return
        server, route = self.source.choice(servers), self.source.choice(self.routes)
        good, latency_s = server.answer(self.now, route, self.source)
        order = node.records.get(service)
        if order is not None:
            node.sent.setdefault(order.id, [0, 0])[new] += 1
        delay_s = 0.0 if new else self.old_version_delay_s
        sample = Sample(route, server.name, new, good, latency_s if good else None)
        node.in_flight.append((self.now + latency_s + delay_s, service, sample))
        bad = not good or latency_s > 0.05
        self.sent_new += new
        self.bad_new += new and bad
        recorded = self.registry.orders.get(service)
        if recorded is not None:
            self.old_after_completed += not new and recorded.state is RolloutState.COMPLETED
            self.new_after_rollback += new and recorded.state is RolloutState.ROLLED_BACK

    def _run_node(self, node: Node) -> None:
        decider = node.decider
        decider.set_nodes({name: 1.0 for name, each in self.nodes.items() if each.alive})
        decider.set_registry(node.name not in self.registry.refused_nodes, self.now)
        counts = {OLD: 0, NEW: 0}
        for server in self.servers:
            counts[server.version] += 1
        for service in self.services:
            decider.set_versions(service, counts)
        for record in decider.tick(self.now):
            self._ordered_at_s[record.id] = self.now - record.elapsed_s
            outcome = self.registry.write(node.name, record)
            decider.write_ended(record, outcome, self.now)
            if isinstance(outcome, RolloutOrder):
                self._apply_order(node, record.service, outcome)
        if self.now - node.reported_at_s >= decider.interval_s:
            node.reported_at_s = self.now
            report = self._report(node)
            for name in decider.report_targets(self.now) if report.orders else ():
                self._send(node.name, name, report)
        if decider.urgent(self.now) or self.now - node.announced_at_s >= decider.interval_s:
            decisions = decider.decisions(self.now)
            if decisions is not None:
                node.announced_at_s = self.now
                for name in self.nodes:
                    self._send(node.name, name, decisions)

    def _report(self, node: Node) -> RolloutReport:
        orders = []
        for service, record in node.records.items():
            old, new = node.sent.get(record.id, [0, 0])
            in_flight = sum(not sample.new for _, of, sample in node.in_flight if of == service)
            samples = tuple(node.samples.pop(service, ()))[-12:]
            orders.append(OrderReport(record.id, node.effective_state(service), old, new, in_flight, samples))
        return RolloutReport(node.name, node.incarnation, tuple(orders))

    def _send(self, sender: str, to: str, message: RolloutReport | RolloutDecisions) -> None:
        node = self.nodes[to]
        lost = (sender, to) in self.cut_links or (to, sender) in self.cut_links
        if not node.running or lost or (sender != to and self.source.random() < self.loss):
            return
        if isinstance(message, RolloutReport):
            node.decider.receive_report(message, self.now)
            return
        node.decider.receive_decisions(message, self.now)
        for decision in message.orders:
            until = self.now + message.valid_s
            node.decisions.setdefault(decision.order.service, {})[message.node] = (decision, until)
            node.announced_states.setdefault(decision.order, set()).add(decision.state)

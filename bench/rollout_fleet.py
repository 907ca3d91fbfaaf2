"""Nodes that decide on roll-outs, their registry, their network and a service, in virtual time.

Used by the tests of the roll-outs' decisions and by ``rollout_verdicts.py``. Nodes obey words and records
in the plainest way; what they do with requests in earnest is tested with the router.
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
    """A node with its part of deciding, and what it obeys."""

    name: str
    decider: RolloutDecider
    incarnation: int
    alive: bool = True
    paused: bool = False
    records: dict[str, RolloutOrder] = field(default_factory=dict)
    words: dict[str, dict[str, tuple[OrderDecision, float]]] = field(default_factory=dict)
    said: dict[OrderId, set[RolloutState]] = field(default_factory=dict)
    sent: dict[OrderId, list[int]] = field(default_factory=dict)
    samples: dict[str, list[Sample]] = field(default_factory=dict)
    under_way: list[tuple[float, str, Sample]] = field(default_factory=list)
    reported_at_s: float = -1.0
    spoke_at_s: float = -1.0

    @property
    def running(self) -> bool:
        """Whether it does anything."""
        return self.alive and not self.paused

    def obeys(self, service: str) -> RolloutState:
        """Return the state that it keeps to."""
        record = self.records[service]
        said = self.said.get(record.id, set())
        if record.state.final or RolloutState.COMPLETED in said:
            return record.state if record.state.final else RolloutState.COMPLETED
        if RolloutState.ROLLED_BACK in said:
            return RolloutState.ROLLED_BACK
        return max((record.state, *said), key=lambda state: state.rank)

    def share(self, service: str, now: float) -> float:
        """Return the chance of a request to go to the new version."""
        order = self.records.get(service)
        if order is None:
            return 0.0
        state = self.obeys(service)
        if state in (RolloutState.SWITCHING, RolloutState.COMPLETED):
            return 1.0
        fresh = [
            word.share
            for word, until in self.words.get(service, {}).values()
            if now < until and word.order == order.id
        ]
        return min(fresh, default=0.0) if state is RolloutState.CANARY else 0.0


class Fleet:
    """Nodes, a registry and one or more services that all have the same servers' behaviour."""

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
        self.cut: set[tuple[str, str]] = set()
        self.loss = 0.0
        self.feed_s = 0.3
        self.held_s = 0.0
        self.sent_new = self.bad_new = self.old_after_completed = self.new_after_rollback = 0
        self.bad_seen_at_s: list[float] = []
        self._feed: list[tuple[float, str, RolloutOrder | None]] = []
        self._fed: dict[str, RolloutOrder] = {}
        self._ordered_at_s: dict[OrderId, float] = {}
        self.time_of_day_off_s = 0.0

    def _start(self, name: str, incarnation: int) -> Node:
        decider = RolloutDecider(name, incarnation, RolloutLimits(), random.Random(1), self.now)
        decider.set_services(self.services)
        return Node(name, decider, incarnation)

    def restart(self, name: str) -> None:
        """Start a node anew; it knows what the feed has told."""
        self.nodes[name] = self._start(name, self.nodes[name].incarnation + 1)
        for service, order in self._fed.items():
            self._learn(self.nodes[name], service, order)

    def deciders(self) -> list[str]:
        """Return who decides."""
        return [node.name for node in self.nodes.values() if node.alive and node.decider.deciding]

    def state(self, service: str = "svc") -> RolloutState:
        """Return the recorded state."""
        return self.registry.orders[service].state

    def cut_off(self, name: str) -> None:
        """Let a node hear and be heard by no other."""
        self.cut |= {(name, other) for other in self.nodes if other != name}

    def run(self, seconds: float) -> "Fleet":
        """Let time pass."""
        for _ in range(round(seconds / STEP_S)):
            self.step()
        return self

    def until(self, state: RolloutState, limit_s: float = 30.0) -> float:
        """Let time pass until a state is recorded; return when."""
        ends = self.now + limit_s
        while self.state() is not state and self.now < ends:
            self.step()
        return self.now

    def step(self) -> None:
        """Let one step of time pass."""
        self.now = round(self.now + STEP_S, 3)
        self._tell_feed()
        self._serve()
        for node in self.nodes.values():
            if node.running:
                self._act(node)

    def _tell_feed(self) -> None:
        for service in {*self.registry.orders, *self._fed}:
            order = self.registry.orders.get(service)
            if order != self._fed.get(service):
                self._feed.append((self.now + self.feed_s, service, order))
                if order is None:
                    del self._fed[service]
                else:
                    self._fed[service] = order
        due = [each for each in self._feed if each[0] <= self.now]
        self._feed = [each for each in self._feed if each[0] > self.now]
        for _, service, order in due:
            for node in self.nodes.values():
                if node.alive and node.name not in self.registry.refuses:
                    self._learn(node, service, order)

    def _learn(self, node: Node, service: str, order: RolloutOrder | None) -> None:
        if order is None:
            node.records.pop(service, None)
            node.decider.withdraw(service, self.now)
            return
        known = node.records.get(service)
        if known is None or order.position > known.position:
            node.records[service] = order
        node.decider.set_order(self._as_read(order), self.now)

    def _as_read(self, order: RolloutOrder) -> RolloutOrder:
        """Return an order with the time since its making that its record tells a reader now."""
        ordered_at_s = self._ordered_at_s.get(order.id)
        if ordered_at_s is None or order.state is RolloutState.ORDERED:
            return order
        by_time_of_day_s = self.now + self.time_of_day_off_s - ordered_at_s
        return order._replace(elapsed_s=max(order.elapsed_s, by_time_of_day_s))

    def _serve(self) -> None:
        running = [node for node in self.nodes.values() if node.running]
        expected = self.rate * STEP_S
        for service in self.services:
            count = int(expected) + (self.source.random() < expected % 1.0)
            for _ in range(count if running else 0):
                self._request(self.source.choice(running), service)
        for node in running:
            ended = [each for each in node.under_way if each[0] <= self.now]
            node.under_way = [each for each in node.under_way if each[0] > self.now]
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
        held_s = 0.0 if new else self.held_s
        sample = Sample(route, server.name, new, good, latency_s if good else None)
        node.under_way.append((self.now + latency_s + held_s, service, sample))
        bad = not good or latency_s > 0.05
        self.sent_new += new
        self.bad_new += new and bad
        recorded = self.registry.orders.get(service)
        if recorded is not None:
            self.old_after_completed += not new and recorded.state is RolloutState.COMPLETED
            self.new_after_rollback += new and recorded.state is RolloutState.ROLLED_BACK

    def _act(self, node: Node) -> None:
        decider = node.decider
        decider.set_nodes({name: 1.0 for name, each in self.nodes.items() if each.alive})
        decider.set_registry(node.name not in self.registry.refuses, self.now)
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
                self._learn(node, record.service, outcome)
        if self.now - node.reported_at_s >= decider.interval_s:
            node.reported_at_s = self.now
            report = self._report(node)
            for name in decider.report_targets(self.now) if report.orders else ():
                self._send(node.name, name, report)
        if decider.urgent(self.now) or self.now - node.spoke_at_s >= decider.interval_s:
            word = decider.decisions(self.now)
            if word is not None:
                node.spoke_at_s = self.now
                for name in self.nodes:
                    self._send(node.name, name, word)

    def _report(self, node: Node) -> RolloutReport:
        orders = []
        for service, record in node.records.items():
            old, new = node.sent.get(record.id, [0, 0])
            in_flight = sum(not sample.new for _, of, sample in node.under_way if of == service)
            samples = tuple(node.samples.pop(service, ()))[-12:]
            orders.append(OrderReport(record.id, node.obeys(service), old, new, in_flight, samples))
        return RolloutReport(node.name, node.incarnation, tuple(orders))

    def _send(self, sender: str, to: str, message: RolloutReport | RolloutDecisions) -> None:
        node = self.nodes[to]
        lost = (sender, to) in self.cut or (to, sender) in self.cut
        if not node.running or lost or (sender != to and self.source.random() < self.loss):
            return
        if isinstance(message, RolloutReport):
            node.decider.receive_report(message, self.now)
            return
        node.decider.receive_decisions(message, self.now)
        for word in message.orders:
            until = self.now + message.valid_s
            node.words.setdefault(word.order.service, {})[message.node] = (word, until)
            node.said.setdefault(word.order, set()).add(word.state)

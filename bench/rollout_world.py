"""Simulated servers and a registry of orders in virtual time, used to simulate roll-outs."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from yokesill.rollouts.orders import OrderId, RevisionConflict, RolloutOrder, RolloutState
from yokesill.verdict import Failure, Reason, Verdict

OLD, NEW = "v1", "v2"
FaultLevel = Callable[[float, str], float]


def never_fails(_now: float, _route: str) -> float:
    """Failure rate of a healthy server."""
    return 0.0


@dataclass
class Server:
    """A server with a failure rate and a slowdown factor, each by time and route."""

    name: str
    version: str
    failure_rate: FaultLevel = never_fails
    slowdown: FaultLevel = lambda _now, _route: 1.0
    crashed: bool = False

    def answer(self, now: float, route: str, source: random.Random) -> tuple[bool, float]:
        """Return whether an answer is good, and its processing time in seconds."""
        latency_s = 0.02 * source.lognormvariate(0.0, 0.35) * self.slowdown(now, route)
        return not self.crashed and source.random() >= self.failure_rate(now, route), latency_s


class Registry:
    """Registry of orders with conditional writes, whose answers may be lost.

    ``timeline`` increases by one each time that the registry is restored from an older copy.
    """

    def __init__(self) -> None:
        self.orders: dict[str, RolloutOrder] = {}
        self.revision = 10
        self.timeline = 0
        self.refused_nodes: set[str] = set()
        self.lost_answers: list[tuple[RolloutState, bool]] = []
        self.delayed_writes: list[RolloutOrder] = []
        self.writes: list[tuple[str, RolloutState, bool]] = []
        self.final_states: dict[OrderId, set[RolloutState]] = {}

    def put(self, service: str, target: str = NEW, duration_s: float = 12.0, problem: str = "") -> OrderId:
        """Create an order, replacing any earlier one of the service."""
        self.revision += 1
        ordered = (service, target, duration_s, self.revision, self.revision)
        order = RolloutOrder(*ordered, problem=problem, timeline=self.timeline)
        self.orders[service] = order
        return order.id

    def restore(self, orders: dict[str, RolloutOrder], revision: int) -> None:
        """Restore an older copy: later writes are lost, and their revisions are assigned again."""
        self.timeline += 1
        self.revision = revision
        self.orders = {name: each._replace(timeline=self.timeline) for name, each in orders.items()}

    def write(self, node: str, order: RolloutOrder) -> RolloutOrder | RevisionConflict | Failure:
        """Write on the condition of the order's revision; the answer may be lost or the write delayed."""
        if node in self.refused_nodes:
            return Failure(Reason.OVERLOADED, Verdict.NOT_RUN, "refused")
        for lost in self.lost_answers:
            if lost[0] is order.state:
                self.lost_answers.remove(lost)
                if lost[1]:
                    self.apply(node, order)
                else:
                    self.delayed_writes.append(order)
                return Failure(Reason.TIMED_OUT, Verdict.MAY_HAVE_RUN, "lost")
        return self.apply(node, order)

    def apply(self, node: str, order: RolloutOrder) -> RolloutOrder | RevisionConflict:
        """Apply a write now."""
        current = self.orders.get(order.service)
        applied = current is not None and current.revision == order.revision
        self.writes.append((node, order.state, applied))
        if not applied:
            return RevisionConflict(current)
        self.revision += 1
        stored = order._replace(revision=self.revision, timeline=self.timeline)
        self.orders[order.service] = stored
        if order.state.final:
            self.final_states.setdefault(order.id, set()).add(order.state)
        return stored

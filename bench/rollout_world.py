"""Servers and a registry of orders in virtual time, for what plays roll-outs."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from yokesill.rollouts.orders import OrderId, RevisionConflict, RolloutOrder, RolloutState
from yokesill.verdict import Failure, Reason, Verdict

OLD, NEW = "v1", "v2"
Chance = Callable[[float, str], float]


def never(_now: float, _route: str) -> float:
    """A sound server's chance to fail."""
    return 0.0


@dataclass
class Server:
    """A server whose answers fail with a chance and take a factor longer, by time and route."""

    name: str
    version: str
    fails: Chance = never
    slower: Chance = lambda _now, _route: 1.0
    crashed: bool = False

    def answer(self, now: float, route: str, source: random.Random) -> tuple[bool, float]:
        """Return whether an answer is good, and the server's time for it in seconds."""
        latency_s = 0.02 * source.lognormvariate(0.0, 0.35) * self.slower(now, route)
        return not self.crashed and source.random() >= self.fails(now, route), latency_s


class Registry:
    """Orders under revisions; writes under a condition, whose answers may be lost.

    ``timeline`` rises by one each time that it comes back from an older copy.
    """

    def __init__(self) -> None:
        self.orders: dict[str, RolloutOrder] = {}
        self.revision = 10
        self.timeline = 0
        self.refuses: set[str] = set()
        self.lost: list[tuple[RolloutState, bool]] = []
        self.late: list[RolloutOrder] = []
        self.written: list[tuple[str, RolloutState, bool]] = []
        self.finals: dict[OrderId, set[RolloutState]] = {}

    def put(self, service: str, target: str = NEW, duration_s: float = 12.0, problem: str = "") -> OrderId:
        """Make an order, in place of an earlier one of that service."""
        self.revision += 1
        ordered = (service, target, duration_s, self.revision, self.revision)
        order = RolloutOrder(*ordered, problem=problem, timeline=self.timeline)
        self.orders[service] = order
        return order.id

    def restore(self, orders: dict[str, RolloutOrder], revision: int) -> None:
        """Come back from a copy: what was written since is gone, its revisions are given out again."""
        self.timeline += 1
        self.revision = revision
        self.orders = {name: each._replace(timeline=self.timeline) for name, each in orders.items()}

    def write(self, node: str, order: RolloutOrder) -> RolloutOrder | RevisionConflict | Failure:
        """Write under the condition of the order's revision; the answer may be lost, or the write late."""
        if node in self.refuses:
            return Failure(Reason.OVERLOADED, Verdict.NOT_RUN, "refused")
        for lost in self.lost:
            if lost[0] is order.state:
                self.lost.remove(lost)
                if lost[1]:
                    self.apply(node, order)
                else:
                    self.late.append(order)
                return Failure(Reason.TIMED_OUT, Verdict.MAY_HAVE_RUN, "lost")
        return self.apply(node, order)

    def apply(self, node: str, order: RolloutOrder) -> RolloutOrder | RevisionConflict:
        """Do a write now."""
        current = self.orders.get(order.service)
        done = current is not None and current.revision == order.revision
        self.written.append((node, order.state, done))
        if not done:
            return RevisionConflict(current)
        self.revision += 1
        now_stands = order._replace(revision=self.revision, timeline=self.timeline)
        self.orders[order.service] = now_stands
        if order.state.final:
            self.finals.setdefault(order.id, set()).add(order.state)
        return now_stands

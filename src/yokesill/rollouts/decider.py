"""One node's part in deciding on all roll-outs."""

import random
from collections.abc import Collection, Mapping
from typing import Any

from yokesill.rollouts.decider_role import DeciderRole
from yokesill.rollouts.messages import RolloutDecisions, RolloutReport
from yokesill.rollouts.order_progress import OrderFigures, OrderProgress
from yokesill.rollouts.orders import Overtaken, RolloutLimits, RolloutOrder, RolloutState
from yokesill.rollouts.stages import Circumstances
from yokesill.verdict import Failure


class RolloutDecider:
    """Decides on roll-outs while this node ranks among the first, and knows meanwhile whom to report to.

    Parameters
    ----------
    own
        This node's name.
    incarnation
        Tells this start of the node from earlier ones.
    terms
        What the contract allows.
    source
        Random numbers.
    now
        The node's clock, in seconds.
    """

    def __init__(
        self, own: str, incarnation: int, terms: RolloutLimits, source: random.Random, now: float
    ) -> None:
        self._own = own
        self._incarnation = incarnation
        self._terms = terms
        self._role = DeciderRole(own, source, now)
        self._orders: dict[str, OrderProgress] = {}
        self._told: dict[str, RolloutState] = {}
        self._services: frozenset[str] | None = None
        self._versions: dict[str, Mapping[str, int]] = {}
        self._gone_since_s: dict[str, float] = {}
        self._under_way: set[str] = set()
        self._able = True
        self._urgent = False
        self._notes: list[tuple[str, dict[str, Any]]] = []

    @property
    def interval_s(self) -> float:
        """How often reports and words go out while there are open orders."""
        return self._role.interval_s

    @property
    def deciding(self) -> bool:
        """Whether this node decides now."""
        return self._role.on

    def open_services(self, now: float) -> tuple[str, ...]:
        """Return the services with an order that is open or became final just now; others need no ticks."""
        return tuple(service for service, each in self._orders.items() if each.telling(now))

    def set_nodes(self, cores: Mapping[str, float]) -> None:
        """Take all nodes by name, with how much of a processor each has."""
        self._role.set_nodes(cores)

    def set_services(self, names: Collection[str]) -> None:
        """Take which services the configuration names."""
        self._services = frozenset(names)

    def set_versions(self, service: str, counts: Mapping[str, int]) -> None:
        """Take how many servers of each version a service has, those that leave not counted."""
        self._versions[service] = dict(counts)

    def set_registry(self, able: bool, now: float) -> None:
        """Take whether this node reaches the registry."""
        self._able = able

    def take_order(self, order: RolloutOrder, now: float) -> None:
        """Take an order as the registry holds it; an older one than is known changes nothing."""
        known = self._orders.get(order.service)
        if known is not None and known.order.id == order.id:
            known.take(order, now)
        elif known is None or order.revision > known.order.revision:
            self._drop(order.service)
            self._orders[order.service] = OrderProgress(order, self._terms, now)
            self._note("rollout_order", order, state=order.state, duration_s=order.duration_s)

    def withdraw(self, service: str, now: float) -> None:
        """Take that a service has no order any more."""
        known = self._orders.get(service)
        if known is not None:
            self._note("rollout_withdrawn", known.order, state=known.state)
            self._drop(service)

    def take_all(self, orders: Collection[RolloutOrder], now: float) -> None:
        """Take all orders that there are."""
        for service in self._orders.keys() - {order.service for order in orders}:
            self.withdraw(service, now)
        for order in orders:
            self.take_order(order, now)

    def heard_word(self, word: RolloutDecisions, now: float) -> None:
        """Take another decider's word."""
        if word.node == self._own:
            return
        self._role.heard(word.node, word.able, now)
        for each in word.orders:
            known = self._orders.get(each.order.service)
            if known is not None and known.order.id == each.order:
                known.heard(each, now)

    def heard_report(self, report: RolloutReport, now: float) -> None:
        """Take a node's report, this node's own too."""
        self._role.reported(report.node, now)
        for each in report.orders:
            known = self._orders.get(each.order.service)
            if known is not None and known.order.id == each.order:
                known.report(report.node, report.incarnation, each, now)

    def tick(self, now: float) -> list[RolloutOrder]:
        """Decide; return the orders whose state, time and reason are to be recorded.

        Each is to be written on the condition of its revision, and its outcome told to ``recorded``. Until
        then no other record of that service is returned.
        """
        telling = [each for each in self._orders.values() if each.telling(now)]
        began = self._role.look(bool(telling), now)
        for progress in telling:
            progress.follows_from_start &= self._role.on and (
                not began or progress.state is RolloutState.ORDERED
            )
        if began:
            self._urgent = True
            self._notes.append(
                ("rollout_decider", {"incarnation": self._incarnation, "orders": len(telling)})
            )
        if not self._role.on:
            return []
        records = []
        common = self._common(now)
        for progress in telling:
            seen = self._seen(progress, common, now)
            record = progress.step(seen, now)
            service = progress.order.service
            if record is not None and service not in self._under_way:
                self._under_way.add(service)
                progress.attempted(record.state)
                records.append(record)
            told = progress.told(seen, now)
            if self._told.get(service, RolloutState.ORDERED) is not told:
                self._told[service] = told
                self._urgent = True
        return records

    def recorded(
        self, attempted: RolloutOrder, outcome: RolloutOrder | Overtaken | Failure, now: float
    ) -> None:
        """Take how writing a record ended."""
        self._under_way.discard(attempted.service)
        known = self._orders.get(attempted.service)
        if known is not None and known.order.id == attempted.id:
            known.answered(attempted, outcome, now)
            self._urgent |= isinstance(outcome, RolloutOrder)
        if not isinstance(outcome, Overtaken):
            return
        if outcome.order is not None:
            self.take_order(outcome.order, now)
        elif known is not None and known.order.id == attempted.id:
            self.withdraw(attempted.service, now)

    def word(self, now: float) -> RolloutDecisions | None:
        """Return what to tell every node now; ``None`` from a node that does not decide.

        One that can't reach the registry says nothing of shares, so that they end unless another decider
        tells them.
        """
        self._urgent = False
        if not self._role.on:
            return None
        common = self._common(now)
        words = [each.word(self._seen(each, common, now), now) for each in self._orders.values()]
        told = [each for each in words if each is not None]
        if not self._able:
            told = [each for each in told if each.state is not RolloutState.CANARY]
        if not told and self._able:
            return None
        return RolloutDecisions(self._own, self._able, self._role.patience_s, tuple(told))

    def urgent(self, now: float) -> bool:
        """Whether a word should go out at once."""
        return self._urgent and self._role.on

    def reporting_to(self, now: float) -> tuple[str, ...]:
        """Return the nodes to send reports to; none while no order is open."""
        return self._role.reporting_to(now)

    def figures(self, now: float) -> tuple[OrderFigures, ...]:
        """Return how each order stands, by service."""
        common = self._common(now)
        progress = (self._orders[service] for service in sorted(self._orders))
        return tuple(each.figures(self._seen(each, common, now), now) for each in progress)

    def take_notes(self) -> list[tuple[str, dict[str, Any]]]:
        """Return what is to be logged since the last call: names of lines and their fields."""
        notes, self._notes = self._notes, []
        for progress in self._orders.values():
            notes += progress.take_notes()
        return notes

    def _common(self, now: float) -> Circumstances:
        """Return what holds around all orders."""
        role = self._role
        return Circumstances(
            seniors=role.seniors(now),
            able=self._able,
            informed=role.informed(now),
            woken=role.woken(now),
            hears_most=role.hears_most(now),
            live=role.live(now),
        )

    def _seen(self, progress: OrderProgress, common: Circumstances, now: float) -> Circumstances:
        """Return what holds around one order."""
        order = progress.order
        counts = self._versions.get(order.service)
        servers = None if counts is None else counts.get(order.target, 0)
        gone = counts is not None and servers == 0 and sum(counts.values()) > 0
        if not gone:
            self._gone_since_s.pop(order.service, None)
        since_s = self._gone_since_s.setdefault(order.service, now) if gone else now
        return common._replace(
            informed=common.informed or progress.follows_from_start,
            known=self._services is None or order.service in self._services,
            servers=servers,
            gone_s=now - since_s,
        )

    def _drop(self, service: str) -> None:
        known = self._orders.pop(service, None)
        if known is not None:
            self._notes += known.take_notes()
        self._told.pop(service, None)
        self._versions.pop(service, None)
        self._gone_since_s.pop(service, None)

    def _note(self, name: str, order: RolloutOrder, **details: Any) -> None:
        self._notes.append((name, {"service": order.service, "target": order.target, **details}))

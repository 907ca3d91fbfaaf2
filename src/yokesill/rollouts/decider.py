"""One node's part in deciding on all roll-outs: updates each order's progress and collects what to send.

``decider_role`` determines which nodes decide; ``order_progress`` and the modules it names make the
decisions.
"""

import random
from collections.abc import Collection, Mapping
from typing import Any

from yokesill.rollouts.decider_role import DeciderRole
from yokesill.rollouts.listed_versions import ListedVersions
from yokesill.rollouts.messages import RolloutDecisions, RolloutReport
from yokesill.rollouts.order_figures import OrderFigures
from yokesill.rollouts.order_progress import OrderProgress
from yokesill.rollouts.orders import RevisionConflict, RolloutLimits, RolloutOrder, RolloutState
from yokesill.rollouts.stages import DeciderView
from yokesill.verdict import Failure


class RolloutDecider:
    """Decides on roll-outs while this node is one of the deciders, and tracks which nodes to report to.

    Parameters
    ----------
    own
        This node's name.
    incarnation
        Distinguishes this start of the node from earlier ones.
    limits
        The contract's limits.
    source
        Random number generator.
    now
        The node's clock, in seconds.
    """

    def __init__(
        self, own: str, incarnation: int, limits: RolloutLimits, source: random.Random, now: float
    ) -> None:
        self._own = own
        self._incarnation = incarnation
        self._limits = limits
        self._role = DeciderRole(own, source, now)
        self._orders: dict[str, OrderProgress] = {}
        self._announced: dict[str, RolloutState] = {}
        self._services: frozenset[str] | None = None
        self._versions = ListedVersions()
        self._writes_in_flight: set[str] = set()
        self._reaches_registry = True
        self._urgent = False
        self._log_events: list[tuple[str, dict[str, Any]]] = []

    @property
    def interval_s(self) -> float:
        """Interval between reports, and between decisions, while there are open orders."""
        return self._role.interval_s

    @property
    def deciding(self) -> bool:
        """Whether this node is a decider now."""
        return self._role.deciding

    def open_services(self, now: float) -> tuple[str, ...]:
        """Return the services whose order is open or recently became final; no other service needs ticks."""
        return tuple(service for service, each in self._orders.items() if each.is_announced(now))

    def set_nodes(self, cores: Mapping[str, float]) -> None:
        """Set all nodes by name, with the number of processor cores of each."""
        self._role.set_nodes(cores)

    def set_services(self, names: Collection[str]) -> None:
        """Set the services that the configuration names."""
        self._services = frozenset(names)

    def set_versions(self, service: str, counts: Mapping[str, int]) -> None:
        """Set how many servers of each version a service has, not counting those that are leaving."""
        self._versions.set(service, counts)

    def set_registry(self, reaches_registry: bool, now: float) -> None:
        """Set whether this node can reach the registry."""
        self._reaches_registry = reaches_registry

    def set_order(self, order: RolloutOrder, now: float) -> None:
        """Set an order as the registry holds it; an order older than the known one is ignored."""
        known = self._orders.get(order.service)
        if known is not None and known.order.id == order.id:
            known.update_record(order, now)
        elif known is None or order.position > known.order.position:
            self._drop(order.service)
            self._orders[order.service] = OrderProgress(order, self._limits, now)
            self._log_event("rollout_order", order, state=order.state, duration_s=order.duration_s)

    def withdraw(self, service: str, now: float) -> None:
        """Drop the order of a service whose order was deleted."""
        known = self._orders.get(service)
        if known is not None:
            self._log_event("rollout_withdrawn", known.order, state=known.state)
            self._drop(service)

    def replace_orders(self, orders: Collection[RolloutOrder], now: float) -> None:
        """Replace all orders."""
        for service in self._orders.keys() - {order.service for order in orders}:
            self.withdraw(service, now)
        for order in orders:
            self.set_order(order, now)

    def receive_decisions(self, message: RolloutDecisions, now: float) -> None:
        """Apply another decider's decisions."""
        if message.node == self._own:
            return
        self._role.note_decisions(message.node, message.reaches_registry, now)
        for each in message.orders:
            known = self._orders.get(each.order.service)
            if known is not None and known.order.id == each.order:
                known.receive_decision(each, now)

    def receive_report(self, report: RolloutReport, now: float) -> None:
        """Apply the report of any node, including this one."""
        self._role.note_report(report.node, now)
        for each in report.orders:
            known = self._orders.get(each.order.service)
            if known is not None and known.order.id == each.order:
                known.report(report.node, report.incarnation, each, now)

    def tick(self, now: float) -> list[RolloutOrder]:
        """Decide; return the orders whose state, elapsed time and reason are to be written to the registry.

        Each write must be conditional on the order's revision, and its outcome passed to ``write_ended``.
        Until then no other record of the same service is returned.
        """
        orders = [each for each in self._orders.values() if each.is_announced(now)]
        started = self._role.update(bool(orders), now)
        for progress in orders:
            progress.followed_from_start &= self._role.deciding and (
                not started or progress.state is RolloutState.ORDERED
            )
        if started:
            self._urgent = True
            self._log_events.append(
                ("rollout_decider", {"incarnation": self._incarnation, "orders": len(orders)})
            )
        if not self._role.deciding:
            return []
        records = []
        common = self._common_view(now)
        for progress in orders:
            view = self._view_of(progress, common, now)
            record = progress.step(view, now)
            service = progress.order.service
            if record is not None and service not in self._writes_in_flight:
                self._writes_in_flight.add(service)
                progress.write_started(record.state)
                records.append(record)
            state = progress.announced_state(view, now)
            if self._announced.get(service, RolloutState.ORDERED) is not state:
                self._announced[service] = state
                self._urgent = True
        return records

    def write_ended(
        self, attempted: RolloutOrder, outcome: RolloutOrder | RevisionConflict | Failure, now: float
    ) -> None:
        """Handle the outcome of a record's write."""
        self._writes_in_flight.discard(attempted.service)
        known = self._orders.get(attempted.service)
        if known is not None and known.order.id == attempted.id:
            known.write_ended(attempted, outcome, now)
            self._urgent |= isinstance(outcome, RolloutOrder)
        if not isinstance(outcome, RevisionConflict):
            return
        if outcome.order is not None:
            self.set_order(outcome.order, now)
        elif known is not None and known.order.id == attempted.id:
            self.withdraw(attempted.service, now)

    def decisions(self, now: float) -> RolloutDecisions | None:
        """Return the decisions to announce to all nodes; ``None`` without decisions or from a non-decider.

        A decider that can't reach the registry announces no shares, so that they expire unless another
        decider announces them.
        """
        self._urgent = False
        if not self._role.deciding:
            return None
        common = self._common_view(now)
        all_orders = [each.decision(self._view_of(each, common, now), now) for each in self._orders.values()]
        announced = [each for each in all_orders if each is not None]
        if not self._reaches_registry:
            announced = [each for each in announced if each.state is not RolloutState.CANARY]
        if not announced and self._reaches_registry:
            return None
        return RolloutDecisions(self._own, self._reaches_registry, self._role.timeout_s, tuple(announced))

    def urgent(self, now: float) -> bool:
        """Whether decisions should be sent immediately."""
        return self._urgent and self._role.deciding

    def report_targets(self, now: float) -> tuple[str, ...]:
        """Return the nodes to send reports to, which are none while no order is open."""
        return self._role.report_targets(now)

    def figures(self, now: float) -> tuple[OrderFigures, ...]:
        """Return the status of each order, sorted by service."""
        common = self._common_view(now)
        progress = (self._orders[service] for service in sorted(self._orders))
        return tuple(each.figures(self._view_of(each, common, now), now) for each in progress)

    def take_log_events(self) -> list[tuple[str, dict[str, Any]]]:
        """Return the log events since the last call, as names and fields."""
        log_events, self._log_events = self._log_events, []
        for progress in self._orders.values():
            log_events += progress.take_log_events()
        return log_events

    def _common_view(self, now: float) -> DeciderView:
        """Return the part of the view that all orders share."""
        role = self._role
        return DeciderView(
            deciders_before=role.deciders_before(now),
            reaches_registry=self._reaches_registry,
            counts_complete=role.counts_complete(now),
            just_resumed=role.just_resumed(now),
            enough_nodes_report=role.enough_nodes_report(now),
            live=role.live_nodes(now),
        )

    def _view_of(self, progress: OrderProgress, common: DeciderView, now: float) -> DeciderView:
        """Return the view for one order."""
        order = progress.order
        servers, gone_s = self._versions.of_target(order, now)
        return common._replace(
            counts_complete=common.counts_complete or progress.followed_from_start,
            service_known=self._services is None or order.service in self._services,
            servers=servers,
            servers_gone_s=gone_s,
        )

    def _drop(self, service: str) -> None:
        known = self._orders.pop(service, None)
        if known is not None:
            self._log_events += known.take_log_events()
        self._announced.pop(service, None)
        self._versions.drop(service)

    def _log_event(self, name: str, order: RolloutOrder, **details: Any) -> None:
        self._log_events.append((name, {"service": order.service, "target": order.target, **details}))

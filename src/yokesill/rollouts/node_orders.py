"""The orders that one node knows and their effective states, each joined from record and decisions.

The effective state determines which versions this node may use (``versions``). The record is authoritative;
decisions let a state take effect before the record arrives.
"""

from collections.abc import Iterable
from typing import NamedTuple

from yokesill.rollouts.canary import Canary
from yokesill.rollouts.messages import RolloutDecisions
from yokesill.rollouts.orders import OrderId, RolloutOrder, RolloutState
from yokesill.rollouts.versions import ServiceVersions

# Announced states that apply to an order before the registry's feed delivers it: the node switches to the new
# version together with all others, and leaves it as soon as any decider says so, but sends no canaries
# without the record.
_BEFORE_RECORD = (RolloutState.SWITCHING, RolloutState.COMPLETED, RolloutState.ROLLED_BACK)


class OrderChange(NamedTuple):
    """A change of an order's effective state, or with ``recorded`` of its record's state, at this node.

    ``before`` is ``None`` for a new order, and ``state`` is ``None`` for a removed one. For a recorded state,
    ``reason`` is the record's reason or the order's problem; for an effective state, it is its source:
    "record", or "word" for a decider's decision.
    """

    order: OrderId
    before: RolloutState | None
    state: RolloutState | None
    recorded: bool
    reason: str = ""


class NodeOrders:
    """All orders of one node; times in seconds of its clock.

    ``open`` are the orders, by service, whose record is not final; reports cover these. ``effective`` is the
    effective state of each service's order. ``synchronised`` is set once all orders of the registry are
    known.
    """

    __slots__ = (
        "_known",
        "_latest_timeline",
        "_versions",
        "_withdrawn_revisions",
        "canary",
        "effective",
        "open",
        "synchronised",
    )

    def __init__(self, versions: ServiceVersions, canary: Canary) -> None:
        self.synchronised = False
        self.open: dict[str, RolloutOrder] = {}
        self.effective: dict[str, RolloutState] = {}
        self._known: dict[str, RolloutOrder] = {}
        # The latest creation revision among each service's withdrawn orders; decisions on orders up to it
        # that are still in transit are ignored.
        self._withdrawn_revisions: dict[str, int] = {}
        # The latest registry timeline that an order was read on.
        self._latest_timeline = 0
        self._versions = versions
        self.canary = canary

    def recorded_orders(self) -> tuple[RolloutOrder, ...]:
        """Return all orders as the registry holds them, without those that it may have lost."""
        known_to_registry = (each for each in self._known.values() if each.revision)
        return tuple(each for each in known_to_registry if each.timeline == self._latest_timeline)

    def set_order(self, order: RolloutOrder) -> list[OrderChange]:
        """Set an order and its record from the registry; one older than the known one is ignored."""
        before = self._known.get(order.service)
        if before is not None and _is_older(order, before):
            return []
        self._latest_timeline = max(self._latest_timeline, order.timeline)
        if before is not None and order.timeline > before.timeline:
            order = order.restored(before)
        changes = []
        # A final record never reopens: an open one means that the same order was made again, after another
        # order that this node missed.
        restarted = before is not None and before.state.final and not order.state.final
        same_order = before is not None and before.id == order.id and not restarted
        if before is not None and not same_order:
            changes += self._drop(before)
        recorded = before.state if before is not None and same_order and before.revision else None
        if recorded is not order.state:
            changes.append(OrderChange(order.id, recorded, order.state, True, order.problem or order.reason))
        self._known[order.service] = order
        return changes + self._update_effective(order)

    def withdraw(self, service: str) -> list[OrderChange]:
        """Remove a service's order."""
        before = self._known.get(service)
        if before is None:
            return []
        if before.revision:
            self._withdrawn_revisions[service] = max(
                before.created_revision, self._withdrawn_revisions.get(service, 0)
            )
        changes = self._drop(before)
        self._versions.withdraw(service)
        return [*changes, OrderChange(before.id, before.state, None, True)] if before.revision else changes

    def replace_orders(self, orders: Iterable[RolloutOrder]) -> list[OrderChange]:
        """Replace all orders with a complete list."""
        orders = list(orders)
        self.synchronised = True
        gone = self._known.keys() - {each.service for each in orders}
        changes = [change for service in sorted(gone) for change in self.withdraw(service)]
        return changes + [change for order in orders for change in self.set_order(order)]

    def receive_decisions(self, message: RolloutDecisions, now: float) -> list[OrderChange]:
        """Apply a decider's message."""
        decisions = [each for each in message.orders if self._concerns(each.order)]
        self.canary.receive(message._replace(orders=tuple(decisions)), now)
        changes: list[OrderChange] = []
        for each in decisions:
            known = self._known.get(each.order.service)
            if known is not None and known.id == each.order:
                changes += self._update_effective(known)
            elif each.state in _BEFORE_RECORD:
                changes += self._drop(known) if known is not None else []
                order = RolloutOrder(
                    each.order.service,
                    each.order.target,
                    0.0,
                    each.order.created_revision,
                    0,
                    timeline=self._latest_timeline,
                )
                self._known[order.service] = order
                changes += self._update_effective(order)
        return changes

    def _concerns(self, order: OrderId) -> bool:
        """Whether a decision concerns the known order of its service or one created later."""
        known = self._known.get(order.service)
        if known is not None:
            return known.id == order or order.created_revision > known.created_revision
        return order.created_revision > self._withdrawn_revisions.get(order.service, -1)

    def _update_effective(self, order: RolloutOrder) -> list[OrderChange]:
        """Join the record with the decisions; only a recorded ``COMPLETED`` overrides a decided rollback."""
        before = self.effective.get(order.service)
        decided = self.canary.state(order.id)
        state = order.state
        if decided is not None and not state.final and (decided.final or decided.rank > state.rank):
            state = decided
        if order.problem and not state.final:
            state = RolloutState.ORDERED
        final = order.state.final or (not order.revision and state.final)
        if final:
            self.open.pop(order.service, None)
        else:
            self.open[order.service] = order
        if before is state:
            return []
        self.effective[order.service] = state
        self._versions.set_state(order.id, state, order.timeline)
        return [OrderChange(order.id, before, state, False, "record" if state is order.state else "word")]

    def _drop(self, order: RolloutOrder) -> list[OrderChange]:
        del self._known[order.service]
        self.open.pop(order.service, None)
        self.canary.forget(order.id)
        before = self.effective.pop(order.service, None)
        return [OrderChange(order.id, before, None, False)]


def _is_older(order: RolloutOrder, known: RolloutOrder) -> bool:
    """Whether an order is older than the known one; creation revisions compare only within a timeline."""
    superseded = order.timeline == known.timeline and order.created_revision < known.created_revision
    return superseded or order.position < known.position

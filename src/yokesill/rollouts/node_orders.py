"""The orders that one node knows, and their effective states: the record joined with deciders' decisions.

The effective state decides which versions this node may use (``versions``). Relies on the record for what
holds for good, and on decisions for what must be in force before the record arrives.
"""

from collections.abc import Iterable
from typing import NamedTuple

from yokesill.rollouts.canary import Canary
from yokesill.rollouts.messages import RolloutDecisions
from yokesill.rollouts.orders import OrderId, RolloutOrder, RolloutState
from yokesill.rollouts.versions import ServiceVersions

# Decided states that apply to an order before the registry's feed has brought it: this node goes to the new
# version when all do and leaves it when any decider says so, but gives no canary share without the record.
_BEFORE_RECORD = (RolloutState.SWITCHING, RolloutState.COMPLETED, RolloutState.ROLLED_BACK)


class OrderChange(NamedTuple):
    """An order whose effective state, or (``recorded``) whose record's state, has changed for this node.

    ``before`` is ``None`` for one that is new, and ``state`` for one that is gone. ``reason`` is the record's
    reason, or what is wrong with the order; or whether the effective state comes from the ``record`` or
    from a decider's ``word``.
    """

    order: OrderId
    before: RolloutState | None
    state: RolloutState | None
    recorded: bool
    reason: str = ""


class NodeOrders:
    """All orders of one node; times in seconds of its clock.

    ``open`` are the orders, by service, whose record is not final: the ones to report on. ``effective`` is
    the effective state of each service's order. ``synchronised``: all orders of the registry are known.
    """

    __slots__ = ("_gone", "_known", "_timeline", "_versions", "canary", "effective", "open", "synchronised")

    def __init__(self, versions: ServiceVersions, canary: Canary) -> None:
        self.synchronised = False
        self.open: dict[str, RolloutOrder] = {}
        self.effective: dict[str, RolloutState] = {}
        self._known: dict[str, RolloutOrder] = {}
        # Up to which object a service's orders are over: decisions on them that still travel are ignored.
        self._gone: dict[str, int] = {}
        # The registry's latest timeline that an order was read on.
        self._timeline = 0
        self._versions = versions
        self.canary = canary

    def recorded_orders(self) -> tuple[RolloutOrder, ...]:
        """Return all orders as the registry has them; one that it may have lost is not told to others."""
        told = (each for each in self._known.values() if each.revision)
        return tuple(each for each in told if each.timeline == self._timeline)

    def set_order(self, order: RolloutOrder) -> list[OrderChange]:
        """Take an order and its record from the registry; an older one than is known is ignored."""
        before = self._known.get(order.service)
        if before is not None and _is_older(order, before):
            return []
        self._timeline = max(self._timeline, order.timeline)
        if before is not None and order.timeline > before.timeline:
            order = order.restored(before)
        changes = []
        # A final record stays: without it this is the same order once more, after another that was missed.
        again = before is not None and before.state.final and not order.state.final
        same = before is not None and before.id == order.id and not again
        if before is not None and not same:
            changes += self._drop(before)
        recorded = before.state if before is not None and same and before.revision else None
        if recorded is not order.state:
            changes.append(OrderChange(order.id, recorded, order.state, True, order.problem or order.reason))
        self._known[order.service] = order
        return changes + self._update_effective(order)

    def withdraw(self, service: str) -> list[OrderChange]:
        """Take that a service's order is gone."""
        before = self._known.get(service)
        if before is None:
            return []
        if before.revision:
            self._gone[service] = max(before.created_revision, self._gone.get(service, 0))
        changes = self._drop(before)
        self._versions.withdraw(service)
        return [*changes, OrderChange(before.id, before.state, None, True)] if before.revision else changes

    def replace_orders(self, orders: Iterable[RolloutOrder]) -> list[OrderChange]:
        """Take all orders as of one moment."""
        orders = list(orders)
        self.synchronised = True
        gone = self._known.keys() - {each.service for each in orders}
        changes = [change for service in sorted(gone) for change in self.withdraw(service)]
        return changes + [change for order in orders for change in self.set_order(order)]

    def receive_decisions(self, message: RolloutDecisions, now: float) -> list[OrderChange]:
        """Take a decider's message."""
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
                    timeline=self._timeline,
                )
                self._known[order.service] = order
                changes += self._update_effective(order)
        return changes

    def _concerns(self, order: OrderId) -> bool:
        """Whether a decision applies to this node: it is on its own order, or on one made later."""
        known = self._known.get(order.service)
        if known is not None:
            return known.id == order or order.created_revision > known.created_revision
        return order.created_revision > self._gone.get(order.service, -1)

    def _update_effective(self, order: RolloutOrder) -> list[OrderChange]:
        """Join the record with decisions; only a recorded ``COMPLETED`` outweighs a decision to roll back."""
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
        self._versions.set_state(order.id, state)
        return [OrderChange(order.id, before, state, False, "record" if state is order.state else "word")]

    def _drop(self, order: RolloutOrder) -> list[OrderChange]:
        del self._known[order.service]
        self.open.pop(order.service, None)
        self.canary.forget(order.id)
        before = self.effective.pop(order.service, None)
        return [OrderChange(order.id, before, None, False)]


def _is_older(order: RolloutOrder, known: RolloutOrder) -> bool:
    """Whether an order was overtaken by the one that is known; what was made when counts on one timeline."""
    overtaken = order.timeline == known.timeline and order.created_revision < known.created_revision
    return overtaken or order.position < known.position

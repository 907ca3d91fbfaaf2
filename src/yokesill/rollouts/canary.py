"""Selects canary requests by the deciders' shares and a hash of each request ID."""

from typing import NamedTuple

from yokesill.rendezvous import name_hash, weight
from yokesill.rollouts.messages import OrderDecision, RolloutDecisions
from yokesill.rollouts.orders import OrderId, RolloutState

_HASH_RANGE = 1 << 64


class _Share(NamedTuple):
    """One decider's share, and when it expires, in seconds of the node's clock."""

    share: float
    until_s: float


class Canary:
    """The decisions received on orders; times in seconds of the node's clock.

    A share is valid for the time given in its message, so a node that stops receiving decisions returns to
    the old version. With shares from several deciders, the smallest applies. A state was recorded before it
    was announced, so it does not expire and never moves backwards. ``ROLLED_BACK`` is the exception that need
    not be recorded first: after the first such decision, all other decisions on the order are ignored.
    """

    __slots__ = ("_hashes", "_shares", "_states")

    def __init__(self) -> None:
        self._shares: dict[OrderId, dict[str, _Share]] = {}
        self._states: dict[OrderId, RolloutState] = {}
        self._hashes: dict[OrderId, int] = {}

    def receive(self, message: RolloutDecisions, now: float) -> None:
        """Apply a decider's decisions."""
        for each in message.orders:
            shares = self._shares.setdefault(each.order, {})
            shares[message.node] = _Share(each.share, now + message.valid_s)
            self._receive_state(each)

    def _receive_state(self, decision: OrderDecision) -> None:
        known = self._states.get(decision.order)
        if known is None or (not known.final and (decision.state.rank > known.rank)):
            self._states[decision.order] = decision.state

    def state(self, order: OrderId) -> RolloutState | None:
        """Return the furthest state that deciders have announced, or ``None`` if there is none."""
        return self._states.get(order)

    def share(self, order: OrderId, now: float) -> float:
        """Return the share (0 to 1) of the service's requests that may go to the new version now."""
        fresh = [each.share for each in self._shares.get(order, {}).values() if now < each.until_s]
        return min(fresh, default=0.0)

    def includes(self, request_id: str, order: OrderId, now: float) -> bool:
        """Whether a request goes to the new version while the order is in ``CANARY``.

        Decided by a hash of the request ID and the order, so that nodes need no state or coordination, and
        the share over all nodes is right on average. For 240 requests at a share of 0.1 the standard
        deviation is sqrt(240 * 0.1 * 0.9) = 5.
        """
        share = self.share(order, now)
        return share > 0.0 and self.rank(request_id, order) < share * _HASH_RANGE

    def rank(self, request_id: str, order: OrderId) -> int:
        """Return a request's 64-bit rank; as the share rises, requests become canaries in order of rank."""
        hashed = self._hashes.get(order)
        if hashed is None:
            hashed = self._hashes[order] = name_hash(
                f"{order.service} {order.created_revision} {order.target}"
            )
        return weight(name_hash(request_id), hashed)

    def forget(self, order: OrderId) -> None:
        """Drop all decisions received on an order."""
        self._shares.pop(order, None)
        self._states.pop(order, None)
        self._hashes.pop(order, None)

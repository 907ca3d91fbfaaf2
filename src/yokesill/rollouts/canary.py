"""What deciders told this node, and which requests are canaries by it."""

from typing import NamedTuple

from yokesill.rendezvous import name_hash, weight
from yokesill.rollouts.messages import OrderDecision, RolloutDecisions
from yokesill.rollouts.orders import OrderId, RolloutState

_WHOLE = 1 << 64


class _Share(NamedTuple):
    """The share that one decider told, and until when it holds in seconds of the node's clock."""

    share: float
    until_s: float


class Canary:
    """The words heard of orders; times in seconds of the node's clock.

    A share holds as long as its word says: a node that hears nothing goes back to the old version. Where
    several deciders speak, the least share counts. What state an order is in was recorded before it was
    told, so it holds for good, and never goes back, but for ``ROLLED_BACK``: from the first such word on
    nothing else that deciders say of the order counts.
    """

    __slots__ = ("_hashes", "_shares", "_states")

    def __init__(self) -> None:
        self._shares: dict[OrderId, dict[str, _Share]] = {}
        self._states: dict[OrderId, RolloutState] = {}
        self._hashes: dict[OrderId, int] = {}

    def hear(self, word: RolloutDecisions, now: float) -> None:
        """Take a decider's word."""
        for each in word.orders:
            shares = self._shares.setdefault(each.order, {})
            shares[word.node] = _Share(each.share, now + word.valid_s)
            self._hear_state(each)

    def _hear_state(self, word: OrderDecision) -> None:
        known = self._states.get(word.order)
        if known is None or (not known.final and (word.state.rank > known.rank)):
            self._states[word.order] = word.state

    def state(self, order: OrderId) -> RolloutState | None:
        """Return the state that words told; ``None`` where none spoke of the order."""
        return self._states.get(order)

    def share(self, order: OrderId, now: float) -> float:
        """Return the share of the service's requests that may go to the new version now, 0 to 1."""
        fresh = [each.share for each in self._shares.get(order, {}).values() if now < each.until_s]
        return min(fresh, default=0.0)

    def takes(self, request_id: str, order: OrderId, now: float) -> bool:
        """Whether a request goes to the new version while the order is a canary.

        By a hash of both names: no node keeps a state for it or asks another, and over all nodes the share
        is right in the mean. Of 240 requests at a share of 0.1 that spreads by sqrt(240 * 0.1 * 0.9) = 5.
        """
        share = self.share(order, now)
        return share > 0.0 and self.rank(request_id, order) < share * _WHOLE

    def rank(self, request_id: str, order: OrderId) -> int:
        """Return how late a request would become a canary of an order as its share rises; 64 bits."""
        hashed = self._hashes.get(order)
        if hashed is None:
            hashed = self._hashes[order] = name_hash(f"{order.service} {order.made} {order.target}")
        return weight(name_hash(request_id), hashed)

    def forget(self, order: OrderId) -> None:
        """Drop what was told of an order that is gone."""
        self._shares.pop(order, None)
        self._states.pop(order, None)
        self._hashes.pop(order, None)

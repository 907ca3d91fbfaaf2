"""Which requests are canaries, by the deciders' shares and a hash of each request."""

from typing import NamedTuple

from yokesill.rendezvous import name_hash, weight
from yokesill.rollouts.messages import OrderDecision, RolloutDecisions
from yokesill.rollouts.orders import OrderId, RolloutState

_WHOLE = 1 << 64


class _Share(NamedTuple):
    """One decider's share, and until when it holds in seconds of the node's clock."""

    share: float
    until_s: float


class Canary:
    """The decisions received on orders; times in seconds of the node's clock.

    A share holds as long as its message says: a node that receives nothing goes back to the old version. Of
    several deciders' shares the least counts. An order's state was recorded before it was announced, so it
    holds for good and never goes back, but for ``ROLLED_BACK``: after the first such decision no other
    decision on the order counts.
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
        """Return the state that deciders announced; ``None`` where none did."""
        return self._states.get(order)

    def share(self, order: OrderId, now: float) -> float:
        """Return the share of the service's requests that may go to the new version now, 0 to 1."""
        fresh = [each.share for each in self._shares.get(order, {}).values() if now < each.until_s]
        return min(fresh, default=0.0)

    def includes(self, request_id: str, order: OrderId, now: float) -> bool:
        """Whether a request goes to the new version while the order is a canary.

        By a hash of both names: no node keeps a state for it or calls another, and over all nodes the share
        is right in the mean. Of 240 requests at a share of 0.1 that spreads by sqrt(240 * 0.1 * 0.9) = 5.
        """
        share = self.share(order, now)
        return share > 0.0 and self.rank(request_id, order) < share * _WHOLE

    def rank(self, request_id: str, order: OrderId) -> int:
        """Return how late a request would become a canary of an order as its share rises; 64 bits."""
        hashed = self._hashes.get(order)
        if hashed is None:
            hashed = self._hashes[order] = name_hash(
                f"{order.service} {order.created_revision} {order.target}"
            )
        return weight(name_hash(request_id), hashed)

    def forget(self, order: OrderId) -> None:
        """Drop what was received on an order that is gone."""
        self._shares.pop(order, None)
        self._states.pop(order, None)
        self._hashes.pop(order, None)

"""Status of an order as shown to operators."""

from typing import NamedTuple

from yokesill.rollouts.orders import OrderId, RolloutState


class OrderFigures(NamedTuple):
    """Status of an order at one decider; ``share`` (0 to 1) is what the decider announces to the nodes."""

    order: OrderId
    state: RolloutState
    reason: str
    duration_s: float
    elapsed_s: float
    share: float
    sent_old: int
    sent_new: int
    old_answers: int
    new_answers: int
    new_failures: int
    waits_for: int

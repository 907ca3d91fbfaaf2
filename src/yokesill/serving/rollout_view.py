"""JSON view of roll-outs that a node returns to operators."""

from typing import TypedDict

from yokesill.rollouts.order_figures import OrderFigures


class OrderView(TypedDict):
    """One order; times are in seconds, ``share`` is between 0 and 1."""

    service: str
    target: str
    state: str
    reason: str
    share: float
    elapsed_s: float
    left_s: float
    sent_old: int
    sent_new: int
    new_answers: int
    new_failures: int
    waits_for_nodes: int


class RolloutView(TypedDict):
    """One node's state of all roll-outs."""

    node: str
    deciding: bool
    orders: list[OrderView]


def order_view(figures: OrderFigures) -> OrderView:
    """Return an order's figures in a form that can be encoded as JSON."""
    return OrderView(
        service=figures.order.service,
        target=figures.order.target,
        state=figures.state.value,
        reason=figures.reason,
        share=round(figures.share, 3),
        elapsed_s=round(figures.elapsed_s, 2),
        left_s=round(max(0.0, figures.duration_s - figures.elapsed_s), 2),
        sent_old=figures.sent_old,
        sent_new=figures.sent_new,
        new_answers=figures.new_answers,
        new_failures=figures.new_failures,
        waits_for_nodes=figures.waits_for,
    )

"""A node's effective state: the record joined with deciders' decisions, in any order and of any age."""

import pytest

from yokesill.rollouts.canary import Canary
from yokesill.rollouts.messages import OrderDecision, RolloutDecisions
from yokesill.rollouts.node_orders import NodeOrders, OrderChange
from yokesill.rollouts.orders import OrderId, RolloutOrder, RolloutState
from yokesill.rollouts.versions import ServiceVersions

ORDERED, CANARY, SWITCHING, COMPLETED, ROLLED_BACK = RolloutState
ORDER = RolloutOrder("s", "v2", 12.0, 5, 5)
VALID_S = 1.5


def node_with(*orders: RolloutOrder) -> NodeOrders:
    node = NodeOrders(ServiceVersions(True, 2.0), Canary())
    for order in orders:
        node.set_order(order)
    return node


def decided(
    state: RolloutState, share: float = 0.1, node: str = "d1", order: OrderId = ORDER.id
) -> RolloutDecisions:
    return RolloutDecisions(node, True, VALID_S, (OrderDecision(order, state, share, 1.0),))


def record(state: RolloutState, revision: int = 9) -> RolloutOrder:
    return ORDER._replace(state=state, revision=revision)


@pytest.mark.parametrize("decided_state", [CANARY, SWITCHING, COMPLETED, ROLLED_BACK])
def test_decision_takes_effect_before_the_record_arrives(decided_state: RolloutState) -> None:
    node = node_with(ORDER)
    assert node.receive_decisions(decided(decided_state), 1.0) == [
        OrderChange(ORDER.id, ORDERED, decided_state, False, "word")
    ]
    assert node.effective["s"] is decided_state
    assert node.open["s"] == ORDER


@pytest.mark.parametrize("decided_state", [ORDERED, CANARY])
def test_stale_decision_or_record_is_ignored(decided_state: RolloutState) -> None:
    node = node_with(ORDER)
    node.receive_decisions(decided(SWITCHING), 1.0)
    node.receive_decisions(decided(decided_state, node="d2"), 2.0)
    node.set_order(record(decided_state))
    assert node.effective["s"] is SWITCHING


@pytest.mark.parametrize("decided_state", [ORDERED, CANARY, SWITCHING, COMPLETED])
def test_decisions_after_a_rollback_are_ignored(decided_state: RolloutState) -> None:
    node = node_with(ORDER)
    node.receive_decisions(decided(ROLLED_BACK), 1.0)
    node.receive_decisions(decided(decided_state, node="d2"), 1.1)
    assert node.effective["s"] is ROLLED_BACK
    node.set_order(record(SWITCHING))
    assert node.effective["s"] is ROLLED_BACK


def test_recorded_completion_overrides_a_decided_rollback() -> None:
    node = node_with(ORDER)
    node.receive_decisions(decided(ROLLED_BACK), 1.0)
    node.set_order(record(COMPLETED))
    assert node.effective["s"] is COMPLETED


@pytest.mark.parametrize("final", [COMPLETED, ROLLED_BACK])
def test_final_record_overrides_all_decisions(final: RolloutState) -> None:
    node = node_with(record(final))
    for decided_state in (CANARY, SWITCHING, COMPLETED, ROLLED_BACK):
        node.receive_decisions(decided(decided_state), 1.0)
        assert node.effective["s"] is final
    assert node.open == {}


def test_change_carries_its_reason() -> None:
    problem, reason = ORDER._replace(problem="no service"), record(ROLLED_BACK)._replace(reason="it fails")
    node = node_with()
    assert node.set_order(problem)[0] == OrderChange(ORDER.id, None, ORDERED, True, "no service")
    assert [each.reason for each in node.set_order(reason)] == ["it fails", "record"]


def test_older_record_is_ignored() -> None:
    node = node_with(record(SWITCHING, 9))
    assert node.set_order(record(CANARY, 8)) == []
    assert node.open["s"].state is SWITCHING


@pytest.mark.parametrize(
    ("decided_state", "expected"),
    [
        (ORDERED, None),
        (CANARY, None),
        (SWITCHING, SWITCHING),
        (COMPLETED, COMPLETED),
        (ROLLED_BACK, ROLLED_BACK),
    ],
)
def test_decisions_on_an_unknown_order_apply_from_switching_on(
    decided_state: RolloutState, expected: RolloutState | None
) -> None:
    node = node_with()
    node.receive_decisions(decided(decided_state), 1.0)
    assert node.effective.get("s") is expected
    assert ("s" in node.open) is (expected is SWITCHING)
    assert node.recorded_orders() == ()
    node.set_order(record(CANARY))
    assert node.effective["s"] is (expected or CANARY)


def test_share_received_before_its_order_is_valid() -> None:
    node = node_with()
    node.receive_decisions(decided(CANARY), 1.0)
    node.set_order(ORDER)
    assert node.canary.share(ORDER.id, 1.1) == 0.1


def test_decisions_on_a_withdrawn_order_are_ignored_but_not_on_the_next() -> None:
    node = node_with(ORDER)
    node.receive_decisions(decided(SWITCHING), 1.0)
    changes = node.withdraw("s")
    assert (changes[-1].state, changes[-1].recorded) == (None, True)
    node.receive_decisions(decided(SWITCHING), 1.1)
    assert node.effective == {}
    created_again = ORDER._replace(created_revision=12, revision=12)
    node.set_order(created_again)
    node.receive_decisions(decided(SWITCHING), 1.2)
    assert node.effective["s"] is ORDERED
    node.receive_decisions(decided(CANARY, order=created_again.id), 1.3)
    assert node.effective["s"] is CANARY


def test_order_for_another_version_starts_over() -> None:
    node = node_with(ORDER)
    node.receive_decisions(decided(ROLLED_BACK), 1.0)
    other = ORDER._replace(target="v3", revision=9)
    node.set_order(other)
    assert node.effective["s"] is ORDERED
    node.receive_decisions(decided(SWITCHING), 1.1)
    assert node.effective["s"] is ORDERED


@pytest.mark.parametrize("final", [COMPLETED, ROLLED_BACK])
def test_order_repeated_after_a_missed_one_starts_over(final: RolloutState) -> None:
    node = node_with(ORDER)
    node.receive_decisions(decided(final), 1.0)
    node.set_order(record(final))
    node.replace_orders([record(ORDERED, 30)])
    assert node.effective["s"] is ORDERED
    node.receive_decisions(decided(CANARY), 2.0)
    assert node.effective["s"] is CANARY


def test_orders_missing_from_a_complete_list_are_withdrawn() -> None:
    other = ORDER._replace(service="t")
    node = node_with(ORDER, other)
    node.replace_orders([other])
    assert list(node.open) == ["t"]
    assert node.recorded_orders() == (other,)


def test_order_with_a_problem_has_no_effect() -> None:
    node = node_with(ORDER._replace(problem="rollouts.s.durationS: is missing"))
    node.receive_decisions(decided(SWITCHING), 1.0)
    assert node.effective["s"] is ORDERED
    assert "s" in node.open


def test_smallest_valid_share_applies() -> None:
    canary = Canary()
    assert canary.share(ORDER.id, 0.0) == 0.0
    canary.receive(decided(CANARY, 0.1, "d1"), 1.0)
    canary.receive(decided(CANARY, 0.04, "d2"), 1.2)
    assert canary.share(ORDER.id, 1.3) == 0.04
    canary.receive(decided(CANARY, 0.1, "d1"), 2.0)
    assert canary.share(ORDER.id, 1.2 + VALID_S) == 0.1
    assert canary.share(ORDER.id, 2.0 + VALID_S) == 0.0


def test_every_node_selects_the_same_canary_requests() -> None:
    nodes = [Canary() for _ in range(2)]
    for each in nodes:
        each.receive(decided(CANARY, 0.1), 1.0)
    selected = [[each.includes(f"r{number}", ORDER.id, 1.1) for number in range(4000)] for each in nodes]
    assert selected[0] == selected[1]
    assert 340 <= sum(selected[0]) <= 460


def test_services_select_different_canary_requests() -> None:
    canary, other = Canary(), ORDER.id._replace(service="t")
    for order in (ORDER.id, other):
        canary.receive(decided(CANARY, 0.1, order=order), 1.0)
    both = sum(all(canary.includes(f"r{n}", order, 1.1) for order in (ORDER.id, other)) for n in range(4000))
    assert 15 <= both <= 70

"""What a node obeys: the registry's record joined with deciders' words, in any order and of any age."""

import pytest

from yokesill.rollouts.canary import Canary
from yokesill.rollouts.messages import OrderDecision, RolloutDecisions
from yokesill.rollouts.node_orders import NodeOrders, OrderChange
from yokesill.rollouts.orders import OrderId, RolloutOrder, RolloutState
from yokesill.rollouts.versions import ServiceVersions

ORDERED, CANARY, SWITCHING, COMPLETED, ROLLED_BACK = RolloutState
ORDER = RolloutOrder("s", "v2", 12.0, 5, 5)
VALID_S = 1.5


def known(*orders: RolloutOrder) -> NodeOrders:
    node = NodeOrders(ServiceVersions(True, 2.0), Canary())
    for order in orders:
        node.set_order(order)
    return node


def word(
    state: RolloutState, share: float = 0.1, node: str = "d1", order: OrderId = ORDER.id
) -> RolloutDecisions:
    return RolloutDecisions(node, True, VALID_S, (OrderDecision(order, state, share, 1.0),))


def record(state: RolloutState, revision: int = 9) -> RolloutOrder:
    return ORDER._replace(state=state, revision=revision)


@pytest.mark.parametrize("told", [CANARY, SWITCHING, COMPLETED, ROLLED_BACK])
def test_a_word_counts_before_the_feed_tells_the_record(told: RolloutState) -> None:
    node = known(ORDER)
    assert node.receive_decisions(word(told), 1.0) == [OrderChange(ORDER.id, ORDERED, told, False, "word")]
    assert node.effective["s"] is told
    assert node.open["s"] == ORDER


@pytest.mark.parametrize("told", [ORDERED, CANARY])
def test_a_stale_word_or_record_takes_nothing_back(told: RolloutState) -> None:
    node = known(ORDER)
    node.receive_decisions(word(SWITCHING), 1.0)
    node.receive_decisions(word(told, node="d2"), 2.0)
    node.set_order(record(told))
    assert node.effective["s"] is SWITCHING


@pytest.mark.parametrize("told", [ORDERED, CANARY, SWITCHING, COMPLETED])
def test_once_anybody_said_that_it_is_bad_no_word_counts_any_more(told: RolloutState) -> None:
    node = known(ORDER)
    node.receive_decisions(word(ROLLED_BACK), 1.0)
    node.receive_decisions(word(told, node="d2"), 1.1)
    assert node.effective["s"] is ROLLED_BACK
    node.set_order(record(SWITCHING))
    assert node.effective["s"] is ROLLED_BACK


def test_only_the_record_itself_says_that_it_was_completed_all_the_same() -> None:
    node = known(ORDER)
    node.receive_decisions(word(ROLLED_BACK), 1.0)
    node.set_order(record(COMPLETED))
    assert node.effective["s"] is COMPLETED


@pytest.mark.parametrize("final", [COMPLETED, ROLLED_BACK])
def test_a_final_record_stands(final: RolloutState) -> None:
    node = known(record(final))
    for told in (CANARY, SWITCHING, COMPLETED, ROLLED_BACK):
        node.receive_decisions(word(told), 1.0)
        assert node.effective["s"] is final
    assert node.open == {}


def test_a_change_tells_why() -> None:
    problem, reason = ORDER._replace(problem="no service"), record(ROLLED_BACK)._replace(reason="it fails")
    node = known()
    assert node.set_order(problem)[0] == OrderChange(ORDER.id, None, ORDERED, True, "no service")
    assert [each.reason for each in node.set_order(reason)] == ["it fails", "record"]


def test_an_older_record_is_ignored() -> None:
    node = known(record(SWITCHING, 9))
    assert node.set_order(record(CANARY, 8)) == []
    assert node.open["s"].state is SWITCHING


@pytest.mark.parametrize(
    ("told", "obeyed"),
    [
        (ORDERED, None),
        (CANARY, None),
        (SWITCHING, SWITCHING),
        (COMPLETED, COMPLETED),
        (ROLLED_BACK, ROLLED_BACK),
    ],
)
def test_of_an_order_that_the_feed_did_not_tell_only_some_words_count(
    told: RolloutState, obeyed: RolloutState | None
) -> None:
    node = known()
    node.receive_decisions(word(told), 1.0)
    assert node.effective.get("s") is obeyed
    assert ("s" in node.open) is (obeyed is SWITCHING)
    assert node.recorded_orders() == ()
    node.set_order(record(CANARY))
    assert node.effective["s"] is (obeyed or CANARY)


def test_a_share_that_was_told_before_the_feed_told_the_order_holds() -> None:
    node = known()
    node.receive_decisions(word(CANARY), 1.0)
    node.set_order(ORDER)
    assert node.canary.share(ORDER.id, 1.1) == 0.1


def test_words_of_a_withdrawn_order_count_no_more_but_those_of_the_next_do() -> None:
    node = known(ORDER)
    node.receive_decisions(word(SWITCHING), 1.0)
    changes = node.withdraw("s")
    assert (changes[-1].state, changes[-1].recorded) == (None, True)
    node.receive_decisions(word(SWITCHING), 1.1)
    assert node.effective == {}
    made_again = ORDER._replace(created_revision=12, revision=12)
    node.set_order(made_again)
    node.receive_decisions(word(SWITCHING), 1.2)
    assert node.effective["s"] is ORDERED
    node.receive_decisions(word(CANARY, order=made_again.id), 1.3)
    assert node.effective["s"] is CANARY


def test_an_order_for_another_version_begins_anew() -> None:
    node = known(ORDER)
    node.receive_decisions(word(ROLLED_BACK), 1.0)
    other = ORDER._replace(target="v3", revision=9)
    node.set_order(other)
    assert node.effective["s"] is ORDERED
    node.receive_decisions(word(SWITCHING), 1.1)
    assert node.effective["s"] is ORDERED


@pytest.mark.parametrize("final", [COMPLETED, ROLLED_BACK])
def test_an_order_that_is_repeated_after_one_that_was_missed_begins_anew(final: RolloutState) -> None:
    node = known(ORDER)
    node.receive_decisions(word(final), 1.0)
    node.set_order(record(final))
    node.replace_orders([record(ORDERED, 30)])
    assert node.effective["s"] is ORDERED
    node.receive_decisions(word(CANARY), 2.0)
    assert node.effective["s"] is CANARY


def test_what_a_whole_list_lacks_is_withdrawn() -> None:
    other = ORDER._replace(service="t")
    node = known(ORDER, other)
    node.replace_orders([other])
    assert list(node.open) == ["t"]
    assert node.recorded_orders() == (other,)


def test_an_order_with_a_problem_moves_nothing() -> None:
    node = known(ORDER._replace(problem="rollouts.s.durationS: is missing"))
    node.receive_decisions(word(SWITCHING), 1.0)
    assert node.effective["s"] is ORDERED
    assert "s" in node.open


def test_the_least_fresh_share_counts() -> None:
    canary = Canary()
    assert canary.share(ORDER.id, 0.0) == 0.0
    canary.receive(word(CANARY, 0.1, "d1"), 1.0)
    canary.receive(word(CANARY, 0.04, "d2"), 1.2)
    assert canary.share(ORDER.id, 1.3) == 0.04
    canary.receive(word(CANARY, 0.1, "d1"), 2.0)
    assert canary.share(ORDER.id, 1.2 + VALID_S) == 0.1
    assert canary.share(ORDER.id, 2.0 + VALID_S) == 0.0


def test_of_all_requests_the_share_is_taken_alike_at_every_node() -> None:
    nodes = [Canary() for _ in range(2)]
    for each in nodes:
        each.receive(word(CANARY, 0.1), 1.0)
    taken = [[each.includes(f"r{number}", ORDER.id, 1.1) for number in range(4000)] for each in nodes]
    assert taken[0] == taken[1]
    assert 340 <= sum(taken[0]) <= 460


def test_services_take_different_requests() -> None:
    canary, other = Canary(), ORDER.id._replace(service="t")
    for order in (ORDER.id, other):
        canary.receive(word(CANARY, 0.1, order=order), 1.0)
    both = sum(all(canary.includes(f"r{n}", order, 1.1) for order in (ORDER.id, other)) for n in range(4000))
    assert 15 <= both <= 70

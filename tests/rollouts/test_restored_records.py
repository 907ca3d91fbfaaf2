"""The registry comes back from an older copy: what deciders had recorded stands, and is recorded again.

A record's revision was compared with one from before the loss, so that a restored record was taken for an
old one and each write of a decider conflicted until the counter had passed the old revision.
"""

import pytest
from rollout_fleet import Fleet
from rollout_world import NEW

from yokesill.gateway.events import RolloutsReplaced
from yokesill.positions import Position
from yokesill.registry.feed_states import decode_state, encode_state
from yokesill.registry.feeds import Batch
from yokesill.rollouts.canary import Canary
from yokesill.rollouts.node_orders import NodeOrders
from yokesill.rollouts.orders import RolloutOrder, RolloutState
from yokesill.rollouts.versions import ServiceVersions

ORDERED, CANARY, SWITCHING, COMPLETED, ROLLED_BACK = RolloutState
ORDERED_AT_S, ENDS_S = 1.0, 13.0
# A restored record's way to the deciders, the second's wait for the first, and a write.
AGAIN_S = 1.5
ORDER = RolloutOrder("s", "v2", 12.0, 5, 9, timeline=1)


def ordered(bad: bool = False) -> Fleet:
    fleet = Fleet()
    fleet.run(ORDERED_AT_S)
    fleet.registry.put("svc")
    for server in fleet.servers:
        if bad and server.version == NEW:
            server.fails = lambda _now, _route: 0.6
    return fleet


@pytest.mark.parametrize("lost_from", [ORDERED, CANARY, SWITCHING])
def test_a_final_record_that_was_lost_is_written_again(lost_from: RolloutState) -> None:
    fleet = ordered()
    fleet.until(lost_from)
    older, revision = dict(fleet.registry.orders), fleet.registry.revision
    fleet.until(COMPLETED)
    fleet.run(5.0)
    fleet.registry.restore(older, revision)
    fleet.run(AGAIN_S)
    assert fleet.state() is COMPLETED
    assert fleet.old_after_completed == 0


def test_a_version_that_was_taken_back_stays_so() -> None:
    fleet = ordered(bad=True)
    fleet.until(CANARY)
    older, revision = dict(fleet.registry.orders), fleet.registry.revision
    fleet.until(ROLLED_BACK)
    fleet.run(5.0)
    sent = fleet.sent_new
    fleet.registry.restore(older, revision)
    fleet.run(AGAIN_S)
    assert fleet.state() is ROLLED_BACK
    assert fleet.sent_new == sent


@pytest.mark.parametrize("lost_in", [CANARY, SWITCHING])
def test_a_roll_out_under_way_goes_on_in_its_time(lost_in: RolloutState) -> None:
    fleet = ordered()
    older, revision = dict(fleet.registry.orders), fleet.registry.revision
    fleet.until(lost_in)
    fleet.run(0.5)
    fleet.registry.restore(older, revision)
    assert fleet.until(COMPLETED) <= ORDERED_AT_S + ENDS_S + AGAIN_S
    assert fleet.state() is COMPLETED


def test_a_node_keeps_the_state_that_a_restored_order_had_reached() -> None:
    node = NodeOrders(ServiceVersions(True, 2.0), Canary())
    node.set_order(ORDER._replace(state=COMPLETED, revision=20))
    node.set_order(ORDER._replace(state=CANARY, revision=12, timeline=2))
    assert node.effective["s"] is COMPLETED
    assert [(each.state, each.revision) for each in node.recorded_orders()] == [(COMPLETED, 12)]


def test_an_order_that_was_made_again_after_its_loss_is_another_one() -> None:
    node = NodeOrders(ServiceVersions(True, 2.0), Canary())
    node.set_order(ORDER._replace(created_revision=30, revision=31, state=SWITCHING))
    node.set_order(ORDER._replace(created_revision=25, revision=25, timeline=2))
    assert node.effective["s"] is ORDERED


def test_an_order_that_may_be_lost_is_not_told_to_others() -> None:
    node = NodeOrders(ServiceVersions(True, 2.0), Canary())
    node.set_order(ORDER)
    node.set_order(ORDER._replace(service="other", timeline=2, revision=7))
    assert [each.service for each in node.recorded_orders()] == ["other"]
    assert set(node.effective) == {"s", "other"}


def test_a_feed_of_a_later_timeline_tells_no_order_that_was_read_before() -> None:
    lost, read = ORDER, ORDER._replace(service="other", timeline=2, revision=7)
    told = decode_state(encode_state(RolloutsReplaced((lost, read)), Position(2, 8)))
    assert told == Batch(Position(2, 8), (RolloutsReplaced((read,)),))


def test_a_record_of_the_timeline_before_changes_nothing() -> None:
    node = NodeOrders(ServiceVersions(True, 2.0), Canary())
    node.set_order(ORDER._replace(timeline=2, revision=7))
    assert node.set_order(ORDER._replace(state=CANARY, revision=99)) == []
    assert node.effective["s"] is ORDERED

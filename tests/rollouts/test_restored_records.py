"""After the registry is restored from an older copy, recorded states are kept and recorded again.

Guards against comparing revisions across a restore: a restored record was taken for an old one, and every
write of a decider conflicted until the revision counter had passed the old revision.
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
ORDERED_AT_S, DEADLINE_S = 1.0, 13.0
# Time for a restored record to reach the deciders, for the second decider's stagger, and for a write.
REWRITE_S = 1.5
ORDER = RolloutOrder("s", "v2", 12.0, 5, 9, timeline=1)


def order_roll_out(bad: bool = False) -> Fleet:
    fleet = Fleet()
    fleet.run(ORDERED_AT_S)
    fleet.registry.put("svc")
    for server in fleet.servers:
        if bad and server.version == NEW:
            server.failure_rate = lambda _now, _route: 0.6
    return fleet


@pytest.mark.parametrize("lost_from", [ORDERED, CANARY, SWITCHING])
def test_lost_final_record_is_written_again(lost_from: RolloutState) -> None:
    fleet = order_roll_out()
    fleet.run_until(lost_from)
    older, revision = dict(fleet.registry.orders), fleet.registry.revision
    fleet.run_until(COMPLETED)
    fleet.run(5.0)
    fleet.registry.restore(older, revision)
    fleet.run(REWRITE_S)
    assert fleet.state() is COMPLETED
    assert fleet.old_after_completed == 0


def test_rolled_back_version_stays_rolled_back() -> None:
    fleet = order_roll_out(bad=True)
    fleet.run_until(CANARY)
    older, revision = dict(fleet.registry.orders), fleet.registry.revision
    fleet.run_until(ROLLED_BACK)
    fleet.run(5.0)
    sent = fleet.sent_new
    fleet.registry.restore(older, revision)
    fleet.run(REWRITE_S)
    assert fleet.state() is ROLLED_BACK
    assert fleet.sent_new == sent


@pytest.mark.parametrize("lost_in", [CANARY, SWITCHING])
def test_running_roll_out_completes_in_time(lost_in: RolloutState) -> None:
    fleet = order_roll_out()
    older, revision = dict(fleet.registry.orders), fleet.registry.revision
    fleet.run_until(lost_in)
    fleet.run(0.5)
    fleet.registry.restore(older, revision)
    assert fleet.run_until(COMPLETED) <= ORDERED_AT_S + DEADLINE_S + REWRITE_S
    assert fleet.state() is COMPLETED


def test_node_keeps_the_state_that_a_restored_order_had_reached() -> None:
    node = NodeOrders(ServiceVersions(True, 2.0), Canary())
    node.set_order(ORDER._replace(state=COMPLETED, revision=20))
    node.set_order(ORDER._replace(state=CANARY, revision=12, timeline=2))
    assert node.effective["s"] is COMPLETED
    assert [(each.state, each.revision) for each in node.recorded_orders()] == [(COMPLETED, 12)]


def test_order_created_again_after_its_loss_is_a_new_order() -> None:
    node = NodeOrders(ServiceVersions(True, 2.0), Canary())
    node.set_order(ORDER._replace(created_revision=30, revision=31, state=SWITCHING))
    node.set_order(ORDER._replace(created_revision=25, revision=25, timeline=2))
    assert node.effective["s"] is ORDERED


def test_possibly_lost_order_is_not_sent_to_other_nodes() -> None:
    node = NodeOrders(ServiceVersions(True, 2.0), Canary())
    node.set_order(ORDER)
    node.set_order(ORDER._replace(service="other", timeline=2, revision=7))
    assert [each.service for each in node.recorded_orders()] == ["other"]
    assert set(node.effective) == {"s", "other"}


def test_feed_of_a_later_timeline_omits_orders_read_earlier() -> None:
    lost, read = ORDER, ORDER._replace(service="other", timeline=2, revision=7)
    batch = decode_state(encode_state(RolloutsReplaced((lost, read)), Position(2, 8)))
    assert batch == Batch(Position(2, 8), (RolloutsReplaced((read,)),))


def test_record_of_an_earlier_timeline_is_ignored() -> None:
    node = NodeOrders(ServiceVersions(True, 2.0), Canary())
    node.set_order(ORDER._replace(timeline=2, revision=7))
    assert node.set_order(ORDER._replace(state=CANARY, revision=99)) == []
    assert node.effective["s"] is ORDERED

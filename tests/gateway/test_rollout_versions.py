"""Whatever chooses a server keeps to the versions that may be reached."""

from collections.abc import Callable
from dataclasses import replace

import pytest
from harness import RouterHarness, failure, reply, server, single_route
from rolled_out import (
    CANARY,
    COMPLETED,
    ONE_SHARD,
    ORDERED,
    ROLLED_BACK,
    SWITCHING,
    RolledOut,
    order_for,
    servers_of,
)
from test_pacing import make_slow

from yokesill.gateway import events as ev
from yokesill.registry.snapshots import decode_snapshot, encode_snapshot
from yokesill.rollouts.orders import RolloutState
from yokesill.verdict import Reason, Verdict

SHED = failure(Reason.SHED, Verdict.NOT_RUN)


@pytest.mark.parametrize("ordered", [False, True])
def test_first_attempts_go_to_no_version_that_nobody_decided_on(ordered: bool) -> None:
    assert RolledOut(ordered=ordered).ask() == {"v1"}


def test_hedges_go_to_no_other_version() -> None:
    harness = RolledOut(ordered=False)
    harness.warm_up()
    for instance in ("s1-v1-2", "s1-v2-2"):
        harness.feed(ev.ServerRemoved(instance))
    harness.advance(3.0)
    late = harness.arrive()
    harness.advance(0.5)
    assert harness.versions(late) == ["v1"]


def test_retries_go_to_no_other_version() -> None:
    harness = RolledOut(ordered=False)
    key = harness.arrive()
    for _ in range(2):
        harness.fail(harness.attempts(key)[-1], SHED)
    assert harness.versions(key) == ["v1", "v1"]


def waiting_for_room(ordered: bool) -> tuple[RolledOut, list[str]]:
    """A node at which requests wait for room at the old version's servers, which are slow."""
    harness = RolledOut(ordered=ordered)
    harness.feed(ev.NodesCounted(50))
    make_slow(harness, ("s1",))
    keys = [harness.arrive(timeout_s=6.0) for _ in range(8)]
    waiting = [key for key in keys if not harness.attempts(key)]
    assert waiting
    return harness, waiting


def test_whoever_waits_for_room_does_not_get_it_at_another_version() -> None:
    harness, waiting = waiting_for_room(ordered=False)
    harness.advance(6.0)
    assert all(key in harness.finals for key in waiting)
    assert {each.server.version for each in harness.sent} == {"v1"}


def test_whoever_waits_for_room_gets_it_at_the_new_version_once_that_is_switched_to() -> None:
    harness, waiting = waiting_for_room(ordered=True)
    harness.record(SWITCHING)
    harness.advance(6.0)
    assert {version for key in waiting for version in harness.versions(key)} == {"v2"}


def test_a_vanished_entry_of_another_version_is_no_last_resort() -> None:
    harness = RolledOut(ordered=False)
    for instance in ("s1-v1-1", "s1-v1-2", "s1-v2-1", "s1-v2-2"):
        harness.feed(ev.ServerRemoved(instance))
    assert harness.versions(harness.arrive()) == ["v1"]


def test_a_vanished_entry_of_the_old_version_is_a_last_resort_before_the_new_one_is() -> None:
    harness = RolledOut()
    for instance in ("s1-v1-1", "s1-v1-2"):
        harness.feed(ev.ServerRemoved(instance))
    assert harness.versions(harness.arrive()) == ["v1"]
    harness.advance(3.0)
    assert harness.versions(harness.arrive()) == ["v2"]
    harness.hear(ROLLED_BACK)
    assert harness.versions(harness.arrive()) == []


def test_the_last_server_of_the_old_version_is_not_gone_around() -> None:
    harness = RolledOut()
    harness.feed(ev.ServerSuspected("s1-v1-1", 5.0))
    harness.feed(ev.ServerSuspected("s1-v1-2", 5.0))
    assert harness.ask(requests=3) == {"v1"}
    assert [note.details["instance"] for note in harness.logged if note.name == "server_state"] == ["s1-v1-1"]


def test_the_last_server_of_the_new_version_is_not_gone_around() -> None:
    harness = RolledOut()
    harness.record(SWITCHING)
    for number in (1, 2):
        harness.feed(ev.ServerSuspected(f"s1-v2-{number}", 5.0))
    assert [note.details["instance"] for note in harness.logged if note.name == "server_state"] == ["s1-v2-1"]


def test_what_a_lost_coordinator_may_have_asked_keeps_to_the_old_version() -> None:
    harness = RolledOut()
    harness.hear(CANARY)
    key = harness.arrive()
    handed_over = replace(harness.attempts(key)[0].request, key="again", asked_before=True)
    harness.feed(ev.RequestArrived(handed_over))
    assert (harness.versions(key), harness.versions("again")) == (["v2"], ["v1"])


@pytest.mark.parametrize(
    ("states", "reached"),
    [
        ((CANARY, ROLLED_BACK), {"v1"}),
        ((SWITCHING, ROLLED_BACK), {"v1"}),
        ((SWITCHING,), {"v2"}),
        ((SWITCHING, COMPLETED), {"v2"}),
    ],
)
@pytest.mark.parametrize("tell", [RolledOut.hear, RolledOut.record])
def test_each_state_is_obeyed_at_once(
    states: tuple[RolloutState, ...], reached: set[str], tell: Callable[[RolledOut, RolloutState], None]
) -> None:
    harness = RolledOut()
    for state in states:
        tell(harness, state)
    assert harness.ask() == reached
    harness.advance(10.0)
    assert harness.ask() == reached


def test_a_withdrawn_order_leaves_the_old_version() -> None:
    harness = RolledOut()
    harness.record(SWITCHING)
    harness.feed(ev.RolloutWithdrawn("s1"))
    harness.hear(SWITCHING)
    assert harness.ask() == {"v1"}


def test_an_order_for_another_version_begins_at_the_old_one() -> None:
    harness = RolledOut()
    harness.record(SWITCHING)
    for record in servers_of("s1", "v3"):
        harness.feed(ev.ServerListed(record))
    harness.feed(ev.RolloutOrdered(order_for("s1", "v3")._replace(revision=20)))
    harness.hear(SWITCHING)
    assert harness.ask() == {"v1"}


@pytest.mark.parametrize(
    ("state", "reached"),
    [(ORDERED, {"v1"}), (CANARY, {"v1"}), (SWITCHING, {"v2"}), (COMPLETED, {"v2"}), (ROLLED_BACK, {"v1"})],
)
@pytest.mark.parametrize("source", ["feed", "snapshot", "words"])
def test_a_node_that_starts_in_mid_roll_out(state: RolloutState, reached: set[str], source: str) -> None:
    before = RolledOut()
    before.record(state)
    starting = RolledOut(ordered=False, servers=(server("other", "other"),))
    starting.orders = before.orders
    listed = ev.ServersReplaced((*servers_of("s1", "v1", 2), *servers_of("s1", "v2", 3)))
    if source == "snapshot":
        router = before.router
        orders = (router.rollouts.recorded(), router.servers.versions.established())
        configuration = router.configuration
        assert configuration is not None
        for event in decode_snapshot(encode_snapshot(configuration, [], frozenset(), *orders)):
            starting.feed(event)
    elif source == "words":
        starting.hear(state)
    starting.feed(listed)
    if source == "feed":
        starting.record(state)
    if source == "words" and state in (ORDERED, CANARY):
        # Nobody told it of an order: most servers are of the new version, and no word says otherwise.
        reached = {"v2"}
    assert starting.ask() == reached


def test_the_old_version_is_asked_in_the_end_if_no_new_server_can_be() -> None:
    harness = RolledOut()
    harness.record(SWITCHING)
    for number in (1, 2):
        harness.feed(ev.ServerListed(server(f"s1-v2-{number}", "s1", leaving=True, version="v2")))
    assert harness.ask() == {"v1"}


def test_a_vanished_entry_of_the_new_version_is_asked_after_the_old_one() -> None:
    harness = RolledOut()
    harness.record(SWITCHING)
    for number in (1, 2):
        harness.feed(ev.ServerRemoved(f"s1-v2-{number}"))
    assert harness.ask() == {"v1"}
    for number in (1, 2):
        harness.feed(ev.ServerRemoved(f"s1-v1-{number}"))
    assert harness.versions(harness.arrive()) != []


def test_a_hedge_of_what_is_switched_over_stays_at_the_new_version() -> None:
    harness = RolledOut()
    harness.warm_up()
    harness.record(SWITCHING)
    key = harness.arrive()
    harness.advance(0.5)
    assert harness.versions(key) == ["v2", "v2"]


def test_also_if_no_new_server_can_be_asked_any_more() -> None:
    harness = RolledOut()
    harness.warm_up()
    harness.record(SWITCHING)
    key = harness.arrive()
    harness.feed(ev.ServerListed(server("s1-v1-3", "s1", "z3", version="v1")))
    harness.feed(ev.EvacuationsReplaced(frozenset({"z1", "z2"})))
    harness.advance(0.5)
    assert harness.versions(key) == ["v2"]
    assert harness.versions(harness.arrive()) == ["v1"]


def test_a_retry_of_what_is_switched_over_stays_at_the_new_version() -> None:
    harness = RolledOut()
    harness.record(SWITCHING)
    harness.feed(ev.ServerRemoved("s1-v2-2"))
    harness.advance(3.0)
    key = harness.arrive()
    harness.fail(harness.attempts(key)[0], SHED)
    assert harness.versions(key) == ["v2"]


def test_an_evacuated_zone_of_the_new_version_is_not_asked() -> None:
    harness = RolledOut()
    harness.feed(ev.EvacuationsReplaced(frozenset({"z2"})))
    harness.record(SWITCHING)
    assert harness.ask() == {"v2"}
    assert {each.server.zone for each in harness.sent} == {"z1"}
    harness.feed(ev.EvacuationsReplaced(frozenset({"z1", "z2"})))
    assert harness.versions(harness.arrive()) == []


def test_servers_replaced_at_the_same_version_are_served_as_ever() -> None:
    harness = RolledOut(ordered=False, servers=servers_of("s1", "v1"))
    harness.feed(ev.ServerListed(server("next", "s1", version="v1")))
    harness.feed(ev.ServerRemoved("s1-v1-1"))
    harness.feed(ev.ServerRemoved("s1-v1-2"))
    harness.advance(3.0)
    harness.ask(requests=3)
    assert harness.counts() == {"next": 3}


def test_where_nothing_is_rolled_out_every_version_is_served() -> None:
    records = (*servers_of("s1", "v1", 1), *servers_of("s1", "v2", 1))
    harness = RouterHarness(ONE_SHARD, servers=records)
    harness.feed(ev.RolloutOrdered(order_for("s1")))
    for _ in range(20):
        harness.arrive()
    assert {each.server.version for each in harness.sent} == {"v1", "v2"}


def test_notes_tell_what_was_learnt_and_what_is_obeyed() -> None:
    harness = RolledOut()
    harness.hear(SWITCHING)
    harness.record(SWITCHING)
    harness.feed(ev.RolloutWithdrawn("s1"))
    told = [(note.name, note.details["state"]) for note in harness.logged if note.name.startswith("rollout")]
    assert told == [
        ("rollout_learnt", ORDERED),
        ("rollout_obeyed", ORDERED),
        ("rollout_obeyed", SWITCHING),
        ("rollout_learnt", SWITCHING),
        ("rollout_obeyed", "withdrawn"),
        ("rollout_learnt", "withdrawn"),
    ]


def test_what_is_under_way_at_old_servers_is_counted_until_it_ends() -> None:
    harness = RolledOut(single_route())
    early = harness.arrive("/one/x")
    harness.record(SWITCHING)
    late = harness.arrive("/one/x")
    assert (harness.versions(early), harness.versions(late)) == (["v1"], ["v2"])
    report = harness.report()
    assert (report.state, report.old_in_flight, report.sent_old, report.sent_new) == (SWITCHING, 1, 1, 1)
    harness.answer(harness.attempts(early)[0], reply())
    assert harness.report().old_in_flight == 0


def test_an_order_known_by_words_alone_is_reported_on_but_nobodys_to_decide() -> None:
    harness = RolledOut(ordered=False)
    harness.hear(SWITCHING)
    assert harness.ask() == {"v2"}
    assert harness.report().state is SWITCHING
    assert harness.router.open_orders() == ()


def test_versions_are_counted_for_whoever_decides() -> None:
    harness = RolledOut(ordered=False)
    harness.feed(ev.ServerRemoved("s1-v1-1"))
    harness.feed(ev.ServerListed(server("s1-v2-2", "s1", leaving=True, version="v2")))
    assert harness.router.version_counts("s1") == {"v1": 1, "v2": 1}
    assert harness.router.version_counts("unheard") == {}

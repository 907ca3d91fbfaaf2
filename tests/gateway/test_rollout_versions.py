"""Every rule that chooses a server uses only versions that may be reached."""

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
    RolloutHarness,
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
def test_first_attempts_stay_at_the_old_version_without_a_decision(ordered: bool) -> None:
    assert RolloutHarness(ordered=ordered).send_requests() == {"v1"}


def test_hedges_stay_at_the_old_version_without_an_order() -> None:
    harness = RolloutHarness(ordered=False)
    harness.warm_up()
    for instance in ("s1-v1-2", "s1-v2-2"):
        harness.feed(ev.ServerRemoved(instance))
    harness.advance(3.0)
    late = harness.arrive()
    harness.advance(0.5)
    assert harness.versions(late) == ["v1"]


def test_retries_stay_at_the_old_version_without_an_order() -> None:
    harness = RolloutHarness(ordered=False)
    key = harness.arrive()
    for _ in range(2):
        harness.fail(harness.attempts(key)[-1], SHED)
    assert harness.versions(key) == ["v1", "v1"]


def with_queued_requests(ordered: bool) -> tuple[RolloutHarness, list[str]]:
    """Return a node at which requests are queued for the slow servers of the old version."""
    harness = RolloutHarness(ordered=ordered)
    harness.feed(ev.NodeCountUpdated(50))
    make_slow(harness, ("s1",))
    keys = [harness.arrive(timeout_s=6.0) for _ in range(8)]
    queued = [key for key in keys if not harness.attempts(key)]
    assert queued
    return harness, queued


def test_queued_requests_stay_at_the_old_version_without_an_order() -> None:
    harness, queued = with_queued_requests(ordered=False)
    harness.advance(6.0)
    assert all(key in harness.finals for key in queued)
    assert {each.server.version for each in harness.sent} == {"v1"}


def test_queued_requests_go_to_the_new_version_after_the_switch() -> None:
    harness, queued = with_queued_requests(ordered=True)
    harness.record_state(SWITCHING)
    harness.advance(6.0)
    assert {version for key in queued for version in harness.versions(key)} == {"v2"}


def test_vanished_entry_of_another_version_is_no_last_resort() -> None:
    harness = RolloutHarness(ordered=False)
    for instance in ("s1-v1-1", "s1-v1-2", "s1-v2-1", "s1-v2-2"):
        harness.feed(ev.ServerRemoved(instance))
    assert harness.versions(harness.arrive()) == ["v1"]


def test_vanished_entry_of_the_old_version_is_preferred_to_the_new_version() -> None:
    harness = RolloutHarness()
    for instance in ("s1-v1-1", "s1-v1-2"):
        harness.feed(ev.ServerRemoved(instance))
    assert harness.versions(harness.arrive()) == ["v1"]
    harness.advance(3.0)
    assert harness.versions(harness.arrive()) == ["v2"]
    harness.receive_decisions(ROLLED_BACK)
    assert harness.versions(harness.arrive()) == []


def test_last_server_of_the_old_version_is_not_suspected() -> None:
    harness = RolloutHarness()
    harness.feed(ev.ServerSuspected("s1-v1-1", 5.0))
    harness.feed(ev.ServerSuspected("s1-v1-2", 5.0))
    assert harness.send_requests(requests=3) == {"v1"}
    assert [note.details["instance"] for note in harness.logged if note.name == "server_state"] == ["s1-v1-1"]


def test_last_server_of_the_new_version_is_not_suspected() -> None:
    harness = RolloutHarness()
    harness.record_state(SWITCHING)
    for number in (1, 2):
        harness.feed(ev.ServerSuspected(f"s1-v2-{number}", 5.0))
    assert [note.details["instance"] for note in harness.logged if note.name == "server_state"] == ["s1-v2-1"]


def test_request_possibly_sent_by_a_lost_coordinator_goes_to_the_old_version() -> None:
    harness = RolloutHarness()
    harness.receive_decisions(CANARY)
    key = harness.arrive()
    resent = replace(harness.attempts(key)[0].request, key="again", possibly_sent=True)
    harness.feed(ev.RequestArrived(resent))
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
@pytest.mark.parametrize("update", [RolloutHarness.receive_decisions, RolloutHarness.record_state])
def test_each_state_takes_effect_immediately(
    states: tuple[RolloutState, ...],
    reached: set[str],
    update: Callable[[RolloutHarness, RolloutState], None],
) -> None:
    harness = RolloutHarness()
    for state in states:
        update(harness, state)
    assert harness.send_requests() == reached
    harness.advance(10.0)
    assert harness.send_requests() == reached


def test_withdrawn_order_leaves_the_old_version_in_service() -> None:
    harness = RolloutHarness()
    harness.record_state(SWITCHING)
    harness.feed(ev.RolloutWithdrawn("s1"))
    harness.receive_decisions(SWITCHING)
    assert harness.send_requests() == {"v1"}


def test_order_for_another_version_starts_at_the_old_version() -> None:
    harness = RolloutHarness()
    harness.record_state(SWITCHING)
    for record in servers_of("s1", "v3"):
        harness.feed(ev.ServerListed(record))
    harness.feed(ev.RolloutOrdered(order_for("s1", "v3")._replace(revision=20)))
    harness.receive_decisions(SWITCHING)
    assert harness.send_requests() == {"v1"}


@pytest.mark.parametrize(
    ("state", "reached"),
    [(ORDERED, {"v1"}), (CANARY, {"v1"}), (SWITCHING, {"v2"}), (COMPLETED, {"v2"}), (ROLLED_BACK, {"v1"})],
)
@pytest.mark.parametrize("source", ["feed", "snapshot", "words"])
def test_node_that_starts_during_a_rollout_reaches_the_effective_version(
    state: RolloutState, reached: set[str], source: str
) -> None:
    before = RolloutHarness()
    before.record_state(state)
    starting = RolloutHarness(ordered=False, servers=(server("other", "other"),))
    starting.orders = before.orders
    listed = ev.ServersReplaced((*servers_of("s1", "v1", 2), *servers_of("s1", "v2", 3)))
    if source == "snapshot":
        router = before.router
        orders = (router.rollouts.recorded_orders(), router.servers.versions.established())
        configuration = router.configuration
        assert configuration is not None
        for event in decode_snapshot(encode_snapshot(configuration, [], frozenset(), *orders)):
            starting.feed(event)
    elif source == "words":
        starting.receive_decisions(state)
    starting.feed(listed)
    if source == "feed":
        starting.record_state(state)
    assert starting.send_requests() == reached


def test_old_version_is_used_if_all_servers_of_the_new_version_are_leaving() -> None:
    harness = RolloutHarness()
    harness.record_state(SWITCHING)
    for number in (1, 2):
        harness.feed(ev.ServerListed(server(f"s1-v2-{number}", "s1", leaving=True, version="v2")))
    assert harness.send_requests() == {"v1"}


def test_vanished_entry_of_the_new_version_ranks_after_the_old_version() -> None:
    harness = RolloutHarness()
    harness.record_state(SWITCHING)
    for number in (1, 2):
        harness.feed(ev.ServerRemoved(f"s1-v2-{number}"))
    assert harness.send_requests() == {"v1"}
    for number in (1, 2):
        harness.feed(ev.ServerRemoved(f"s1-v1-{number}"))
    assert harness.versions(harness.arrive()) != []


def test_hedge_after_the_switch_stays_at_the_new_version() -> None:
    harness = RolloutHarness()
    harness.warm_up()
    harness.record_state(SWITCHING)
    key = harness.arrive()
    harness.advance(0.5)
    assert harness.versions(key) == ["v2", "v2"]


def test_request_sent_to_the_new_version_is_not_hedged_at_the_old_one() -> None:
    harness = RolloutHarness()
    harness.warm_up()
    harness.record_state(SWITCHING)
    key = harness.arrive()
    harness.feed(ev.ServerListed(server("s1-v1-3", "s1", "z3", version="v1")))
    harness.feed(ev.EvacuationsReplaced(frozenset({"z1", "z2"})))
    harness.advance(0.5)
    assert harness.versions(key) == ["v2"]
    assert harness.versions(harness.arrive()) == ["v1"]


def test_retry_after_the_switch_stays_at_the_new_version() -> None:
    harness = RolloutHarness()
    harness.record_state(SWITCHING)
    harness.feed(ev.ServerRemoved("s1-v2-2"))
    harness.advance(3.0)
    key = harness.arrive()
    harness.fail(harness.attempts(key)[0], SHED)
    assert harness.versions(key) == ["v2"]


def test_evacuated_zones_of_the_new_version_get_no_requests() -> None:
    harness = RolloutHarness()
    harness.feed(ev.EvacuationsReplaced(frozenset({"z2"})))
    harness.record_state(SWITCHING)
    assert harness.send_requests() == {"v2"}
    assert {each.server.zone for each in harness.sent} == {"z1"}
    harness.feed(ev.EvacuationsReplaced(frozenset({"z1", "z2"})))
    assert harness.versions(harness.arrive()) == []


def test_replacement_servers_of_the_same_version_get_requests() -> None:
    harness = RolloutHarness(ordered=False, servers=servers_of("s1", "v1"))
    harness.feed(ev.ServerListed(server("next", "s1", version="v1")))
    harness.feed(ev.ServerRemoved("s1-v1-1"))
    harness.feed(ev.ServerRemoved("s1-v1-2"))
    harness.advance(3.0)
    harness.send_requests(requests=3)
    assert harness.counts() == {"next": 3}


def test_all_versions_get_requests_if_rollouts_are_disabled() -> None:
    records = (*servers_of("s1", "v1", 1), *servers_of("s1", "v2", 1))
    harness = RouterHarness(ONE_SHARD, servers=records)
    harness.feed(ev.RolloutOrdered(order_for("s1")))
    for _ in range(20):
        harness.arrive()
    assert {each.server.version for each in harness.sent} == {"v1", "v2"}


def test_log_events_contain_recorded_and_effective_states() -> None:
    harness = RolloutHarness()
    harness.receive_decisions(SWITCHING)
    harness.record_state(SWITCHING)
    harness.feed(ev.RolloutWithdrawn("s1"))
    logged = [
        (note.name, note.details["state"]) for note in harness.logged if note.name.startswith("rollout")
    ]
    assert logged == [
        ("rollout_learnt", ORDERED),
        ("rollout_obeyed", ORDERED),
        ("rollout_obeyed", SWITCHING),
        ("rollout_learnt", SWITCHING),
        ("rollout_obeyed", "withdrawn"),
        ("rollout_learnt", "withdrawn"),
    ]


def test_attempts_in_flight_at_old_servers_are_reported_until_they_end() -> None:
    harness = RolloutHarness(single_route())
    early = harness.arrive("/one/x")
    harness.record_state(SWITCHING)
    late = harness.arrive("/one/x")
    assert (harness.versions(early), harness.versions(late)) == (["v1"], ["v2"])
    report = harness.report()
    assert (report.state, report.old_in_flight, report.sent_old, report.sent_new) == (SWITCHING, 1, 1, 1)
    harness.answer(harness.attempts(early)[0], reply())
    assert harness.report().old_in_flight == 0


def test_order_known_only_from_decisions_is_reported_but_not_listed_as_open() -> None:
    harness = RolloutHarness(ordered=False)
    harness.receive_decisions(SWITCHING)
    assert harness.send_requests() == {"v2"}
    assert harness.report().state is SWITCHING
    assert harness.router.open_orders() == ()


def test_version_counts_exclude_removed_and_leaving_servers() -> None:
    harness = RolloutHarness(ordered=False)
    harness.feed(ev.ServerRemoved("s1-v1-1"))
    harness.feed(ev.ServerListed(server("s1-v2-2", "s1", leaving=True, version="v2")))
    assert harness.router.version_counts("s1") == {"v1": 1, "v2": 1}
    assert harness.router.version_counts("unheard") == {}

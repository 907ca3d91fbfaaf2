"""Servers of an evacuated zone, or of a region that a route does not allow, get no new requests."""

from dataclasses import replace

import pytest
from harness import BUDGET, RouterHarness, configuration, failure, gather_route, reply, server, single_route

from yokesill.gateway import events as ev
from yokesill.gateway.options import GatewayOptions
from yokesill.verdict import Reason, Verdict

ONE_SHARD = gather_route(services=("s1",), coverage=1.0)
SHED = failure(Reason.SHED, Verdict.NOT_RUN)


def zones_of(harness: RouterHarness, key: str) -> list[str]:
    return [each.server.zone for each in harness.attempts(key)]


def test_first_attempts_avoid_an_evacuated_zone_until_it_is_reopened() -> None:
    harness = RouterHarness(ONE_SHARD)
    harness.feed(ev.ZoneEvacuated("z1"))
    assert {zones_of(harness, harness.arrive())[0] for _ in range(5)} == {"z2"}
    for attempt in harness.sent:
        harness.answer(attempt)
    harness.feed(ev.ZoneReopened("z1"))
    assert zones_of(harness, harness.arrive()) == ["z1"]


def test_hedges_and_retries_avoid_an_evacuated_zone() -> None:
    harness = RouterHarness(ONE_SHARD)
    harness.warm_up()
    harness.feed(ev.ZoneEvacuated("z2"))
    late = harness.arrive()
    harness.advance(0.5)
    assert zones_of(harness, late) == ["z1"]
    retried = harness.arrive()
    harness.fail(harness.attempts(retried)[-1], SHED)
    harness.advance(0.5)
    assert set(zones_of(harness, retried)) == {"z1"}


def test_queued_requests_are_not_sent_to_an_evacuated_zone() -> None:
    harness = RouterHarness(ONE_SHARD, nodes=50)
    harness.warm_up()
    for _ in range(4):
        key = harness.arrive()
        harness.advance(0.4)
        for attempt in harness.attempts(key):
            harness.answer(attempt)
    waiting = [harness.arrive() for _ in range(6)]
    harness.feed(ev.EvacuationsReplaced(frozenset({"z1"})))
    before = len(harness.sent)
    harness.advance(1.6)
    assert {each.server.zone for each in harness.sent[before:]} <= {"z2"}
    assert all(key in harness.finals for key in waiting)


def test_server_whose_entry_vanished_is_no_last_resort_in_an_evacuated_zone() -> None:
    harness = RouterHarness(ONE_SHARD)
    harness.feed(ev.ServerRemoved("s1-z2"))
    harness.feed(ev.ZoneEvacuated("z1"))
    harness.feed(ev.ZoneEvacuated("z2"))
    key = harness.arrive()
    assert harness.attempts(key) == []


def test_request_that_only_an_evacuated_zone_could_serve_is_refused_as_not_run() -> None:
    harness = RouterHarness(ONE_SHARD, single_route(), servers=(server("a", "s1"), server("b", "desk")))
    harness.feed(ev.ZoneEvacuated("z1"))
    for path in ("/wide/x", "/one/x"):
        final = harness.finals[harness.arrive(path)]
        assert isinstance(final, ev.Refuse)
        assert final.failure.verdict is Verdict.NOT_RUN
    assert harness.sent == []


def test_attempt_in_flight_in_an_evacuated_zone_is_not_cancelled() -> None:
    harness = RouterHarness(ONE_SHARD)
    key = harness.arrive()
    harness.feed(ev.ZoneEvacuated("z1"))
    harness.answer(harness.attempts(key)[0], reply(b"x" * 16))
    assert isinstance(harness.finals[key], ev.Gathered)
    assert harness.cancelled == []


def test_several_evacuated_zones_and_their_replacement_by_a_complete_list() -> None:
    harness = RouterHarness(ONE_SHARD, servers=tuple(server(f"a{n}", "s1", f"z{n}") for n in (1, 2, 3)))
    harness.feed(ev.ZoneEvacuated("z1"))
    harness.feed(ev.ZoneEvacuated("z2"))
    assert zones_of(harness, harness.arrive()) == ["z3"]
    harness.feed(ev.EvacuationsReplaced(frozenset({"z3"})))
    assert zones_of(harness, harness.arrive()) == ["z1"]
    logged = [
        (note.details["zone"], note.details["evacuated"])
        for note in harness.logged
        if note.name == "zone_evacuated"
    ]
    assert logged == [("z1", True), ("z2", True), ("z1", False), ("z2", False), ("z3", True)]


@pytest.mark.parametrize(("regions", "zones"), [(("r2",), {"z2"}), (("r1",), {"z1"}), ((), {"z1"})])
def test_route_with_regions_reaches_no_other_region(regions: tuple[str, ...], zones: set[str]) -> None:
    options = GatewayOptions("z1", regions={"z1": "r1", "z2": "r2"}, budget=BUDGET)
    harness = RouterHarness(servers=(server("a", "s1", "z1"), server("b", "s1", "z2")), options=options)
    harness.feed(ev.ConfigurationReceived(configuration(1, replace(ONE_SHARD, regions=regions))))
    for _ in range(3):
        key = harness.arrive()
        harness.advance(1.0)
        harness.arrive()
        for attempt in harness.attempts(key):
            harness.fail(attempt)
    if regions:
        assert {each.server.zone for each in harness.sent} == zones
    else:
        assert {each.server.zone for each in harness.sent} >= zones

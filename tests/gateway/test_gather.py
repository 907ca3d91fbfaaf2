"""Wide requests: what is answered, when, and under which version."""

import pytest
from harness import RouterHarness, configuration, failure, gather_route, reply, server

from yokesill.gateway import events as ev
from yokesill.verdict import Reason, Verdict


def record(value: int) -> bytes:
    return value.to_bytes(16, "big")


def test_the_greatest_records_of_all_parts_falling_with_equal_ones_kept() -> None:
    harness = RouterHarness(gather_route())
    key = harness.arrive()
    parts = [record(5) + record(9), record(9), record(1) + b"short", b""]
    for number, (attempt, part) in enumerate(zip(harness.of(key), parts, strict=True)):
        harness.answer(attempt, reply(part, signature=b"sig-%d" % number))
    final = harness.finals[key]
    assert isinstance(final, ev.Gathered)
    assert final.records == record(9) + record(9) + record(5)
    assert final.signatures == (b"sig-0", b"sig-1", b"sig-2", b"sig-3")
    assert final.missing == 0


def test_at_the_soft_deadline_what_is_in_is_answered_when_it_covers_enough() -> None:
    harness = RouterHarness(gather_route(coverage=0.75))
    key = harness.arrive()
    for attempt in harness.of(key)[:3]:
        harness.answer(attempt)
    harness.advance(0.100)
    assert key not in harness.finals
    harness.advance(0.008)
    final = harness.finals[key]
    assert isinstance(final, ev.Gathered)
    assert final.missing == 1
    assert final.summary.missing == ("s4",)


def test_too_little_coverage_waits_on_and_is_answered_as_soon_as_it_is_enough() -> None:
    harness = RouterHarness(gather_route(coverage=0.75))
    key = harness.arrive()
    first = harness.of(key)
    for attempt in first[:2]:
        harness.answer(attempt)
    harness.advance(0.3)
    assert key not in harness.finals
    harness.answer(first[2])
    assert isinstance(harness.finals[key], ev.Gathered)


def test_too_little_coverage_at_the_hard_deadline_is_refused_as_may_have_run() -> None:
    harness = RouterHarness(gather_route())
    key = harness.arrive(patience=1.0)
    harness.answer(harness.of(key)[0])
    harness.advance(1.0)
    final = harness.finals[key]
    assert isinstance(final, ev.Refuse)
    assert final.failure.verdict is not Verdict.NOT_RUN


def test_a_later_try_of_the_caller_is_answered_by_what_is_left_of_the_target() -> None:
    harness = RouterHarness(gather_route())
    harness.warm_up()
    key = harness.arrive(patience=1.45)
    for attempt in harness.of(key)[:3]:
        harness.answer(attempt)
    harness.advance(0.060)
    assert isinstance(harness.finals[key], ev.Gathered)


def test_a_query_keeps_the_shards_that_it_started_with() -> None:
    harness = RouterHarness(gather_route(), servers=tuple(server(f"a{n}", f"s{n}") for n in range(1, 5)))
    key = harness.arrive()
    after = gather_route(services=("t1", "t2"))
    harness.feed(ev.ServerListed(server("b1", "t1")))
    harness.feed(ev.ServerListed(server("b2", "t2")))
    harness.feed(ev.ConfigurationReceived(configuration(2, after)))
    for attempt in harness.of(key):
        harness.answer(attempt)
    final = harness.finals[key]
    assert isinstance(final, ev.Gathered)
    assert (final.summary.version, final.summary.asked) == (1, 4)
    newer = harness.arrive()
    assert {each.server.service for each in harness.of(newer)} == {"t1", "t2"}


def test_an_older_version_never_replaces_a_newer_one() -> None:
    harness = RouterHarness(gather_route())
    harness.feed(ev.ConfigurationReceived(configuration(5, gather_route(services=("t1",)))))
    harness.feed(ev.ConfigurationReceived(configuration(4, gather_route())))
    assert harness.router.configuration is not None
    assert harness.router.configuration.version == 5


def test_all_shards_without_servers_are_refused_at_once_as_not_run() -> None:
    harness = RouterHarness(gather_route(), servers=(server("x", "other"),))
    key = harness.arrive()
    final = harness.finals[key]
    assert isinstance(final, ev.Refuse)
    assert (final.failure.reason, final.failure.verdict) == (Reason.NO_REPLICA, Verdict.NOT_RUN)
    assert final.failure.retry_after_ms > 0


def test_a_stalled_shard_is_asked_at_another_server_and_the_loser_may_finish() -> None:
    harness = RouterHarness(gather_route())
    harness.warm_up()
    key = harness.arrive()
    first = harness.of(key)
    harness.advance(0.02)
    for attempt in first[1:]:
        harness.answer(attempt)
    harness.advance(0.04)
    hedge = harness.of(key)[-1]
    assert hedge.server.service == first[0].server.service
    assert hedge.server.instance != first[0].server.instance
    harness.answer(hedge)
    assert isinstance(harness.finals[key], ev.Gathered)
    assert harness.cancelled == []
    harness.answer(first[0])


def test_a_shard_runs_on_no_more_servers_than_its_route_allows() -> None:
    three = tuple(server(f"a{n}", "s1", f"z{n}") for n in range(1, 4))
    harness = RouterHarness(gather_route(services=("s1",), attempts=2), servers=three)
    key = harness.arrive()
    harness.advance(1.4)
    assert len(harness.of(key)) == 2


def test_a_caller_that_leaves_has_its_attempts_broken_off() -> None:
    harness = RouterHarness(gather_route())
    key = harness.arrive()
    harness.feed(ev.CallerLeft(key))
    assert harness.cancelled == [each.number for each in harness.of(key)]
    assert harness.router.in_flight == 0
    for attempt in harness.of(key):
        harness.answer(attempt)
    assert key not in harness.finals


@pytest.mark.parametrize("answers", [0, 2])
def test_a_shard_whose_servers_all_fail_does_not_hold_the_others_up(answers: int) -> None:
    harness = RouterHarness(gather_route())
    key = harness.arrive()
    lost = harness.of(key)[0]
    harness.fail(lost)
    harness.fail(harness.of(key)[-1], failure(Reason.CONNECT_FAILED, Verdict.NOT_RUN))
    for attempt in harness.of(key)[1:4]:
        harness.answer(attempt)
    final = harness.finals[key]
    assert isinstance(final, ev.Gathered)
    assert final.missing == 1


def test_a_caller_on_a_kept_connection_gets_more_of_its_target() -> None:
    for fresh, answered in ((True, True), (False, False)):
        harness = RouterHarness(gather_route())
        key = harness.arrive(fresh=fresh)
        for attempt in harness.of(key)[:3]:
            harness.answer(attempt)
        harness.advance(0.105)
        assert (key in harness.finals) is answered
        harness.advance(0.005)
        assert key in harness.finals


def test_a_node_whose_timers_come_late_answers_earlier() -> None:
    harness = RouterHarness(gather_route())
    for _ in range(10):
        key = harness.arrive()
        for attempt in harness.of(key)[:3]:
            harness.answer(attempt)
        harness.now += 0.115
        harness.advance(0.0)
        harness.advance(1.5)
    key = harness.arrive()
    for attempt in harness.of(key)[:3]:
        harness.answer(attempt)
    harness.advance(0.1)
    assert key in harness.finals


def test_one_very_patient_caller_does_not_make_all_others_late() -> None:
    harness = RouterHarness(gather_route())
    harness.arrive(patience=60.0)
    key = harness.arrive(patience=1.5)
    for attempt in harness.of(key)[:3]:
        harness.answer(attempt)
    harness.advance(0.105)
    assert key in harness.finals


def test_when_most_shards_are_late_at_once_this_node_is_and_hedging_waits_once() -> None:
    shards = tuple(f"s{number}" for number in range(10))
    harness = RouterHarness(gather_route(services=shards))
    harness.warm_up(latency=0.010)
    key = harness.arrive()
    first = harness.of(key)
    harness.advance(0.025)
    assert len(harness.of(key)) == 10
    for attempt in first[:8]:
        harness.answer(attempt)
    harness.advance(0.025)
    assert len(harness.of(key)) == 12


def test_an_open_connection_a_little_further_away_goes_before_a_new_one() -> None:
    near, far = server("near", "s1", "z1"), server("far", "s1", "z2")
    harness = RouterHarness(gather_route(services=("s1",)), servers=(near, far))
    harness.feed(ev.ConnectionsChanged("near", 1))
    key = harness.arrive()
    harness.answer(harness.of(key)[0], connected_in=0.010)
    assert harness.of(key)[0].server.instance == "near"
    harness.feed(ev.ConnectionsChanged("near", 0))
    harness.feed(ev.ConnectionsChanged("far", 1))
    assert harness.of(harness.arrive())[0].server.instance == "far"


def test_a_far_region_does_not_make_connecting_dear_everywhere() -> None:
    near, far = server("near", "s1", "z1"), server("far", "s1", "z2")
    harness = RouterHarness(gather_route(services=("s1",)), servers=(near, far))
    harness.feed(ev.ConnectionsChanged("near", 1))
    harness.answer(harness.of(harness.arrive())[0], connected_in=0.006)
    harness.feed(ev.ServerSuspected("near", 0.5))
    harness.feed(ev.ConnectionsChanged("far", 1))
    for _ in range(16):
        attempt = harness.of(harness.arrive())[0]
        assert attempt.server.instance == "far"
        harness.answer(attempt, connected_in=0.030)
    harness.advance(1.0)
    harness.feed(ev.ConnectionsChanged("near", 0))
    assert harness.of(harness.arrive())[0].server.instance == "near"

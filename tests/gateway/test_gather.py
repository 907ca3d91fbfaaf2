"""Requests that gather from many services: their answers, timing, and configuration version."""

import pytest
from harness import RouterHarness, configuration, failure, gather_route, reply, server

from yokesill.gateway import events as ev
from yokesill.verdict import Reason, Verdict


def record(value: int) -> bytes:
    return value.to_bytes(16, "big")


def test_gather_returns_greatest_records_in_descending_order_with_duplicates() -> None:
    harness = RouterHarness(gather_route())
    key = harness.arrive()
    bodies = [record(5) + record(9), record(9), record(1) + b"short", b""]
    for number, (attempt, body) in enumerate(zip(harness.attempts(key), bodies, strict=True)):
        harness.answer(attempt, reply(body, signature=b"sig-%d" % number))
    final = harness.finals[key]
    assert isinstance(final, ev.Gathered)
    assert final.records == record(9) + record(9) + record(5)
    assert final.signatures == (b"sig-0", b"sig-1", b"sig-2", b"sig-3")
    assert final.missing == 0


def test_partial_answer_is_given_at_objective_when_coverage_is_sufficient() -> None:
    harness = RouterHarness(gather_route(coverage=0.75))
    key = harness.arrive()
    for attempt in harness.attempts(key)[:3]:
        harness.answer(attempt)
    harness.advance(0.100)
    assert key not in harness.finals
    harness.advance(0.008)
    final = harness.finals[key]
    assert isinstance(final, ev.Gathered)
    assert final.missing == 1
    assert final.summary.missing == ("s4",)


def test_insufficient_coverage_at_objective_waits_until_sufficient() -> None:
    harness = RouterHarness(gather_route(coverage=0.75))
    key = harness.arrive()
    first = harness.attempts(key)
    for attempt in first[:2]:
        harness.answer(attempt)
    harness.advance(0.3)
    assert key not in harness.finals
    harness.answer(first[2])
    assert isinstance(harness.finals[key], ev.Gathered)


def test_insufficient_coverage_at_deadline_is_refused_as_may_have_run() -> None:
    harness = RouterHarness(gather_route())
    key = harness.arrive(timeout_s=1.0)
    harness.answer(harness.attempts(key)[0])
    harness.advance(1.0)
    final = harness.finals[key]
    assert isinstance(final, ev.Refuse)
    assert final.failure.verdict is not Verdict.NOT_RUN


def test_retry_of_caller_gets_remainder_of_latency_objective() -> None:
    harness = RouterHarness(gather_route())
    harness.warm_up()
    key = harness.arrive(timeout_s=1.45)
    for attempt in harness.attempts(key)[:3]:
        harness.answer(attempt)
    harness.advance(0.060)
    assert isinstance(harness.finals[key], ev.Gathered)


def test_request_keeps_its_shards_when_configuration_changes() -> None:
    harness = RouterHarness(gather_route(), servers=tuple(server(f"a{n}", f"s{n}") for n in range(1, 5)))
    key = harness.arrive()
    changed_route = gather_route(services=("t1", "t2"))
    harness.feed(ev.ServerListed(server("b1", "t1")))
    harness.feed(ev.ServerListed(server("b2", "t2")))
    harness.feed(ev.ConfigurationReceived(configuration(2, changed_route)))
    for attempt in harness.attempts(key):
        harness.answer(attempt)
    final = harness.finals[key]
    assert isinstance(final, ev.Gathered)
    assert (final.summary.version, final.summary.asked) == (1, 4)
    newer = harness.arrive()
    assert {each.server.service for each in harness.attempts(newer)} == {"t1", "t2"}


def test_older_configuration_does_not_replace_newer_one() -> None:
    harness = RouterHarness(gather_route())
    harness.feed(ev.ConfigurationReceived(configuration(5, gather_route(services=("t1",)))))
    harness.feed(ev.ConfigurationReceived(configuration(4, gather_route())))
    assert harness.router.configuration is not None
    assert harness.router.configuration.version == 5


def test_request_is_refused_as_not_run_when_no_shard_has_servers() -> None:
    harness = RouterHarness(gather_route(), servers=(server("x", "other"),))
    key = harness.arrive()
    final = harness.finals[key]
    assert isinstance(final, ev.Refuse)
    assert (final.failure.reason, final.failure.verdict) == (Reason.NO_REPLICA, Verdict.NOT_RUN)
    assert final.failure.retry_after_ms > 0


def test_stalled_shard_is_hedged_and_slower_attempt_is_not_cancelled() -> None:
    harness = RouterHarness(gather_route())
    harness.warm_up()
    key = harness.arrive()
    first = harness.attempts(key)
    harness.advance(0.02)
    for attempt in first[1:]:
        harness.answer(attempt)
    harness.advance(0.04)
    hedge = harness.attempts(key)[-1]
    assert hedge.server.service == first[0].server.service
    assert hedge.server.instance != first[0].server.instance
    harness.answer(hedge)
    assert isinstance(harness.finals[key], ev.Gathered)
    assert harness.cancelled == []
    harness.answer(first[0])


def test_attempts_per_shard_are_limited_by_max_attempts() -> None:
    three = tuple(server(f"a{n}", "s1", f"z{n}") for n in range(1, 4))
    harness = RouterHarness(gather_route(services=("s1",), attempts=2), servers=three)
    key = harness.arrive()
    harness.advance(1.4)
    assert len(harness.attempts(key)) == 2


def test_attempts_are_cancelled_when_caller_disconnects() -> None:
    harness = RouterHarness(gather_route())
    key = harness.arrive()
    harness.feed(ev.CallerLeft(key))
    assert harness.cancelled == [each.number for each in harness.attempts(key)]
    assert harness.router.in_flight == 0
    for attempt in harness.attempts(key):
        harness.answer(attempt)
    assert key not in harness.finals


@pytest.mark.parametrize("answers", [0, 2])
def test_failed_shard_does_not_delay_answer_of_other_shards(answers: int) -> None:
    harness = RouterHarness(gather_route())
    key = harness.arrive()
    lost = harness.attempts(key)[0]
    harness.fail(lost)
    harness.fail(harness.attempts(key)[-1], failure(Reason.CONNECT_FAILED, Verdict.NOT_RUN))
    for attempt in harness.attempts(key)[1:4]:
        harness.answer(attempt)
    final = harness.finals[key]
    assert isinstance(final, ev.Gathered)
    assert final.missing == 1


def test_kept_connection_gets_later_objective_than_fresh_connection() -> None:
    for fresh, answered in ((True, True), (False, False)):
        harness = RouterHarness(gather_route())
        key = harness.arrive(fresh=fresh)
        for attempt in harness.attempts(key)[:3]:
            harness.answer(attempt)
        harness.advance(0.105)
        assert (key in harness.finals) is answered
        harness.advance(0.005)
        assert key in harness.finals


def test_objective_is_earlier_when_timers_of_node_are_late() -> None:
    harness = RouterHarness(gather_route())
    for _ in range(10):
        key = harness.arrive()
        for attempt in harness.attempts(key)[:3]:
            harness.answer(attempt)
        harness.now += 0.115
        harness.advance(0.0)
        harness.advance(1.5)
    key = harness.arrive()
    for attempt in harness.attempts(key)[:3]:
        harness.answer(attempt)
    harness.advance(0.1)
    assert key in harness.finals


def test_long_timeout_of_one_caller_does_not_affect_other_callers() -> None:
    harness = RouterHarness(gather_route())
    harness.arrive(timeout_s=60.0)
    key = harness.arrive(timeout_s=1.5)
    for attempt in harness.attempts(key)[:3]:
        harness.answer(attempt)
    harness.advance(0.105)
    assert key in harness.finals


def test_hedges_are_postponed_once_when_most_shards_are_late() -> None:
    shards = tuple(f"s{number}" for number in range(10))
    harness = RouterHarness(gather_route(services=shards))
    harness.warm_up(latency=0.010)
    key = harness.arrive()
    first = harness.attempts(key)
    harness.advance(0.025)
    assert len(harness.attempts(key)) == 10
    for attempt in first[:8]:
        harness.answer(attempt)
    harness.advance(0.025)
    assert len(harness.attempts(key)) == 12


def test_open_connection_in_other_zone_is_preferred_to_new_connection() -> None:
    near, far = server("near", "s1", "z1"), server("far", "s1", "z2")
    harness = RouterHarness(gather_route(services=("s1",)), servers=(near, far))
    harness.feed(ev.ConnectionsChanged("near", 1))
    key = harness.arrive()
    harness.answer(harness.attempts(key)[0], connected_in=0.010)
    assert harness.attempts(key)[0].server.instance == "near"
    harness.feed(ev.ConnectionsChanged("near", 0))
    harness.feed(ev.ConnectionsChanged("far", 1))
    assert harness.attempts(harness.arrive())[0].server.instance == "far"


def test_connect_time_of_distant_server_does_not_affect_near_server() -> None:
    near, far = server("near", "s1", "z1"), server("far", "s1", "z2")
    harness = RouterHarness(gather_route(services=("s1",)), servers=(near, far))
    harness.feed(ev.ConnectionsChanged("near", 1))
    harness.answer(harness.attempts(harness.arrive())[0], connected_in=0.006)
    harness.feed(ev.ServerSuspected("near", 0.5))
    harness.feed(ev.ConnectionsChanged("far", 1))
    for _ in range(16):
        attempt = harness.attempts(harness.arrive())[0]
        assert attempt.server.instance == "far"
        harness.answer(attempt, connected_in=0.030)
    harness.advance(1.0)
    harness.feed(ev.ConnectionsChanged("near", 0))
    assert harness.attempts(harness.arrive())[0].server.instance == "near"

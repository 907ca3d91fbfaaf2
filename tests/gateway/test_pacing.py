"""Shards whose servers are all slow: which calls are sent, queued or refused, and in which order.

Also covers servers that refuse connections.
"""

import itertools
from dataclasses import replace

from harness import SHARDS, RouterHarness, failure, gather_route, reply, server, single_route

from yokesill.gateway import events as ev
from yokesill.gateway.documents import ServerRecord
from yokesill.gateway.messages import Attempt
from yokesill.verdict import Reason, Verdict

USUAL_S, SLOW_S, STEP_S = 0.02, 0.2, 0.005
ONE_SHARD = gather_route(services=("s1",), attempts=2)
ALL_NEEDED = gather_route(coverage=1.0)
THREE_SERVERS = tuple(server(f"a{n}", "s1", f"z{n}") for n in range(1, 4))


def servers_with_single(service: str, slots: int = 2) -> tuple[ServerRecord, ...]:
    """Return two servers for every shard except ``service``, which gets a single server."""
    others = [name for name in SHARDS if name != service]
    pairs = [server(f"{name}-{zone}", name, zone) for name in others for zone in ("z1", "z2")]
    return (server("a", service, slots=slots), *pairs)


def answer_in(harness: RouterHarness, key: str, usual: float, slow: float, services: tuple[str, ...]) -> None:
    """Answer a request's attempts after ``usual`` seconds, those at ``services`` after ``slow`` seconds."""
    started = harness.now
    answered: set[int] = set()
    for after_s, at_slow in ((usual, False), (slow, True), (2 * slow, True), (3 * slow, True)):
        harness.advance(max(0.0, started + after_s - harness.now))
        for attempt in harness.attempts(key):
            is_slow = attempt.server.service in services
            if attempt.number not in answered and is_slow == at_slow:
                answered.add(attempt.number)
                harness.answer(attempt)


def make_slow(harness: RouterHarness, services: tuple[str, ...], path: str = "/wide/x") -> RouterHarness:
    """Answer slowly at some services until the node considers all their servers slow."""
    harness.warm_up(path, USUAL_S)
    for _ in range(8):
        answer_in(harness, harness.arrive(path, 6.0), USUAL_S, SLOW_S, services)
    return harness


def services_sent(harness: RouterHarness, key: str) -> set[str]:
    return {each.server.service for each in harness.attempts(key)}


def answer_others(harness: RouterHarness, key: str, service: str) -> None:
    """Answer a request's attempts at all services except ``service``."""
    harness.advance(USUAL_S)
    for attempt in harness.attempts(key):
        if attempt.server.service != service:
            harness.answer(attempt)


def harness_with_busy_shard(nodes: int) -> RouterHarness:
    """Return a node that considers the only server of ``s1`` slow and has just sent it attempts."""
    harness = make_slow(RouterHarness(ALL_NEEDED, servers=servers_with_single("s1"), nodes=nodes), ("s1",))
    for _ in range(2):
        key = harness.arrive(timeout_s=6.0)
        answer_others(harness, key, "s1")
    return harness


def is_queued(harness: RouterHarness, key: str) -> bool:
    """Whether a request has not been sent to ``s1`` yet, since it waits for a slot there."""
    return "s1" not in services_sent(harness, key)


def simulate_servers(harness: RouterHarness, slow: tuple[str, ...], seconds: float) -> dict[int, float]:
    """Let servers answer their attempts for a while; return when each attempt at a slow service was sent."""
    sent_at_s: dict[int, float] = {}
    answered: set[int] = set()
    for _ in range(round(seconds / STEP_S)):
        harness.advance(STEP_S)
        for attempt in list(harness.sent):
            first_seen_s = sent_at_s.setdefault(attempt.number, harness.now)
            latency_s = SLOW_S if attempt.server.service in slow else USUAL_S
            if attempt.number not in answered and harness.now - first_seen_s >= latency_s:
                answered.add(attempt.number)
                harness.answer(attempt)
    return {
        attempt.number: sent_at_s[attempt.number]
        for attempt in harness.sent
        if attempt.server.service in slow
    }


def test_only_needed_slow_shards_are_sent_attempts() -> None:
    ones = tuple(server(name, name) for name in SHARDS)
    harness = make_slow(RouterHarness(gather_route(coverage=0.75), servers=ones, nodes=8), ("s1", "s2"))
    keys = [harness.arrive(timeout_s=6.0) for _ in range(4)]
    assert any(services_sent(harness, key) == {"s3", "s4"} for key in keys)
    simulate_servers(harness, ("s1", "s2"), 1.4)
    for key in keys:
        final = harness.finals[key]
        if isinstance(final, ev.Gathered):
            assert final.missing == 1
            assert len(services_sent(harness, key)) == 3
    assert sum(isinstance(harness.finals[key], ev.Gathered) for key in keys) >= 2


def test_deferred_slow_shard_is_sent_attempt_when_another_shard_fails() -> None:
    harness = make_slow(RouterHarness(gather_route(coverage=0.75), nodes=8), ("s1",))
    for _ in range(4):
        key = harness.arrive(timeout_s=6.0)
        if is_queued(harness, key):
            break
    assert is_queued(harness, key)
    for _ in range(2):
        harness.fail([each for each in harness.attempts(key) if each.server.service == "s2"][-1])
    harness.advance(3.0)
    assert "s1" in services_sent(harness, key)


def test_slow_server_gets_attempts_at_share_of_its_pace() -> None:
    harness = harness_with_busy_shard(nodes=8)
    for _ in range(3):
        answer_others(harness, harness.arrive(timeout_s=6.0), "s1")
    started = harness.now
    sent_at = simulate_servers(harness, ("s1",), 3.0)
    # With two slots and 0.2 s per answer, each of eight nodes may send one attempt about every 0.44 s.
    times = sorted(at_s for at_s in sent_at.values() if at_s > started + STEP_S)
    gaps = [later - earlier for earlier, later in itertools.pairwise(times)]
    assert gaps
    assert 0.35 <= min(gaps) <= 0.8, gaps


def test_newest_request_that_can_be_in_time_goes_first() -> None:
    harness = harness_with_busy_shard(nodes=3)
    old = harness.arrive(timeout_s=6.0)
    harness.advance(0.12)
    newer, newest = harness.arrive(timeout_s=6.0), harness.arrive(timeout_s=6.0)
    assert all(is_queued(harness, key) for key in (old, newer, newest))
    queue = harness.router._context.pacing_queue
    first = queue.next("s1", harness.now)
    assert first.request.key == newest
    longest = queue.next("s1", harness.now + 1.0)
    assert longest.request.arrived_at_s <= min(each.request.arrived_at_s for each in harness.attempts(old))


def test_urgent_request_goes_before_newer_less_urgent_request() -> None:
    less_urgent = replace(ALL_NEEDED, name="lesser", prefix="/lesser/", priority=ALL_NEEDED.priority + 1)
    harness = RouterHarness(ALL_NEEDED, less_urgent, servers=servers_with_single("s1"), nodes=3)
    make_slow(harness, ("s1",))
    for _ in range(2):
        answer_others(harness, harness.arrive(timeout_s=6.0), "s1")
    urgent = harness.arrive(timeout_s=6.0)
    newer = harness.arrive("/lesser/x", 6.0)
    assert is_queued(harness, urgent) and is_queued(harness, newer)
    assert harness.router._context.pacing_queue.next("s1", harness.now).request.key == urgent


def test_request_close_to_deadline_goes_before_newest_request() -> None:
    harness = harness_with_busy_shard(nodes=3)
    old, newest = harness.arrive(timeout_s=0.5), harness.arrive(timeout_s=6.0)
    assert is_queued(harness, old) and is_queued(harness, newest)
    assert harness.router._context.pacing_queue.next("s1", harness.now).request.key == old


def test_request_that_expires_in_queue_is_refused_as_not_run_and_never_sent() -> None:
    one = (server("a", "desk"),)
    harness = make_slow(RouterHarness(single_route(), servers=one, nodes=50), ("desk",), path="/one/x")
    keys = [harness.arrive("/one/x", 1.2) for _ in range(4)]
    assert all(harness.attempts(key) == [] for key in keys)
    harness.advance(1.3)
    given_up = [key for key in keys if harness.attempts(key) == []]
    assert given_up
    for key in given_up:
        final = harness.finals[key]
        assert isinstance(final, ev.Refuse)
        assert final.failure.verdict is Verdict.NOT_RUN
        assert final.failure.retry_after_ms > 0
    harness.advance(30.0)
    assert all(harness.attempts(key) == [] for key in given_up)


def test_request_waits_for_slot_that_is_free_before_its_deadline() -> None:
    one = (server("a", "desk"),)
    harness = make_slow(RouterHarness(single_route(), servers=one, nodes=50), ("desk",), path="/one/x")
    simulate_servers(harness, ("desk",), 6.0)
    harness.arrive("/one/x", 6.0)
    key = harness.arrive("/one/x", 6.0)
    assert harness.attempts(key) == []
    simulate_servers(harness, ("desk",), 6.0)
    assert len(harness.attempts(key)) == 1
    assert isinstance(harness.finals[key], ev.PassOn)


def test_request_is_sent_at_once_when_next_slot_is_after_its_deadline() -> None:
    one = (server("a", "desk"),)
    harness = make_slow(RouterHarness(single_route(), servers=one, nodes=50), ("desk",), path="/one/x")
    assert len(harness.attempts(harness.arrive("/one/x", 0.6))) == 1


def test_queued_request_is_not_sent_after_caller_disconnects() -> None:
    harness = harness_with_busy_shard(nodes=8)
    key = harness.arrive(timeout_s=6.0)
    assert is_queued(harness, key)
    harness.feed(ev.CallerLeft(key))
    simulate_servers(harness, ("s1",), 4.0)
    assert is_queued(harness, key)


def test_hedge_does_not_use_slot_that_queued_request_waits_for() -> None:
    harness = make_slow(RouterHarness(ALL_NEEDED, nodes=8), ("s1",))
    keys = [harness.arrive(timeout_s=6.0) for _ in range(6)]
    assert any(is_queued(harness, key) for key in keys)
    for _ in range(100):
        if not any(is_queued(harness, key) for key in keys):
            break
        assert all(sum(each.server.service == "s1" for each in harness.attempts(key)) <= 1 for key in keys)
        harness.advance(0.01)


def test_unreachable_coverage_is_refused_at_once_with_retry_after() -> None:
    harness = RouterHarness(gather_route(coverage=0.75))
    key = harness.arrive()
    answered = harness.attempts(key)[3]
    for shard in ("s1", "s2"):
        for _ in range(2):
            for attempt in [each for each in harness.attempts(key) if each.server.service == shard][-1:]:
                harness.fail(attempt)
    final = harness.finals[key]
    assert isinstance(final, ev.Refuse)
    assert final.failure.verdict is Verdict.MAY_HAVE_RUN
    assert final.failure.retry_after_ms > 0
    harness.answer(answered)


def test_sound_shard_is_sent_attempt_at_once_when_other_shards_are_slow() -> None:
    harness = make_slow(RouterHarness(gather_route(coverage=1.0), nodes=8), ("s1", "s2"))
    harness.arrive(timeout_s=6.0)
    key = harness.arrive(timeout_s=6.0)
    assert services_sent(harness, key) >= {"s3", "s4"}
    harness.advance(4.0)
    assert services_sent(harness, key) == set(SHARDS)


def test_no_call_is_deferred_while_servers_are_sound() -> None:
    harness = RouterHarness(gather_route(), nodes=50)
    harness.warm_up()
    for _ in range(5):
        assert services_sent(harness, harness.arrive()) == set(SHARDS)


def test_queue_drops_state_of_services_without_waiting_requests() -> None:
    harness = harness_with_busy_shard(nodes=8)
    assert is_queued(harness, harness.arrive(timeout_s=6.0))
    simulate_servers(harness, ("s1",), 6.0)
    assert len(harness.router._context.pacing_queue) == 0


# --- servers that refuse connections ---


def refuse(harness: RouterHarness, attempt: Attempt, verdict: Verdict = Verdict.NOT_RUN) -> None:
    harness.fail(attempt, failure(Reason.CONNECTION_REFUSED, verdict))


def test_refused_connection_causes_no_ejection_and_takes_no_budget() -> None:
    harness = RouterHarness(ONE_SHARD, servers=THREE_SERVERS)
    key = harness.arrive()
    first = harness.attempts(key)[0]
    refuse(harness, first)
    again = harness.attempts(key)[1]
    assert again.server.instance != first.server.instance
    harness.answer(again)
    assert harness.finals[key].summary is not None
    assert harness.finals[key].summary.extra_attempts == 0  # type: ignore[union-attr]
    assert not any(event.details.get("state") == "ejected" for event in harness.logged)


def test_request_waits_briefly_when_all_servers_refuse_connections() -> None:
    harness = RouterHarness(ONE_SHARD, servers=THREE_SERVERS)
    key = harness.arrive()
    for number in range(3):
        refuse(harness, harness.attempts(key)[number])
    assert key not in harness.finals
    harness.advance(0.035)
    assert len(harness.attempts(key)) == 4
    harness.answer(harness.attempts(key)[3])
    assert isinstance(harness.finals[key], ev.Gathered)


def test_retry_takes_budget_when_refused_connection_may_have_run_request() -> None:
    harness = RouterHarness(ONE_SHARD, servers=THREE_SERVERS)
    key = harness.arrive()
    refuse(harness, harness.attempts(key)[0], Verdict.MAY_HAVE_RUN)
    harness.answer(harness.attempts(key)[1])
    assert harness.finals[key].summary.extra_attempts == 1  # type: ignore[union-attr]


def test_connection_limit_grows_with_answers_and_is_bounded_by_refusal() -> None:
    harness = RouterHarness(ONE_SHARD, servers=(server("a", "s1"),))

    def limit() -> int:
        key = harness.arrive()
        attempt = harness.attempts(key)[0]
        harness.answer(attempt)
        return attempt.connection_limit

    grown = [limit() for _ in range(5)]
    assert grown == [1, 2, 3, 4, 5]
    harness.feed(ev.ConnectionsChanged("a", 2))
    refuse(harness, harness.attempts(harness.arrive())[0])
    harness.advance(0.5)
    assert limit() == 2


def test_forgotten_connection_causes_no_ejection() -> None:
    harness = RouterHarness(ONE_SHARD, servers=THREE_SERVERS)
    harness.warm_up()
    key = harness.arrive()
    first = harness.attempts(key)[0]
    harness.fail(first, failure(Reason.CONNECTION_FORGOTTEN))
    harness.answer(harness.attempts(key)[1], reply())
    assert not any(event.details.get("state") == "ejected" for event in harness.logged)
    assert harness.attempts(harness.arrive())[0].server.instance == first.server.instance

"""Shards whose servers are all slow: who is asked, who waits, in which order, and what is refused."""

import itertools
from dataclasses import replace

from harness import SHARDS, RouterHarness, failure, gather_route, reply, server, single_route

from yokesill.gateway import events as ev
from yokesill.gateway.documents import ServerRecord
from yokesill.gateway.messages import Attempt
from yokesill.verdict import Reason, Verdict

USUAL, SLOW, STEP = 0.02, 0.2, 0.005
ONE_SHARD = gather_route(services=("s1",), attempts=2)
ALL_NEEDED = gather_route(coverage=1.0)
THREE_ONE = tuple(server(f"a{n}", "s1", f"z{n}") for n in range(1, 4))


def servers_with_one_of(service: str, slots: int = 2) -> tuple[ServerRecord, ...]:
    """Two servers for every shard but one, which has a single server."""
    others = [name for name in SHARDS if name != service]
    pairs = [server(f"{name}-{zone}", name, zone) for name in others for zone in ("z1", "z2")]
    return (server("a", service, slots=slots), *pairs)


def answer_in(harness: RouterHarness, key: str, usual: float, slow: float, services: tuple[str, ...]) -> None:
    """Answer all of a request's attempts, those at ``services`` after ``slow`` seconds."""
    started = harness.now
    answered: set[int] = set()
    for moment, chosen in ((usual, False), (slow, True), (2 * slow, True), (3 * slow, True)):
        harness.advance(max(0.0, started + moment - harness.now))
        for each in harness.attempts(key):
            late = each.server.service in services
            if each.number not in answered and late == chosen:
                answered.add(each.number)
                harness.answer(each)


def make_slow(harness: RouterHarness, services: tuple[str, ...], path: str = "/wide/x") -> RouterHarness:
    """Let a node learn that all servers of some services are slow."""
    harness.warm_up(path, USUAL)
    for _ in range(8):
        answer_in(harness, harness.arrive(path, 6.0), USUAL, SLOW, services)
    return harness


def asked(harness: RouterHarness, key: str) -> set[str]:
    return {each.server.service for each in harness.attempts(key)}


def answer_others(harness: RouterHarness, key: str, service: str) -> None:
    """Answer a request's attempts at all services but one."""
    harness.advance(USUAL)
    for attempt in harness.attempts(key):
        if attempt.server.service != service:
            harness.answer(attempt)


def busy_shard(nodes: int) -> RouterHarness:
    """A node that knows the one server of ``s1`` as slow, and has just sent it something."""
    harness = make_slow(RouterHarness(ALL_NEEDED, servers=servers_with_one_of("s1"), nodes=nodes), ("s1",))
    for _ in range(2):
        key = harness.arrive(timeout_s=6.0)
        answer_others(harness, key, "s1")
    return harness


def waits(harness: RouterHarness, key: str) -> bool:
    """Whether a request still waits for room at ``s1``."""
    return "s1" not in asked(harness, key)


def play_servers(harness: RouterHarness, slow: tuple[str, ...], seconds: float) -> dict[int, float]:
    """Let servers answer what they are sent for a while; return when each slow attempt was sent."""
    seen: dict[int, float] = {}
    answered: set[int] = set()
    for _ in range(round(seconds / STEP)):
        harness.advance(STEP)
        for attempt in list(harness.sent):
            sent_at = seen.setdefault(attempt.number, harness.now)
            takes = SLOW if attempt.server.service in slow else USUAL
            if attempt.number not in answered and harness.now - sent_at >= takes:
                answered.add(attempt.number)
                harness.answer(attempt)
    return {
        attempt.number: seen[attempt.number] for attempt in harness.sent if attempt.server.service in slow
    }


def test_of_the_slow_shards_only_as_many_are_asked_as_the_answer_needs() -> None:
    ones = tuple(server(name, name) for name in SHARDS)
    harness = make_slow(RouterHarness(gather_route(coverage=0.75), servers=ones, nodes=8), ("s1", "s2"))
    keys = [harness.arrive(timeout_s=6.0) for _ in range(4)]
    assert any(asked(harness, key) == {"s3", "s4"} for key in keys)
    play_servers(harness, ("s1", "s2"), 1.4)
    for key in keys:
        final = harness.finals[key]
        if isinstance(final, ev.Gathered):
            assert final.missing == 1
            assert len(asked(harness, key)) == 3
    assert sum(isinstance(harness.finals[key], ev.Gathered) for key in keys) >= 2


def test_a_slow_shard_that_was_left_out_is_asked_after_all_when_another_fails() -> None:
    harness = make_slow(RouterHarness(gather_route(coverage=0.75), nodes=8), ("s1",))
    for _ in range(4):
        key = harness.arrive(timeout_s=6.0)
        if waits(harness, key):
            break
    assert waits(harness, key)
    for _ in range(2):
        harness.fail([each for each in harness.attempts(key) if each.server.service == "s2"][-1])
    harness.advance(3.0)
    assert "s1" in asked(harness, key)


def test_slow_servers_get_this_nodes_share_of_their_pace() -> None:
    harness = busy_shard(nodes=8)
    for _ in range(3):
        answer_others(harness, harness.arrive(timeout_s=6.0), "s1")
    started = harness.now
    sent_at = play_servers(harness, ("s1",), 3.0)
    # Two slots and 0.2 s an answer: eight nodes may each send one in 0.44 s or so.
    times = sorted(moment for moment in sent_at.values() if moment > started + STEP)
    gaps = [later - earlier for earlier, later in itertools.pairwise(times)]
    assert gaps
    assert 0.35 <= min(gaps) <= 0.8, gaps


def test_whoever_can_still_be_in_time_goes_first_and_the_newest_of_them() -> None:
    harness = busy_shard(nodes=3)
    old = harness.arrive(timeout_s=6.0)
    harness.advance(0.12)
    older, newest = harness.arrive(timeout_s=6.0), harness.arrive(timeout_s=6.0)
    assert all(waits(harness, key) for key in (old, older, newest))
    waiting = harness.router._context.pacing_queue
    first = waiting.next("s1", harness.now)
    assert first.request.key == newest
    longest = waiting.next("s1", harness.now + 1.0)
    assert longest.request.arrived_at_s <= min(each.request.arrived_at_s for each in harness.attempts(old))


def test_a_more_urgent_request_has_room_before_a_newer_less_urgent_one() -> None:
    lesser = replace(ALL_NEEDED, name="lesser", prefix="/lesser/", priority=ALL_NEEDED.priority + 1)
    harness = RouterHarness(ALL_NEEDED, lesser, servers=servers_with_one_of("s1"), nodes=3)
    make_slow(harness, ("s1",))
    for _ in range(2):
        answer_others(harness, harness.arrive(timeout_s=6.0), "s1")
    urgent = harness.arrive(timeout_s=6.0)
    newer = harness.arrive("/lesser/x", 6.0)
    assert waits(harness, urgent) and waits(harness, newer)
    assert harness.router._context.pacing_queue.next("s1", harness.now).request.key == urgent


def test_whoever_would_soon_be_given_up_goes_before_the_newest() -> None:
    harness = busy_shard(nodes=3)
    old, newest = harness.arrive(timeout_s=0.5), harness.arrive(timeout_s=6.0)
    assert waits(harness, old) and waits(harness, newest)
    assert harness.router._context.pacing_queue.next("s1", harness.now).request.key == old


def test_a_waiting_request_that_is_given_up_has_not_run_and_never_will() -> None:
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


def test_whoever_can_have_room_in_time_waits_for_it_unsent_and_gets_it() -> None:
    one = (server("a", "desk"),)
    harness = make_slow(RouterHarness(single_route(), servers=one, nodes=50), ("desk",), path="/one/x")
    play_servers(harness, ("desk",), 6.0)
    harness.arrive("/one/x", 6.0)
    key = harness.arrive("/one/x", 6.0)
    assert harness.attempts(key) == []
    play_servers(harness, ("desk",), 6.0)
    assert len(harness.attempts(key)) == 1
    assert isinstance(harness.finals[key], ev.PassOn)


def test_whose_room_would_come_too_late_is_asked_at_once_and_not_held() -> None:
    one = (server("a", "desk"),)
    harness = make_slow(RouterHarness(single_route(), servers=one, nodes=50), ("desk",), path="/one/x")
    assert len(harness.attempts(harness.arrive("/one/x", 0.6))) == 1


def test_a_caller_that_left_while_it_waited_is_not_served() -> None:
    harness = busy_shard(nodes=8)
    key = harness.arrive(timeout_s=6.0)
    assert waits(harness, key)
    harness.feed(ev.CallerLeft(key))
    play_servers(harness, ("s1",), 4.0)
    assert waits(harness, key)


def test_a_hedge_does_not_take_the_room_that_somebody_waits_for() -> None:
    harness = make_slow(RouterHarness(ALL_NEEDED, nodes=8), ("s1",))
    keys = [harness.arrive(timeout_s=6.0) for _ in range(6)]
    assert any(waits(harness, key) for key in keys)
    for _ in range(100):
        if not any(waits(harness, key) for key in keys):
            break
        assert all(sum(each.server.service == "s1" for each in harness.attempts(key)) <= 1 for key in keys)
        harness.advance(0.01)


def test_too_few_shards_are_refused_at_once_with_a_time_to_come_back() -> None:
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


def test_a_sound_shard_is_asked_at_once_whatever_the_others_are() -> None:
    harness = make_slow(RouterHarness(gather_route(coverage=1.0), nodes=8), ("s1", "s2"))
    harness.arrive(timeout_s=6.0)
    key = harness.arrive(timeout_s=6.0)
    assert asked(harness, key) >= {"s3", "s4"}
    harness.advance(4.0)
    assert asked(harness, key) == set(SHARDS)


def test_while_servers_are_sound_nobody_waits_and_nothing_is_left_out() -> None:
    harness = RouterHarness(gather_route(), nodes=50)
    harness.warm_up()
    for _ in range(5):
        assert asked(harness, harness.arrive()) == set(SHARDS)


def test_nothing_is_kept_of_services_that_nobody_waits_for() -> None:
    harness = busy_shard(nodes=8)
    assert waits(harness, harness.arrive(timeout_s=6.0))
    play_servers(harness, ("s1",), 6.0)
    assert len(harness.router._context.pacing_queue) == 0


# --- servers that refuse connections ---


def refuse(harness: RouterHarness, attempt: Attempt, verdict: Verdict = Verdict.NOT_RUN) -> None:
    harness.fail(attempt, failure(Reason.CONNECTION_REFUSED, verdict))


def test_a_server_that_refuses_a_connection_is_not_failing_and_costs_no_budget() -> None:
    harness = RouterHarness(ONE_SHARD, servers=THREE_ONE)
    key = harness.arrive()
    first = harness.attempts(key)[0]
    refuse(harness, first)
    again = harness.attempts(key)[1]
    assert again.server.instance != first.server.instance
    harness.answer(again)
    assert harness.finals[key].summary is not None
    assert harness.finals[key].summary.extra_attempts == 0  # type: ignore[union-attr]
    assert not any(note.details.get("state") == "ejected" for note in harness.logged)


def test_when_all_servers_refuse_connections_the_request_waits_a_moment() -> None:
    harness = RouterHarness(ONE_SHARD, servers=THREE_ONE)
    key = harness.arrive()
    for number in range(3):
        refuse(harness, harness.attempts(key)[number])
    assert key not in harness.finals
    harness.advance(0.035)
    assert len(harness.attempts(key)) == 4
    harness.answer(harness.attempts(key)[3])
    assert isinstance(harness.finals[key], ev.Gathered)


def test_what_may_have_run_before_a_reset_is_paid_for() -> None:
    harness = RouterHarness(ONE_SHARD, servers=THREE_ONE)
    key = harness.arrive()
    refuse(harness, harness.attempts(key)[0], Verdict.MAY_HAVE_RUN)
    harness.answer(harness.attempts(key)[1])
    assert harness.finals[key].summary.extra_attempts == 1  # type: ignore[union-attr]


def test_connections_to_a_server_grow_while_it_answers_and_stop_where_it_refused() -> None:
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


def test_a_forgotten_connection_says_nothing_of_its_server() -> None:
    harness = RouterHarness(ONE_SHARD, servers=THREE_ONE)
    harness.warm_up()
    key = harness.arrive()
    first = harness.attempts(key)[0]
    harness.fail(first, failure(Reason.CONNECTION_FORGOTTEN))
    harness.answer(harness.attempts(key)[1], reply())
    assert not any(note.details.get("state") == "ejected" for note in harness.logged)
    assert harness.attempts(harness.arrive())[0].server.instance == first.server.instance

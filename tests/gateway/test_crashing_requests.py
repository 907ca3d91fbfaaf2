"""One node: a request under which servers end is asked about, one server at a time, and then refused."""

from dataclasses import replace

from harness import HOST, RouterHarness, failure, gather_route, reply, server, single_route

from yokesill.gateway import events as ev
from yokesill.gateway.messages import GatewayRequest
from yokesill.gateway.requests.fingerprints import fingerprint
from yokesill.quarantine.detector import QuarantineStatus
from yokesill.verdict import Verdict

SHARDS = ("s1", "s2", "s3", "s4")
SERVERS = tuple(server(f"{shard}-{number}", shard) for shard in SHARDS for number in range(3))


def request_of(path: str) -> GatewayRequest:
    return GatewayRequest("k", "id", b"GET", HOST, path, path.encode(), (), b"", 0.0, 1.5)


def fingerprint_of(path: str) -> str:
    return fingerprint(request_of(path))


def crash_all(harness: RouterHarness, key: str) -> int:
    """Let each server end that the request is sent to; return how many that were."""
    ended = 0
    for _ in range(50):
        harness.advance(0.02)
        unended = harness.of(key)[ended:]
        if not unended:
            break
        for attempt in unended:
            ended += 1
            harness.fail(attempt)
    return ended


def test_a_request_under_which_servers_end_is_not_repeated_at_all_the_others() -> None:
    harness = RouterHarness(gather_route(services=SHARDS, attempts=3), servers=SERVERS)
    assert crash_all(harness, harness.arrive("/wide/deadly")) <= len(SHARDS) + 2


def test_a_request_under_which_servers_ended_is_refused_when_it_comes_again() -> None:
    harness = RouterHarness(gather_route(services=SHARDS, attempts=3), servers=SERVERS)
    crash_all(harness, harness.arrive("/wide/deadly"))
    harness.advance(10.0)
    key = harness.arrive("/wide/deadly")
    assert harness.of(key) == []
    final = harness.finals[key]
    assert isinstance(final, ev.Refuse)
    assert final.failure.verdict is Verdict.NOT_RUN


def lose(harness: RouterHarness, key: str, *shards: str) -> None:
    """Let the servers of some shards end under a request's first attempts."""
    for attempt in [each for each in harness.of(key) if each.server.service in shards]:
        harness.fail(attempt)


def test_what_another_server_answered_is_repeated_at_once() -> None:
    harness = RouterHarness(gather_route(services=SHARDS, attempts=3), servers=SERVERS)
    key = harness.arrive()
    harness.answer(harness.of(key)[3])
    lose(harness, key, "s1", "s2")
    assert [each.server.service for each in harness.of(key)[4:]] == ["s1", "s2"]


def test_what_is_lost_before_any_answer_is_held_until_the_first_one() -> None:
    harness = RouterHarness(gather_route(services=SHARDS, attempts=3), servers=SERVERS)
    key = harness.arrive()
    lose(harness, key, "s1", "s2")
    assert [each.server.service for each in harness.of(key)[4:]] == ["s1"]
    harness.answer(harness.of(key)[3])
    assert [each.server.service for each in harness.of(key)[4:]] == ["s1", "s2"]


def test_a_request_beside_it_is_cleared_by_its_first_trial_and_answered() -> None:
    harness = RouterHarness(gather_route(services=SHARDS, attempts=3), servers=SERVERS)
    key = harness.arrive("/wide/beside")
    lose(harness, key, *SHARDS)
    suspected = [each for each in harness.notes if each.name == "request_judged"]
    assert [each.details["standing"] for each in suspected] == ["suspected"]
    for _ in range(8):
        for attempt in harness.of(key)[4:]:
            harness.answer(attempt)
    assert isinstance(harness.finals[key], ev.Gathered)
    again = harness.arrive("/wide/beside")
    assert len(harness.of(again)) == len(SHARDS)


def test_a_suspected_request_is_at_one_server_at_a_time_and_never_hedged() -> None:
    harness = RouterHarness(gather_route(services=SHARDS, attempts=3), servers=SERVERS)
    harness.warm_up()
    harness.feed(ev.QuarantineStatusReceived(fingerprint_of("/wide/deadly"), QuarantineStatus.SUSPECTED))
    key = harness.arrive("/wide/deadly")
    assert len(harness.of(key)) == 1
    harness.advance(0.5)
    assert len(harness.of(key)) == 1
    harness.fail(harness.of(key)[0])
    assert len(harness.of(key)) == 2
    harness.fail(harness.of(key)[1])
    assert len(harness.of(key)) == 2
    assert isinstance(harness.finals[key], ev.Refuse)


def test_what_is_under_way_is_broken_off_when_others_find_it_out() -> None:
    harness = RouterHarness(gather_route(services=SHARDS, attempts=3), servers=SERVERS)
    key = harness.arrive("/wide/deadly")
    other = harness.arrive("/wide/other")
    harness.feed(ev.QuarantineStatusReceived(fingerprint_of("/wide/deadly"), QuarantineStatus.QUARANTINED))
    assert set(harness.cancelled) == {each.number for each in harness.of(key)}
    final = harness.finals[key]
    assert isinstance(final, ev.Refuse)
    assert final.failure.verdict is Verdict.MAY_HAVE_RUN
    assert other not in harness.finals


def test_a_request_to_one_server_is_found_out_over_several_tries() -> None:
    desk = tuple(server(f"desk-{number}", "desk") for number in range(8))
    harness = RouterHarness(single_route(attempts=3), servers=desk)
    assert crash_all(harness, harness.arrive("/one/deadly")) == 3
    assert crash_all(harness, harness.arrive("/one/deadly")) == 2
    assert crash_all(harness, harness.arrive("/one/deadly")) == 0


def test_what_must_not_run_twice_is_found_out_too_and_each_try_runs_once() -> None:
    desk = tuple(server(f"desk-{number}", "desk") for number in range(8))
    harness = RouterHarness(single_route(repeatable=False), servers=desk)
    tries = [crash_all(harness, harness.arrive("/one/deadly")) for _ in range(7)]
    assert tries == [1, 1, 1, 1, 1, 0, 0]


def test_what_another_node_may_have_sent_is_not_called_not_run() -> None:
    harness = RouterHarness(gather_route(services=SHARDS, attempts=3), servers=SERVERS)
    harness.feed(ev.RequestQuarantined(fingerprint_of("/wide/deadly")))
    key = harness.arrive("/wide/deadly", possibly_sent=True)
    final = harness.finals[key]
    assert isinstance(final, ev.Refuse)
    assert final.failure.verdict is Verdict.MAY_HAVE_RUN


def test_an_operator_who_takes_it_off_the_record_lets_it_run_again() -> None:
    harness = RouterHarness(gather_route(services=SHARDS, attempts=3), servers=SERVERS)
    name = fingerprint_of("/wide/mended")
    harness.feed(ev.QuarantineReplaced(frozenset({name})))
    assert harness.of(harness.arrive("/wide/mended")) == []
    harness.feed(ev.QuarantineLifted(name))
    assert len(harness.of(harness.arrive("/wide/mended"))) == len(SHARDS)


def test_methods_hosts_paths_and_bodies_tell_requests_apart_and_their_names_do_not() -> None:
    first = request_of("/wide/x")
    assert fingerprint(replace(first, request_id="again", headers=((b"a", b"b"),))) == fingerprint(first)
    others = [
        replace(first, method=b"POST"),
        replace(first, host="other.example"),
        replace(first, target=b"/wide/x?page=2"),
        replace(first, body=b"x"),
        replace(first, target=b"/wide/", body=b"x"),
    ]
    assert len({fingerprint(each) for each in (first, *others)}) == len(others) + 1


def test_where_others_answered_only_a_second_end_at_one_shard_counts() -> None:
    harness = RouterHarness(gather_route(services=SHARDS, attempts=3), servers=SERVERS)
    name = fingerprint_of("/wide/x")
    key = harness.arrive()
    harness.answer(harness.of(key)[0])
    lose(harness, key, "s2", "s3", "s4")
    assert len(harness.router.quarantine.detector) == 0
    lose(harness, key, "s3")
    assert harness.router.quarantine.detector.suspected_services(name) == {"s3"}


def test_others_are_told_of_what_failed_only() -> None:
    harness = RouterHarness(gather_route(services=SHARDS, attempts=3), servers=SERVERS)
    told: list[ev.Action] = []
    key = harness.arrive()
    for attempt in harness.of(key)[:2]:
        told += harness.feed(ev.AttemptFailed(attempt.number, failure()))
    for _ in range(3):
        for attempt in harness.of(key)[2:]:
            told += harness.feed(ev.AttemptAnswered(attempt.number, reply()))
    assert isinstance(harness.finals[key], ev.Gathered)
    assert not [each for each in told if isinstance(each, ev.LossObserved | ev.QuarantineStatusDecided)]
    key = harness.arrive("/wide/deadly")
    for _ in range(4):
        for attempt in harness.of(key):
            told += harness.feed(ev.AttemptFailed(attempt.number, failure()))
    losses = [each for each in told if isinstance(each, ev.LossObserved)]
    assert len(losses) >= len(SHARDS)
    assert {each.fingerprint for each in losses} == {fingerprint_of("/wide/deadly")}

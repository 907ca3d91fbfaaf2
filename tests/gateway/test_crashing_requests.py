"""Isolation on one node: a request that crashes servers is probed at one server at a time, then refused."""

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
    """Crash every server that the request is sent to; return the number of crashed servers."""
    crashed = 0
    for _ in range(50):
        harness.advance(0.02)
        running = harness.attempts(key)[crashed:]
        if not running:
            break
        for attempt in running:
            crashed += 1
            harness.fail(attempt)
    return crashed


def test_crashing_request_is_not_retried_at_all_servers() -> None:
    harness = RouterHarness(gather_route(services=SHARDS, attempts=3), servers=SERVERS)
    assert crash_all(harness, harness.arrive("/wide/deadly")) <= len(SHARDS) + 2


def test_crashing_request_is_refused_when_repeated() -> None:
    harness = RouterHarness(gather_route(services=SHARDS, attempts=3), servers=SERVERS)
    crash_all(harness, harness.arrive("/wide/deadly"))
    harness.advance(10.0)
    key = harness.arrive("/wide/deadly")
    assert harness.attempts(key) == []
    final = harness.finals[key]
    assert isinstance(final, ev.Refuse)
    assert final.failure.verdict is Verdict.NOT_RUN


def lose_servers(harness: RouterHarness, key: str, *shards: str) -> None:
    """Fail a request's attempts at some shards as if their servers had crashed."""
    for attempt in [each for each in harness.attempts(key) if each.server.service in shards]:
        harness.fail(attempt)


def test_lost_attempts_are_retried_at_once_after_an_answer() -> None:
    harness = RouterHarness(gather_route(services=SHARDS, attempts=3), servers=SERVERS)
    key = harness.arrive()
    harness.answer(harness.attempts(key)[3])
    lose_servers(harness, key, "s1", "s2")
    assert [each.server.service for each in harness.attempts(key)[4:]] == ["s1", "s2"]


def test_lost_attempts_are_held_until_first_answer() -> None:
    harness = RouterHarness(gather_route(services=SHARDS, attempts=3), servers=SERVERS)
    key = harness.arrive()
    lose_servers(harness, key, "s1", "s2")
    assert [each.server.service for each in harness.attempts(key)[4:]] == ["s1"]
    harness.answer(harness.attempts(key)[3])
    assert [each.server.service for each in harness.attempts(key)[4:]] == ["s1", "s2"]


def test_suspected_request_is_cleared_by_first_answered_probe() -> None:
    harness = RouterHarness(gather_route(services=SHARDS, attempts=3), servers=SERVERS)
    key = harness.arrive("/wide/beside")
    lose_servers(harness, key, *SHARDS)
    judgements = [each for each in harness.logged if each.name == "request_judged"]
    assert [each.details["standing"] for each in judgements] == ["suspected"]
    for _ in range(8):
        for attempt in harness.attempts(key)[4:]:
            harness.answer(attempt)
    assert isinstance(harness.finals[key], ev.Gathered)
    again = harness.arrive("/wide/beside")
    assert len(harness.attempts(again)) == len(SHARDS)


def test_suspected_request_is_sent_to_one_server_at_a_time_and_not_hedged() -> None:
    harness = RouterHarness(gather_route(services=SHARDS, attempts=3), servers=SERVERS)
    harness.warm_up()
    harness.feed(ev.QuarantineStatusReceived(fingerprint_of("/wide/deadly"), QuarantineStatus.SUSPECTED))
    key = harness.arrive("/wide/deadly")
    assert len(harness.attempts(key)) == 1
    harness.advance(0.5)
    assert len(harness.attempts(key)) == 1
    harness.fail(harness.attempts(key)[0])
    assert len(harness.attempts(key)) == 2
    harness.fail(harness.attempts(key)[1])
    assert len(harness.attempts(key)) == 2
    assert isinstance(harness.finals[key], ev.Refuse)


def test_attempts_are_cancelled_when_other_nodes_quarantine_request() -> None:
    harness = RouterHarness(gather_route(services=SHARDS, attempts=3), servers=SERVERS)
    key = harness.arrive("/wide/deadly")
    other = harness.arrive("/wide/other")
    harness.feed(ev.QuarantineStatusReceived(fingerprint_of("/wide/deadly"), QuarantineStatus.QUARANTINED))
    assert set(harness.cancelled) == {each.number for each in harness.attempts(key)}
    final = harness.finals[key]
    assert isinstance(final, ev.Refuse)
    assert final.failure.verdict is Verdict.MAY_HAVE_RUN
    assert other not in harness.finals


def test_crashing_single_request_is_quarantined_after_several_tries() -> None:
    desk = tuple(server(f"desk-{number}", "desk") for number in range(8))
    harness = RouterHarness(single_route(attempts=3), servers=desk)
    assert crash_all(harness, harness.arrive("/one/deadly")) == 3
    assert crash_all(harness, harness.arrive("/one/deadly")) == 2
    assert crash_all(harness, harness.arrive("/one/deadly")) == 0


def test_non_idempotent_crashing_request_runs_once_per_try_until_quarantined() -> None:
    desk = tuple(server(f"desk-{number}", "desk") for number in range(8))
    harness = RouterHarness(single_route(repeatable=False), servers=desk)
    tries = [crash_all(harness, harness.arrive("/one/deadly")) for _ in range(7)]
    assert tries == [1, 1, 1, 1, 1, 0, 0]


def test_quarantined_request_sent_by_another_node_is_refused_as_may_have_run() -> None:
    harness = RouterHarness(gather_route(services=SHARDS, attempts=3), servers=SERVERS)
    harness.feed(ev.RequestQuarantined(fingerprint_of("/wide/deadly")))
    key = harness.arrive("/wide/deadly", possibly_sent=True)
    final = harness.finals[key]
    assert isinstance(final, ev.Refuse)
    assert final.failure.verdict is Verdict.MAY_HAVE_RUN


def test_request_runs_again_after_quarantine_is_lifted() -> None:
    harness = RouterHarness(gather_route(services=SHARDS, attempts=3), servers=SERVERS)
    name = fingerprint_of("/wide/mended")
    harness.feed(ev.QuarantineReplaced(frozenset({name})))
    assert harness.attempts(harness.arrive("/wide/mended")) == []
    harness.feed(ev.QuarantineLifted(name))
    assert len(harness.attempts(harness.arrive("/wide/mended"))) == len(SHARDS)


def test_fingerprint_depends_on_method_host_target_and_body_only() -> None:
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


def test_loss_after_answer_counts_only_with_second_loss_at_same_shard() -> None:
    harness = RouterHarness(gather_route(services=SHARDS, attempts=3), servers=SERVERS)
    name = fingerprint_of("/wide/x")
    key = harness.arrive()
    harness.answer(harness.attempts(key)[0])
    lose_servers(harness, key, "s2", "s3", "s4")
    assert len(harness.router.quarantine.detector) == 0
    lose_servers(harness, key, "s3")
    assert harness.router.quarantine.detector.suspected_services(name) == {"s3"}


def test_losses_are_reported_only_for_unanswered_requests() -> None:
    harness = RouterHarness(gather_route(services=SHARDS, attempts=3), servers=SERVERS)
    actions: list[ev.Action] = []
    key = harness.arrive()
    for attempt in harness.attempts(key)[:2]:
        actions += harness.feed(ev.AttemptFailed(attempt.number, failure()))
    for _ in range(3):
        for attempt in harness.attempts(key)[2:]:
            actions += harness.feed(ev.AttemptAnswered(attempt.number, reply()))
    assert isinstance(harness.finals[key], ev.Gathered)
    assert not [each for each in actions if isinstance(each, ev.LossObserved | ev.QuarantineStatusDecided)]
    key = harness.arrive("/wide/deadly")
    for _ in range(4):
        for attempt in harness.attempts(key):
            actions += harness.feed(ev.AttemptFailed(attempt.number, failure()))
    losses = [each for each in actions if isinstance(each, ev.LossObserved)]
    assert len(losses) >= len(SHARDS)
    assert {each.fingerprint for each in losses} == {fingerprint_of("/wide/deadly")}

"""Requests that cannot be served are refused before they are sent, with an accurate Retry-After."""

from harness import SHARDS, RouterHarness, failure, gather_route, reply, server, single_route

from yokesill.gateway import events as ev
from yokesill.gateway.documents import ServerRecord
from yokesill.gateway.requests.refusal import SHED_RETRY_AFTER_MS
from yokesill.gateway.servers.ejection import INITIAL_FAILURE_EJECTION_S
from yokesill.verdict import Reason, Verdict

CALLER_TIMEOUT_S = 1.5


def servers_of(*services: str) -> tuple[ServerRecord, ...]:
    return tuple(server(f"{name}-{zone}", name, zone) for name in services for zone in ("z1", "z2"))


def refusal(harness: RouterHarness, key: str) -> ev.Refuse:
    final = harness.finals[key]
    assert isinstance(final, ev.Refuse)
    return final


def fail_all(harness: RouterHarness, service: str) -> None:
    """Fail one request's attempts at every server of a service, and answer its other attempts."""
    key = harness.arrive()
    answered: set[int] = set()
    while pending := [each for each in harness.attempts(key) if each.number not in answered]:
        for each in pending:
            answered.add(each.number)
            if each.server.service == service:
                harness.fail(each, failure(Reason.CONNECT_FAILED, Verdict.NOT_RUN))
            else:
                harness.answer(each)


def test_request_is_not_sent_when_coverage_is_unreachable() -> None:
    harness = RouterHarness(gather_route(coverage=0.75), servers=servers_of("s1", "s2"))
    key = harness.arrive()
    assert harness.attempts(key) == []
    final = refusal(harness, key)
    assert final.failure.verdict is Verdict.NOT_RUN
    assert final.failure.reason is Reason.NO_REPLICA
    assert final.failure.retry_after_ms == SHED_RETRY_AFTER_MS


def test_request_is_sent_when_coverage_is_reachable() -> None:
    harness = RouterHarness(gather_route(coverage=0.75), servers=servers_of("s1", "s2", "s3"))
    key = harness.arrive()
    assert {each.server.service for each in harness.attempts(key)} == {"s1", "s2", "s3"}
    for each in harness.attempts(key):
        harness.answer(each)
    assert isinstance(harness.finals[key], ev.Gathered)


def test_unsent_request_is_not_counted_towards_budget() -> None:
    harness = RouterHarness(gather_route(coverage=0.75), servers=servers_of("s1", "s2"))
    before = harness.router._context.budget("s1").left(1, harness.now)
    for _ in range(100):
        harness.arrive()
    assert harness.router._context.budget("s1").left(1, harness.now) == before


def test_request_sent_by_another_node_is_refused_as_may_have_run() -> None:
    harness = RouterHarness(gather_route(coverage=1.0, attempts=1), servers=servers_of(*SHARDS))
    request = ev.GatewayRequest(
        "k", "id-k", b"GET", "shop.example", "/wide/x", b"/wide/x", (), b"", harness.now, 1.5, True, True
    )
    harness.feed(ev.RequestArrived(request))
    assert refusal(harness, "k").failure.verdict is Verdict.MAY_HAVE_RUN


def test_retry_after_lasts_until_blocking_ejections_end() -> None:
    harness = RouterHarness(gather_route(coverage=1.0), servers=servers_of(*SHARDS))
    fail_all(harness, "s1")
    retry_after_ms = [
        refusal(harness, harness.arrive(timeout_s=CALLER_TIMEOUT_S)).failure.retry_after_ms for _ in range(20)
    ]
    assert all(
        INITIAL_FAILURE_EJECTION_S * 1000 <= each <= INITIAL_FAILURE_EJECTION_S * 1000 * 1.3
        for each in retry_after_ms
    )
    assert len(set(retry_after_ms)) > 10
    harness.advance(max(retry_after_ms) / 1000)
    assert harness.attempts(harness.arrive()) != []


def test_retry_after_is_default_when_ejections_outlast_caller() -> None:
    harness = RouterHarness(gather_route(coverage=1.0), servers=servers_of(*SHARDS))
    fail_all(harness, "s1")
    final = refusal(harness, harness.arrive(timeout_s=0.3))
    assert final.failure.retry_after_ms == SHED_RETRY_AFTER_MS


def test_retry_after_counts_only_ejections_that_block_coverage() -> None:
    harness = RouterHarness(gather_route(coverage=0.75), servers=servers_of(*SHARDS))
    fail_all(harness, "s1")
    harness.advance(0.3)
    fail_all(harness, "s2")
    final = refusal(harness, harness.arrive())
    assert 200 <= final.failure.retry_after_ms <= 260


def test_retry_after_lasts_until_full_server_accepts_work_again() -> None:
    harness = RouterHarness(single_route(), servers=(server("d", "desk"),))
    key = harness.arrive("/one/x")
    harness.fail(harness.attempts(key)[0], failure(Reason.SHED, Verdict.NOT_RUN))
    assert 50 <= refusal(harness, key).failure.retry_after_ms <= 65


def test_request_is_refused_at_once_when_coverage_becomes_unreachable() -> None:
    harness = RouterHarness(gather_route(coverage=1.0, attempts=1))
    key = harness.arrive()
    first, *others = harness.attempts(key)
    harness.answer(others[0], reply())
    harness.fail(first)
    final = refusal(harness, key)
    assert final.failure.verdict is not Verdict.NOT_RUN


def test_refusal_reason_distinguishes_missing_from_ejected_servers() -> None:
    harness = RouterHarness(gather_route(coverage=1.0), servers=servers_of(*SHARDS))
    fail_all(harness, "s1")
    assert refusal(harness, harness.arrive()).failure.reason is Reason.REPLICAS_EJECTED
    for zone in ("z1", "z2"):
        harness.feed(ev.ServerRemoved(f"s2-{zone}"))
    harness.advance(0.3)
    assert refusal(harness, harness.arrive()).failure.reason is Reason.REPLICAS_EJECTED
    harness.advance(1.4)
    fail_all(harness, "s1")
    assert refusal(harness, harness.arrive()).failure.reason is Reason.NO_REPLICA

"""What surely can't be served is refused before it is sent anywhere, with a true time to come back."""

from harness import SHARDS, RouterHarness, failure, gather_route, reply, server, single_route

from yokesill.gateway import events as ev
from yokesill.gateway.documents import ServerRecord
from yokesill.gateway.requests.refusal import SHED_RETRY_AFTER_MS
from yokesill.gateway.servers.ejection import INITIAL_FAILURE_EJECTION_S
from yokesill.verdict import Reason, Verdict

PATIENCE_S = 1.5


def servers_of(*services: str) -> tuple[ServerRecord, ...]:
    return tuple(server(f"{name}-{zone}", name, zone) for name in services for zone in ("z1", "z2"))


def refusal(harness: RouterHarness, key: str) -> ev.Refuse:
    final = harness.finals[key]
    assert isinstance(final, ev.Refuse)
    return final


def fail_all(harness: RouterHarness, service: str) -> None:
    """Let every server of a service fail, and answer the rest."""
    key = harness.arrive()
    answered: set[int] = set()
    while open_ones := [each for each in harness.of(key) if each.number not in answered]:
        for each in open_ones:
            answered.add(each.number)
            if each.server.service == service:
                harness.fail(each, failure(Reason.CONNECT_FAILED, Verdict.NOT_RUN))
            else:
                harness.answer(each)


def test_a_request_that_cannot_reach_its_coverage_is_sent_nowhere() -> None:
    harness = RouterHarness(gather_route(coverage=0.75), servers=servers_of("s1", "s2"))
    key = harness.arrive()
    assert harness.of(key) == []
    final = refusal(harness, key)
    assert final.failure.verdict is Verdict.NOT_RUN
    assert final.failure.reason is Reason.NO_REPLICA
    assert final.failure.retry_after_ms == SHED_RETRY_AFTER_MS


def test_a_request_that_can_reach_its_coverage_is_sent_as_before() -> None:
    harness = RouterHarness(gather_route(coverage=0.75), servers=servers_of("s1", "s2", "s3"))
    key = harness.arrive()
    assert {each.server.service for each in harness.of(key)} == {"s1", "s2", "s3"}
    for each in harness.of(key):
        harness.answer(each)
    assert isinstance(harness.finals[key], ev.Gathered)


def test_what_is_sent_nowhere_earns_no_budget_since_another_node_may_run_it() -> None:
    harness = RouterHarness(gather_route(coverage=0.75), servers=servers_of("s1", "s2"))
    before = harness.router._context.budget("s1").left(1, harness.now)
    for _ in range(100):
        harness.arrive()
    assert harness.router._context.budget("s1").left(1, harness.now) == before


def test_what_another_node_may_have_sent_is_refused_as_such() -> None:
    harness = RouterHarness(gather_route(coverage=1.0, attempts=1), servers=servers_of(*SHARDS))
    request = ev.GatewayRequest(
        "k", "id-k", b"GET", "shop.example", "/wide/x", b"/wide/x", (), b"", harness.now, 1.5, True, True
    )
    harness.feed(ev.RequestArrived(request))
    assert refusal(harness, "k").failure.verdict is Verdict.MAY_HAVE_RUN


def test_a_caller_comes_back_once_the_ejections_in_its_way_are_over() -> None:
    harness = RouterHarness(gather_route(coverage=1.0), servers=servers_of(*SHARDS))
    fail_all(harness, "s1")
    told = [refusal(harness, harness.arrive(patience=PATIENCE_S)).failure.retry_after_ms for _ in range(20)]
    assert all(
        INITIAL_FAILURE_EJECTION_S * 1000 <= each <= INITIAL_FAILURE_EJECTION_S * 1000 * 1.3 for each in told
    )
    assert len(set(told)) > 10
    harness.advance(max(told) / 1000)
    assert harness.of(harness.arrive()) != []


def test_ejections_that_outlast_the_caller_name_the_usual_time() -> None:
    harness = RouterHarness(gather_route(coverage=1.0), servers=servers_of(*SHARDS))
    fail_all(harness, "s1")
    final = refusal(harness, harness.arrive(patience=0.3))
    assert final.failure.retry_after_ms == SHED_RETRY_AFTER_MS


def test_only_as_many_ejections_count_as_the_answer_needs() -> None:
    harness = RouterHarness(gather_route(coverage=0.75), servers=servers_of(*SHARDS))
    fail_all(harness, "s1")
    harness.advance(0.3)
    fail_all(harness, "s2")
    final = refusal(harness, harness.arrive())
    assert 200 <= final.failure.retry_after_ms <= 260


def test_a_caller_whose_server_is_full_comes_back_when_it_takes_work_again() -> None:
    harness = RouterHarness(single_route(), servers=(server("d", "desk"),))
    key = harness.arrive("/one/x")
    harness.fail(harness.of(key)[0], failure(Reason.SHED, Verdict.NOT_RUN))
    assert 50 <= refusal(harness, key).failure.retry_after_ms <= 65


def test_a_request_that_falls_short_later_is_refused_at_once() -> None:
    harness = RouterHarness(gather_route(coverage=1.0, attempts=1))
    key = harness.arrive()
    first, *others = harness.of(key)
    harness.answer(others[0], reply())
    harness.fail(first)
    final = refusal(harness, key)
    assert final.failure.verdict is not Verdict.NOT_RUN


def test_a_refusal_tells_a_service_without_servers_from_one_whose_servers_are_ejected() -> None:
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

"""Requests to a single service: retries, the verdicts of refusals, and answers that are passed on."""

from harness import RouterHarness, configuration, failure, reply, server, single_route

from yokesill.gateway import events as ev
from yokesill.gateway.documents import Split, WeightedService
from yokesill.verdict import Reason, Verdict

SHED = failure(Reason.SHED, Verdict.NOT_RUN)


def test_answer_of_server_is_passed_on_unchanged() -> None:
    harness = RouterHarness(single_route())
    key = harness.arrive("/one/x", 6.0)
    answer = reply(b"body", status=404)
    harness.answer(harness.attempts(key)[0], answer)
    final = harness.finals[key]
    assert isinstance(final, ev.PassOn)
    assert final.reply is answer


def test_non_idempotent_request_is_neither_hedged_nor_retried_after_it_may_have_run() -> None:
    harness = RouterHarness(single_route(repeatable=False))
    key = harness.arrive("/one/x", 6.0)
    harness.advance(3.0)
    assert len(harness.attempts(key)) == 1
    harness.fail(harness.attempts(key)[0])
    assert len(harness.attempts(key)) == 1
    final = harness.finals[key]
    assert isinstance(final, ev.Refuse)
    assert final.failure.verdict is Verdict.MAY_HAVE_RUN


def test_non_idempotent_request_is_retried_when_it_did_not_run() -> None:
    harness = RouterHarness(single_route(repeatable=False))
    key = harness.arrive("/one/x", 6.0)
    harness.fail(harness.attempts(key)[0], SHED)
    assert len(harness.attempts(key)) == 2
    harness.answer(harness.attempts(key)[1])
    assert isinstance(harness.finals[key], ev.PassOn)


def test_request_rejected_by_all_servers_is_refused_as_not_run() -> None:
    harness = RouterHarness(single_route())
    key = harness.arrive("/one/x", 6.0)
    harness.fail(harness.attempts(key)[0], SHED)
    harness.fail(harness.attempts(key)[1], SHED)
    final = harness.finals[key]
    assert isinstance(final, ev.Refuse)
    assert final.failure.verdict is Verdict.NOT_RUN
    assert final.failure.retry_after_ms > 0


def test_rejection_after_possible_run_is_refused_as_may_have_run() -> None:
    harness = RouterHarness(single_route())
    key = harness.arrive("/one/x", 6.0)
    harness.fail(harness.attempts(key)[0])
    harness.fail(harness.attempts(key)[1], SHED)
    final = harness.finals[key]
    assert isinstance(final, ev.Refuse)
    assert final.failure.verdict is Verdict.MAY_HAVE_RUN


def test_server_error_is_retried_and_passed_on_when_retry_fails() -> None:
    harness = RouterHarness(single_route())
    key = harness.arrive("/one/x", 6.0)
    first = reply(status=500)
    harness.answer(harness.attempts(key)[0], first)
    assert len(harness.attempts(key)) == 2
    harness.fail(harness.attempts(key)[1])
    final = harness.finals[key]
    assert isinstance(final, ev.PassOn)
    assert final.reply is first


def test_request_is_refused_at_timeout_of_route() -> None:
    harness = RouterHarness(single_route(), servers=(server("a", "desk"),))
    key = harness.arrive("/one/x", 30.0)
    harness.advance(6.0)
    final = harness.finals[key]
    assert isinstance(final, ev.Refuse)
    assert final.failure.reason is Reason.TIMED_OUT


def test_request_without_matching_route_is_refused() -> None:
    harness = RouterHarness(single_route())
    for path, host in (("/none/x", "shop.example"), ("/one/x", "other.example")):
        final = harness.finals[harness.arrive(path, host=host)]
        assert isinstance(final, ev.Refuse)
        assert final.failure.reason is Reason.UNKNOWN_SERVICE


def test_request_without_time_left_is_refused_as_deadline_exceeded() -> None:
    harness = RouterHarness(single_route())
    final = harness.finals[harness.arrive("/one/x", 0.015)]
    assert isinstance(final, ev.Refuse)
    assert (final.failure.reason, final.failure.verdict) == (Reason.DEADLINE_EXCEEDED, Verdict.NOT_RUN)


def test_request_before_first_configuration_is_refused_as_not_ready() -> None:
    harness = RouterHarness()
    final = harness.finals[harness.arrive()]
    assert isinstance(final, ev.Refuse)
    assert (final.failure.reason, final.failure.verdict) == (Reason.NOT_READY, Verdict.NOT_RUN)


def test_route_with_longest_matching_prefix_is_chosen() -> None:
    short = single_route()
    longer = single_route(split=Split((WeightedService("deep", 1.0),)))
    longer = type(longer)(**{**_fields(longer), "name": "deep", "prefix": "/one/deep/"})
    both = configuration(1, short, longer)
    assert both.find("shop.example", "/one/deep/x") is longer
    assert both.find("shop.example", "/one/deeper") is short
    assert both.find("shop.example", "/one") is None


def _fields(route: object) -> dict[str, object]:
    return {name: getattr(route, name) for name in route.__slots__}  # type: ignore[attr-defined]


def test_split_keeps_its_shares_over_any_hundred_requests() -> None:
    split = Split((WeightedService("a", 7), WeightedService("b", 2), WeightedService("c", 1)))
    harness = RouterHarness(single_route(split=split))
    services = []
    for _ in range(300):
        key = harness.arrive("/one/x", 6.0)
        services.append(harness.attempts(key)[0].server.service)
        harness.answer(harness.attempts(key)[0])
        harness.advance(0.05)
    for start in range(0, 200, 7):
        window = services[start : start + 100]
        assert abs(window.count("a") - 70) <= 1
        assert abs(window.count("b") - 20) <= 1

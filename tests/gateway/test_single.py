"""Requests to one server: what may be repeated, what a refusal promises, and what is passed on."""

from harness import RouterHarness, configuration, failure, reply, server, single_route

from yokesill.gateway import events as ev
from yokesill.gateway.documents import Split, WeightedService
from yokesill.verdict import Reason, Verdict

SHED = failure(Reason.SHED, Verdict.NOT_RUN)


def test_a_servers_answer_is_passed_on_unchanged() -> None:
    harness = RouterHarness(single_route())
    key = harness.arrive("/one/x", 6.0)
    answer = reply(b"body", status=404)
    harness.answer(harness.attempts(key)[0], answer)
    final = harness.finals[key]
    assert isinstance(final, ev.PassOn)
    assert final.reply is answer


def test_what_must_not_run_twice_is_never_hedged_nor_repeated_after_doubt() -> None:
    harness = RouterHarness(single_route(repeatable=False))
    key = harness.arrive("/one/x", 6.0)
    harness.advance(3.0)
    assert len(harness.attempts(key)) == 1
    harness.fail(harness.attempts(key)[0])
    assert len(harness.attempts(key)) == 1
    final = harness.finals[key]
    assert isinstance(final, ev.Refuse)
    assert final.failure.verdict is Verdict.MAY_HAVE_RUN


def test_what_must_not_run_twice_is_sent_again_after_a_promise_that_it_did_not_run() -> None:
    harness = RouterHarness(single_route(repeatable=False))
    key = harness.arrive("/one/x", 6.0)
    harness.fail(harness.attempts(key)[0], SHED)
    assert len(harness.attempts(key)) == 2
    harness.answer(harness.attempts(key)[1])
    assert isinstance(harness.finals[key], ev.PassOn)


def test_a_request_that_every_server_rejected_is_refused_at_once_as_not_run() -> None:
    harness = RouterHarness(single_route())
    key = harness.arrive("/one/x", 6.0)
    harness.fail(harness.attempts(key)[0], SHED)
    harness.fail(harness.attempts(key)[1], SHED)
    final = harness.finals[key]
    assert isinstance(final, ev.Refuse)
    assert final.failure.verdict is Verdict.NOT_RUN
    assert final.failure.retry_after_ms > 0


def test_a_rejection_beside_a_run_is_not_called_not_run() -> None:
    harness = RouterHarness(single_route())
    key = harness.arrive("/one/x", 6.0)
    harness.fail(harness.attempts(key)[0])
    harness.fail(harness.attempts(key)[1], SHED)
    final = harness.finals[key]
    assert isinstance(final, ev.Refuse)
    assert final.failure.verdict is Verdict.MAY_HAVE_RUN


def test_a_servers_own_failure_is_tried_elsewhere_and_passed_on_when_nothing_better_comes() -> None:
    harness = RouterHarness(single_route())
    key = harness.arrive("/one/x", 6.0)
    first = reply(status=500)
    harness.answer(harness.attempts(key)[0], first)
    assert len(harness.attempts(key)) == 2
    harness.fail(harness.attempts(key)[1])
    final = harness.finals[key]
    assert isinstance(final, ev.PassOn)
    assert final.reply is first


def test_at_its_time_out_a_request_is_given_up_at_once() -> None:
    harness = RouterHarness(single_route(), servers=(server("a", "desk"),))
    key = harness.arrive("/one/x", 30.0)
    harness.advance(6.0)
    final = harness.finals[key]
    assert isinstance(final, ev.Refuse)
    assert final.failure.reason is Reason.TIMED_OUT


def test_an_unknown_path_is_refused_by_the_newest_configuration_only() -> None:
    harness = RouterHarness(single_route())
    for path, host in (("/none/x", "shop.example"), ("/one/x", "other.example")):
        final = harness.finals[harness.arrive(path, host=host)]
        assert isinstance(final, ev.Refuse)
        assert final.failure.reason is Reason.UNKNOWN_SERVICE


def test_a_request_without_time_left_is_told_so() -> None:
    harness = RouterHarness(single_route())
    final = harness.finals[harness.arrive("/one/x", 0.015)]
    assert isinstance(final, ev.Refuse)
    assert (final.failure.reason, final.failure.verdict) == (Reason.DEADLINE_EXCEEDED, Verdict.NOT_RUN)


def test_before_any_configuration_a_request_may_come_back() -> None:
    harness = RouterHarness()
    final = harness.finals[harness.arrive()]
    assert isinstance(final, ev.Refuse)
    assert (final.failure.reason, final.failure.verdict) == (Reason.NOT_READY, Verdict.NOT_RUN)


def test_the_longest_prefix_of_the_host_decides() -> None:
    short = single_route()
    longer = single_route(split=Split((WeightedService("deep", 1.0),)))
    longer = type(longer)(**{**_fields(longer), "name": "deep", "prefix": "/one/deep/"})
    both = configuration(1, short, longer)
    assert both.find("shop.example", "/one/deep/x") is longer
    assert both.find("shop.example", "/one/deeper") is short
    assert both.find("shop.example", "/one") is None


def _fields(route: object) -> dict[str, object]:
    return {name: getattr(route, name) for name in route.__slots__}  # type: ignore[attr-defined]


def test_a_split_keeps_its_shares_over_any_hundred_requests() -> None:
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

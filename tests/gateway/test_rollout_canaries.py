"""Canary calls: their share, their selection, and the fallback to the old version when they fail."""

import math
from dataclasses import replace
from typing import Any

import pytest
from harness import SHARDS, failure, gather_route, reply, single_route
from rolled_out import (
    CANARY,
    ONE_SHARD,
    ORDERED,
    ROLLED_BACK,
    SWITCHING,
    VALID_S,
    RolloutHarness,
    servers_of,
)

from yokesill.gateway import events as ev
from yokesill.gateway.documents import Configuration, Route, ServerRecord, ServiceLimits
from yokesill.gateway.limits.budget import BudgetLimits
from yokesill.rollouts.order_samples import MAX_NEW_SAMPLES, MAX_OLD_SAMPLES
from yokesill.rollouts.orders import RolloutState
from yokesill.verdict import Failure, Reason, Verdict

SHED = failure(Reason.SHED, Verdict.NOT_RUN)
NODES, REQUESTS_PER_NODE, SHARE = 90, 8, 0.1
UNREPEATABLE = single_route(repeatable=False)


def canary(*routes: Route, share: float = 1.0, **options: Any) -> RolloutHarness:
    harness = RolloutHarness(*routes, **options)
    harness.receive_decisions(CANARY, share, valid_s=1000.0)
    return harness


def test_canary_share_over_all_nodes_is_within_its_expected_spread() -> None:
    sent: list[str] = []
    for node in range(NODES):
        harness = canary(share=SHARE)
        request = harness.attempts(harness.arrive())[0].request
        for number in range(REQUESTS_PER_NODE):
            name = f"{node}-{number}"
            harness.feed(ev.RequestArrived(replace(request, key=name, request_id=name)))
            sent += harness.versions(name)
    spread = math.sqrt(len(sent) * SHARE * (1 - SHARE))
    assert len(sent) == NODES * REQUESTS_PER_NODE
    assert abs(sent.count("v2") - SHARE * len(sent)) < 3 * spread


def test_canary_share_applies_only_while_the_decision_is_valid() -> None:
    harness = RolloutHarness()
    harness.receive_decisions(CANARY)
    assert harness.send_requests() == {"v2"}
    harness.advance(VALID_S)
    assert harness.send_requests() == {"v1"}
    harness.receive_decisions(CANARY)
    assert harness.send_requests() == {"v2"}


@pytest.mark.parametrize("state", [ORDERED, ROLLED_BACK])
def test_canary_share_is_ignored_in_other_states(state: RolloutState) -> None:
    harness = RolloutHarness()
    harness.receive_decisions(state)
    assert harness.send_requests() == {"v1"}


@pytest.mark.parametrize("canary_failure", [failure(), SHED])
def test_failed_canary_is_retried_at_the_old_version(canary_failure: Failure) -> None:
    harness = canary()
    key = harness.arrive()
    harness.fail(harness.attempts(key)[0], canary_failure)
    assert harness.versions(key) == ["v2", "v1"]
    harness.answer(harness.attempts(key)[1])
    assert isinstance(harness.finals[key], ev.Gathered)


def test_canary_with_an_error_status_is_retried_at_the_old_version() -> None:
    harness = canary()
    key = harness.arrive()
    harness.answer(harness.attempts(key)[0], reply(status=500, signature=None))
    assert harness.versions(key) == ["v2", "v1"]


def test_late_canary_is_hedged_at_the_old_version() -> None:
    harness = RolloutHarness()
    harness.warm_up()
    harness.receive_decisions(CANARY)
    key = harness.arrive()
    harness.advance(0.3)
    assert harness.versions(key) == ["v2", "v1"]


def test_retries_of_canaries_stay_within_the_budget() -> None:
    harness = canary(budget=BudgetLimits(ratio=0.0, allowance=3.0, window_s=10.0))
    keys = [harness.arrive() for _ in range(5)]
    for key in keys:
        harness.fail(harness.attempts(key)[0])
    assert sum(len(harness.versions(key)) - 1 for key in keys) == 2


def test_canary_goes_to_the_old_version_if_the_new_one_has_no_server() -> None:
    harness = canary()
    for number in (1, 2):
        harness.feed(ev.ServerRemoved(f"s1-v2-{number}"))
    assert harness.send_requests(requests=3) == {"v1"}


def cold_servers() -> tuple[ServerRecord, ...]:
    return tuple(replace(each, warmup_left_s=60.0) for each in servers_of("s1", "v2"))


@pytest.mark.parametrize("state", [CANARY, SWITCHING])
def test_cold_servers_of_the_new_version_get_no_more_than_their_limit(state: RolloutState) -> None:
    harness = RolloutHarness(servers=(*servers_of("s1", "v1"), *cold_servers()))
    limits = {"s1": ServiceLimits(100, cold_requests_per_s=1.0)}
    harness.feed(ev.ConfigurationReceived(Configuration(2, (ONE_SHARD,), limits)))
    harness.receive_decisions(state)
    assert harness.send_requests() == {"v1"}


def test_canaries_of_a_wide_request_are_limited_by_the_services_it_can_miss() -> None:
    for coverage, expected in ((1.0, 1), (0.75, 1), (0.5, 2), (0.25, 3)):
        harness = canary(gather_route(coverage))
        key = harness.arrive()
        assert (harness.versions(key).count("v2"), len(harness.attempts(key))) == (expected, len(SHARDS))


def test_every_service_of_a_wide_request_gets_canaries() -> None:
    harness = canary(gather_route(1.0))
    for _ in range(40):
        harness.arrive()
    assert {each.server.service for each in harness.sent if each.server.version == "v2"} == set(SHARDS)


def test_unrepeatable_request_is_no_canary_if_repeatable_ones_can_be() -> None:
    both = (UNREPEATABLE, gather_route(services=("desk",), coverage=1.0))
    assert canary(*both).send_requests("/one/x") == {"v1"}
    assert canary(*both).send_requests("/wide/x") == {"v2"}
    assert canary(UNREPEATABLE).send_requests("/one/x") == {"v2"}


def test_unrepeatable_canary_is_sent_only_once() -> None:
    harness = canary(UNREPEATABLE)
    key = harness.arrive("/one/x")
    harness.advance(2.0)
    harness.fail(harness.attempts(key)[0])
    assert harness.versions(key) == ["v2"]
    assert isinstance(harness.finals[key], ev.Refuse)


def test_unrepeatable_requests_are_switched_over_like_all_others() -> None:
    harness = RolloutHarness(UNREPEATABLE, gather_route(services=("desk",), coverage=1.0))
    harness.record_state(SWITCHING)
    assert harness.send_requests("/one/x") == {"v2"}


# --- reports to deciders ---


def test_report_contains_totals_of_all_requests_sent() -> None:
    harness = canary(share=0.0)
    harness.send_requests(requests=3)
    harness.receive_decisions(CANARY)
    key = harness.arrive()
    harness.fail(harness.attempts(key)[0], SHED)
    first, second = harness.report(), harness.report()
    assert (first.sent_old, first.sent_new, first.state) == (4, 1, CANARY)
    assert (second.sent_old, second.sent_new, second.samples) == (4, 1, ())


def test_samples_contain_the_outcome_and_the_servers_own_latency() -> None:
    harness = RolloutHarness()
    harness.warm_up()
    harness.report()
    harness.receive_decisions(CANARY)
    for status in (200, 500):
        key = harness.arrive()
        harness.advance(0.02)
        harness.answer(
            harness.attempts(key)[0], reply(status=status, signature=b"s" if status == 200 else None)
        )
    old = harness.attempts(key)[1]
    harness.advance(0.03)
    harness.answer(old)
    good, bad, repeated = harness.report().samples
    assert (good.route, good.new, good.succeeded) == ("wide", True, True)
    assert good.latency_s == pytest.approx(0.02, abs=0.005)
    assert (bad.new, bad.succeeded, bad.latency_s) == (True, False, None)
    assert (repeated.new, repeated.instance) == (False, old.server.instance)


@pytest.mark.parametrize(
    ("reason", "samples"),
    [
        (Reason.CONNECTION_LOST, 1),
        (Reason.CONNECT_FAILED, 1),
        (Reason.MALFORMED_REPLY, 1),
        (Reason.OVERLOADED, 0),
        (Reason.CONNECTION_FORGOTTEN, 0),
        (Reason.CONNECTION_REFUSED, 0),
        (Reason.SHED, 0),
        (Reason.BACKEND_LEAVING, 0),
        (Reason.TIMED_OUT, 0),
    ],
)
def test_only_failures_that_are_evidence_about_the_server_become_samples(
    reason: Reason, samples: int
) -> None:
    harness = canary()
    key = harness.arrive()
    harness.fail(harness.attempts(key)[0], failure(reason))
    assert len([each for each in harness.report().samples if each.new]) == samples


def test_sample_of_a_cold_server_has_no_latency() -> None:
    harness = RolloutHarness(servers=(*servers_of("s1", "v1"), *cold_servers()))
    harness.receive_decisions(CANARY)
    key = harness.arrive()
    harness.answer(harness.attempts(key)[0])
    assert [each.latency_s for each in harness.report().samples] == [None]


def test_samples_between_two_reports_are_limited() -> None:
    harness = RolloutHarness(single_route())
    for share in (0.0, 1.0):
        harness.receive_decisions(CANARY, share)
        harness.send_requests("/one/x", requests=2 * MAX_NEW_SAMPLES)
    samples = harness.report().samples
    assert [sum(each.new is new for each in samples) for new in (True, False)] == [
        MAX_NEW_SAMPLES,
        MAX_OLD_SAMPLES,
    ]


def test_order_is_reported_until_its_record_is_final() -> None:
    harness = RolloutHarness()
    harness.receive_decisions(ROLLED_BACK)
    assert harness.report().state is ROLLED_BACK
    assert harness.router.open_orders() == (harness.orders["s1"],)
    harness.record_state(ROLLED_BACK)
    assert harness.router.open_orders() == ()
    assert harness.router.rollout_report(harness.now) == ()

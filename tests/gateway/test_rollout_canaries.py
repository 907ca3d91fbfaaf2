"""Canary calls: how many, which, and who answers when the new version does not."""

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
    RolledOut,
    servers_of,
)

from yokesill.gateway import events as ev
from yokesill.gateway.documents import Configuration, Route, ServerRecord, ServiceLimits
from yokesill.gateway.limits.budget import BudgetLimits
from yokesill.rollouts.order_samples import MOST_NEW, MOST_OLD
from yokesill.rollouts.orders import RolloutState
from yokesill.verdict import Failure, Reason, Verdict

SHED = failure(Reason.SHED, Verdict.NOT_RUN)
NODES, EACH, SHARE = 90, 8, 0.1
UNREPEATABLE = single_route(repeatable=False)


def canary(*routes: Route, share: float = 1.0, **options: Any) -> RolledOut:
    harness = RolledOut(*routes, **options)
    harness.hear(CANARY, share, valid_s=1000.0)
    return harness


def test_all_nodes_together_keep_the_share_within_its_spread() -> None:
    sent: list[str] = []
    for node in range(NODES):
        harness = canary(share=SHARE)
        request = harness.attempts(harness.arrive())[0].request
        for number in range(EACH):
            name = f"{node}-{number}"
            harness.feed(ev.RequestArrived(replace(request, key=name, request_id=name)))
            sent += harness.versions(name)
    spread = math.sqrt(len(sent) * SHARE * (1 - SHARE))
    assert len(sent) == NODES * EACH
    assert abs(sent.count("v2") - SHARE * len(sent)) < 3 * spread


def test_a_share_is_in_force_only_while_its_word_is_fresh() -> None:
    harness = RolledOut()
    harness.hear(CANARY)
    assert harness.ask() == {"v2"}
    harness.advance(VALID_S)
    assert harness.ask() == {"v1"}
    harness.hear(CANARY)
    assert harness.ask() == {"v2"}


@pytest.mark.parametrize("told", [ORDERED, ROLLED_BACK])
def test_no_share_counts_in_any_other_state(told: RolloutState) -> None:
    harness = RolledOut()
    harness.hear(told)
    assert harness.ask() == {"v1"}


@pytest.mark.parametrize("lost", [failure(), SHED])
def test_a_canary_that_fails_is_repeated_at_the_old_version(lost: Failure) -> None:
    harness = canary()
    key = harness.arrive()
    harness.fail(harness.attempts(key)[0], lost)
    assert harness.versions(key) == ["v2", "v1"]
    harness.answer(harness.attempts(key)[1])
    assert isinstance(harness.finals[key], ev.Gathered)


def test_a_canary_that_answers_a_failure_is_repeated_at_the_old_version() -> None:
    harness = canary()
    key = harness.arrive()
    harness.answer(harness.attempts(key)[0], reply(status=500, signature=None))
    assert harness.versions(key) == ["v2", "v1"]


def test_a_canary_that_is_late_is_hedged_at_the_old_version() -> None:
    harness = RolledOut()
    harness.warm_up()
    harness.hear(CANARY)
    key = harness.arrive()
    harness.advance(0.3)
    assert harness.versions(key) == ["v2", "v1"]


def test_repeating_canaries_keeps_to_the_budget() -> None:
    harness = canary(budget=BudgetLimits(ratio=0.0, allowance=3.0, window_s=10.0))
    keys = [harness.arrive() for _ in range(5)]
    for key in keys:
        harness.fail(harness.attempts(key)[0])
    assert sum(len(harness.versions(key)) - 1 for key in keys) == 2


def test_a_canary_goes_to_the_old_version_where_the_new_one_has_no_sound_server() -> None:
    harness = canary()
    for number in (1, 2):
        harness.feed(ev.ServerRemoved(f"s1-v2-{number}"))
    assert harness.ask(requests=3) == {"v1"}


def cold_servers() -> tuple[ServerRecord, ...]:
    return tuple(replace(each, warmup_left_s=60.0) for each in servers_of("s1", "v2"))


@pytest.mark.parametrize("state", [CANARY, SWITCHING])
def test_cold_servers_of_the_new_version_bear_no_more_than_their_part(state: RolloutState) -> None:
    harness = RolledOut(servers=(*servers_of("s1", "v1"), *cold_servers()))
    limits = {"s1": ServiceLimits(100, cold_requests_per_s=1.0)}
    harness.feed(ev.ConfigurationLearnt(Configuration(2, (ONE_SHARD,), limits)))
    harness.hear(state)
    assert harness.ask() == {"v1"}


def test_a_wide_request_has_no_more_canaries_than_parts_it_can_do_without() -> None:
    for coverage, most in ((1.0, 1), (0.75, 1), (0.5, 2), (0.25, 3)):
        harness = canary(gather_route(coverage))
        key = harness.arrive()
        assert (harness.versions(key).count("v2"), len(harness.attempts(key))) == (most, len(SHARDS))


def test_each_part_of_a_wide_request_is_a_canary_at_times() -> None:
    harness = canary(gather_route(1.0))
    for _ in range(40):
        harness.arrive()
    assert {each.server.service for each in harness.sent if each.server.version == "v2"} == set(SHARDS)


def test_what_may_not_be_repeated_is_no_canary_where_something_else_is() -> None:
    both = (UNREPEATABLE, gather_route(services=("desk",), coverage=1.0))
    assert canary(*both).ask("/one/x") == {"v1"}
    assert canary(*both).ask("/wide/x") == {"v2"}
    assert canary(UNREPEATABLE).ask("/one/x") == {"v2"}


def test_what_may_not_be_repeated_is_sent_once_also_as_a_canary() -> None:
    harness = canary(UNREPEATABLE)
    key = harness.arrive("/one/x")
    harness.advance(2.0)
    harness.fail(harness.attempts(key)[0])
    assert harness.versions(key) == ["v2"]
    assert isinstance(harness.finals[key], ev.Refuse)


def test_what_may_not_be_repeated_is_switched_over_like_all() -> None:
    harness = RolledOut(UNREPEATABLE, gather_route(services=("desk",), coverage=1.0))
    harness.record(SWITCHING)
    assert harness.ask("/one/x") == {"v2"}


# --- what is reported ---


def test_everything_that_was_sent_is_counted_and_told_in_totals() -> None:
    harness = canary(share=0.0)
    harness.ask(requests=3)
    harness.hear(CANARY)
    key = harness.arrive()
    harness.fail(harness.attempts(key)[0], SHED)
    first, second = harness.report(), harness.report()
    assert (first.sent_old, first.sent_new, first.state) == (4, 1, CANARY)
    assert (second.sent_old, second.sent_new, second.samples) == (4, 1, ())


def test_samples_tell_how_attempts_ended_and_the_servers_own_time() -> None:
    harness = RolledOut()
    harness.warm_up()
    harness.report()
    harness.hear(CANARY)
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
def test_failures_that_say_nothing_of_the_server_are_no_samples(reason: Reason, samples: int) -> None:
    harness = canary()
    key = harness.arrive()
    harness.fail(harness.attempts(key)[0], failure(reason))
    assert len([each for each in harness.report().samples if each.new]) == samples


def test_a_cold_server_tells_nothing_by_its_time() -> None:
    harness = RolledOut(servers=(*servers_of("s1", "v1"), *cold_servers()))
    harness.hear(CANARY)
    key = harness.arrive()
    harness.answer(harness.attempts(key)[0])
    assert [each.latency_s for each in harness.report().samples] == [None]


def test_samples_are_bounded_between_two_reports() -> None:
    harness = RolledOut(single_route())
    for share in (0.0, 1.0):
        harness.hear(CANARY, share)
        harness.ask("/one/x", requests=2 * MOST_NEW)
    samples = harness.report().samples
    assert [sum(each.new is new for each in samples) for new in (True, False)] == [MOST_NEW, MOST_OLD]


def test_an_order_is_reported_until_its_record_is_final() -> None:
    harness = RolledOut()
    harness.hear(ROLLED_BACK)
    assert harness.report().state is ROLLED_BACK
    assert harness.router.open_orders() == (harness.orders["s1"],)
    harness.record(ROLLED_BACK)
    assert harness.router.open_orders() == ()
    assert harness.router.rollout_report(harness.now) == ()

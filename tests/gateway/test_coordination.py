"""Which wide requests a node forwards to a coordinator, and what it may send once a coordinator is lost."""

from dataclasses import replace

import pytest
from harness import RouterHarness, gather_route, reply, single_route

from yokesill.gateway import events as ev
from yokesill.gateway.documents import Route
from yokesill.gateway.forwarding import (
    INITIAL_HOP_S,
    MIN_WIDE_SERVICES,
    REFUSED_PAUSE_S,
    Coordinator,
    CoordinatorChoice,
)
from yokesill.gateway.messages import GatewayRequest
from yokesill.peers.capacity_rank import coordinator_nodes, strong_nodes
from yokesill.verdict import Verdict

WIDE = gather_route(services=tuple(f"s{number}" for number in range(MIN_WIDE_SERVICES)))
NOW = 1000.0


def coordinators(reported_at_s: float = NOW) -> dict[str, Coordinator]:
    return {node: Coordinator(f"{node}:80", reported_at_s) for node in ("n1", "n2")}


def test_node_always_chooses_the_same_coordinator_and_nodes_spread_over_all() -> None:
    chosen = {
        own: {CoordinatorChoice(own).choose(WIDE, coordinators(), NOW) for _ in range(3)}
        for own in (f"w{number}" for number in range(20))
    }
    assert all(len(each) == 1 for each in chosen.values())
    assert set.union(*chosen.values()) == {"n1", "n2"}


def test_narrow_and_single_requests_are_never_forwarded() -> None:
    choice = CoordinatorChoice("w")
    assert choice.choose(gather_route(), coordinators(), NOW) is None
    assert choice.choose(single_route(), coordinators(), NOW) is None
    assert choice.choose(WIDE, {}, NOW) is None


def test_coordinator_that_refused_is_skipped_for_a_while() -> None:
    choice = CoordinatorChoice("w")
    first = choice.choose(WIDE, coordinators(), NOW)
    assert first is not None
    choice.refused(first, NOW)
    other = choice.choose(WIDE, coordinators(), NOW)
    assert other is not None and other != first
    choice.refused(other, NOW)
    assert choice.choose(WIDE, coordinators(), NOW) is None
    assert choice.choose(WIDE, coordinators(), NOW + REFUSED_PAUSE_S) == first


def test_lost_coordinator_is_skipped_until_it_reports_again() -> None:
    choice = CoordinatorChoice("w")
    first = choice.choose(WIDE, coordinators(), NOW)
    assert first is not None
    choice.lost(first, NOW + 0.1)
    assert choice.choose(WIDE, coordinators(), NOW + 60.0) != first
    assert choice.choose(WIDE, coordinators(NOW + 0.2), NOW + 0.2) == first


def test_hop_estimate_follows_measurements_and_errs_on_the_long_side() -> None:
    choice = CoordinatorChoice("w")
    assert choice.hop_s == INITIAL_HOP_S
    for _ in range(60):
        choice.record_hop(0.012)
    assert 0.012 <= choice.hop_s < 0.013
    for number in range(60):
        choice.record_hop(0.002 if number % 2 else 0.010)
    assert 0.008 < choice.hop_s < 0.014


@pytest.mark.parametrize(
    ("cores", "strong"),
    [
        ([0.5] * 9 + [2.0, 2.0], {9, 10}),
        ([1.0] * 9, set()),
        ([1.0, 1.0, 1.9], set()),
        ([0.5, 2.0, 2.0], set()),
        ([], set()),
    ],
)
def test_strong_nodes_have_twice_the_median_processor(cores: list[float], strong: set[int]) -> None:
    named = {f"n{number}": each for number, each in enumerate(cores)}
    assert strong_nodes(named) == {f"n{number}" for number in strong}


def arrive_possibly_sent(harness: RouterHarness) -> str:
    """Feed a request that a lost coordinator may already have sent to servers; return its key."""
    request = GatewayRequest(
        "k",
        "id-k",
        b"GET",
        "shop.example",
        "/wide/x",
        b"/wide/x",
        (),
        b"",
        harness.now,
        1.5,
        possibly_sent=True,
    )
    harness.feed(ev.RequestArrived(request))
    return "k"


def test_request_possibly_sent_by_a_lost_coordinator_is_charged_to_the_budget() -> None:
    harness = RouterHarness(gather_route(attempts=2))
    key = arrive_possibly_sent(harness)
    for attempt in harness.attempts(key):
        harness.answer(attempt, reply())
    final = harness.finals[key]
    assert isinstance(final, ev.Gathered)
    assert final.summary.extra_attempts == len(harness.attempts(key)) == 4


def test_request_possibly_sent_by_a_lost_coordinator_stays_within_the_routes_attempts() -> None:
    harness = RouterHarness(gather_route(attempts=2))
    key = arrive_possibly_sent(harness)
    for attempt in list(harness.attempts(key)):
        harness.fail(attempt)
    harness.advance(2.0)
    assert len(harness.attempts(key)) == 4

    # The lost coordinator may have hedged or retried: all but the last attempt count as used.
    three_attempts = RouterHarness(gather_route(attempts=3))
    key = arrive_possibly_sent(three_attempts)
    for _ in range(3):
        for attempt in list(three_attempts.of(key)):
            three_attempts.fail(attempt)
    three_attempts.advance(2.0)
    assert len(three_attempts.of(key)) == 4

    one_attempt = RouterHarness(gather_route(attempts=1))
    key = arrive_possibly_sent(one_attempt)
    assert one_attempt.of(key) == []
    assert isinstance(one_attempt.finals[key], ev.Refuse)


def test_request_possibly_sent_by_a_lost_coordinator_is_refused_as_may_have_run() -> None:
    route: Route = replace(gather_route(attempts=1), name="wide")
    harness = RouterHarness(route)
    key = arrive_possibly_sent(harness)
    final = harness.finals[key]
    assert isinstance(final, ev.Refuse)
    assert final.failure.verdict is Verdict.MAY_HAVE_RUN


def test_every_node_gathers_in_a_zone_without_strong_nodes() -> None:
    nodes = [("a1", "a", 0.5), ("a2", "a", 0.5), ("a3", "a", 2.0), ("b1", "b", 0.5), ("b2", "b", 0.5)]
    assert coordinator_nodes(nodes) == {"a3", "b1", "b2"}
    assert coordinator_nodes([each for each in nodes if each[0] != "a3"]) == frozenset()

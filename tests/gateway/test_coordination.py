"""Which wide requests a node hands over, and what it may still do after a coordinator was lost."""

from dataclasses import replace

import pytest
from harness import RouterHarness, gather_route, reply, single_route

from yokesill.gateway import events as ev
from yokesill.gateway.documents import Route
from yokesill.gateway.forwarding import (
    FIRST_HOP_S,
    LEAST_SERVICES,
    REFUSED_PAUSE_S,
    Coordinator,
    CoordinatorChoice,
)
from yokesill.gateway.messages import GatewayRequest
from yokesill.peers.capacity_rank import gathering_nodes, strong_nodes
from yokesill.verdict import Verdict

WIDE = gather_route(services=tuple(f"s{number}" for number in range(LEAST_SERVICES)))
NOW = 1000.0


def coordinators(heard_at_s: float = NOW) -> dict[str, Coordinator]:
    return {node: Coordinator(f"{node}:80", heard_at_s) for node in ("n1", "n2")}


def test_a_node_hands_its_wide_requests_to_the_same_coordinator_and_nodes_spread_over_them() -> None:
    chosen = {
        own: {CoordinatorChoice(own).choose(WIDE, coordinators(), NOW) for _ in range(3)}
        for own in (f"w{number}" for number in range(20))
    }
    assert all(len(each) == 1 for each in chosen.values())
    assert set.union(*chosen.values()) == {"n1", "n2"}


def test_narrow_and_single_requests_are_never_handed_over() -> None:
    choice = CoordinatorChoice("w")
    assert choice.choose(gather_route(), coordinators(), NOW) is None
    assert choice.choose(single_route(), coordinators(), NOW) is None
    assert choice.choose(WIDE, {}, NOW) is None


def test_a_coordinator_that_refused_is_left_alone_for_a_while() -> None:
    choice = CoordinatorChoice("w")
    first = choice.choose(WIDE, coordinators(), NOW)
    assert first is not None
    choice.refused(first, NOW)
    other = choice.choose(WIDE, coordinators(), NOW)
    assert other is not None and other != first
    choice.refused(other, NOW)
    assert choice.choose(WIDE, coordinators(), NOW) is None
    assert choice.choose(WIDE, coordinators(), NOW + REFUSED_PAUSE_S) == first


def test_a_coordinator_that_was_lost_is_left_alone_until_it_is_heard_of_again() -> None:
    choice = CoordinatorChoice("w")
    first = choice.choose(WIDE, coordinators(), NOW)
    assert first is not None
    choice.lost(first, NOW + 0.1)
    assert choice.choose(WIDE, coordinators(), NOW + 60.0) != first
    assert choice.choose(WIDE, coordinators(NOW + 0.2), NOW + 0.2) == first


def test_the_hop_is_learnt_and_counted_rather_too_long_than_too_short() -> None:
    choice = CoordinatorChoice("w")
    assert choice.hop_s == FIRST_HOP_S
    for _ in range(60):
        choice.took(0.012)
    assert 0.012 <= choice.hop_s < 0.013
    for number in range(60):
        choice.took(0.002 if number % 2 else 0.010)
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
def test_strong_nodes_have_twice_the_processor_of_the_middle_one(
    cores: list[float], strong: set[int]
) -> None:
    named = {f"n{number}": each for number, each in enumerate(cores)}
    assert strong_nodes(named) == {f"n{number}" for number in strong}


def asked_before(harness: RouterHarness) -> str:
    """A request that a lost coordinator may have sent to servers already."""
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
        asked_before=True,
    )
    harness.feed(ev.RequestArrived(request))
    return "k"


def test_what_a_lost_coordinator_may_have_sent_is_paid_for_as_a_second_time() -> None:
    harness = RouterHarness(gather_route(attempts=2))
    key = asked_before(harness)
    for attempt in harness.attempts(key):
        harness.answer(attempt, reply())
    final = harness.finals[key]
    assert isinstance(final, ev.Gathered)
    assert final.summary.extra_attempts == len(harness.attempts(key)) == 4


def test_after_a_lost_coordinator_no_shard_is_asked_more_often_than_its_route_allows() -> None:
    harness = RouterHarness(gather_route(attempts=2))
    key = asked_before(harness)
    for attempt in list(harness.attempts(key)):
        harness.fail(attempt)
    harness.advance(2.0)
    assert len(harness.attempts(key)) == 4

    # The one that was lost may have hedged or repeated: all but the last attempt are taken as used.
    thrice = RouterHarness(gather_route(attempts=3))
    key = asked_before(thrice)
    for _ in range(3):
        for attempt in list(thrice.attempts(key)):
            thrice.fail(attempt)
    thrice.advance(2.0)
    assert len(thrice.attempts(key)) == 4

    once = RouterHarness(gather_route(attempts=1))
    key = asked_before(once)
    assert once.attempts(key) == []
    assert isinstance(once.finals[key], ev.Refuse)


def test_what_a_lost_coordinator_may_have_sent_is_never_said_not_to_have_run() -> None:
    route: Route = replace(gather_route(attempts=1), name="wide")
    harness = RouterHarness(route)
    key = asked_before(harness)
    final = harness.finals[key]
    assert isinstance(final, ev.Refuse)
    assert final.failure.verdict is Verdict.MAY_HAVE_RUN


def test_a_zone_without_strong_nodes_gathers_by_itself() -> None:
    nodes = [("a1", "a", 0.5), ("a2", "a", 0.5), ("a3", "a", 2.0), ("b1", "b", 0.5), ("b2", "b", 0.5)]
    assert gathering_nodes(nodes) == {"a3", "b1", "b2"}
    assert gathering_nodes([each for each in nodes if each[0] != "a3"]) == frozenset()

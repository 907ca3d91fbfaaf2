"""Which wide requests a node hands over, and what it may still do after a coordinator was lost."""

from dataclasses import replace

from harness import RouterHarness, gather_route, reply, single_route

from yokesill.gateway import events as ev
from yokesill.gateway.coordination import AVOIDED_S, LEAST_SERVICES, CoordinatorChoice
from yokesill.gateway.documents import Route
from yokesill.gateway.messages import GatewayRequest
from yokesill.verdict import Verdict

WIDE = gather_route(services=tuple(f"s{number}" for number in range(LEAST_SERVICES)))
COORDINATORS = ("n1", "n2")
NOW = 1000.0


def test_a_node_that_meets_few_wide_requests_hands_them_over_and_always_to_the_same() -> None:
    choice = CoordinatorChoice()
    chosen = set()
    for second in range(20):
        chosen.add(choice.choose(WIDE, COORDINATORS, NOW + second))
        choice.count(WIDE, NOW + second)
    assert len(chosen) == 1
    assert chosen <= set(COORDINATORS)


def test_a_node_that_meets_many_gathers_itself_until_they_grow_few() -> None:
    choice = CoordinatorChoice()
    for number in range(100):
        choice.count(WIDE, NOW + number * 0.2)
    assert choice.choose(WIDE, COORDINATORS, NOW + 20.0) is None
    assert choice.choose(WIDE, COORDINATORS, NOW + 30.0) is not None


def test_narrow_and_single_requests_are_never_handed_over() -> None:
    choice = CoordinatorChoice()
    assert choice.choose(gather_route(), COORDINATORS, NOW) is None
    assert choice.choose(single_route(), COORDINATORS, NOW) is None
    assert choice.choose(WIDE, (), NOW) is None


def test_a_coordinator_that_took_nothing_is_left_alone_for_a_while() -> None:
    choice = CoordinatorChoice()
    first = choice.choose(WIDE, COORDINATORS, NOW)
    assert first is not None
    choice.avoid(first, NOW)
    other = choice.choose(WIDE, COORDINATORS, NOW)
    assert other in COORDINATORS and other != first
    choice.avoid(str(other), NOW)
    assert choice.choose(WIDE, COORDINATORS, NOW) is None
    assert choice.choose(WIDE, COORDINATORS, NOW + AVOIDED_S) == first


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
    for attempt in harness.of(key):
        harness.answer(attempt, reply())
    final = harness.finals[key]
    assert isinstance(final, ev.Gathered)
    assert final.summary.extra_attempts == len(harness.of(key)) == 4


def test_after_a_lost_coordinator_no_shard_is_asked_more_often_than_its_route_allows() -> None:
    harness = RouterHarness(gather_route(attempts=2))
    key = asked_before(harness)
    for attempt in list(harness.of(key)):
        harness.fail(attempt)
    harness.advance(2.0)
    assert len(harness.of(key)) == 4

    once = RouterHarness(gather_route(attempts=1))
    key = asked_before(once)
    assert once.of(key) == []
    assert isinstance(once.finals[key], ev.Refuse)


def test_what_a_lost_coordinator_may_have_sent_is_never_said_not_to_have_run() -> None:
    route: Route = replace(gather_route(attempts=1), name="wide")
    harness = RouterHarness(route)
    key = asked_before(harness)
    final = harness.finals[key]
    assert isinstance(final, ev.Refuse)
    assert final.failure.verdict is Verdict.MAY_HAVE_RUN

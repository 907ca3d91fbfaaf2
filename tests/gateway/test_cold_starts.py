"""All nodes together send a cold server no more requests in any second than its limit."""

import random
from dataclasses import replace

import pytest
from harness import RouterHarness, gather_route, server

from yokesill.gateway import events as ev
from yokesill.gateway.documents import Configuration, ServiceLimits
from yokesill.gateway.limits.budget import BudgetLimits
from yokesill.gateway.options import GatewayOptions
from yokesill.gateway.servers.cold_starts import ColdStartLimits, ColdStarts

LIMITS = ColdStartLimits(overshoot=1.5, slack=5.0)
COLD_REQUESTS_PER_S = 4.0
LIMIT_PER_S = COLD_REQUESTS_PER_S * LIMITS.overshoot + LIMITS.slack
COLD = replace(server("cold", "s1"), warmup_left_s=30.0)
WARM = server("warm", "s1", zone="z2")
ROUTE = gather_route(services=("s1",), coverage=1.0)


def node(
    name: str, names: frozenset[str], *servers: str, cold_requests_per_s: float = COLD_REQUESTS_PER_S
) -> RouterHarness:
    options = GatewayOptions("z1", name, budget=BudgetLimits(0.2, 50.0, 10.0), cold_starts=LIMITS)
    records = {"cold": COLD, "warm": WARM}
    harness = RouterHarness(servers=tuple(records[each] for each in servers), options=options)
    services = {"s1": ServiceLimits(100, cold_requests_per_s)}
    harness.feed(ev.ConfigurationReceived(Configuration(1, (ROUTE,), services)))
    harness.feed(ev.NodesUpdated(names))
    return harness


def names(count: int) -> frozenset[str]:
    return frozenset(f"n{number}" for number in range(count))


def max_in_any_second(times: list[float]) -> int:
    times = sorted(times)
    return max((sum(at <= each < at + 1.0 for each in times) for at in times), default=0)


@pytest.mark.parametrize("count", [1, 8, 90, 195, 770])
def test_all_nodes_together_stay_within_the_limit_of_a_cold_server(count: int) -> None:
    """Each node has far more requests than it may send; the busiest second over all nodes is checked."""
    starts = [ColdStarts(f"n{number}", LIMITS) for number in range(count)]
    source = random.Random(count)
    sent: list[float] = []
    for each in starts:
        each.set_nodes(names(count))
    for step in range(100):
        now = 1000.0 + 0.05 * step
        for each in source.sample(starts, len(starts)):
            if each.allows(COLD, COLD_REQUESTS_PER_S, now):
                each.sent(COLD, now)
                sent.append(now)
    assert 0 < max_in_any_second(sent) <= LIMIT_PER_S


def test_nodes_with_different_node_lists_stay_within_the_limit() -> None:
    sent: list[float] = []
    for number in range(40):
        each = ColdStarts(f"n{number}", LIMITS)
        each.set_nodes(names(20) if number < 20 else names(40))
        sent += [
            0.0 for _ in range(3) if each.allows(COLD, COLD_REQUESTS_PER_S, 0.0) and not each.sent(COLD, 0.0)
        ]
    assert len(sent) <= LIMIT_PER_S


def test_node_without_a_node_list_sends_nothing_to_a_cold_server() -> None:
    assert not ColdStarts("n1", LIMITS).allows(COLD, COLD_REQUESTS_PER_S, 0.0)


def test_requests_beyond_the_limit_go_to_warm_servers() -> None:
    harnesses = [node(f"n{number}", names(90), "cold", "warm") for number in range(90)]
    for harness in harnesses:
        for _ in range(4):
            harness.arrive()
    cold = sum(each.server.instance == "cold" for harness in harnesses for each in harness.sent)
    assert 0 < cold <= LIMIT_PER_S
    assert sum(len(harness.sent) for harness in harnesses) == 360


def test_cold_server_without_a_limit_gets_requests() -> None:
    harness = node("n1", names(90), "cold", cold_requests_per_s=0.0)
    assert len([harness.arrive() for _ in range(20)]) == len(harness.sent) == 20


def test_server_that_becomes_cold_again_is_limited() -> None:
    harness = node("x", names(90), "warm")
    harness.arrive()
    assert len(harness.sent) == 1
    harness.feed(ev.ServerListed(replace(WARM, warmup_left_s=5.0)))
    key = harness.arrive()
    assert harness.attempts(key) == []
    assert isinstance(harness.finals[key], ev.Refuse)
    harness.advance(5.1)
    assert len(harness.attempts(harness.arrive())) == 1


# Guards against requests beyond their rate to servers of a reopened zone that have turned cold unread.
def test_servers_of_a_reopened_zone_are_limited_until_they_are_known() -> None:
    harness = node("n0", frozenset({"n0"}), "warm")
    harness.feed(ev.ZoneEvacuated("z2"))
    harness.feed(ev.ZoneReopened("z2"))
    keys = [harness.arrive() for _ in range(20)]
    assert 0 < sum(len(harness.attempts(key)) for key in keys) <= LIMIT_PER_S
    harness.feed(ev.ReopenedServersKnown())
    assert harness.attempts(harness.arrive())


def test_servers_of_other_zones_are_not_limited_beside_a_reopening() -> None:
    harness = node("n0", frozenset({"n0"}), "warm")
    harness.feed(ev.ZoneEvacuated("z1"))
    harness.feed(ev.ZoneReopened("z1"))
    assert all(harness.attempts(harness.arrive()) for _ in range(20))

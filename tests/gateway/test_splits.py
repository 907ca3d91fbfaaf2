"""The weights of a split hold over all nodes together, even if each node gets few requests."""

import random

import pytest
from harness import RouterHarness, configuration, failure, server, single_route

from yokesill.gateway import events as ev
from yokesill.gateway.documents import Split, WeightedService
from yokesill.gateway.requests.splits import SplitCursor
from yokesill.verdict import Reason, Verdict

NODES = 90
# The specification allows a deviation of 0.1 over 300 requests.
MAX_DEVIATION = 0.1


def split_of(weights: tuple[float, ...]) -> Split:
    return Split(tuple(WeightedService(f"s{index}", weight) for index, weight in enumerate(weights)))


def shares(weights: tuple[float, ...], requests_per_node: int, seed: int) -> list[float]:
    source = random.Random(seed)
    counts = [0] * len(weights)
    for _ in range(NODES):
        cursor = SplitCursor(split_of(weights), source.random())
        for _ in range(requests_per_node):
            counts[int(cursor.next()[1:])] += 1
    return [count / sum(counts) for count in counts]


@pytest.mark.parametrize("weights", [(3.0, 1.0), (9.0, 1.0), (1.0, 1.0), (5.0, 3.0, 2.0), (1.0, 0.0)])
@pytest.mark.parametrize("requests_per_node", [2, 3, 4, 10])
def test_shares_hold_over_many_nodes_with_a_few_requests_each(
    weights: tuple[float, ...], requests_per_node: int
) -> None:
    for seed in range(20):
        for share, weight in zip(shares(weights, requests_per_node, seed), weights, strict=True):
            assert abs(share - weight / sum(weights)) <= MAX_DEVIATION


@pytest.mark.parametrize("count", [50, 300])
def test_shares_hold_over_sequence_at_one_node(count: int) -> None:
    cursor = SplitCursor(split_of((3.0, 1.0)), 0.3)
    chosen = [cursor.next() for _ in range(count)]
    assert abs(chosen.count("s0") / count - 0.75) < 0.03


def test_shares_hold_after_each_change_of_the_weights() -> None:
    harnesses = [RouterHarness() for _ in range(NODES)]
    for number, harness in enumerate(harnesses):
        harness.router._context.random_source.seed(number)
        for service in ("s0", "s1"):
            harness.feed(ev.ServerListed(server(service, service)))
    for version, weights in enumerate([(3.0, 1.0), (1.0, 3.0), (1.0, 1.0)], start=1):
        services = []
        for harness in harnesses:
            route = single_route(split=split_of(weights))
            harness.feed(ev.ConfigurationReceived(configuration(version, route)))
            services += [harness.attempts(harness.arrive("/one/x"))[0].server.service for _ in range(3)]
        assert abs(services.count("s0") / len(services) - weights[0] / sum(weights)) <= MAX_DEVIATION


def test_request_rejected_by_one_service_of_split_is_not_sent_to_another() -> None:
    harness = RouterHarness(
        single_route(split=split_of((1.0, 1.0))), servers=(server("a", "s0"), server("b", "s1"))
    )
    for _ in range(20):
        key = harness.arrive("/one/x")
        first = harness.attempts(key)[0]
        harness.fail(first, failure(Reason.SHED, Verdict.NOT_RUN))
        assert {each.server.service for each in harness.attempts(key)} == {first.server.service}

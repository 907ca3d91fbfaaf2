"""Subsetting in a running cluster: on when servers' connections are few, planned again with the members."""

from collections import Counter
from typing import Any

from conftest import make_scenario, run_cluster
from helpers import HOURS, assert_complete_answer, send_queries
from simulation.cluster import SimulatedCluster


def used(cluster: SimulatedCluster) -> list[list[int]]:
    """How many replicas of each shard each node uses."""
    return [
        [len(shard.replicas) for shard in running.node.catalog.services[HOURS].maps[1].shards]
        for running in cluster.nodes.values()
    ]


def test_few_connections_turn_subsetting_on() -> None:
    values = make_scenario().model_dump(by_alias=True)
    values["services"][0]["connections"] = 6
    scenario = type(make_scenario()).model_validate(values)

    async def body(cluster: SimulatedCluster) -> Any:
        # Four nodes would pass half of six connections: two of three replicas each; three would not.
        await cluster.until(lambda: all(count == 2 for node in used(cluster) for count in node), 10)
        nodes_of_server = Counter(
            replica.address
            for running in cluster.nodes.values()
            for shard in running.node.catalog.services[HOURS].maps[1].shards
            for replica in shard.replicas
        )
        finals = await send_queries(cluster, 20, 0.01)
        cluster.kill_node(3)
        await cluster.until(lambda: all(count == 3 for node in used(cluster) for count in node), 60)
        return nodes_of_server, finals, await send_queries(cluster, 20, 0.01)

    nodes_of_server, before, after = run_cluster(body, nodes=4, scenario=scenario)
    # The bound is 3 of 4; a node that finds too few servers below it takes one above.
    assert max(nodes_of_server.values()) <= 4
    assert sum(nodes_of_server.values()) == 4 * 8 * 2
    for final in before + after:
        assert_complete_answer(final)

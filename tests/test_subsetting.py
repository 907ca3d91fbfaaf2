"""Subsetting in a running cluster: used when servers have few connections, updated when members change."""

from collections import Counter
from typing import Any

from conftest import make_scenario, run_cluster
from helpers import HOURS, assert_complete_answer, send_queries
from simulation.cluster import SimulatedCluster


def replica_counts(cluster: SimulatedCluster) -> list[list[int]]:
    """Return the number of replicas that each node uses, for each shard."""
    return [
        [len(shard.replicas) for shard in running.node.catalog.services[HOURS].maps[1].shards]
        for running in cluster.nodes.values()
    ]


def test_subsetting_is_used_when_servers_have_few_connections() -> None:
    values = make_scenario().model_dump(by_alias=True)
    values["services"][0]["connections"] = 6
    scenario = type(make_scenario()).model_validate(values)

    async def body(cluster: SimulatedCluster) -> Any:
        # Four nodes would take more than half of six connections, so each uses two of three replicas. Three
        # nodes would not, so each uses all.
        await cluster.until(lambda: all(count == 2 for node in replica_counts(cluster) for count in node), 10)
        nodes_of_server = Counter(
            replica.address
            for running in cluster.nodes.values()
            for shard in running.node.catalog.services[HOURS].maps[1].shards
            for replica in shard.replicas
        )
        finals = await send_queries(cluster, 20, 0.01)
        cluster.kill_node(3)
        await cluster.until(lambda: all(count == 3 for node in replica_counts(cluster) for count in node), 60)
        return nodes_of_server, finals, await send_queries(cluster, 20, 0.01)

    nodes_of_server, before, after = run_cluster(body, nodes=4, scenario=scenario)
    # The bound is 3 of 4 nodes; a node that finds too few servers below the bound exceeds it by one.
    assert max(nodes_of_server.values()) <= 4
    assert sum(nodes_of_server.values()) == 4 * 8 * 2
    for final in before + after:
        assert_complete_answer(final)

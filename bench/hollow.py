"""Slopes of the control plane: hollow nodes in virtual time, at growing sizes.

For each size: bytes and processor time a node at rest, the time for a change and for a leaving
server's notice to reach every node, detection of a dead node, a restart, a lost zone, regions cut
and healed (twenty seconds each: long enough for every time-out). Processor time includes the
simulated network's, so it is an upper bound. Writes ``bench/results/hollow.json``.
"""

import json
import resource
import sys
import time
from concurrent.futures import ProcessPoolExecutor, as_completed
from typing import Any

import anyio
import trio.testing
from results_file import revision, write_results

from yokesill import logs
from yokesill.backends.subsetting import assign
from yokesill.membership.records import MemberStatus
from yokesill.membership.rumors import ServerNotice
from yokesill.replication.messages import decode_objects, encode_objects
from yokesill.resources.objects import StoredObject
from yokesill.simulation.hollow import HollowCluster, HollowNode

SIZES = (50, 100, 200, 400, 770)
SHARDS, REPLICAS = 130, 30
SETTLE = 10.0
REST = 10.0
CUT = 20.0
LIMIT = 30.0


def configuration() -> list[StoredObject]:
    """Return a service of 130 shards with 30 replicas each: 3,900 servers."""
    objects = [StoredObject("namespaces/n/services/s", 1, "c", {"kind": "service", "filler": "x" * 20_000})]
    for shard in range(SHARDS):
        replicas = [
            {"address": f"10.200.{shard}.{number}:9000", "zone": "r1z1", "connections": 90}
            for number in range(REPLICAS)
        ]
        key = f"namespaces/n/services/s/replicas/1/s{shard}"
        objects.append(StoredObject(key, shard + 2, "c", {"kind": "replicaset", "replicas": replicas}))
    return objects


async def measure(size: int) -> dict[str, Any]:
    """Measure one size."""
    row: dict[str, Any] = {"nodes": size}
    async with anyio.create_task_group() as task_group:
        cluster = HollowCluster(size, task_group, seed=size)
        objects = configuration()
        cluster.load_objects(objects)
        await anyio.sleep(SETTLE)
        row["rest"] = await at_rest(cluster, size)
        row["change"] = await change(cluster, objects[5], 1000)
        row["small_change"] = await change(cluster, StoredObject("namespaces/n", 1, "c", {}), 2000)
        row["leaving"] = await leaving(cluster)
        row["dead"] = await dead(cluster, size)
        row["restart"] = await restart(cluster, size)
        row["zone_lost"] = await cut(cluster, zone=True)
        row["regions_cut"] = await cut(cluster, zone=False)
        row["false_suspicions"] = cluster.false_suspicions()
        task_group.cancel_scope.cancel()
    return row


async def at_rest(cluster: HollowCluster, size: int) -> dict[str, float]:
    """Measure traffic and processor time with nothing going on."""
    sent, used = cluster.bytes_sent(), time.process_time()
    await anyio.sleep(REST)
    share = (time.process_time() - used) / REST / size
    return {"bytes_a_second": (cluster.bytes_sent() - sent) / REST / size, "core_share": share}


async def change(cluster: HollowCluster, base: StoredObject, revision: int) -> dict[str, Any]:
    """Commit a change on one node, push it as the administration does, and time its spread."""
    changed = StoredObject(base.key, revision, "changed", base.value)
    origin = next(iter(cluster.nodes.values()))
    sent = cluster.bytes_sent()
    origin.gossip.merge_objects([changed], anyio.current_time())
    await origin.sync.push([changed])

    def reached(node: HollowNode) -> bool:
        stored = node.replica.state.get(base.key)
        return stored is not None and stored.revision == revision

    times = await cluster.spread_times(reached, LIMIT)
    return {**times, "bytes_a_node": (cluster.bytes_sent() - sent) / len(cluster.nodes)}


async def leaving(cluster: HollowCluster) -> dict[str, Any]:
    """Tell one node that a server is leaving and time the notice."""
    node = next(iter(cluster.nodes.values()))
    node.gossip.on_server(ServerNotice("10.200.1.1:9000", "i1"))
    return await cluster.spread_times(lambda each: "10.200.1.1:9000" in each.leaving_servers, LIMIT)


async def dead(cluster: HollowCluster, size: int) -> dict[str, Any]:
    """Lose a node and time its detection everywhere."""
    address = cluster.address(size - 1)
    cluster.stop(size - 1)

    def knows(node: HollowNode) -> bool:
        record = node.table.get(address)
        return record is not None and record.status is MemberStatus.DEAD

    return await cluster.spread_times(knows, LIMIT)


async def restart(cluster: HollowCluster, size: int) -> dict[str, Any]:
    """Start the lost node again, empty, and time until it is known and knows everything."""
    node = cluster.start(size - 1, known=0)
    sent, started = cluster.bytes_sent(), anyio.current_time()
    answered = await node.sync.barrier([cluster.address(0)])
    barrier = anyio.current_time() - started
    node.gossip.rumors.add(node.table.own)
    address = cluster.address(size - 1)

    def knows(each: HollowNode) -> bool:
        record = each.table.get(address)
        return record is not None and record.serving

    times = await cluster.spread_times(knows, LIMIT)
    complete = len(node.replica.state) == SHARDS + 2 and len(node.table.serving()) == size
    return {
        **times,
        "barrier_s": barrier,
        "peers": answered,
        "complete": complete,
        "bytes_in_all": cluster.bytes_sent() - sent,
    }


async def cut(cluster: HollowCluster, zone: bool) -> dict[str, Any]:
    """Cut a zone or the regions off for a while with a change meanwhile; time until all agree."""
    if zone:
        for other in {node.table.own.zone for node in cluster.nodes.values()} - {"r2z3"}:
            cluster.network.cut("r2z3", other)
    else:
        cluster.cut_regions()
    await anyio.sleep(CUT / 2)
    origin = next(iter(cluster.nodes.values()))
    revision = origin.replica.state.revision + 1
    changed = StoredObject("namespaces/n", revision, "while cut", {})
    origin.gossip.merge_objects([changed], anyio.current_time())
    await anyio.sleep(CUT / 2)
    held_dead = sum(len(node.table.dead()) for node in cluster.nodes.values())
    sent, started = cluster.bytes_sent(), anyio.current_time()
    cluster.network.heal()
    times = await cluster.spread_times(lambda node: node.replica.state.revision >= revision, LIMIT)
    await anyio.sleep(max(0.0, 10 - (anyio.current_time() - started)))
    rate = (cluster.bytes_sent() - sent) / (anyio.current_time() - started) / len(cluster.nodes)
    return {**times, "held_dead": held_dead, "bytes_a_second_after": rate}


def run(size: int) -> dict[str, Any]:
    """Measure one size in virtual time, in a process of its own."""
    logs.configure("error")
    clock = trio.testing.MockClock(autojump_threshold=0)

    async def main() -> dict[str, Any]:
        return await measure(size)

    row: dict[str, Any] = anyio.run(main, backend="trio", backend_options={"clock": clock})
    row["process_mb"] = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    return row


def state_memory() -> float:
    """Return the megabytes that one node's own copy of the configuration takes."""
    before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    copies = [decode_objects(encode_objects(configuration())) for _ in range(10)]
    return (resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before) / 1024 / len(copies)


def subsets(size: int) -> dict[str, Any]:
    """Return connections a server under subsetting, what a lost node moves, and the planning time."""
    nodes = [f"10.0.{index // 250}.{index % 250 + 1}:7101" for index in range(size)]
    servers = [f"10.200.0.{number}:9000" for number in range(REPLICAS)]
    started = time.process_time()
    before = assign(nodes, servers, 2)
    seconds = time.process_time() - started
    load = [sum(server in chosen for chosen in before.values()) for server in servers]
    after = assign(nodes[1:], servers, 2)
    moved = sum(len(set(before[node]) - set(after[node])) for node in nodes[1:])
    return {"least": min(load), "most": max(load), "moved": moved, "seconds_a_shard": seconds}


def main() -> int:
    """Measure every size, print the tables and write the results."""
    sizes = [int(each) for each in sys.argv[1:]] or list(SIZES)
    memory = state_memory()
    of = revision()
    rows: list[dict[str, Any]] = []
    with ProcessPoolExecutor(len(sizes)) as pool:
        for future in as_completed([pool.submit(run, size) for size in sizes]):
            row = future.result()
            row["subsets"] = subsets(row["nodes"])
            rows.append(row)
            print(json.dumps(row), flush=True)
            write(of, memory, rows)
    return 0


def write(of: str, memory: float, rows: list[dict[str, Any]]) -> None:
    """Write the rows measured so far."""
    ordered = sorted(rows, key=lambda row: int(row["nodes"]))
    output = {"revision": of, "configuration_mb_a_node": memory, "rows": ordered}
    write_results("hollow", output)


if __name__ == "__main__":
    raise SystemExit(main())

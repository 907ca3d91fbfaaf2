"""Deterministic subsetting: chooses the replicas of a shard to which this node holds connections.

With few nodes, every node uses every replica. Once the nodes would take more than half of a server's
connections, each node uses ``size`` replicas of each shard, chosen by rendezvous hashing with bounded load.
All nodes compute the same assignment from the same members, each server gets a nearly equal number of nodes,
and few assignments change when a node joins or leaves.
"""

from dataclasses import dataclass, replace

import anyio
import anyio.lowlevel
import numpy as np
import numpy.typing as npt
import xxhash

from yokesill.membership.table import MemberTable
from yokesill.rendezvous import SPLITMIX64_MULTIPLIER_1, SPLITMIX64_MULTIPLIER_2
from yokesill.replication.state import ReplicatedState
from yokesill.resources.documents import Replica, ReplicaSet

LOAD_BOUND = 1.05
CONNECTION_SHARE = 0.5


def assign(nodes: list[str], servers: list[str], size: int) -> dict[str, tuple[str, ...]]:
    """Assign ``size`` of ``servers`` to each of ``nodes``, with a bounded number of nodes for each server.

    The result depends only on the names, not on their order.
    """
    if not nodes or not servers:
        return {node: () for node in nodes}
    nodes, servers = sorted(nodes), sorted(servers)
    size = min(size, len(servers))
    capacity = int(np.ceil(LOAD_BOUND * len(nodes) * size / len(servers)))
    preference = np.argsort(_weights(nodes, servers), axis=1)
    load = [0] * len(servers)
    chosen: dict[str, tuple[str, ...]] = {}
    # Nodes choose in the order of their hashes, which doesn't depend on the other nodes.
    for row in sorted(range(len(nodes)), key=lambda index: _hash(nodes[index])):
        picks: list[int] = []
        for column in preference[row].tolist():
            if load[column] < capacity:
                load[column] += 1
                picks.append(column)
                if len(picks) == size:
                    break
        while len(picks) < size:
            # The last nodes may find too few servers below the bound; a full subset matters more.
            picks.append(_least_loaded(load, preference[row].tolist(), picks))
            load[picks[-1]] += 1
        chosen[nodes[row]] = tuple(servers[column] for column in picks)
    return chosen


def _least_loaded(load: list[int], preference: list[int], picks: list[int]) -> int:
    return min((column for column in preference if column not in picks), key=lambda column: load[column])


def _weights(nodes: list[str], servers: list[str]) -> npt.NDArray[np.uint64]:
    """Return a rendezvous weight for each pair: the name hashes, mixed with the splitmix64 finalizer."""
    node_hashes = np.array([_hash(each) for each in nodes], dtype=np.uint64)
    server_hashes = np.array([_hash(each) for each in servers], dtype=np.uint64)
    mixed = node_hashes[:, None] ^ server_hashes[None, :]
    mixed = (mixed ^ (mixed >> np.uint64(30))) * np.uint64(SPLITMIX64_MULTIPLIER_1)
    mixed = (mixed ^ (mixed >> np.uint64(27))) * np.uint64(SPLITMIX64_MULTIPLIER_2)
    return mixed ^ (mixed >> np.uint64(31))


def _hash(name: str) -> int:
    return xxhash.xxh64_intdigest(name.encode())


@dataclass(frozen=True, slots=True)
class _Choice:
    replicas: tuple[Replica, ...]
    size: int
    chosen: tuple[Replica, ...]


class SubsetPlanner:
    """Keeps this node's choice for each replica set and updates it when members join or leave."""

    def __init__(self, table: MemberTable) -> None:
        self._table = table
        self._nodes: list[str] = self._members()
        self._chosen: dict[str, _Choice] = {}

    def choose(self, key: str, replica_set: ReplicaSet, size: int) -> tuple[Replica, ...]:
        """Return the replicas of the set at ``key`` that this node uses."""
        cached = self._chosen.get(key)
        if cached is not None and (cached.replicas, cached.size) == (replica_set.replicas, size):
            return cached.chosen
        chosen = self._plan(replica_set.replicas, size)
        self._chosen[key] = _Choice(replica_set.replicas, size, chosen)
        return chosen

    async def replan(self, state: ReplicatedState) -> bool:
        """Update the choices to the current members, one shard at a time; return whether any changed."""
        nodes = self._members()
        if nodes == self._nodes:
            return False
        self._nodes = nodes
        before, self._chosen = self._chosen, {}
        for key, choice in before.items():
            stored = state.get(key)
            if stored is None or stored.deleted:
                continue
            self._chosen[key] = replace(choice, chosen=self._plan(choice.replicas, choice.size))
            # Planning a shard takes milliseconds, so other tasks run in between.
            await anyio.lowlevel.checkpoint()
        return any(self._chosen.get(key) != entry for key, entry in before.items())

    def _plan(self, replicas: tuple[Replica, ...], size: int) -> tuple[Replica, ...]:
        if not self._subsetting_needed(replicas):
            return replicas
        own = self._table.own
        assigned = assign(self._nodes, [each.address for each in replicas], size)
        addresses = assigned.get(own.address, ())
        return tuple(each for each in replicas if each.address in addresses)

    def _subsetting_needed(self, replicas: tuple[Replica, ...]) -> bool:
        share = min((each.connections for each in replicas), default=0) * CONNECTION_SHARE
        return len(self._nodes) > share

    def _members(self) -> list[str]:
        return sorted(each.address for each in self._table.serving())

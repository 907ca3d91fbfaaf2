"""Chooses the snapshot that a query pins: the newest one that a replica of every shard holds."""

from collections.abc import Callable

from yokesill.routing.compiled import CompiledService, CompiledShard
from yokesill.routing.messages import Snapshot
from yokesill.routing.servers import LEAVING, ServerState, ServerTable


def choose_snapshot(
    service: CompiledService, servers: ServerTable, key_hash: int | None = None
) -> Snapshot | None:
    """Return the snapshot with the best coverage, the newest among equals; ``None`` when none is held.

    With a ``key_hash``, only the shard that owns it is considered.
    """
    candidates = {
        snapshot
        for address in service.addresses()
        if (server := servers.get(address)) is not None
        for snapshot in server.holdings
        if snapshot.epoch in service.maps
    }
    return max(candidates, key=lambda each: _rank(each, service, servers, key_hash), default=None)


def _rank(
    snapshot: Snapshot, service: CompiledService, servers: ServerTable, key_hash: int | None
) -> tuple[int, int, Snapshot]:
    shard_map = service.maps[snapshot.epoch]
    shards = shard_map.shards if key_hash is None else (shard_map.shard_of(key_hash),)
    usable = _held_width(shards, snapshot, servers, lambda server: server.usable)
    present = _held_width(shards, snapshot, servers, lambda server: server.state != LEAVING)
    return (usable, present, snapshot)


def _held_width(
    shards: tuple[CompiledShard, ...],
    snapshot: Snapshot,
    servers: ServerTable,
    counts: Callable[[ServerState], bool],
) -> int:
    width = 0
    for shard in shards:
        states = (servers.get(replica.address) for replica in shard.replicas)
        if any(state is not None and counts(state) and snapshot in state.holdings for state in states):
            width += shard.range.width
    return width

"""The router's state of each service: configuration, budget, latencies and the pinned snapshot."""

from dataclasses import dataclass, field

from yokesill.routing.budget import AttemptBudget
from yokesill.routing.compiled import CompiledService, CompiledShard
from yokesill.routing.latency import LatencyWindow
from yokesill.routing.messages import Snapshot
from yokesill.routing.options import RoutingOptions
from yokesill.routing.selection import has_candidate
from yokesill.routing.servers import ServerState, ServerTable
from yokesill.routing.snapshots import choose_snapshot

# Weight of the newest attempt in the moving average of shed attempts, which policies may read. The average
# follows a change within some twenty attempts.
SHED_WEIGHT = 0.05


@dataclass(slots=True)
class ServiceState:
    """A service's configuration with its live statistics."""

    compiled: CompiledService
    options: RoutingOptions
    budget: AttemptBudget
    shed_rate: float = 0.0
    first_attempts: int = 0
    extra_attempts: int = 0
    latencies: dict[str, LatencyWindow] = field(default_factory=dict)
    _pinned: Snapshot | None = None
    _pinned_generation: int = -1
    _servers_of: dict[tuple[int, str], tuple[ServerState, ...]] = field(default_factory=dict)

    @classmethod
    def create(cls, compiled: CompiledService, options: RoutingOptions) -> "ServiceState":
        """Return the initial state of a service at this node."""
        return cls(compiled, options, AttemptBudget(compiled.extra_load_budget, options.budget_burst))

    def install(self, compiled: CompiledService, servers: ServerTable) -> None:
        """Replace the configuration as a whole and resolve its replicas to servers."""
        self.compiled = compiled
        self.budget.ratio = compiled.extra_load_budget
        self._pinned_generation = -1
        self._servers_of = {
            (shard_map.epoch, shard.id): tuple(servers.require(each) for each in shard.replicas)
            for shard_map in compiled.maps.values()
            for shard in shard_map.shards
        }

    def servers_of(self, epoch: int, shard_id: str) -> tuple[ServerState, ...]:
        """Return the servers of a shard in an epoch."""
        return self._servers_of.get((epoch, shard_id), ())

    def pin(self, servers: ServerTable, key_hash: int | None = None) -> Snapshot | None:
        """Return the best snapshot for all shards, or for the one that owns ``key_hash``.

        The snapshot for all shards is cached until the state of a server changes.
        """
        if key_hash is not None:
            return choose_snapshot(self.compiled, servers, key_hash)
        if self._pinned_generation != servers.generation:
            self._pinned = choose_snapshot(self.compiled, servers)
            self._pinned_generation = servers.generation
        return self._pinned

    def requested_shards(self, snapshot: Snapshot, key_hash: int | None) -> tuple[CompiledShard, ...]:
        """Return the shards that a query goes to under ``snapshot``."""
        shard_map = self.compiled.maps[snapshot.epoch]
        return shard_map.shards if key_hash is None else (shard_map.shard_of(key_hash),)

    def fully_held(self, snapshot: Snapshot, key_hash: int | None) -> bool:
        """Whether every shard of the query has a server that is known to hold ``snapshot``."""
        return all(
            has_candidate(self.servers_of(snapshot.epoch, shard.id), snapshot, ())
            for shard in self.requested_shards(snapshot, key_hash)
        )

    def latency_of(self, request_class: str) -> LatencyWindow:
        """Return the latency window of a request class."""
        window = self.latencies.get(request_class)
        if window is None:
            window = self.latencies[request_class] = LatencyWindow()
        return window

    def count_shed(self, shed: bool) -> None:
        """Update the share of shed attempts with one ended attempt."""
        self.shed_rate += SHED_WEIGHT * ((1.0 if shed else 0.0) - self.shed_rate)

    def count_attempt(self, extra: bool) -> None:
        """Count an attempt; a first attempt adds to the budget of extra ones."""
        if extra:
            self.extra_attempts += 1
        else:
            self.first_attempts += 1
            self.budget.earn()

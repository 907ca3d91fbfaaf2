"""A service's configuration as the router uses it: compiled and replaced as a whole."""

from dataclasses import dataclass

from yokesill.policy.compiler import CompiledPolicy
from yokesill.resources.documents import Replica, WhenIsolated
from yokesill.resources.hashing import HashRange
from yokesill.resources.keys import ServiceName


@dataclass(frozen=True, slots=True)
class CompiledShard:
    """A shard and those of its replicas that this node may send to."""

    id: str
    range: HashRange
    replicas: tuple[Replica, ...]


@dataclass(frozen=True, slots=True)
class CompiledMap:
    """The shards of one epoch, in the order of their hash ranges."""

    epoch: int
    shards: tuple[CompiledShard, ...]

    def shard_of(self, key_hash: int) -> CompiledShard:
        """Return the shard that owns ``key_hash``."""
        return next(shard for shard in self.shards if shard.range.contains(key_hash))


@dataclass(frozen=True, slots=True)
class CompiledService:
    """Everything needed to route the queries of a service."""

    name: ServiceName
    revision: int
    share: float
    maps: dict[int, CompiledMap]
    policies: dict[str, CompiledPolicy]
    extra_load_budget: float
    when_isolated: WhenIsolated

    def addresses(self) -> dict[str, Replica]:
        """Return every replica of every epoch, by address."""
        return {
            replica.address: replica
            for each in self.maps.values()
            for shard in each.shards
            for replica in shard.replicas
        }

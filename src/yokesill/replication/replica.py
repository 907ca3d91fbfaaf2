"""One node's replica of the configuration: merges objects, compares state and plans exchanges."""

from collections.abc import Iterable

from yokesill.membership.rumors import ObjectNotice, Rumor
from yokesill.replication.messages import CompareReply, ExchangeRequest
from yokesill.replication.state import ReplicatedState
from yokesill.resources.objects import StoredObject

# A larger object does not fit a datagram: only a notice of its revision is gossiped.
MAX_RUMOR_OBJECT_BYTES = 900


class ConfigurationReplica:
    """The replicated state and the keys that changed since ``take_changed`` was last called."""

    def __init__(self) -> None:
        self.state = ReplicatedState()
        self.changed_at = 0.0
        self._changed: set[str] = set()

    def merge(self, objects: Iterable[StoredObject], now: float) -> list[Rumor]:
        """Merge objects; return the rumors to forward about those that were new."""
        rumors: list[Rumor] = []
        for candidate in objects:
            if self.state.merge(candidate):
                self._changed.add(candidate.key)
                self.changed_at = now
                rumors.append(rumor_for(candidate))
        return rumors

    def take_changed(self) -> set[str]:
        """Return and clear the keys that changed since the last call."""
        changed, self._changed = self._changed, set()
        return changed

    def is_behind(self, notice: ObjectNotice) -> bool:
        """Whether ``notice`` announces a newer revision than this replica holds."""
        known = self.state.get(notice.key)
        return known is None or known.revision < notice.revision

    def differing_buckets(self, digests: list[int]) -> list[int]:
        """Return the indexes of the buckets whose digests differ from a peer's ``digests``."""
        pairs = zip(self.state.bucket_digests, digests, strict=False)
        return [index for index, (own, other) in enumerate(pairs) if own != other]

    def plan_exchange(self, reply: CompareReply) -> ExchangeRequest:
        """Return which objects to request from a peer and which to send, after a comparison."""
        own = self.state.versions_in(reply.buckets)
        wanted = [key for key, revision in reply.versions.items() if own.get(key, 0) < revision]
        newer = [key for key, revision in own.items() if reply.versions.get(key, 0) < revision]
        return ExchangeRequest(wanted, self.objects_for(newer))

    def objects_for(self, keys: Iterable[str]) -> list[StoredObject]:
        """Return the objects at those of ``keys`` that this replica holds."""
        return [each for key in keys if (each := self.state.get(key)) is not None]


def rumor_for(item: StoredObject) -> Rumor:
    """Return the rumor about ``item``: the object itself if it fits a datagram, else a notice."""
    if item.size() <= MAX_RUMOR_OBJECT_BYTES:
        return item
    return ObjectNotice(item.key, item.revision)

"""One node's replica of the configuration: merging, comparing and deciding what to exchange."""

from collections.abc import Iterable

from yokesill.membership.rumors import ObjectNotice, Rumor
from yokesill.replication.messages import CompareReply, ExchangeRequest
from yokesill.replication.state import ReplicatedState
from yokesill.resources.objects import StoredObject

RUMOR_OBJECT_BYTES = 900


class ConfigurationReplica:
    """The state, and which of its keys changed since they were last taken into force."""

    def __init__(self) -> None:
        self.state = ReplicatedState()
        self.changed_at = 0.0
        self._changed: set[str] = set()

    def merge(self, objects: Iterable[StoredObject], now: float) -> list[Rumor]:
        """Merge objects; return the rumors to pass on about those that were news."""
        rumors: list[Rumor] = []
        for candidate in objects:
            if self.state.merge(candidate):
                self._changed.add(candidate.key)
                self.changed_at = now
                rumors.append(rumor_of(candidate))
        return rumors

    def take_changed(self) -> set[str]:
        """Return the keys that changed since the last call."""
        changed, self._changed = self._changed, set()
        return changed

    def lacks(self, notice: ObjectNotice) -> bool:
        """Whether a notice tells of a revision that is not known here."""
        known = self.state.get(notice.key)
        return known is None or known.revision < notice.revision

    def differing_buckets(self, digests: list[int]) -> list[int]:
        """Return the buckets in which a peer's digests differ from this node's."""
        pairs = zip(self.state.bucket_digests, digests, strict=False)
        return [index for index, (own, other) in enumerate(pairs) if own != other]

    def plan_exchange(self, reply: CompareReply) -> ExchangeRequest:
        """Decide what to ask a peer for and what to hand over, after a comparison."""
        own = self.state.versions_in(reply.buckets)
        wanted = [key for key, revision in reply.versions.items() if own.get(key, 0) < revision]
        newer = [key for key, revision in own.items() if reply.versions.get(key, 0) < revision]
        return ExchangeRequest(wanted, self.objects_of(newer))

    def objects_of(self, keys: Iterable[str]) -> list[StoredObject]:
        """Return the objects known under ``keys``."""
        return [each for key in keys if (each := self.state.get(key)) is not None]


def rumor_of(item: StoredObject) -> Rumor:
    """Return the rumor that tells of ``item``: itself if it fits a datagram, else a notice."""
    if item.size() <= RUMOR_OBJECT_BYTES:
        return item
    return ObjectNotice(item.key, item.revision)

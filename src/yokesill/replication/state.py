"""The replicated configuration: the newest revision of each object, tombstones included.

Merging is a join: it is commutative, associative and idempotent, so objects may come from any
source, in any order and any number of times, and no object's revision ever goes back.
"""

from collections.abc import Iterable

import xxhash

from yokesill.resources.objects import StoredObject

BUCKETS = 64


class ReplicatedState:
    """All objects that this node knows, with hashes that make comparison cheap."""

    def __init__(self) -> None:
        self._objects: dict[str, StoredObject] = {}
        self._buckets = [0] * BUCKETS
        self._digest = 0

    @property
    def digest(self) -> int:
        """A hash of the whole state, equal at nodes with equal states."""
        return self._digest

    @property
    def bucket_digests(self) -> list[int]:
        """A hash for each bucket of keys."""
        return list(self._buckets)

    @property
    def revision(self) -> int:
        """The highest revision of any object; 0 when there is none."""
        return max((each.revision for each in self._objects.values()), default=0)

    def __len__(self) -> int:
        return len(self._objects)

    def get(self, key: str) -> StoredObject | None:
        """Return the newest known revision of the object, which may be a tombstone."""
        return self._objects.get(key)

    def all(self) -> Iterable[StoredObject]:
        """Return every object, tombstones included."""
        return self._objects.values()

    def merge(self, candidate: StoredObject) -> bool:
        """Take ``candidate`` in if it is newer than what is known; return whether it was."""
        known = self._objects.get(candidate.key)
        if known is not None and known.revision >= candidate.revision:
            return False
        change = _version_hash(candidate)
        if known is not None:
            change ^= _version_hash(known)
        self._buckets[bucket_of(candidate.key)] ^= change
        self._digest ^= change
        self._objects[candidate.key] = candidate
        return True

    def versions_in(self, buckets: Iterable[int]) -> dict[str, int]:
        """Return the revisions of the objects whose keys lie in ``buckets``."""
        wanted = set(buckets)
        return {key: each.revision for key, each in self._objects.items() if bucket_of(key) in wanted}


def bucket_of(key: str) -> int:
    """Return the bucket that ``key`` belongs to."""
    return xxhash.xxh32_intdigest(key.encode()) % BUCKETS


def _version_hash(item: StoredObject) -> int:
    return xxhash.xxh64_intdigest(f"{item.key}\x00{item.revision}".encode())

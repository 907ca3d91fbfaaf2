"""The replicated configuration: the newest revision of each object, tombstones included.

Merging is a join: it is commutative, associative and idempotent, so objects may arrive from any
source, in any order and any number of times, and no object's revision ever decreases.
"""

from collections.abc import Iterable

import xxhash

from yokesill.resources.objects import StoredObject

BUCKET_COUNT = 64


class ReplicatedState:
    """All objects that this node holds, with hashes for a cheap comparison between nodes."""

    def __init__(self) -> None:
        self._objects: dict[str, StoredObject] = {}
        self._bucket_hashes = [0] * BUCKET_COUNT
        self._digest = 0

    @property
    def digest(self) -> int:
        """Hash of the whole state; nodes with equal states have equal digests."""
        return self._digest

    @property
    def bucket_digests(self) -> list[int]:
        """Hash of each bucket of keys."""
        return list(self._bucket_hashes)

    @property
    def revision(self) -> int:
        """The highest revision of any object; 0 when there is none."""
        return max((each.revision for each in self._objects.values()), default=0)

    def __len__(self) -> int:
        return len(self._objects)

    def get(self, key: str) -> StoredObject | None:
        """Return the newest known revision of an object, which may be a tombstone."""
        return self._objects.get(key)

    def all(self) -> Iterable[StoredObject]:
        """Return every object, tombstones included."""
        return self._objects.values()

    def merge(self, candidate: StoredObject) -> bool:
        """Store ``candidate`` if it is newer than the known revision; return whether it was."""
        known = self._objects.get(candidate.key)
        if known is not None and known.revision >= candidate.revision:
            return False
        hash_delta = _version_hash(candidate)
        if known is not None:
            hash_delta ^= _version_hash(known)
        self._bucket_hashes[bucket_of(candidate.key)] ^= hash_delta
        self._digest ^= hash_delta
        self._objects[candidate.key] = candidate
        return True

    def versions_in(self, buckets: Iterable[int]) -> dict[str, int]:
        """Return the revisions of the objects whose keys lie in ``buckets``."""
        wanted = set(buckets)
        return {key: each.revision for key, each in self._objects.items() if bucket_of(key) in wanted}


def bucket_of(key: str) -> int:
    """Return the bucket that ``key`` belongs to."""
    return xxhash.xxh32_intdigest(key.encode()) % BUCKET_COUNT


def _version_hash(item: StoredObject) -> int:
    return xxhash.xxh64_intdigest(f"{item.key}\x00{item.revision}".encode())

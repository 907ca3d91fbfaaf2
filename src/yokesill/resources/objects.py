"""Stored objects: a document with the revision that the store assigned to it."""

import json
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class StoredObject:
    """One revision of one object.

    The store assigns ``revision``, which increases with every change to any object. The writer chooses
    ``change_id`` to recognise its own write. ``value`` is the document, or ``None`` in a tombstone.
    """

    key: str
    revision: int
    change_id: str
    value: dict[str, Any] | None

    @property
    def deleted(self) -> bool:
        """Whether this is a tombstone."""
        return self.value is None

    def to_wire(self) -> list[Any]:
        """Return the form that peers exchange."""
        return [self.key, self.revision, self.change_id, self.value]

    def size(self) -> int:
        """Return the approximate size on the wire, in bytes."""
        return len(json.dumps(self.value)) + len(self.key) + len(self.change_id) + 16


def object_from_wire(item: Any) -> StoredObject | None:
    """Parse the form that ``to_wire`` returns; ``None`` when it is malformed."""
    if not isinstance(item, list) or len(item) != 4:
        return None
    key, revision, change_id, value = item
    types_match = isinstance(key, str) and isinstance(revision, int) and isinstance(change_id, str)
    if not types_match or not (value is None or isinstance(value, dict)):
        return None
    return StoredObject(key, revision, change_id, value)

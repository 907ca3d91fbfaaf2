"""Abstract client of the platform's object store; implementations hide the protocol.

The store assigns the next revision to each change, and a write names the revision that it replaces
(compare-and-swap). The store can be down or slow, and the reply to a write can be lost after the write
took effect.
"""

import abc
from dataclasses import dataclass

from yokesill.resources.objects import StoredObject
from yokesill.verdict import Failure


@dataclass(frozen=True, slots=True)
class Conflict:
    """The write named a base revision that is not the current one, and had no effect."""

    current: StoredObject | None


@dataclass(frozen=True, slots=True)
class Listing:
    """All objects as of ``revision``."""

    revision: int
    objects: list[StoredObject]


@dataclass(frozen=True, slots=True)
class Machine:
    """One entry of the platform's machine list, which may be out of date."""

    address: str
    kind: str
    leaving: bool


class Store(abc.ABC):
    """Client of the platform's object API. Every call ends within the store's timeout."""

    @abc.abstractmethod
    async def get(self, key: str) -> StoredObject | Failure | None:
        """Return the current object, which may be a tombstone, or ``None`` if it never existed."""

    @abc.abstractmethod
    async def put(
        self, key: str, base_revision: int, change_id: str, value: dict[str, object] | None
    ) -> StoredObject | Conflict | Failure:
        """Replace revision ``base_revision`` of an object; a ``value`` of ``None`` deletes it.

        A ``base_revision`` of 0 means that the object does not exist yet. The verdict of a failure says
        whether the write may have taken effect.
        """

    @abc.abstractmethod
    async def history(self, key: str) -> list[StoredObject] | Failure:
        """Return the revisions of an object that the store still keeps, oldest first."""

    @abc.abstractmethod
    async def list_objects(self) -> Listing | Failure:
        """Return every object."""

    @abc.abstractmethod
    async def watch(self, after_revision: int) -> list[StoredObject] | Failure:
        """Wait for changes after ``after_revision``; return an empty list if none arrive in time."""

    @abc.abstractmethod
    async def machines(self) -> list[Machine] | Failure:
        """Return the platform's machine list."""

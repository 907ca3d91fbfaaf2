"""The store behind one abstract interface; nothing else knows how it is spoken to.

The store orders changes: each one gets the next revision, and a write names the revision that it
replaces (compare-and-swap). It can be down or slow, and an answer can be lost after its effect.
"""

import abc
from dataclasses import dataclass

from yokesill.resources.objects import StoredObject
from yokesill.verdict import Failure


@dataclass(frozen=True, slots=True)
class Conflict:
    """A write named a base revision that is not the current one; it has not run."""

    current: StoredObject | None


@dataclass(frozen=True, slots=True)
class Listing:
    """All objects as of ``revision``."""

    revision: int
    objects: list[StoredObject]


@dataclass(frozen=True, slots=True)
class Machine:
    """One line of the platform's machine list, which lags."""

    address: str
    kind: str
    leaving: bool


class Store(abc.ABC):
    """A client of the platform's object API. Every call ends within the store's time-out."""

    @abc.abstractmethod
    async def get(self, key: str) -> StoredObject | Failure | None:
        """Return the current object (maybe a tombstone), ``None`` if there never was one."""

    @abc.abstractmethod
    async def put(
        self, key: str, base_revision: int, change_id: str, value: dict[str, object] | None
    ) -> StoredObject | Conflict | Failure:
        """Replace revision ``base_revision`` (0: there is none) of an object; ``None`` deletes it.

        A failure's verdict says whether the write may have taken effect.
        """

    @abc.abstractmethod
    async def history(self, key: str) -> list[StoredObject] | Failure:
        """Return the kept revisions of an object, the oldest first."""

    @abc.abstractmethod
    async def list_objects(self) -> Listing | Failure:
        """Return every object."""

    @abc.abstractmethod
    async def watch(self, after_revision: int) -> list[StoredObject] | Failure:
        """Wait for changes after ``after_revision``; an empty list when there were none for a while."""

    @abc.abstractmethod
    async def machines(self) -> list[Machine] | Failure:
        """Return the platform's machine list."""

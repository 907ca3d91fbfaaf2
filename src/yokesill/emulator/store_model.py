"""Model of the platform's object API: versions, compare-and-swap, watches, history and faults."""

from dataclasses import dataclass, field
from typing import Any

import anyio

from yokesill.emulator.faults import StoreFaults
from yokesill.resources.objects import StoredObject
from yokesill.store.base import Conflict, Listing, Machine

MAX_HISTORY = 50


class StoreDownError(Exception):
    """The store is down; the call had no effect."""


class AnswerLostError(Exception):
    """The answer was lost; the call may have taken effect."""


@dataclass(slots=True)
class StoreModel:
    """All objects with the last ``MAX_HISTORY`` revisions of each; every change gets the next revision."""

    faults: StoreFaults = field(default_factory=StoreFaults)
    machines: dict[str, Machine] = field(default_factory=dict)
    revision: int = 0
    _history: dict[str, list[StoredObject]] = field(default_factory=dict)
    _stale: dict[str, StoredObject] = field(default_factory=dict)
    _changed: anyio.Event | None = None

    def set_faults(self, faults: StoreFaults) -> None:
        """Replace the faults; stale reads return the state at the time of this call."""
        if faults.stale_reads and not self.faults.stale_reads:
            self._stale = {key: kept[-1] for key, kept in self._history.items()}
        self.faults = faults
        self._notify()

    async def get(self, key: str) -> StoredObject | None:
        """Return the current object."""
        await self._apply_call_faults()
        if self.faults.stale_reads:
            return self._stale.get(key)
        return self._current(key)

    async def put(
        self, key: str, base_revision: int, change_id: str, value: dict[str, Any] | None
    ) -> StoredObject | Conflict:
        """Replace an object if ``base_revision`` is its current revision."""
        await self._apply_call_faults()
        if self.faults.lose_requests:
            self.faults.lose_requests -= 1
            raise AnswerLostError
        if self.faults.late_writes_ms:
            await anyio.sleep(self.faults.late_writes_ms / 1000)
        result = self._swap(key, base_revision, change_id, value)
        if self.faults.lose_answers:
            self.faults.lose_answers -= 1
            raise AnswerLostError
        return result

    async def history(self, key: str) -> list[StoredObject]:
        """Return the kept revisions of an object, the oldest first."""
        await self._apply_call_faults()
        return list(self._history.get(key, []))

    async def list_objects(self) -> Listing:
        """Return all objects."""
        await self._apply_call_faults()
        return Listing(self.revision, [kept[-1] for kept in self._history.values()])

    async def watch(self, after_revision: int, wait: float) -> list[StoredObject]:
        """Return changes after a revision, waiting up to ``wait`` seconds for the first."""
        await self._apply_call_faults()
        with anyio.move_on_after(wait):
            while self.revision <= after_revision and not self.faults.break_watches and not self.faults.down:
                if self._changed is None:
                    self._changed = anyio.Event()
                await self._changed.wait()
        if self.faults.break_watches or self.faults.down:
            raise StoreDownError
        return [kept[-1] for kept in self._history.values() if kept[-1].revision > after_revision]

    async def list_machines(self) -> list[Machine]:
        """Return the machine list."""
        await self._apply_call_faults()
        return list(self.machines.values())

    async def _apply_call_faults(self) -> None:
        if self.faults.delay_ms:
            await anyio.sleep(self.faults.delay_ms / 1000)
        if self.faults.down:
            raise StoreDownError

    def _current(self, key: str) -> StoredObject | None:
        kept = self._history.get(key)
        return kept[-1] if kept else None

    def _swap(
        self, key: str, base_revision: int, change_id: str, value: dict[str, Any] | None
    ) -> StoredObject | Conflict:
        current = self._current(key)
        if (current.revision if current else 0) != base_revision:
            return Conflict(current)
        self.revision += 1
        stored = StoredObject(key, self.revision, change_id, value)
        kept = self._history.setdefault(key, [])
        kept.append(stored)
        del kept[:-MAX_HISTORY]
        self._notify()
        return stored

    def close(self) -> None:
        """End all watches, so that the stand-in can stop."""
        self.faults = StoreFaults(down=True)
        self._notify()

    def _notify(self) -> None:
        if self._changed is not None:
            self._changed.set()
            self._changed = None

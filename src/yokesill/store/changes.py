"""Committing a change, and finding out what became of one whose answer was lost.

A change id names the object, the base revision and the writer's own random part, so that any
node can settle it later. When an answer is lost, the object is read back. If it still stands at
the base, a fencing write replaces it by itself under an id of its own: from then on the lost
write can only meet a conflict, so the change can be called rejected. If the object has moved on,
its history tells whether the change was among its revisions.
"""

import base64
from dataclasses import dataclass

from yokesill.resources.objects import StoredObject
from yokesill.store.base import Conflict, Store
from yokesill.verdict import Failure, Verdict

SEPARATOR = "."
CHANGE_ID_PARTS = 4
FENCE_PREFIX = "fence"


@dataclass(frozen=True, slots=True)
class Change:
    """A proposed write."""

    key: str
    base_revision: int
    nonce: str
    value: dict[str, object] | None

    @property
    def change_id(self) -> str:
        """The id under which the change can be asked about at any node."""
        encoded = base64.urlsafe_b64encode(self.key.encode()).decode().rstrip("=")
        return SEPARATOR.join(("c", encoded, str(self.base_revision), self.nonce))


@dataclass(frozen=True, slots=True)
class Accepted:
    """The change is committed, as ``stored``."""

    stored: StoredObject


@dataclass(frozen=True, slots=True)
class Rejected:
    """The change has not taken effect and never will."""

    detail: str
    current: StoredObject | None = None
    conflict: bool = False


@dataclass(frozen=True, slots=True)
class InDoubt:
    """It could not be settled now; ask again about ``change_id``."""

    change_id: str
    detail: str


ChangeOutcome = Accepted | Rejected | InDoubt


def parse_change_id(change_id: str) -> Change | None:
    """Return the change that ``change_id`` names, without its value; ``None`` if it is not one."""
    parts = change_id.split(SEPARATOR)
    if len(parts) != CHANGE_ID_PARTS or parts[0] != "c" or not parts[2].isdigit():
        return None
    padded = parts[1] + "=" * (-len(parts[1]) % 4)
    try:
        key = base64.urlsafe_b64decode(padded).decode()
    except ValueError:
        return None
    return Change(key, int(parts[2]), parts[3], None)


async def commit(store: Store, change: Change) -> ChangeOutcome:
    """Write a change and say what became of it; never guesses."""
    result = await store.put(change.key, change.base_revision, change.change_id, change.value)
    if isinstance(result, StoredObject):
        return Accepted(result)
    if isinstance(result, Conflict):
        return _conflict(change, result.current)
    if result.verdict is Verdict.NOT_RUN:
        return Rejected(f"the store cannot be written now: {result.detail or result.reason}")
    return await settle(store, change)


async def settle(store: Store, change: Change) -> ChangeOutcome:
    """Find out what became of a change whose answer was lost."""
    current = await store.get(change.key)
    if isinstance(current, Failure):
        return InDoubt(change.change_id, current.detail or str(current.reason))
    if current is not None and current.change_id == change.change_id:
        return Accepted(current)
    if (current.revision if current else 0) == change.base_revision:
        return await _fence(store, change, current)
    return await _search_history(store, change)


async def _fence(store: Store, change: Change, current: StoredObject | None) -> ChangeOutcome:
    """Make the lost write impossible by a write of our own on the same base revision."""
    fence_id = f"{FENCE_PREFIX}{SEPARATOR}{change.nonce}"
    value = current.value if current else None
    result = await store.put(change.key, change.base_revision, fence_id, value)
    if isinstance(result, StoredObject):
        return Rejected("the write was lost on its way to the store; nothing was changed", result)
    if isinstance(result, Conflict):
        return await _search_history(store, change)
    return InDoubt(change.change_id, result.detail or str(result.reason))


async def _search_history(store: Store, change: Change) -> ChangeOutcome:
    """The object moved on past the base: the change is in its history or never took effect."""
    history = await store.history(change.key)
    if isinstance(history, Failure):
        return InDoubt(change.change_id, history.detail or str(history.reason))
    for stored in history:
        if stored.change_id == change.change_id:
            return Accepted(stored)
    passed_base = bool(history) and history[-1].revision > change.base_revision
    if not passed_base:
        return InDoubt(change.change_id, "the store's answers lag behind")
    oldest_kept = history[0].revision
    if change.base_revision and oldest_kept > change.base_revision:
        return InDoubt(change.change_id, "the store no longer keeps the revisions in question")
    return _conflict(change, history[-1])


def _conflict(change: Change, current: StoredObject | None) -> Rejected:
    found = f"revision {current.revision}" if current else "nothing"
    detail = f"{change.key} stands at {found}, the change was made from revision {change.base_revision}"
    return Rejected(detail, current, conflict=True)

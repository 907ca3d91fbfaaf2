"""Commits a change, and resolves one whose reply was lost.

A change id holds the object's key, the base revision and the writer's nonce, so that any node can
resolve the change later. When a reply is lost, the object is read back. If it is still at the base
revision, a fencing write stores its current value again under a change id of its own: the lost write
can then only end in a conflict, so the change is reported as rejected. If the object has a newer
revision, its history shows whether the change was committed.
"""

import base64
from dataclasses import dataclass

from yokesill.resources.objects import StoredObject
from yokesill.store.base import Conflict, Store
from yokesill.verdict import Failure, Verdict

CHANGE_ID_SEPARATOR = "."
CHANGE_ID_PARTS = 4
FENCE_PREFIX = "fence"


@dataclass(frozen=True, slots=True)
class Change:
    """A proposed write; ``nonce`` distinguishes writes from the same base revision."""

    key: str
    base_revision: int
    nonce: str
    value: dict[str, object] | None

    @property
    def change_id(self) -> str:
        """The id by which any node can resolve the change."""
        encoded = base64.urlsafe_b64encode(self.key.encode()).decode().rstrip("=")
        return CHANGE_ID_SEPARATOR.join(("c", encoded, str(self.base_revision), self.nonce))


@dataclass(frozen=True, slots=True)
class Accepted:
    """The change was committed as ``stored``."""

    stored: StoredObject


@dataclass(frozen=True, slots=True)
class Rejected:
    """The change has had no effect and never will."""

    detail: str
    current: StoredObject | None = None
    conflict: bool = False


@dataclass(frozen=True, slots=True)
class InDoubt:
    """The outcome is not known yet; resolve ``change_id`` again later."""

    change_id: str
    detail: str


ChangeOutcome = Accepted | Rejected | InDoubt


def parse_change_id(change_id: str) -> Change | None:
    """Return the change that ``change_id`` names, without its value, or ``None`` if malformed."""
    parts = change_id.split(CHANGE_ID_SEPARATOR)
    if len(parts) != CHANGE_ID_PARTS or parts[0] != "c" or not parts[2].isdigit():
        return None
    padded = parts[1] + "=" * (-len(parts[1]) % 4)
    try:
        key = base64.urlsafe_b64decode(padded).decode()
    except ValueError:
        return None
    return Change(key, int(parts[2]), parts[3], None)


async def commit(store: Store, change: Change) -> ChangeOutcome:
    """Write a change and return its outcome, which is never a guess."""
    result = await store.put(change.key, change.base_revision, change.change_id, change.value)
    if isinstance(result, StoredObject):
        return Accepted(result)
    if isinstance(result, Conflict):
        return _reject_conflict(change, result.current)
    if result.verdict is Verdict.NOT_RUN:
        return Rejected(f"the store cannot be written now: {result.detail or result.reason}")
    return await resolve(store, change)


async def resolve(store: Store, change: Change) -> ChangeOutcome:
    """Determine the outcome of a change whose reply was lost."""
    current = await store.get(change.key)
    if isinstance(current, Failure):
        return InDoubt(change.change_id, current.detail or str(current.reason))
    if current is not None and current.change_id == change.change_id:
        return Accepted(current)
    if (current.revision if current else 0) == change.base_revision:
        return await _fence(store, change, current)
    return await _search_history(store, change)


async def _fence(store: Store, change: Change, current: StoredObject | None) -> ChangeOutcome:
    """Make the lost write fail by writing the current value on the same base revision."""
    fence_id = f"{FENCE_PREFIX}{CHANGE_ID_SEPARATOR}{change.nonce}"
    value = current.value if current else None
    result = await store.put(change.key, change.base_revision, fence_id, value)
    if isinstance(result, StoredObject):
        return Rejected("the write was lost on its way to the store; nothing was changed", result)
    if isinstance(result, Conflict):
        return await _search_history(store, change)
    return InDoubt(change.change_id, result.detail or str(result.reason))


async def _search_history(store: Store, change: Change) -> ChangeOutcome:
    """Look for the change in the object's history, once the object has moved past the base."""
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
    return _reject_conflict(change, history[-1])


def _reject_conflict(change: Change, current: StoredObject | None) -> Rejected:
    found = f"revision {current.revision}" if current else "nothing"
    detail = f"{change.key} stands at {found}, the change was made from revision {change.base_revision}"
    return Rejected(detail, current, conflict=True)

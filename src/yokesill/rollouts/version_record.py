"""The registry's record of which versions of each service serve without an order.

What a node knows for certain is lost with all nodes, and the servers' entries don't tell it: those of a later
version stand beside the ones that serve, and entries that lapsed or were replaced count as new.
"""

from collections.abc import Collection, Mapping
from typing import Any, NamedTuple

from yokesill.positions import Position

SERVICES = "services"
# A service that served before any order.
NO_ORDER = Position(0, 0)


class RecordedVersions(NamedTuple):
    """The versions of a service that serve, and when the order that established them was created."""

    versions: tuple[str, ...]
    since: Position = NO_ORDER


Recorded = Mapping[str, RecordedVersions]


def unrecorded(known: Recorded, recorded: Recorded) -> list[str]:
    """Return the services of which more is known than the record says."""
    return [name for name, each in known.items() if name not in recorded or each.since > recorded[name].since]


def merge(known: Recorded, recorded: Recorded, services: Collection[str]) -> Recorded:
    """Return a record with all that is known; what it says of services that are not listed is dropped."""
    kept = {name: each for name, each in recorded.items() if name in services}
    return kept | {name: known[name] for name in unrecorded(known, recorded)}


def encode_record(recorded: Recorded) -> dict[str, Any]:
    """Encode a record as JSON values."""
    return {SERVICES: {name: [list(each.since), list(each.versions)] for name, each in recorded.items()}}


def decode_record(value: Any) -> Recorded:
    """Decode a record; services whose entry can't be read are left out."""
    entries = value.get(SERVICES) if isinstance(value, dict) else None
    recorded: dict[str, RecordedVersions] = {}
    for name, entry in entries.items() if isinstance(entries, dict) else ():
        match entry:
            case [[int() as timeline, int() as revision], [*versions]] if versions and all(
                isinstance(each, str) for each in versions
            ):
                recorded[name] = RecordedVersions(tuple(versions), Position(timeline, revision))
    return recorded

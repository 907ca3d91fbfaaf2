"""Rumors: updates that nodes pass on to each other, each a limited number of times."""

import math
from dataclasses import dataclass, field
from typing import Any

from yokesill.membership.records import MemberRecord
from yokesill.resources.objects import StoredObject

# Each rumor is sent this factor times log(members) times: gossip reaches all members with high probability
# within a small multiple of log(members) rounds.
SEND_COUNT_FACTOR = 3.0
# Keeps a sealed packet with its other fields below the usual MTU of 1,500 bytes.
MAX_RUMOR_BYTES = 1200
# Encoding overhead of a rumor in a packet.
RUMOR_OVERHEAD_BYTES = 8


@dataclass(frozen=True, slots=True)
class ObjectNotice:
    """Announces a newer revision of an object that is too large for a datagram and must be fetched."""

    key: str
    revision: int


@dataclass(frozen=True, slots=True)
class ServerNotice:
    """Announces that a back end is leaving; an empty ``incarnation`` means its current one."""

    address: str
    incarnation: str


Rumor = MemberRecord | StoredObject | ObjectNotice | ServerNotice


@dataclass(slots=True)
class _Entry:
    subject: str
    rumor: Rumor
    wire: list[Any]
    size: int
    sent: int = 0


@dataclass(slots=True)
class RumorQueue:
    """Rumors that still have to be passed on; a newer one replaces an older one on the same subject."""

    _entries: dict[str, _Entry] = field(default_factory=dict)

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, rumor: Rumor) -> None:
        """Queue ``rumor``; it replaces a queued one on the same subject."""
        subject = subject_key(rumor)
        wire = rumor_to_wire(rumor)
        size = _estimate_size(wire) + RUMOR_OVERHEAD_BYTES
        self._entries[subject] = _Entry(subject, rumor, wire, size)

    def take(self, members: int, free_bytes: int = MAX_RUMOR_BYTES) -> list[list[Any]]:
        """Return rumors for one packet, those sent least often first, and count them as sent."""
        max_sends = math.ceil(SEND_COUNT_FACTOR * math.log(members + 2))
        taken: list[list[Any]] = []
        for entry in sorted(self._entries.values(), key=lambda each: each.sent):
            if entry.size > free_bytes:
                continue
            free_bytes -= entry.size
            taken.append(entry.wire)
            entry.sent += 1
            if entry.sent >= max_sends:
                del self._entries[entry.subject]
        return taken


def subject_key(rumor: Rumor) -> str:
    """Return the key of the rumor's subject; a newer rumor with the same key replaces it."""
    match rumor:
        case MemberRecord(address=address):
            return f"member {address}"
        case StoredObject(key=key) | ObjectNotice(key=key):
            return f"object {key}"
        case ServerNotice(address=address):
            return f"server {address}"


def rumor_to_wire(rumor: Rumor) -> list[Any]:
    """Return the wire form of a rumor: a tag and its fields."""
    match rumor:
        case MemberRecord():
            return ["m", *rumor.to_wire()]
        case StoredObject():
            return ["o", *rumor.to_wire()]
        case ObjectNotice(key, revision):
            return ["n", key, revision]
        case ServerNotice(address, incarnation):
            return ["s", address, incarnation]


def _estimate_size(value: Any) -> int:
    """Estimate the encoded size of plain data, in bytes."""
    if isinstance(value, str):
        return len(value) + 3
    if isinstance(value, dict):
        return 3 + sum(_estimate_size(key) + _estimate_size(item) for key, item in value.items())
    if isinstance(value, list | tuple):
        return 3 + sum(_estimate_size(item) for item in value)
    return 9

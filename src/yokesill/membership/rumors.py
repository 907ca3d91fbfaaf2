"""Rumors: what is passed on from node to node, each a bounded number of times."""

import math
from dataclasses import dataclass, field
from typing import Any

from yokesill.membership.records import MemberRecord
from yokesill.resources.objects import StoredObject

# Each rumor is sent this many times the logarithm of the members: gossip reaches all members with high
# probability after a few logarithms of rounds.
REPEAT_FACTOR = 3.0
# With the packet's other fields and the seal below a usual MTU of 1,500 bytes.
PACKET_BYTES = 1200
# What a rumor's frame takes in a packet.
RUMOR_OVERHEAD_BYTES = 8


@dataclass(frozen=True, slots=True)
class ObjectNotice:
    """An object has a newer revision that is too large for a datagram: fetch it."""

    key: str
    revision: int


@dataclass(frozen=True, slots=True)
class ServerNotice:
    """A back end is leaving, in this incarnation (empty: the one it has now)."""

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
    """The rumors that still have to be passed on; a newer one of a subject replaces the older."""

    _entries: dict[str, _Entry] = field(default_factory=dict)

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, rumor: Rumor) -> None:
        """Pass ``rumor`` on from now on."""
        subject = subject_of(rumor)
        wire = rumor_to_wire(rumor)
        size = _size(wire) + RUMOR_OVERHEAD_BYTES
        self._entries[subject] = _Entry(subject, rumor, wire, size)

    def take(self, members: int, room: int = PACKET_BYTES) -> list[list[Any]]:
        """Return rumors for one packet, the least passed on first, and count them as passed on."""
        repeats = math.ceil(REPEAT_FACTOR * math.log(members + 2))
        taken: list[list[Any]] = []
        for entry in sorted(self._entries.values(), key=lambda each: each.sent):
            if entry.size > room:
                continue
            room -= entry.size
            taken.append(entry.wire)
            entry.sent += 1
            if entry.sent >= repeats:
                del self._entries[entry.subject]
        return taken


def subject_of(rumor: Rumor) -> str:
    """Return what the rumor is about: a newer one about the same replaces it."""
    match rumor:
        case MemberRecord(address=address):
            return f"member {address}"
        case StoredObject(key=key) | ObjectNotice(key=key):
            return f"object {key}"
        case ServerNotice(address=address):
            return f"server {address}"


def rumor_to_wire(rumor: Rumor) -> list[Any]:
    """Return the form in which a rumor travels: a tag and its fields."""
    match rumor:
        case MemberRecord():
            return ["m", *rumor.to_wire()]
        case StoredObject():
            return ["o", *rumor.to_wire()]
        case ObjectNotice(key, revision):
            return ["n", key, revision]
        case ServerNotice(address, incarnation):
            return ["s", address, incarnation]


def _size(value: Any) -> int:
    """Estimate the encoded size of plain data, in bytes."""
    if isinstance(value, str):
        return len(value) + 3
    if isinstance(value, dict):
        return 3 + sum(_size(key) + _size(item) for key, item in value.items())
    if isinstance(value, list | tuple):
        return 3 + sum(_size(item) for item in value)
    return 9

"""Datagrams between members, as typed packets; CBOR on the wire."""

import enum
from dataclasses import dataclass, field
from typing import Any

import cbor2

from yokesill.membership.records import record_from_wire
from yokesill.membership.rumors import ObjectNotice, Rumor, ServerNotice
from yokesill.resources.objects import object_from_wire

PACKET_FIELDS = 7


class PacketKind(enum.IntEnum):
    """The kind of a packet; packets of every kind carry rumors and digests."""

    PING = 1
    ACK = 2
    INDIRECT_PING = 3
    GOSSIP = 4


@dataclass(frozen=True, slots=True)
class Packet:
    """One datagram.

    ``target`` is the member that an indirect ping is to reach, or on whose behalf an ack is sent.
    """

    kind: PacketKind
    sender: str
    sequence: int
    target: str = ""
    config_digest: int = 0
    member_digest: int = 0
    rumors: list[list[Any]] = field(default_factory=list)


def encode_packet(packet: Packet) -> bytes:
    """Return the packet's bytes."""
    fields = [
        int(packet.kind),
        packet.sender,
        packet.sequence,
        packet.target,
        packet.config_digest,
        packet.member_digest,
        packet.rumors,
    ]
    return cbor2.dumps(fields)


def decode_packet(data: bytes) -> Packet | None:
    """Decode a packet; ``None`` if it is malformed."""
    try:
        fields = cbor2.loads(data)
    except (cbor2.CBORDecodeError, ValueError, RecursionError):
        return None
    if not isinstance(fields, list) or len(fields) != PACKET_FIELDS:
        return None
    kind, sender, sequence, target, config_digest, member_digest, rumors = fields
    numbers_valid = all(isinstance(each, int) for each in (sequence, config_digest, member_digest))
    if kind not in (1, 2, 3, 4) or not numbers_valid or not isinstance(rumors, list):
        return None
    if not isinstance(sender, str) or not isinstance(target, str):
        return None
    return Packet(PacketKind(kind), sender, sequence, target, config_digest, member_digest, rumors)


def rumor_from_wire(item: Any) -> Rumor | None:
    """Parse one rumor; ``None`` if it is malformed."""
    if not isinstance(item, list) or not item:
        return None
    tag, fields = item[0], item[1:]
    if tag == "m":
        return record_from_wire(fields)
    if tag == "o":
        return object_from_wire(fields)
    if tag == "n" and len(fields) == 2 and isinstance(fields[0], str) and isinstance(fields[1], int):
        return ObjectNotice(fields[0], fields[1])
    if tag == "s" and len(fields) == 2 and all(isinstance(each, str) for each in fields):
        return ServerNotice(fields[0], fields[1])
    return None

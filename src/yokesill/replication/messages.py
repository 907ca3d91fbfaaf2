"""Requests between nodes, as typed messages; CBOR on the wire.

A sync takes two requests: ``Compare`` finds which objects differ, ``Exchange`` moves them, both
ways. ``Push`` hands over objects that were just committed.
"""

from dataclasses import dataclass, field
from typing import Any

import cbor2

from yokesill.membership.records import MemberRecord, record_from_wire
from yokesill.membership.rumors import ServerNotice
from yokesill.resources.objects import StoredObject, object_from_wire

MAX_BODY_BYTES = 32 * 1024 * 1024

COMPARE, EXCHANGE, PUSH, STATUS = "compare", "exchange", "push", "status"


@dataclass(frozen=True, slots=True)
class CompareRequest:
    """The asker's bucket digests and the members that it knows."""

    bucket_digests: list[int]
    members: list[MemberRecord]


@dataclass(frozen=True, slots=True)
class CompareReply:
    """Revisions of the objects in the buckets that differ, the members, and servers that are leaving."""

    buckets: list[int]
    versions: dict[str, int]
    members: list[MemberRecord]
    leaving: list[ServerNotice] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class ExchangeRequest:
    """Keys that the asker wants, and objects that the other lacks."""

    wanted: list[str]
    objects: list[StoredObject] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class ObjectsReply:
    """Objects that were asked for."""

    objects: list[StoredObject]


@dataclass(frozen=True, slots=True)
class StatusReply:
    """What a member has in force."""

    address: str
    zone: str
    state: str
    digest: int
    revision: int
    watcher: bool


def _records(items: Any) -> list[MemberRecord]:
    return [record for item in items if (record := record_from_wire(item)) is not None]


def _objects(items: Any) -> list[StoredObject]:
    return [each for item in items if (each := object_from_wire(item)) is not None]


def encode_compare_request(message: CompareRequest) -> bytes:
    """Return the message's bytes."""
    return cbor2.dumps([message.bucket_digests, [each.to_wire() for each in message.members]])


def decode_compare_request(data: bytes) -> CompareRequest:
    """Read the message; raises ``ValueError`` when it is malformed."""
    digests, members = _fields(data, 2)
    return CompareRequest(list(digests), _records(members))


def encode_compare_reply(message: CompareReply) -> bytes:
    """Return the message's bytes."""
    members = [each.to_wire() for each in message.members]
    leaving = [[each.address, each.incarnation] for each in message.leaving]
    return cbor2.dumps([message.buckets, message.versions, members, leaving])


def decode_compare_reply(data: bytes) -> CompareReply:
    """Read the message; raises ``ValueError`` when it is malformed."""
    buckets, versions, members, leaving = _fields(data, 4)
    notices = [ServerNotice(str(address), str(incarnation)) for address, incarnation in leaving]
    return CompareReply(list(buckets), dict(versions), _records(members), notices)


def encode_exchange_request(message: ExchangeRequest) -> bytes:
    """Return the message's bytes."""
    return cbor2.dumps([message.wanted, [each.to_wire() for each in message.objects]])


def decode_exchange_request(data: bytes) -> ExchangeRequest:
    """Read the message; raises ``ValueError`` when it is malformed."""
    wanted, objects = _fields(data, 2)
    return ExchangeRequest(list(wanted), _objects(objects))


def encode_objects(objects: list[StoredObject]) -> bytes:
    """Return the bytes of a ``Push`` or of an ``ObjectsReply``."""
    return cbor2.dumps([[each.to_wire() for each in objects]])


def decode_objects(data: bytes) -> list[StoredObject]:
    """Read what ``encode_objects`` wrote; raises ``ValueError`` when it is malformed."""
    (objects,) = _fields(data, 1)
    return _objects(objects)


def encode_status(message: StatusReply) -> bytes:
    """Return the message's bytes."""
    return cbor2.dumps(
        [message.address, message.zone, message.state, message.digest, message.revision, message.watcher]
    )


def decode_status(data: bytes) -> StatusReply:
    """Read the message; raises ``ValueError`` when it is malformed."""
    return StatusReply(*_fields(data, 6))


def _fields(data: bytes, count: int) -> list[Any]:
    """Decode a list of exactly ``count`` fields."""
    try:
        fields = cbor2.loads(data)
    except (cbor2.CBORDecodeError, RecursionError) as error:
        raise ValueError(f"undecodable message: {error}") from error
    if not isinstance(fields, list) or len(fields) != count:
        raise ValueError(f"a message of {count} fields was expected")
    return fields

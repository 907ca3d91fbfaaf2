"""Typed messages between nodes, encoded as CBOR.

A sync takes two requests: ``Compare`` finds the objects that differ, and ``Exchange`` transfers them in
both directions. ``Push`` sends objects that were just committed.
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
    """The requester's bucket digests and known members."""

    bucket_digests: list[int]
    members: list[MemberRecord]


@dataclass(frozen=True, slots=True)
class CompareReply:
    """Revisions of the objects in the differing buckets, the known members and the leaving servers."""

    buckets: list[int]
    versions: dict[str, int]
    members: list[MemberRecord]
    leaving: list[ServerNotice] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class ExchangeRequest:
    """Keys that the requester wants, and objects that the peer lacks."""

    wanted: list[str]
    objects: list[StoredObject] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class ObjectsReply:
    """The requested objects."""

    objects: list[StoredObject]


@dataclass(frozen=True, slots=True)
class StatusReply:
    """A member's state and the configuration that it has in force."""

    address: str
    zone: str
    state: str
    digest: int
    revision: int
    watcher: bool


def _parse_members(items: Any) -> list[MemberRecord]:
    return [record for item in items if (record := record_from_wire(item)) is not None]


def _parse_objects(items: Any) -> list[StoredObject]:
    return [each for item in items if (each := object_from_wire(item)) is not None]


def encode_compare_request(message: CompareRequest) -> bytes:
    """Encode the message."""
    return cbor2.dumps([message.bucket_digests, [each.to_wire() for each in message.members]])


def decode_compare_request(data: bytes) -> CompareRequest:
    """Decode the message; raises ``ValueError`` when it is malformed."""
    digests, members = _decode_fields(data, 2)
    return CompareRequest(list(digests), _parse_members(members))


def encode_compare_reply(message: CompareReply) -> bytes:
    """Encode the message."""
    members = [each.to_wire() for each in message.members]
    leaving = [[each.address, each.incarnation] for each in message.leaving]
    return cbor2.dumps([message.buckets, message.versions, members, leaving])


def decode_compare_reply(data: bytes) -> CompareReply:
    """Decode the message; raises ``ValueError`` when it is malformed."""
    buckets, versions, members, leaving = _decode_fields(data, 4)
    notices = [ServerNotice(str(address), str(incarnation)) for address, incarnation in leaving]
    return CompareReply(list(buckets), dict(versions), _parse_members(members), notices)


def encode_exchange_request(message: ExchangeRequest) -> bytes:
    """Encode the message."""
    return cbor2.dumps([message.wanted, [each.to_wire() for each in message.objects]])


def decode_exchange_request(data: bytes) -> ExchangeRequest:
    """Decode the message; raises ``ValueError`` when it is malformed."""
    wanted, objects = _decode_fields(data, 2)
    return ExchangeRequest(list(wanted), _parse_objects(objects))


def encode_objects(objects: list[StoredObject]) -> bytes:
    """Encode a ``Push`` or an ``ObjectsReply``."""
    return cbor2.dumps([[each.to_wire() for each in objects]])


def decode_objects(data: bytes) -> list[StoredObject]:
    """Decode the output of ``encode_objects``; raises ``ValueError`` when it is malformed."""
    (objects,) = _decode_fields(data, 1)
    return _parse_objects(objects)


def encode_status(message: StatusReply) -> bytes:
    """Encode the message."""
    return cbor2.dumps(
        [message.address, message.zone, message.state, message.digest, message.revision, message.watcher]
    )


def decode_status(data: bytes) -> StatusReply:
    """Decode the message; raises ``ValueError`` when it is malformed."""
    return StatusReply(*_decode_fields(data, 6))


def _decode_fields(data: bytes, count: int) -> list[Any]:
    """Decode a list of exactly ``count`` fields."""
    try:
        fields = cbor2.loads(data)
    except (cbor2.CBORDecodeError, RecursionError) as error:
        raise ValueError(f"undecodable message: {error}") from error
    if not isinstance(fields, list) or len(fields) != count:
        raise ValueError(f"a message of {count} fields was expected")
    return fields

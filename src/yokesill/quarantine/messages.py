"""What nodes tell one another of requests under which servers ended, as CBOR datagrams."""

from functools import singledispatch
from typing import Any, NamedTuple

import cbor2

from yokesill.quarantine.detector import Loss, QuarantineStatus

_LOST, _ANSWERED, _JUDGED = 3, 4, 5
QUARANTINE_KINDS = frozenset({_LOST, _ANSWERED, _JUDGED})
# A fingerprint, a server's and a service's name take some 60 bytes of the 1,200 of a datagram.
ENTRIES_PER_DATAGRAM = 16
LONGEST_NAME = 128


class LossReport(NamedTuple):
    """A server ended under a request."""

    fingerprint: str
    loss: Loss


class AnswerReport(NamedTuple):
    """A server of a service answered a request; ``trial`` if it was tried there alone."""

    fingerprint: str
    service: str
    trial: bool


class QuarantineFinding(NamedTuple):
    """A request is to be suspected, or kept from servers."""

    fingerprint: str
    standing: QuarantineStatus


class Losses(NamedTuple):
    """What the sender saw just now."""

    losses: tuple[LossReport, ...]


class Answers(NamedTuple):
    """What the sender saw answered just now, of what servers had ended under."""

    answers: tuple[AnswerReport, ...]


class QuarantineFindings(NamedTuple):
    """A judge's findings; with ``relay`` the receiver hands them on within its zone."""

    standings: tuple[QuarantineFinding, ...]
    relay: bool


Message = Losses | Answers | QuarantineFindings


@singledispatch
def encode(message: Any) -> bytes:
    """Return a message's datagram."""
    raise TypeError(f"no datagram for {type(message).__name__}")


@encode.register
def _(message: Losses) -> bytes:
    return cbor2.dumps([_LOST, [[each.fingerprint, *each.loss] for each in message.losses]])


@encode.register
def _(message: Answers) -> bytes:
    return cbor2.dumps([_ANSWERED, [list(each) for each in message.answers]])


@encode.register
def _(message: QuarantineFindings) -> bytes:
    entries = [[each.fingerprint, int(each.standing)] for each in message.standings]
    return cbor2.dumps([_JUDGED, entries, message.relay])


def decode(data: bytes) -> Message:
    """Read a datagram.

    Raises
    ------
    ValueError
        It is no message of this version.
    """
    try:
        kind, entries, *rest = cbor2.loads(data)
        if kind == _LOST:
            return Losses(tuple(_loss(*each) for each in entries))
        if kind == _ANSWERED:
            return Answers(tuple(AnswerReport(_name(a), _name(b), bool(c)) for a, b, c in entries))
        if kind == _JUDGED:
            found = tuple(QuarantineFinding(_name(name), QuarantineStatus(value)) for name, value in entries)
            return QuarantineFindings(found, bool(rest[0]))
    except (TypeError, ValueError, IndexError, cbor2.CBORDecodeError) as error:
        raise ValueError(f"a malformed datagram: {error!r}") from error
    raise ValueError(f"a datagram of kind {kind!r}")


def _loss(fingerprint: Any, instance: Any, service: Any, trial: Any) -> LossReport:
    return LossReport(_name(fingerprint), Loss(_name(instance), _name(service), bool(trial)))


def _name(value: Any) -> str:
    if not isinstance(value, str) or not 0 < len(value) <= LONGEST_NAME:
        raise ValueError(f"a name of up to {LONGEST_NAME} signs is needed")
    return value

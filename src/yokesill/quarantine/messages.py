"""What nodes tell each other of requests that crash servers: losses, answers, and findings."""

from collections.abc import Callable
from functools import singledispatch
from typing import Any, NamedTuple

from yokesill.peers.frame import Kind, decode_frame, encode_frame, parse_name
from yokesill.quarantine.detector import Loss, QuarantineStatus

QUARANTINE_KINDS = frozenset({Kind.LOSSES, Kind.ANSWERS, Kind.QUARANTINE_FINDINGS})
# A fingerprint, a server's and a service's name take some 60 bytes of the 1,200 of a datagram.
ENTRIES_PER_DATAGRAM = 16
# Bounds what strangers' bytes may cost in memory: names here have some 20 characters.
LONGEST_NAME_CHARS = 128


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
    status: QuarantineStatus


class Losses(NamedTuple):
    """What the sender saw just now."""

    losses: tuple[LossReport, ...]


class Answers(NamedTuple):
    """What the sender saw answered just now, of requests that servers had been lost under."""

    answers: tuple[AnswerReport, ...]


class QuarantineFindings(NamedTuple):
    """An owner's findings; with ``relay`` the receiver passes them on within its zone."""

    findings: tuple[QuarantineFinding, ...]
    relay: bool


Message = Losses | Answers | QuarantineFindings


@singledispatch
def encode(message: Any) -> bytes:
    """Return a message's datagram."""
    raise TypeError(f"no datagram for {type(message).__name__}")


@encode.register
def _(message: Losses) -> bytes:
    return encode_frame(Kind.LOSSES, [[each.fingerprint, *each.loss] for each in message.losses])


@encode.register
def _(message: Answers) -> bytes:
    return encode_frame(Kind.ANSWERS, [list(each) for each in message.answers])


@encode.register
def _(message: QuarantineFindings) -> bytes:
    entries = [[each.fingerprint, int(each.status)] for each in message.findings]
    return encode_frame(Kind.QUARANTINE_FINDINGS, entries, message.relay)


def decode(data: bytes) -> Message:
    """Read a datagram.

    Raises
    ------
    ValueError
        It is no message of this version.
    """
    return decode_frame(data, _READERS)


def _losses(entries: Any, *_later: Any) -> Losses:
    return Losses(tuple(_loss(*each) for each in entries))


def _loss(fingerprint: Any, instance: Any, service: Any, trial: Any) -> LossReport:
    return LossReport(_name(fingerprint), Loss(_name(instance), _name(service), bool(trial)))


def _answers(entries: Any, *_later: Any) -> Answers:
    return Answers(tuple(_answer(*each) for each in entries))


def _answer(fingerprint: Any, service: Any, trial: Any) -> AnswerReport:
    return AnswerReport(_name(fingerprint), _name(service), bool(trial))


def _findings(entries: Any, relay: Any, *_later: Any) -> QuarantineFindings:
    found = (QuarantineFinding(_name(fingerprint), QuarantineStatus(value)) for fingerprint, value in entries)
    return QuarantineFindings(tuple(found), bool(relay))


def _name(value: Any) -> str:
    return parse_name(value, LONGEST_NAME_CHARS)


_READERS: dict[int, Callable[..., Message]] = {
    Kind.LOSSES: _losses,
    Kind.ANSWERS: _answers,
    Kind.QUARANTINE_FINDINGS: _findings,
}

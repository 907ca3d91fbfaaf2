"""Datagrams about requests that crash servers: losses, answers, and findings."""

from collections.abc import Callable
from functools import singledispatch
from typing import Any, NamedTuple

from yokesill.peers.frame import Kind, decode_frame, encode_frame, parse_name
from yokesill.quarantine.detector import Loss, QuarantineStatus

QUARANTINE_KINDS = frozenset({Kind.LOSSES, Kind.ANSWERS, Kind.QUARANTINE_FINDINGS})
# A fingerprint, an instance name and a service name take about 60 of a datagram's 1,200 bytes.
ENTRIES_PER_DATAGRAM = 16
# Bounds the memory that a datagram from any sender can take; real names have about 20 characters.
MAX_NAME_CHARS = 128


class LossReport(NamedTuple):
    """A server was lost while running a request."""

    fingerprint: str
    loss: Loss


class AnswerReport(NamedTuple):
    """A server of a service answered a request; ``trial`` if the request ran there alone."""

    fingerprint: str
    service: str
    trial: bool


class QuarantineFinding(NamedTuple):
    """A request's new status: suspected or quarantined."""

    fingerprint: str
    status: QuarantineStatus


class Losses(NamedTuple):
    """The sender's latest losses."""

    losses: tuple[LossReport, ...]


class Answers(NamedTuple):
    """The sender's latest answers to requests that had lost servers before."""

    answers: tuple[AnswerReport, ...]


class QuarantineFindings(NamedTuple):
    """An owner's findings; with ``relay``, the receiver forwards them within its zone."""

    findings: tuple[QuarantineFinding, ...]
    relay: bool


Message = Losses | Answers | QuarantineFindings


@singledispatch
def encode(message: Any) -> bytes:
    """Encode a message as a datagram."""
    raise TypeError(f"cannot encode a message of type {type(message).__name__}")


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
    """Decode a datagram.

    Raises
    ------
    ValueError
        If it is malformed or of an unsupported kind.
    """
    return decode_frame(data, _DECODERS)


def _decode_losses(entries: Any, *_extensions: Any) -> Losses:
    return Losses(tuple(_decode_loss(*each) for each in entries))


def _decode_loss(fingerprint: Any, instance: Any, service: Any, trial: Any) -> LossReport:
    return LossReport(
        _parse_name(fingerprint), Loss(_parse_name(instance), _parse_name(service), bool(trial))
    )


def _decode_answers(entries: Any, *_extensions: Any) -> Answers:
    return Answers(tuple(_decode_answer(*each) for each in entries))


def _decode_answer(fingerprint: Any, service: Any, trial: Any) -> AnswerReport:
    return AnswerReport(_parse_name(fingerprint), _parse_name(service), bool(trial))


def _decode_findings(entries: Any, relay: Any, *_later: Any) -> QuarantineFindings:
    found = (
        QuarantineFinding(_parse_name(fingerprint), QuarantineStatus(value)) for fingerprint, value in entries
    )
    return QuarantineFindings(tuple(found), bool(relay))


def _parse_name(value: Any) -> str:
    return parse_name(value, MAX_NAME_CHARS)


_DECODERS: dict[int, Callable[..., Message]] = {
    Kind.LOSSES: _decode_losses,
    Kind.ANSWERS: _decode_answers,
    Kind.QUARANTINE_FINDINGS: _decode_findings,
}

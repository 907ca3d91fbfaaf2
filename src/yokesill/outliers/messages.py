"""Datagrams about slow and failing servers: observations, and the suspicions that they raise."""

from collections.abc import Callable
from functools import singledispatch
from typing import Any, NamedTuple

from yokesill.peers.frame import Kind, decode_frame, encode_frame, parse_count, parse_text

# With the usual 12-byte instance names, this many entries and the frame take half of the 1,200 bytes.
ENTRIES_PER_DATAGRAM = 30
# Datagrams are not signed, so none may divert traffic for longer than this. The detector's maximum is 3 s.
MAX_ACCEPTED_SUSPICION_S = 5.0
OUTLIER_KINDS = frozenset({Kind.OBSERVATIONS, Kind.SUSPICIONS})


class Observation(NamedTuple):
    """A server that answered late, failed or stayed silent.

    ``good_answers`` counts the good answers that the same node got from it in about the last second and has
    not reported yet: a busy server has some late answers among many good ones.
    """

    instance: str
    good_answers: int = 0


class Observations(NamedTuple):
    """The sender's latest observations."""

    observations: tuple[Observation, ...]


class Suspicion(NamedTuple):
    """A server to avoid for ``for_s`` seconds."""

    instance: str
    for_s: float


class Suspicions(NamedTuple):
    """An owner's suspicions; with ``relay``, the receiver forwards them within its zone."""

    suspicions: tuple[Suspicion, ...]
    relay: bool


Message = Observations | Suspicions


@singledispatch
def encode(message: Any) -> bytes:
    """Encode a message as a datagram."""
    raise TypeError(f"cannot encode a message of type {type(message).__name__}")


@encode.register
def _(message: Observations) -> bytes:
    return encode_frame(Kind.OBSERVATIONS, [list(each) for each in message.observations])


@encode.register
def _(message: Suspicions) -> bytes:
    pairs = [[each.instance, round(each.for_s * 1000)] for each in message.suspicions]
    return encode_frame(Kind.SUSPICIONS, pairs, message.relay)


def decode(data: bytes) -> Message:
    """Decode a datagram.

    Raises
    ------
    ValueError
        If it is malformed or of an unsupported kind.
    """
    return decode_frame(data, _DECODERS)


def _decode_observations(entries: Any, *_extensions: Any) -> Observations:
    return Observations(
        tuple(Observation(parse_text(instance), parse_count(good)) for instance, good in entries)
    )


def _decode_suspicions(entries: Any, relay: Any, *_extensions: Any) -> Suspicions:
    return Suspicions(tuple(_decode_suspicion(*each) for each in entries), bool(relay))


def _decode_suspicion(instance: Any, for_ms: Any) -> Suspicion:
    for_s = float(for_ms) / 1000
    if not 0 <= for_s <= MAX_ACCEPTED_SUSPICION_S:
        raise ValueError(f"suspicion of {for_s} s is outside 0 to {MAX_ACCEPTED_SUSPICION_S} s")
    return Suspicion(parse_text(instance), for_s)


_DECODERS: dict[int, Callable[..., Message]] = {
    Kind.OBSERVATIONS: _decode_observations,
    Kind.SUSPICIONS: _decode_suspicions,
}

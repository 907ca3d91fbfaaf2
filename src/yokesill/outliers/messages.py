"""What nodes tell each other of slow and failing servers: observations, and suspicions found from them."""

from collections.abc import Callable
from functools import singledispatch
from typing import Any, NamedTuple

from yokesill.peers.frame import Kind, decode_frame, encode_frame, parse_count, parse_text

# An instance name and its share of the frame: names of the usual 12 bytes leave half of 1,200 bytes free.
ENTRIES_PER_DATAGRAM = 30
# Datagrams carry no signature, so none may move traffic for longer than this; the detector gives 3 s at most.
LONGEST_SUSPICION_S = 5.0
OUTLIER_KINDS = frozenset({Kind.OBSERVATIONS, Kind.SUSPICIONS})


class Observation(NamedTuple):
    """A server answered late, failed or is silent.

    ``good_answers`` are those that the same node had from it in the last second or so and has not
    reported yet: a busy server has some late answers among many good ones.
    """

    instance: str
    good_answers: int = 0


class Observations(NamedTuple):
    """What the sender saw just now."""

    observations: tuple[Observation, ...]


class Suspicion(NamedTuple):
    """A server to avoid for a while."""

    instance: str
    for_s: float


class Suspicions(NamedTuple):
    """An owner's findings; with ``relay`` the receiver passes them on within its zone."""

    suspicions: tuple[Suspicion, ...]
    relay: bool


Message = Observations | Suspicions


@singledispatch
def encode(message: Any) -> bytes:
    """Return a message's datagram."""
    raise TypeError(f"no datagram for {type(message).__name__}")


@encode.register
def _(message: Observations) -> bytes:
    return encode_frame(Kind.OBSERVATIONS, [list(each) for each in message.observations])


@encode.register
def _(message: Suspicions) -> bytes:
    pairs = [[each.instance, round(each.for_s * 1000)] for each in message.suspicions]
    return encode_frame(Kind.SUSPICIONS, pairs, message.relay)


def decode(data: bytes) -> Message:
    """Read a datagram.

    Raises
    ------
    ValueError
        It is no message of this version.
    """
    return decode_frame(data, _READERS)


def _observations(entries: Any, *_later: Any) -> Observations:
    return Observations(
        tuple(Observation(parse_text(instance), parse_count(good)) for instance, good in entries)
    )


def _suspicions(entries: Any, relay: Any, *_later: Any) -> Suspicions:
    return Suspicions(tuple(_suspicion(*each) for each in entries), bool(relay))


def _suspicion(instance: Any, for_ms: Any) -> Suspicion:
    for_s = float(for_ms) / 1000
    if not 0 <= for_s <= LONGEST_SUSPICION_S:
        raise ValueError(f"a suspicion of {for_s} s")
    return Suspicion(parse_text(instance), for_s)


_READERS: dict[int, Callable[..., Message]] = {Kind.OBSERVATIONS: _observations, Kind.SUSPICIONS: _suspicions}

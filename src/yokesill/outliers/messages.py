"""What nodes tell one another of servers, as CBOR datagrams of at most ``DATAGRAM_BYTES``."""

from collections.abc import Iterable, Iterator
from functools import singledispatch
from typing import Any, NamedTuple

import cbor2

DATAGRAM_BYTES = 1200
# An instance name and its share of the frame; names of the usual 12 bytes leave room to spare.
ENTRIES_PER_DATAGRAM = 30
LONGEST_SUSPICION_S = 5.0
_OBSERVED, _SUSPECTED = 1, 2
# CBOR's first byte of an array of two or three items; a number up to 23 is one byte by itself.
_ARRAYS, _LARGEST_KIND = (0x82, 0x83), 23
# The kinds of messages that come over the same socket begin with these numbers.
OUTLIER_KINDS = frozenset({_OBSERVED, _SUSPECTED})


class Observation(NamedTuple):
    """A server answered late, failed or is silent.

    ``good_answers`` are those that the same node had from it in the last second or so, and has not
    told of yet: a busy server has some late answers among many good ones.
    """

    instance: str
    good_answers: int = 0


class Observations(NamedTuple):
    """What the sender saw just now."""

    observations: tuple[Observation, ...]


class Suspicion(NamedTuple):
    """A server to go around for a while."""

    instance: str
    for_s: float


class Suspicions(NamedTuple):
    """A judge's findings; with ``relay`` the receiver hands them on within its zone."""

    suspicions: tuple[Suspicion, ...]
    relay: bool


Message = Observations | Suspicions


@singledispatch
def encode(message: Any) -> bytes:
    """Return a message's datagram."""
    raise TypeError(f"no datagram for {type(message).__name__}")


@encode.register
def _(message: Observations) -> bytes:
    return cbor2.dumps([_OBSERVED, [list(each) for each in message.observations]])


@encode.register
def _(message: Suspicions) -> bytes:
    pairs = [[each.instance, round(each.for_s * 1000)] for each in message.suspicions]
    return cbor2.dumps([_SUSPECTED, pairs, message.relay])


def decode(data: bytes) -> Message:
    """Read a datagram.

    Raises
    ------
    ValueError
        It is no message of this version.
    """
    try:
        kind, entries, *rest = cbor2.loads(data)
        if kind == _OBSERVED:
            return Observations(tuple(_observation(each) for each in entries))
        if kind == _SUSPECTED:
            return Suspicions(tuple(_suspicion(each) for each in entries), bool(rest[0]))
    except (TypeError, ValueError, IndexError, cbor2.CBORDecodeError) as error:
        raise ValueError(f"a malformed datagram: {error!r}") from error
    raise ValueError(f"a datagram of kind {kind!r}")


def kind_of(data: bytes) -> int:
    """Return the number by which a datagram's kind is told, without reading the rest.

    Raises
    ------
    ValueError
        It is no datagram of ours: an array that begins with a small number.
    """
    if len(data) < 2 or data[0] not in _ARRAYS or data[1] > _LARGEST_KIND:
        raise ValueError("no array that begins with a kind")
    return data[1]


def _observation(item: Any) -> Observation:
    instance, good_answers = item
    if isinstance(good_answers, bool) or not isinstance(good_answers, int) or good_answers < 0:
        raise ValueError("a count is needed")
    return Observation(_text(instance), good_answers)


def _suspicion(item: Any) -> Suspicion:
    instance, for_ms = item
    for_s = float(for_ms) / 1000
    if not 0 <= for_s <= LONGEST_SUSPICION_S:
        raise ValueError(f"a suspicion of {for_s} s")
    return Suspicion(_text(instance), for_s)


def _text(value: Any) -> str:
    if not isinstance(value, str):
        raise ValueError("a text is needed")
    return value


def in_datagrams(entries: Iterable[Any], most: int = ENTRIES_PER_DATAGRAM) -> Iterator[tuple[Any, ...]]:
    """Split entries into tuples that fit into one datagram each: ``most`` of them."""
    rest = tuple(entries)
    for start in range(0, len(rest), most):
        yield rest[start : start + most]

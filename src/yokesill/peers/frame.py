"""The frame of every datagram between nodes: a CBOR array that begins with the number of its kind.

Owns the numbers of all kinds, and the checks of fields that several kinds share. A reader of a kind is a
function of the frame's other items; whatever it can't read becomes one ``ValueError``, since anybody may
send anything to a node's port.
"""

import enum
import io
from collections.abc import Callable, Mapping
from typing import Any, TypeVar

import cbor2

# CBOR's first byte of an array of two or three items; a number up to 23 is one byte by itself.
_ARRAYS, _LARGEST_KIND = (0x82, 0x83), 23
# More is no count of anything; times in milliseconds stay below it for 285,000 years.
LARGEST_COUNT = 2**53

Message = TypeVar("Message")


class Kind(enum.IntEnum):
    """The kinds of datagrams, by the number that each begins with.

    ``outliers`` and ``quarantine`` share one socket, so ``kind_of`` decides who reads a datagram.
    """

    OBSERVATIONS = 1
    SUSPICIONS = 2
    LOSSES = 3
    ANSWERS = 4
    QUARANTINE_FINDINGS = 5
    ROLLOUT_REPORT = 11
    ROLLOUT_DECISIONS = 12


# The same number as ``ANSWERS``: watchers' reports come over a socket of their own, where nothing else comes.
WATCH_REPORT_KIND = 4


def encode_frame(kind: int, *fields: Any) -> bytes:
    """Return the datagram of a kind."""
    return cbor2.dumps([int(kind), *fields])


def decode_frame(data: bytes, readers: Mapping[int, Callable[..., Message]]) -> Message:
    """Read a datagram by the reader of its kind, which gets the frame's other items.

    Raises
    ------
    ValueError
        It is malformed, or of a kind that has no reader.
    """
    try:
        kind, *fields = cbor2.loads(data)
        reader = readers.get(kind)
        if reader is not None:
            return reader(*fields)
    except (TypeError, ValueError, OverflowError, cbor2.CBORDecodeError) as error:
        raise ValueError(f"a malformed datagram: {error!r}") from error
    raise ValueError(f"a datagram of kind {kind!r}")


def with_extension(data: bytes, extension: Any) -> bytes:
    """Return a CBOR message with one more item behind it, which releases that don't know it pass over."""
    return data + cbor2.dumps(extension)


def split_extension(data: bytes) -> tuple[Any, Any]:
    """Return a CBOR message and the item behind it; ``None`` if there is none, as of an older release.

    Raises
    ------
    ValueError
        One of them can't be read.
    """
    stream = io.BytesIO(data)
    try:
        message = cbor2.load(stream)
        extension = cbor2.load(stream) if stream.tell() < len(data) else None
    except cbor2.CBORDecodeError as error:
        raise ValueError(f"a malformed message: {error!r}") from error
    return message, extension


def kind_of(data: bytes) -> int:
    """Return the number of a datagram's kind without decoding the rest.

    Raises
    ------
    ValueError
        It is no datagram of ours: an array that begins with a small number.
    """
    if len(data) < 2 or data[0] not in _ARRAYS or data[1] > _LARGEST_KIND:
        raise ValueError("no array that begins with a kind")
    return data[1]


def parse_text(value: Any) -> str:
    """Return a value that must be a string."""
    if not isinstance(value, str):
        raise ValueError("a text is needed")
    return value


def parse_name(value: Any, most_chars: int) -> str:
    """Return a value that must be a string of 1 to ``most_chars`` characters."""
    if not isinstance(value, str) or not 0 < len(value) <= most_chars:
        raise ValueError(f"a name of up to {most_chars} characters is needed")
    return value


def parse_count(value: Any) -> int:
    """Return a value that must be a whole number from 0 to ``LARGEST_COUNT``."""
    if isinstance(value, bool) or not isinstance(value, int) or not 0 <= value <= LARGEST_COUNT:
        raise ValueError("a count is needed")
    return value

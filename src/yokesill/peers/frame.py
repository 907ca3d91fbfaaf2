"""The frame of every datagram between nodes: a CBOR array whose first item is the number of its kind.

Defines the numbers of all kinds, and the validation of fields that several kinds share. The decoder of a kind
is a function of the frame's other items. Everything that it can't decode is reported as a ``ValueError``,
since any host may send arbitrary bytes to a node's port.
"""

import enum
import io
from collections.abc import Callable, Mapping
from typing import Any, TypeVar

import cbor2

# The initial bytes of CBOR arrays of two and three items, and the largest integer that CBOR encodes in one
# byte.
_ARRAY_HEADS, _MAX_KIND = (0x82, 0x83), 23
# No real count is larger; times in milliseconds stay below this for 285,000 years.
MAX_COUNT = 2**53

Message = TypeVar("Message")


class Kind(enum.IntEnum):
    """The kinds of datagrams, by the number in their first item.

    ``outliers`` and ``quarantine`` share one socket, so their datagrams are dispatched by ``kind_of``.
    """

    OBSERVATIONS = 1
    SUSPICIONS = 2
    LOSSES = 3
    ANSWERS = 4
    QUARANTINE_FINDINGS = 5
    ROLLOUT_REPORT = 11
    ROLLOUT_DECISIONS = 12


# The same number as ``ANSWERS``: watchers' reports use a separate socket that receives nothing else.
WATCH_REPORT_KIND = 4


def encode_frame(kind: int, *fields: Any) -> bytes:
    """Encode a datagram of a kind."""
    return cbor2.dumps([int(kind), *fields])


def decode_frame(data: bytes, decoders: Mapping[int, Callable[..., Message]]) -> Message:
    """Decode a datagram with its kind's decoder, which gets the frame's other items.

    Raises
    ------
    ValueError
        If it is malformed, or of a kind without a decoder.
    """
    try:
        kind, *fields = cbor2.loads(data)
        decoder = decoders.get(kind)
        if decoder is not None:
            return decoder(*fields)
    except (TypeError, ValueError, OverflowError, cbor2.CBORDecodeError) as error:
        raise ValueError(f"malformed datagram: {error!r}") from error
    raise ValueError(f"unsupported datagram kind {kind!r}")


def with_extension(data: bytes, extension: Any) -> bytes:
    """Append an item to a CBOR message; releases that don't support it ignore it."""
    return data + cbor2.dumps(extension)


def split_extension(data: bytes) -> tuple[Any, Any]:
    """Return a CBOR message and the item after it; ``None`` if there is none, as from an older release.

    Raises
    ------
    ValueError
        If one of them is malformed.
    """
    stream = io.BytesIO(data)
    try:
        message = cbor2.load(stream)
        extension = cbor2.load(stream) if stream.tell() < len(data) else None
    except cbor2.CBORDecodeError as error:
        raise ValueError(f"malformed message: {error!r}") from error
    return message, extension


def kind_of(data: bytes) -> int:
    """Return the number of a datagram's kind without decoding the rest.

    Raises
    ------
    ValueError
        If it is not an array that begins with a small integer, as all datagrams between nodes are.
    """
    if len(data) < 2 or data[0] not in _ARRAY_HEADS or data[1] > _MAX_KIND:
        raise ValueError(f"datagram starts with {data[:2]!r}; expected an array that begins with a kind")
    return data[1]


def parse_text(value: Any) -> str:
    """Return the value if it is a string.

    Raises
    ------
    ValueError
        If it is not a string.
    """
    if not isinstance(value, str):
        raise ValueError(f"expected a string, got {value!r:.80}")
    return value


def parse_name(value: Any, max_chars: int) -> str:
    """Return the value if it is a string of 1 to ``max_chars`` characters.

    Raises
    ------
    ValueError
        If it is not a string, is empty, or is too long.
    """
    if not isinstance(value, str) or not 0 < len(value) <= max_chars:
        raise ValueError(f"expected a name of 1 to {max_chars} characters, got {value!r:.80}")
    return value


def parse_count(value: Any) -> int:
    """Return the value if it is an integer from 0 to ``MAX_COUNT``.

    Raises
    ------
    ValueError
        If it is not an integer or is out of range.
    """
    if isinstance(value, bool) or not isinstance(value, int) or not 0 <= value <= MAX_COUNT:
        raise ValueError(f"expected an integer from 0 to {MAX_COUNT}, got {value!r:.80}")
    return value

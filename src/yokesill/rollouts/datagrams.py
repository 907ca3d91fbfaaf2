"""Splits reports and decisions on roll-outs into datagrams; of samples, the latest are kept."""

from collections.abc import Iterable, Iterator
from functools import singledispatch
from typing import Any, TypeVar

import cbor2

from yokesill.peers.chunks import DATAGRAM_BYTES, by_size
from yokesill.rollouts.messages import OrderDecision, OrderReport, entry_to_wire

# Samples that an entry of a report carries, the latest ones: twelve in half a second are 24 requests a
# second of one service through one node.
SAMPLES_PER_ENTRY = 12
# Kind, node's name (253 bytes at most, as names of hosts), incarnation and the heads of the lists.
FRAME_BYTES = 290
ENTRIES_BYTES = DATAGRAM_BYTES - FRAME_BYTES

_Entry = TypeVar("_Entry", OrderReport, OrderDecision)


def split_into_datagrams(entries: Iterable[_Entry]) -> Iterator[tuple[_Entry, ...]]:
    """Split the entries of a message into tuples that fit into one datagram each.

    An entry with many samples is sent in pieces with the same counts, which are totals: received twice, they
    count once. Samples that don't fit beside their entry's counts are left out, the oldest first; counts
    never. Names of up to 253 bytes are allowed for: a node's, a service's and a version's.
    """
    pieces = (_shortened(piece) for each in entries for piece in _pieces(each))
    return by_size(pieces, ENTRIES_BYTES, _size_bytes)


@singledispatch
def _pieces(entry: Any) -> Iterator[Any]:
    """Return an entry in pieces of as many samples as one may have."""
    yield entry


@_pieces.register
def _(entry: OrderReport) -> Iterator[Any]:
    for start in range(0, max(1, len(entry.samples)), SAMPLES_PER_ENTRY):
        yield entry._replace(samples=entry.samples[start : start + SAMPLES_PER_ENTRY])


@singledispatch
def _shortened(entry: Any) -> Any:
    """Return an entry without the oldest samples that don't fit."""
    return entry


@_shortened.register
def _(entry: OrderReport) -> Any:
    while entry.samples and _size_bytes(entry) > ENTRIES_BYTES:
        entry = entry._replace(samples=entry.samples[1:])
    return entry


def _size_bytes(entry: OrderReport | OrderDecision) -> int:
    return len(cbor2.dumps(entry_to_wire(entry)))

"""Splits roll-out reports and decisions into datagrams, dropping the oldest samples that don't fit."""

from collections.abc import Iterable, Iterator
from functools import singledispatch
from typing import Any, TypeVar

import cbor2

from yokesill.peers.chunks import DATAGRAM_BYTES, by_size
from yokesill.rollouts.messages import OrderDecision, OrderReport, entry_to_wire

# Twelve samples per report interval of 0.5 s cover 24 requests a second to one service through one node.
SAMPLES_PER_ENTRY = 12
# Message kind, node name (at most 253 bytes, like a host name), incarnation and the list headers.
MAX_HEADER_BYTES = 290
MAX_ENTRIES_BYTES = DATAGRAM_BYTES - MAX_HEADER_BYTES

_Entry = TypeVar("_Entry", OrderReport, OrderDecision)


def split_into_datagrams(entries: Iterable[_Entry]) -> Iterator[tuple[_Entry, ...]]:
    """Split the entries of a message into tuples that each fit into one datagram.

    An entry with many samples is sent in several pieces that repeat the same counts; counts are totals, so
    receiving them twice does no harm. Samples that don't fit beside their entry's counts are dropped, oldest
    first; counts are never dropped. Node, service and version names may be up to 253 bytes long.
    """
    pieces = (_truncated(piece) for each in entries for piece in _split_samples(each))
    return by_size(pieces, MAX_ENTRIES_BYTES, _size_bytes)


@singledispatch
def _split_samples(entry: Any) -> Iterator[Any]:
    """Yield an entry in pieces of at most ``SAMPLES_PER_ENTRY`` samples."""
    yield entry


@_split_samples.register
def _(entry: OrderReport) -> Iterator[Any]:
    for start in range(0, max(1, len(entry.samples)), SAMPLES_PER_ENTRY):
        yield entry._replace(samples=entry.samples[start : start + SAMPLES_PER_ENTRY])


@singledispatch
def _truncated(entry: Any) -> Any:
    """Return an entry without the oldest samples that don't fit into a datagram."""
    return entry


@_truncated.register
def _(entry: OrderReport) -> Any:
    while entry.samples and _size_bytes(entry) > MAX_ENTRIES_BYTES:
        entry = entry._replace(samples=entry.samples[1:])
    return entry


def _size_bytes(entry: OrderReport | OrderDecision) -> int:
    return len(cbor2.dumps(entry_to_wire(entry)))

"""Splits the entries of a message into as many as fit into one datagram each."""

from collections.abc import Callable, Iterable, Iterator
from typing import TypeVar

# Below the 1,280 bytes that every IPv6 link carries whole, less the heads of IP and UDP (48): a datagram that
# the network splits is lost if one of its fragments is.
DATAGRAM_BYTES = 1200

Entry = TypeVar("Entry")


def by_count(entries: Iterable[Entry], most: int) -> Iterator[tuple[Entry, ...]]:
    """Split entries of about the same size into tuples of ``most``."""
    rest = tuple(entries)
    for start in range(0, len(rest), most):
        yield rest[start : start + most]


def by_size(
    entries: Iterable[Entry], most_bytes: int, size_of: Callable[[Entry], int]
) -> Iterator[tuple[Entry, ...]]:
    """Split entries into tuples of at most ``most_bytes`` together; a larger entry goes alone."""
    chunk: list[Entry] = []
    taken_bytes = 0
    for entry in entries:
        size_bytes = size_of(entry)
        if chunk and taken_bytes + size_bytes > most_bytes:
            yield tuple(chunk)
            chunk, taken_bytes = [], 0
        chunk.append(entry)
        taken_bytes += size_bytes
    if chunk:
        yield tuple(chunk)

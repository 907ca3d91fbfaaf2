"""Splits the entries of a message into chunks that each fit into one datagram."""

from collections.abc import Callable, Iterable, Iterator
from typing import TypeVar

# Below the 1,280 bytes that every IPv6 link carries unfragmented, less the IP and UDP headers (48 bytes): a
# fragmented datagram is lost if any of its fragments is lost.
DATAGRAM_BYTES = 1200

Entry = TypeVar("Entry")


def by_count(entries: Iterable[Entry], max_entries: int) -> Iterator[tuple[Entry, ...]]:
    """Split entries of about the same size into tuples of at most ``max_entries``."""
    all_entries = tuple(entries)
    for start in range(0, len(all_entries), max_entries):
        yield all_entries[start : start + max_entries]


def by_size(
    entries: Iterable[Entry], max_bytes: int, size_of: Callable[[Entry], int]
) -> Iterator[tuple[Entry, ...]]:
    """Split entries into tuples of at most ``max_bytes`` in total; a larger entry gets a tuple of its own."""
    chunk: list[Entry] = []
    chunk_bytes = 0
    for entry in entries:
        size_bytes = size_of(entry)
        if chunk and chunk_bytes + size_bytes > max_bytes:
            yield tuple(chunk)
            chunk, chunk_bytes = [], 0
        chunk.append(entry)
        chunk_bytes += size_bytes
    if chunk:
        yield tuple(chunk)

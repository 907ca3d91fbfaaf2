"""Digests that reveal whether two nodes at the same position of a feed hold the same entries.

Changes are applied on top of a node's entries, so an entry that is missing stays missing, also on every node
that fetches the whole feed from there. Reports therefore carry a digest of the whole feed, in eight bytes,
beside its position.
"""

import zlib
from collections.abc import Iterable

# Digest of a feed that isn't compared.
NOT_COMPARED = 0
# Pause between two repairs of a feed, doubled with each repair in succession. A repaired node may still
# receive a report that refers to its old view, and a registry whose lists are incomplete must not be called
# in a loop.
INITIAL_PAUSE_S, MAX_PAUSE_S = 2.0, 60.0


def digest_of(entries: Iterable[str]) -> int:
    """Return a 48-bit digest of the entries and their number, independent of their order; never 0."""
    value = count = 0
    for entry in entries:
        value ^= zlib.crc32(entry.encode())
        count += 1
    return ((count & 0xFFFF) << 32 | value) or 1


class RepairBackoff:
    """Exponential backoff between repairs of one feed whose digest differs; times in seconds."""

    def __init__(self, initial_pause_s: float = INITIAL_PAUSE_S) -> None:
        self._next_at_s = float("-inf")
        self._initial_pause_s = self._pause_s = initial_pause_s

    def due(self, now: float) -> bool:
        """Return whether a repair may start now; if so, the pause before the next one doubles."""
        if now < self._next_at_s:
            return False
        # No difference was seen for the maximum pause: the last repair succeeded.
        if now - self._next_at_s > MAX_PAUSE_S:
            self._pause_s = self._initial_pause_s
        self._next_at_s = now + self._pause_s
        self._pause_s = min(MAX_PAUSE_S, 2.0 * self._pause_s)
        return True

"""Whether two nodes that know a feed up to the same position know the same of it.

Changes lead on from what a node has: what it lacks stays missing, and a node that fetches the whole from it
lacks it too. So reports carry a digest of the whole beside its position, in eight bytes.
"""

import zlib
from collections.abc import Iterable

# Stands for a feed that isn't compared.
NOT_COMPARED = 0
# Between two repairs of a feed, doubled each time that nothing came of it: a repaired node may receive a
# report on its old view once more, and a registry that answers with holes must not be called in a loop.
FIRST_PAUSE_S, LONGEST_PAUSE_S = 2.0, 60.0


def digest_of(entries: Iterable[str]) -> int:
    """Return how many entries there are and which, whatever their order, in 48 bits; never 0."""
    value = count = 0
    for entry in entries:
        value ^= zlib.crc32(entry.encode())
        count += 1
    return ((count & 0xFFFF) << 32 | value) or 1


class Repairs:
    """How often one feed may be fetched anew because of a difference; times in seconds."""

    def __init__(self, first_pause_s: float = FIRST_PAUSE_S) -> None:
        self._next_at_s = float("-inf")
        self._first_pause_s = self._pause_s = first_pause_s

    def due(self, now: float) -> bool:
        """Whether a repair may begin now; the next one then waits longer."""
        if now < self._next_at_s:
            return False
        # So long without a difference: the last repair helped.
        if now - self._next_at_s > LONGEST_PAUSE_S:
            self._pause_s = self._first_pause_s
        self._next_at_s = now + self._pause_s
        self._pause_s = min(LONGEST_PAUSE_S, 2.0 * self._pause_s)
        return True

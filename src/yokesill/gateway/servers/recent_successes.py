"""How many good answers of one server were not told of yet."""

GOOD_PERIOD_S = 1.0


class RecentSuccesses:
    """Counts the good answers of the last second or so; times in seconds of the node's clock."""

    __slots__ = ("_count", "_since_s")

    def __init__(self) -> None:
        self._count = 0
        self._since_s = 0.0

    def count(self, now: float) -> None:
        """Take a good answer."""
        if now - self._since_s >= GOOD_PERIOD_S:
            self._since_s, self._count = now, 0
        self._count += 1

    def take(self, now: float) -> int:
        """Return how many came lately; asking clears it."""
        good, self._count = self._count, 0
        return good if now - self._since_s < 2 * GOOD_PERIOD_S else 0

"""What a server's last answers say of it: the share that it rejects, and how many good answers it gave.

Owns two small counts a server; times in seconds of the node's clock. The rejected share makes a server look
slower (`ServerLatency`); the good answers go to the peers beside each late one (`ServerEvidence`).

A server that rejects part of its requests although it has free slots costs each of those another attempt,
which is charged to the budget of extra attempts. So servers that reject nothing get the work. With half of
all servers rejecting 0.45 of their requests, 21 of 168 wide requests were refused in place of 46, with 1.14
attempts a shard in place of 1.22 (``tests/gateway/test_shedding.py``, six seeds).
"""

# The weight of the newest answer in the rejected share.
REJECTION_WEIGHT = 0.25
# The rejected share counts half after so long: a server that has recovered is tried again some seconds later.
REJECTION_HALF_LIFE_S = 4.0
# Up to this share nothing is charged: one rejection among few answers is a busy moment.
TOLERATED_SHARE = 0.2
# How many times slower a server looks for each unit of rejected share beyond that. One that rejects 0.45
# looks three times as slow: twice would leave it before one in another zone.
REJECTION_COST = 8.0
# Good answers are counted by periods of this length, and reported for two of them at most. The detector at
# the peers looks back over 1.5 s.
GOOD_PERIOD_S = 1.0


class RecentRejections:
    """The share of its requests that one server rejects lately."""

    __slots__ = ("_at_s", "_share")

    def __init__(self) -> None:
        self._share = 0.0
        self._at_s = 0.0

    def count(self, rejected: bool, now: float) -> None:
        """Count an answer, or a rejection."""
        share = self._share_at(now)
        self._share = share + REJECTION_WEIGHT * (rejected - share)
        self._at_s = now

    def factor(self, now: float) -> float:
        """Return how many times slower the server looks for them."""
        if self._share == 0.0:
            return 1.0
        return 1.0 + REJECTION_COST * max(0.0, self._share_at(now) - TOLERATED_SHARE)

    def _share_at(self, now: float) -> float:
        if not self._share:
            return 0.0
        return self._share * float(0.5 ** ((now - self._at_s) / REJECTION_HALF_LIFE_S))


class RecentSuccesses:
    """The good answers of one server that were not reported yet."""

    __slots__ = ("_count", "_since_s")

    def __init__(self) -> None:
        self._count = 0
        self._since_s = 0.0

    def count(self, now: float) -> None:
        """Count a good answer."""
        if now - self._since_s >= GOOD_PERIOD_S:
            self._since_s, self._count = now, 0
        self._count += 1

    def take(self, now: float) -> int:
        """Return the count, and start anew."""
        good, self._count = self._count, 0
        return good if now - self._since_s < 2 * GOOD_PERIOD_S else 0

"""Counts over one server's recent answers: the share of requests that it rejects, and its good answers.

Owns two small counts per server; times are in seconds of the node's clock. The rejected share makes a server
appear slower (`ServerLatency`); the number of good answers is reported to the peers with each late one
(`ServerEvidence`).

A server that rejects part of its requests although it has free slots costs another attempt for each of them,
which is charged to the budget of extra attempts. Servers that reject nothing are therefore preferred. With
half of all servers rejecting 0.45 of their requests, 21 of 168 wide requests were refused instead of 46, with
1.14 attempts per shard instead of 1.22 (``tests/gateway/test_shedding.py``, six seeds).
"""

# The weight of the newest answer in the rejected share.
REJECTION_WEIGHT = 0.25
# The rejected share halves in this time, so a server that has recovered is tried again after some seconds.
REJECTION_HALF_LIFE_S = 4.0
# Up to this share a server does not appear slower: one rejection among few answers is a busy moment.
TOLERATED_SHARE = 0.2
# How much the slowdown factor grows per unit of rejected share beyond TOLERATED_SHARE. A server that rejects
# 0.45 appears three times as slow; with a factor of two it would still rank before one in another zone.
REJECTION_COST = 8.0
# Good answers are counted in periods of this length and reported for at most two periods. The peers' detector
# uses a window of 1.5 s.
SUCCESS_PERIOD_S = 1.0


class RecentRejections:
    """The share of requests that one server has recently rejected."""

    __slots__ = ("_at_s", "_share")

    def __init__(self) -> None:
        self._share = 0.0
        self._at_s = 0.0

    def count(self, rejected: bool, now: float) -> None:
        """Record an answer or a rejection."""
        share = self._share_at(now)
        self._share = share + REJECTION_WEIGHT * (rejected - share)
        self._at_s = now

    def factor(self, now: float) -> float:
        """Return the factor by which rejections make the server appear slower."""
        if self._share == 0.0:
            return 1.0
        return 1.0 + REJECTION_COST * max(0.0, self._share_at(now) - TOLERATED_SHARE)

    def _share_at(self, now: float) -> float:
        if not self._share:
            return 0.0
        return self._share * float(0.5 ** ((now - self._at_s) / REJECTION_HALF_LIFE_S))


class RecentSuccesses:
    """The number of good answers of one server that were not reported yet."""

    __slots__ = ("_count", "_since_s")

    def __init__(self) -> None:
        self._count = 0
        self._since_s = 0.0

    def count(self, now: float) -> None:
        """Count a good answer."""
        if now - self._since_s >= SUCCESS_PERIOD_S:
            self._since_s, self._count = now, 0
        self._count += 1

    def take(self, now: float) -> int:
        """Return the count and reset it."""
        count, self._count = self._count, 0
        return count if now - self._since_s < 2 * SUCCESS_PERIOD_S else 0

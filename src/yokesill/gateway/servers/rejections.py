"""What a server rejects lately makes it look slower.

A server that rejects part of its requests although it has room costs each of those another one, which is
charged to the budget of extra attempts. So servers that reject nothing are asked instead. With half of all
servers rejecting 0.45 of their requests, 21 of 168 wide requests were refused in place of 46, with 1.14
attempts a part in place of 1.22 (``tests/gateway/test_shedding.py``, six seeds).
"""

# What rejections say counts half after 4 s: a server that has recovered is tried again some seconds later.
# One of them among few answers is taken for a busy moment.
WEIGHT, HALF_LIFE_S, TOLERATED = 0.25, 4.0, 0.2
# A server that rejects 0.45 looks three times as slow: twice would leave it before one in another zone.
COST = 8.0


class RecentRejections:
    """The share of its requests that one server rejects lately; times in seconds of the node's clock."""

    __slots__ = ("_at_s", "_share")

    def __init__(self) -> None:
        self._share = 0.0
        self._at_s = 0.0

    def count(self, rejected: bool, now: float) -> None:
        """Take an answer, or a rejection."""
        share = self._share_at(now)
        self._share = share + WEIGHT * (rejected - share)
        self._at_s = now

    def factor(self, now: float) -> float:
        """Return how many times slower the server looks by them."""
        if self._share == 0.0:
            return 1.0
        return 1.0 + COST * max(0.0, self._share_at(now) - TOLERATED)

    def _share_at(self, now: float) -> float:
        return self._share * float(0.5 ** ((now - self._at_s) / HALF_LIFE_S)) if self._share else 0.0

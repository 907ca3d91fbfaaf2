"""The budget of extra attempts, one a service, shared by all nodes with nobody in charge.

The contract bounds, for each service and any window, the arrivals beyond the first of each request:
``ratio`` times the requests for it, and a fixed allowance on top. Each node keeps to its own
requests' ratio and to its share of the allowance, so that the sum over all nodes keeps to the whole.
"""

from collections import deque
from typing import NamedTuple

BUCKETS = 20
RATIO_MARGIN = 0.9
ALLOWANCE_MARGIN = 0.75
WINDOWS_TO_FULL_ALLOWANCE = 2.0


class BudgetLimits(NamedTuple):
    """The contract's figures; ``window_s`` in seconds."""

    ratio: float
    allowance: float
    window_s: float


class SlidingCount:
    """Counts events of the last ``window`` seconds, at most one bucket too many, never too few."""

    def __init__(self, window: float) -> None:
        self._width = window / BUCKETS
        self._buckets: deque[tuple[int, int]] = deque()
        self._total = 0

    def add(self, now: float) -> None:
        """Count one event."""
        slot = int(now / self._width)
        if self._buckets and self._buckets[-1][0] == slot:
            self._buckets[-1] = (slot, self._buckets[-1][1] + 1)
        else:
            self._buckets.append((slot, 1))
        self._total += 1

    def total(self, now: float) -> int:
        """Return how many were counted within the window."""
        oldest = int(now / self._width) - BUCKETS
        while self._buckets and self._buckets[0][0] < oldest:
            self._total -= self._buckets.popleft()[1]
        return self._total


class ExtraAttemptBudget:
    """One service's budget at one node.

    A node that has just started forgot what it spent before: its share of the allowance grows from
    nothing over the first two windows.
    """

    def __init__(self, terms: BudgetLimits, started_at: float) -> None:
        self.terms = terms
        self._started_at = started_at
        self._requests = SlidingCount(terms.window_s)
        self._extras = SlidingCount(terms.window_s)

    def count_request(self, now: float) -> None:
        """Count a request for the service."""
        self._requests.add(now)

    def left(self, nodes: float, now: float) -> float:
        """Return how many extra attempts this node may make now."""
        windows = (now - self._started_at) / self.terms.window_s
        age = min(1.0, windows / WINDOWS_TO_FULL_ALLOWANCE)
        allowance = ALLOWANCE_MARGIN * self.terms.allowance * age / max(1, nodes)
        earned = RATIO_MARGIN * self.terms.ratio * self._requests.total(now)
        return allowance + earned - self._extras.total(now)

    def take(self, nodes: float, now: float) -> bool:
        """Spend one extra attempt; ``False`` when the budget does not allow it."""
        if self.left(nodes, now) < 1.0:
            return False
        self._extras.add(now)
        return True

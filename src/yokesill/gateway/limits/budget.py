"""When a retry or hedge may be sent: the budget of extra attempts, one a service, shared by all nodes.

The contract bounds, for each service and any window, the attempts beyond the first of each request:
``ratio`` times the requests for it, and a fixed allowance on top. No node is in charge: each keeps to the
ratio of its own requests and to its share of the allowance (`NodeShares.active_nodes`), and the sum keeps
to the whole.

Inputs: requests and extra attempts at this node, how many nodes share, the node's clock in seconds. Whoever
sends an extra attempt calls ``take`` first and sends nothing if it returns ``False``.
"""

from collections import deque
from typing import NamedTuple

# A window is counted in so many buckets, so a count is too high by a twentieth of the window at most.
BUCKETS = 20
# What a node spends of the ratio and of its share of the allowance. The rest covers nodes that count others
# differently for a while and restarted nodes, which forgot what they spent. 0.85 and 0.6 before left hedges
# out for want of budget where many servers were slow; with these no window exceeded the contract
# (``tests/gateway/test_budget.py`` restarts single nodes and all at once).
RATIO_MARGIN, ALLOWANCE_MARGIN = 0.9, 0.75
# A restarted node's share of the allowance grows from nothing for so long; same test.
WINDOWS_TO_FULL_ALLOWANCE = 2.0


class BudgetLimits(NamedTuple):
    """The contract's figures: extra attempts a request, those on top a window, and the window."""

    ratio: float
    allowance: float
    window_s: float


class SlidingCount:
    """Counts events of the last ``window_s`` seconds, at most one bucket too many, never too few."""

    def __init__(self, window_s: float) -> None:
        self._bucket_s = window_s / BUCKETS
        self._buckets: deque[tuple[int, int]] = deque()
        self._total = 0

    def add(self, now: float) -> None:
        """Count one event."""
        slot = int(now / self._bucket_s)
        if self._buckets and self._buckets[-1][0] == slot:
            self._buckets[-1] = (slot, self._buckets[-1][1] + 1)
        else:
            self._buckets.append((slot, 1))
        self._total += 1

    def total(self, now: float) -> int:
        """Return how many were counted within the window."""
        oldest = int(now / self._bucket_s) - BUCKETS
        while self._buckets and self._buckets[0][0] < oldest:
            self._total -= self._buckets.popleft()[1]
        return self._total


class ExtraAttemptBudget:
    """One service's budget at one node.

    Parameters
    ----------
    limits
        The contract's figures.
    started_at
        When the node started, by its clock: it forgot what it spent before.
    """

    def __init__(self, limits: BudgetLimits, started_at: float) -> None:
        self.limits = limits
        self._started_at = started_at
        self._requests = SlidingCount(limits.window_s)
        self._extras = SlidingCount(limits.window_s)

    def count_request(self, now: float) -> None:
        """Count a request for the service."""
        self._requests.add(now)

    def left(self, nodes: float, now: float) -> float:
        """Return how many extra attempts this node may send now, where ``nodes`` share the allowance."""
        windows = (now - self._started_at) / self.limits.window_s
        age = min(1.0, windows / WINDOWS_TO_FULL_ALLOWANCE)
        allowance = ALLOWANCE_MARGIN * self.limits.allowance * age / max(1, nodes)
        earned = RATIO_MARGIN * self.limits.ratio * self._requests.total(now)
        return allowance + earned - self._extras.total(now)

    def take(self, nodes: float, now: float) -> bool:
        """Spend one extra attempt; return ``False`` when the budget does not allow it."""
        if self.left(nodes, now) < 1.0:
            return False
        self._extras.add(now)
        return True

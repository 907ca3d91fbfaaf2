"""Per-service budget of extra attempts (retries and hedges), shared by all nodes.

For each service and any window, the contract bounds the attempts beyond the first of each request: ``ratio``
times the number of requests, plus a fixed allowance. No node manages the budget: each limits itself to the
ratio of its own requests and to its share of the allowance (`NodeShares.active_nodes`), so that the sum over
all nodes stays within the bound.

Inputs: this node's requests and extra attempts, the number of nodes that share the budget, and the node's
clock in seconds. Callers must call ``take`` before each extra attempt and send nothing if it returns
``False``.
"""

from collections import deque
from typing import NamedTuple

# Buckets per window: a count covers at most a twentieth of a window too much.
WINDOW_BUCKETS = 20
# Fractions of the ratio and of its share of the allowance that a node spends. The rest covers nodes that
# temporarily disagree on the number of nodes, and restarted nodes, which have lost their counts. Lower values
# (0.85 and 0.6) suppressed hedges for lack of budget when many servers were slow; with these, no window
# exceeded the contract (``tests/gateway/test_budget.py`` restarts single nodes and all nodes at once).
RATIO_SAFETY_FACTOR, ALLOWANCE_SAFETY_FACTOR = 0.9, 0.75
# A restarted node's share of the allowance grows linearly from zero over this many windows. Covered by the
# same test.
ALLOWANCE_RAMP_WINDOWS = 2.0


class BudgetLimits(NamedTuple):
    """Contract limits: extra attempts per request, additional ones per window, and the window's length."""

    ratio: float
    allowance: float
    window_s: float


class SlidingWindowCounter:
    """Counts the events of the last ``window_s`` seconds; includes up to one older bucket, never too few."""

    def __init__(self, window_s: float) -> None:
        self._bucket_s = window_s / WINDOW_BUCKETS
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
        """Return the number of events within the window."""
        oldest = int(now / self._bucket_s) - WINDOW_BUCKETS
        while self._buckets and self._buckets[0][0] < oldest:
            self._total -= self._buckets.popleft()[1]
        return self._total


class ExtraAttemptBudget:
    """The budget of one service at one node.

    Parameters
    ----------
    limits
        The contract's limits.
    started_at
        When the node started, in seconds of its clock; what it spent earlier is lost.
    """

    def __init__(self, limits: BudgetLimits, started_at: float) -> None:
        self.limits = limits
        self._started_at = started_at
        self._requests = SlidingWindowCounter(limits.window_s)
        self._extras = SlidingWindowCounter(limits.window_s)

    def count_request(self, now: float) -> None:
        """Count a request for the service."""
        self._requests.add(now)

    def left(self, nodes: float, now: float) -> float:
        """Return the number of extra attempts this node may send now if ``nodes`` share the allowance."""
        windows = (now - self._started_at) / self.limits.window_s
        ramp = min(1.0, windows / ALLOWANCE_RAMP_WINDOWS)
        allowance = ALLOWANCE_SAFETY_FACTOR * self.limits.allowance * ramp / max(1, nodes)
        earned = RATIO_SAFETY_FACTOR * self.limits.ratio * self._requests.total(now)
        return allowance + earned - self._extras.total(now)

    def take(self, nodes: float, now: float) -> bool:
        """Spend one extra attempt; return ``False`` when the budget does not allow it."""
        if self.left(nodes, now) < 1.0:
            return False
        self._extras.add(now)
        return True

"""The budget of extra attempts (hedges and retries) of a service.

Each first attempt earns a fraction of an extra attempt, up to a burst, so extra attempts stay a bounded share
of the load even when servers fail. Retries that put no load on any server are free (see ``query``).
"""


class AttemptBudget:
    """A token bucket filled by first attempts: each earns ``ratio`` of an extra attempt."""

    def __init__(self, ratio: float, burst: float) -> None:
        self.ratio = ratio
        self._burst = burst
        self._tokens = burst if ratio > 0 else 0.0

    def earn(self) -> None:
        """Count a first attempt."""
        self._tokens = min(self._burst, self._tokens + self.ratio)

    def take(self) -> bool:
        """Spend one extra attempt; return ``False`` when the budget is exhausted."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

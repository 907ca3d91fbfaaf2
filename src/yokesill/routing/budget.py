"""One budget a service for attempts beyond the first, so that trouble is never amplified."""


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
        """Spend one extra attempt; ``False`` when the budget does not allow it."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

"""Recent latency of sub-requests, as quantiles over two rotating histograms."""

from hdrh.histogram import HdrHistogram

LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 600_000_000
SIGNIFICANT_DIGITS = 2
WINDOW = 10.0
REFRESH = 0.25
MINIMUM_SAMPLES = 20


class LatencyWindow:
    """Latencies of the last one to two windows; quantiles are cached for ``REFRESH`` seconds."""

    def __init__(self) -> None:
        self._current = _histogram()
        self._previous = _histogram()
        self._rotated_at = 0.0
        self._cache: dict[float, tuple[float, float]] = {}

    def record(self, latency: float, now: float) -> None:
        """Count one latency, in seconds."""
        if now - self._rotated_at > WINDOW:
            self._previous, self._current = self._current, _histogram()
            self._rotated_at = now
        self._current.record_value(max(LOWEST_MICROSECONDS, int(latency * 1e6)))

    def quantile(self, quantile: float, now: float) -> float | None:
        """Return the latency at ``quantile`` in seconds; ``None`` with too few samples."""
        cached = self._cache.get(quantile)
        if cached is not None and now - cached[1] < REFRESH:
            return cached[0]
        total = _histogram()
        total.add(self._previous)
        total.add(self._current)
        if total.get_total_count() < MINIMUM_SAMPLES:
            return None
        value = float(total.get_value_at_percentile(quantile * 100)) / 1e6
        self._cache[quantile] = (value, now)
        return value


def _histogram() -> HdrHistogram:
    return HdrHistogram(LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS)

"""Quantiles of the recent sub-request latency of a request class, over two rotating histograms.

Used by hedging and admission. Samples are kept for one to two windows.
"""

from hdrh.histogram import HdrHistogram

# The range of the histogram: 1 us to ten times the longest deadline allowed by default (60 s).
MINIMUM_LATENCY_US = 1
MAXIMUM_LATENCY_US = 600_000_000
# An error of 1% in the delay of a hedge doesn't matter; a third digit would take ten times the memory.
SIGNIFICANT_DIGITS = 2
# Long enough to collect the samples for quantiles of a class with a few queries a second.
WINDOW_S = 10.0
# A quantile is computed at most this often, since merging two histograms is expensive compared to a query.
REFRESH_S = 0.25
# One sample in twenty lies above the 0.95 quantile, so fewer samples can't determine it.
MINIMUM_SAMPLES = 20


class LatencyWindow:
    """Latencies of the last one to two windows; quantiles are cached for ``REFRESH_S``."""

    def __init__(self) -> None:
        self._current = _histogram()
        self._previous = _histogram()
        self._rotated_at = 0.0
        self._cache: dict[float, tuple[float, float]] = {}

    def record(self, latency: float, now: float) -> None:
        """Add one latency sample, in seconds."""
        if now - self._rotated_at > WINDOW_S:
            self._previous, self._current = self._current, _histogram()
            self._rotated_at = now
        self._current.record_value(max(MINIMUM_LATENCY_US, int(latency * 1e6)))

    def quantile(self, quantile: float, now: float) -> float | None:
        """Return the latency at ``quantile`` in seconds; ``None`` with too few samples."""
        cached = self._cache.get(quantile)
        if cached is not None and now - cached[1] < REFRESH_S:
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
    return HdrHistogram(MINIMUM_LATENCY_US, MAXIMUM_LATENCY_US, SIGNIFICANT_DIGITS)

"""A serving node's metrics as plain numbers; ``observer`` updates the counters and histograms.

``exposition`` renders them when ``/metrics`` is called, so a node that is not scraped doesn't load
prometheus-client. ``exposition`` and ``serving.gauges`` define the names of metrics.
"""

import bisect
from collections import Counter

from yokesill.gateway.events import LogEvent
from yokesill.gateway.messages import RequestSummary

# Upper bounds of the histogram buckets; dashboards depend on them.
LATENCY_BOUNDS_S = (0.01, 0.02, 0.05, 0.1, 0.15, 0.25, 0.5, 1.0, 2.5, 5.0, 15.0)
COVERAGE_BOUNDS = (0.5, 0.75, 0.9, 0.95, 0.999, 1.0)


class Histogram:
    """Counts of values by upper bound; the last count is for values above all bounds."""

    __slots__ = ("bounds", "counts", "total")

    def __init__(self, bounds: tuple[float, ...]) -> None:
        self.bounds = bounds
        self.counts = [0] * (len(bounds) + 1)
        self.total = 0.0

    def observe(self, value: float) -> None:
        """Count one value."""
        self.counts[bisect.bisect_left(self.bounds, value)] += 1
        self.total += value


class GatewayMetrics:
    """The metrics of one node.

    ``requests`` counts by route and outcome, ``decisions`` by the name of their log line, ``attempts`` by
    cause (first or extra), and ``closed_connections`` by the reason for which the node closed them.
    """

    def __init__(self) -> None:
        self.requests: Counter[tuple[str, str]] = Counter()
        self.decisions: Counter[str] = Counter()
        self.attempts: Counter[str] = Counter()
        self.closed_connections: Counter[str] = Counter()
        self.latency: dict[str, Histogram] = {}
        self.coverage: dict[str, Histogram] = {}
        self.gauges: dict[str, tuple[str, float]] = {}

    def count_event(self, event: LogEvent) -> None:
        """Count a decision."""
        self.decisions[event.name] += 1

    def count_request(self, route: str, outcome: str, summary: RequestSummary | None) -> None:
        """Count a request that ended, and its latency and coverage."""
        self.requests[(route, outcome)] += 1
        if summary is None:
            return
        if route not in self.latency:
            self.latency[route] = Histogram(LATENCY_BOUNDS_S)
            self.coverage[route] = Histogram(COVERAGE_BOUNDS)
        self.latency[route].observe(summary.elapsed_s)
        self.coverage[route].observe(summary.covered / max(1, summary.asked))
        self.attempts["first"] += summary.attempts - summary.extra_attempts
        self.attempts["extra"] += summary.extra_attempts

    def gauge(self, name: str, description: str, value: float) -> None:
        """Set a gauge."""
        self.gauges[name] = (description, value)

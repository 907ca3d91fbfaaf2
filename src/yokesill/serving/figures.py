"""A serving node's counters and histograms, by prometheus-client."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from yokesill.gateway.events import Note
from yokesill.gateway.messages import RequestSummary

LATENCY_BUCKETS = (0.01, 0.02, 0.05, 0.1, 0.15, 0.25, 0.5, 1.0, 2.5, 5.0, 15.0)
COVERAGE_BUCKETS = (0.5, 0.75, 0.9, 0.95, 0.999, 1.0)


class GatewayFigures:
    """The figures of one node; one registry each, so that many nodes can share a process."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.requests = Counter(
            "yokesill_requests", "Requests by route and outcome", ["route", "outcome"], registry=self.registry
        )
        self.latency = Histogram(
            "yokesill_request_seconds",
            "Time from a request's arrival to its final answer",
            ["route"],
            buckets=LATENCY_BUCKETS,
            registry=self.registry,
        )
        self.coverage = Histogram(
            "yokesill_coverage",
            "Share of the asked services in an answer",
            ["route"],
            buckets=COVERAGE_BUCKETS,
            registry=self.registry,
        )
        self.attempts = Counter(
            "yokesill_attempts", "Attempts by cause: first or extra", ["cause"], registry=self.registry
        )
        self.decisions = Counter(
            "yokesill_decisions", "Logged decisions by name", ["name"], registry=self.registry
        )
        self._gauges: dict[str, Gauge] = {}

    def count_note(self, note: Note) -> None:
        """Count a decision."""
        self.decisions.labels(note.name).inc()

    def count_request(self, route: str, outcome: str, summary: RequestSummary | None) -> None:
        """Count a request's end."""
        self.requests.labels(route, outcome).inc()
        if summary is None:
            return
        self.latency.labels(route).observe(summary.elapsed)
        self.coverage.labels(route).observe(summary.covered / max(1, summary.asked))
        self.attempts.labels("first").inc(summary.attempts - summary.extra_attempts)
        self.attempts.labels("extra").inc(summary.extra_attempts)

    def gauge(self, name: str, description: str, value: float) -> None:
        """Set a gauge, creating it on first use."""
        gauge = self._gauges.get(name)
        if gauge is None:
            gauge = self._gauges[name] = Gauge(name, description, registry=self.registry)
        gauge.set(value)

    def render(self) -> bytes:
        """Return the figures in the text format."""
        return generate_latest(self.registry)

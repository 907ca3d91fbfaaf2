"""A node's metrics for ``/metrics``, by prometheus-client."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, ProcessCollector, generate_latest

LATENCY_BUCKETS = (0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.14, 0.2, 0.5, 1, 2, 5)


class Metrics:
    """The metrics of one node, in a registry of their own so that several nodes can share a process."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        ProcessCollector(registry=self.registry)
        self.queries = Counter(
            "yokesill_queries",
            "Queries by their end",
            ["namespace", "service", "request_class", "end", "reason"],
            registry=self.registry,
        )
        self.latency = Histogram(
            "yokesill_query_seconds",
            "Time from a query's arrival to its final answer",
            ["namespace", "service", "request_class"],
            buckets=LATENCY_BUCKETS,
            registry=self.registry,
        )
        self.gauges: dict[str, Gauge] = {}

    def gauge(self, name: str, description: str, value: float) -> None:
        """Set a gauge; create it on first use."""
        gauge = self.gauges.get(name)
        if gauge is None:
            gauge = self.gauges[name] = Gauge(name, description, registry=self.registry)
        gauge.set(value)

    def render(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return generate_latest(self.registry)

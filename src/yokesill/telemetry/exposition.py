"""Renders a node's metrics in the Prometheus text format with prometheus-client.

Imported only on the first call of ``/metrics``. Operators depend on the names of metrics
and labels.
"""

from collections.abc import Iterable, Iterator

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
    Metric,
)
from prometheus_client.registry import Collector

from yokesill.telemetry.figures import GatewayMetrics, Histogram


class MetricsCollector(Collector):
    """Converts a node's metrics to prometheus-client metric families."""

    def __init__(self, metrics: GatewayMetrics) -> None:
        self._metrics = metrics

    def collect(self) -> Iterable[Metric]:
        """Yield all metric families."""
        metrics = self._metrics
        requests = CounterMetricFamily(
            "yokesill_requests", "Requests by route and outcome", labels=["route", "outcome"]
        )
        for (route, outcome), count in metrics.requests.items():
            requests.add_metric([route, outcome], count)
        yield requests
        yield _counter_family("yokesill_decisions", "Logged decisions by name", "name", metrics.decisions)
        yield _counter_family(
            "yokesill_attempts", "Attempts by cause: first or extra", "cause", metrics.attempts
        )
        yield _counter_family(
            "yokesill_connections_closed",
            "Callers' connections that the node closed, by reason",
            "reason",
            metrics.closed_connections,
        )
        yield _histogram_family("yokesill_request_seconds", "Time to the final answer", metrics.latency)
        yield _histogram_family("yokesill_coverage", "Share of the services in an answer", metrics.coverage)
        for name, (description, value) in metrics.gauges.items():
            yield GaugeMetricFamily(name, description, value=value)


def render(metrics: GatewayMetrics) -> bytes:
    """Return the metrics in the text format."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(MetricsCollector(metrics))
    return generate_latest(registry)


def _counter_family(name: str, description: str, label: str, counts: dict[str, int]) -> CounterMetricFamily:
    family = CounterMetricFamily(name, description, labels=[label])
    for value, count in counts.items():
        family.add_metric([value], count)
    return family


def _histogram_family(name: str, description: str, histograms: dict[str, Histogram]) -> HistogramMetricFamily:
    family = HistogramMetricFamily(name, description, labels=["route"])
    for route, histogram in histograms.items():
        family.add_metric([route], list(_buckets(histogram)), histogram.total)
    return family


def _buckets(histogram: Histogram) -> Iterator[tuple[str, float]]:
    """Yield the cumulative count for each upper bound, as the format requires."""
    cumulative_count = 0
    for bound, count in zip((*histogram.bounds, None), histogram.counts, strict=True):
        cumulative_count += count
        yield ("+Inf" if bound is None else str(bound), cumulative_count)

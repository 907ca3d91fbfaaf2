"""Renders a node's figures in Prometheus' text format, by prometheus-client.

Imported at the first call of ``/metrics`` only. The names of metrics and labels are relied on by operators.
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

from yokesill.telemetry.figures import Distribution, GatewayMetrics


class FiguresCollector(Collector):
    """Converts a node's plain figures to the library's families."""

    def __init__(self, figures: GatewayMetrics) -> None:
        self._figures = figures

    def collect(self) -> Iterable[Metric]:
        """Return every family."""
        figures = self._figures
        requests = CounterMetricFamily(
            "yokesill_requests", "Requests by route and outcome", labels=["route", "outcome"]
        )
        for (route, outcome), count in figures.requests.items():
            requests.add_metric([route, outcome], count)
        yield requests
        yield _counts("yokesill_decisions", "Logged decisions by name", "name", figures.decisions)
        yield _counts("yokesill_attempts", "Attempts by cause: first or extra", "cause", figures.attempts)
        yield _distributions("yokesill_request_seconds", "Time to the final answer", figures.latency)
        yield _distributions("yokesill_coverage", "Share of the services in an answer", figures.coverage)
        for name, (description, value) in figures.gauges.items():
            yield GaugeMetricFamily(name, description, value=value)


def render(figures: GatewayMetrics) -> bytes:
    """Return the figures as text."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(FiguresCollector(figures))
    return generate_latest(registry)


def _counts(name: str, description: str, label: str, counts: dict[str, int]) -> CounterMetricFamily:
    family = CounterMetricFamily(name, description, labels=[label])
    for value, count in counts.items():
        family.add_metric([value], count)
    return family


def _distributions(
    name: str, description: str, distributions: dict[str, Distribution]
) -> HistogramMetricFamily:
    family = HistogramMetricFamily(name, description, labels=["route"])
    for route, distribution in distributions.items():
        family.add_metric([route], list(_buckets(distribution)), distribution.total)
    return family


def _buckets(distribution: Distribution) -> Iterator[tuple[str, float]]:
    """Return cumulative counts by upper bound, as the format wants them."""
    running = 0
    for bound, count in zip((*distribution.bounds, None), distribution.counts, strict=True):
        running += count
        yield ("+Inf" if bound is None else str(bound), running)

"""Rendering of metrics in the Prometheus text format."""

from yokesill.gateway.events import LogEvent
from yokesill.gateway.messages import RequestSummary
from yokesill.telemetry.exposition import render
from yokesill.telemetry.figures import GatewayMetrics
from yokesill.verdict import Verdict


def test_counters_and_histograms_are_rendered() -> None:
    figures = GatewayMetrics()
    figures.count_request("wide", "partial", RequestSummary("wide", 3, Verdict.RAN, 0.09, 18, 20, 23, 3))
    figures.count_request("none", "rejected", None)
    figures.count_event(LogEvent("attempt_added", {}))
    figures.gauge("yokesill_nodes", "Nodes", 8)
    text = render(figures).decode()
    for line in (
        'yokesill_requests_total{outcome="partial",route="wide"} 1.0',
        'yokesill_requests_total{outcome="rejected",route="none"} 1.0',
        'yokesill_attempts_total{cause="extra"} 3.0',
        'yokesill_decisions_total{name="attempt_added"} 1.0',
        'yokesill_request_seconds_bucket{le="0.05",route="wide"} 0.0',
        'yokesill_request_seconds_bucket{le="0.1",route="wide"} 1.0',
        'yokesill_coverage_bucket{le="0.9",route="wide"} 1.0',
        "yokesill_nodes 8.0",
    ):
        assert line in text, line

"""Writes one log line for each decision and each end of a request, and counts it.

Log lines go through ``logs``, which never waits; names of events and fields are relied on by ``explain``,
``docs/OPERATIONS.md`` and a metric's labels. The router decides what is worth a line.
"""

from typing import NamedTuple

from yokesill.gateway.events import FinalAnswer, LogEvent, Refuse
from yokesill.gateway.messages import GatewayRequest, RequestSummary
from yokesill.logs import Logger
from yokesill.telemetry.figures import GatewayMetrics


class CoordinatedEnding(NamedTuple):
    """How a request ended that a coordinator gathered.

    ``elapsed_s`` passed at the node that the caller sent it to, ``gathering_s`` of them at the coordinator.
    """

    route: str
    status: int
    outcome: str
    coordinator: str
    elapsed_s: float
    gathering_s: float


class Observer:
    """Writes a line for each decision and counts it."""

    def __init__(self, log: Logger, figures: GatewayMetrics) -> None:
        self._log = log
        self._figures = figures

    def log_event(self, event: LogEvent) -> None:
        """Log and count one decision."""
        self._figures.count_event(event)
        self._log.info(event.name, **event.details)

    def answered(self, request: GatewayRequest, final: FinalAnswer, status: int, outcome: str) -> None:
        """Log and count how a request ended, by its HTTP status and the outcome's name."""
        summary = final.summary
        route = summary.route if summary else "none"
        self._figures.count_request(route, outcome, summary)
        details = {} if summary is None else _summary_details(summary)
        if isinstance(final, Refuse):
            details |= {"verdict": final.failure.verdict.label, "detail": final.failure.detail}
        self._log.info(
            "request_ended",
            request=request.request_id,
            route=route,
            status=status,
            outcome=outcome,
            **details,
        )

    def coordinated(self, request: GatewayRequest, ending: CoordinatedEnding) -> None:
        """Log and count how a request ended that a coordinator gathered; its log has the rest."""
        self._figures.count_request(ending.route, ending.outcome, None)
        self._log.info(
            "request_ended",
            request=request.request_id,
            route=ending.route,
            status=ending.status,
            outcome=ending.outcome,
            ms=round(ending.elapsed_s * 1000, 1),
            coordinator=ending.coordinator,
            gathering_ms=round(ending.gathering_s * 1000, 1),
        )

    def caller_left(self, request: GatewayRequest) -> None:
        """Log and count a caller that left before its answer."""
        self._figures.count_request("unknown", "caller_left", None)
        self._log.info("caller_left", request=request.request_id)

    def rejected(self, status: int, detail: str, path: str) -> None:
        """Log and count a request that was rejected before any decision on it."""
        self._figures.count_request("none", "rejected", None)
        self._log.warning("request_rejected", status=status, detail=detail, path=path)


def _summary_details(summary: RequestSummary) -> dict[str, object]:
    details: dict[str, object] = {
        "version": summary.version,
        "ms": round(summary.elapsed_s * 1000, 1),
        "covered": summary.covered,
        "asked": summary.asked,
        "attempts": summary.attempts,
        "extra": summary.extra_attempts,
    }
    if summary.late:
        details["late"] = True
    if summary.waited_s:
        details["waited_ms"] = round(summary.waited_s * 1000, 1)
    if summary.left_out:
        details["left_out"] = list(summary.left_out)
    if summary.missing:
        details["missing"] = list(summary.missing)
    return details

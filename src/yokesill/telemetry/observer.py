"""Logs and counts each decision and each request that ended.

Log lines go through ``logs``, which never blocks. ``explain``, ``docs/OPERATIONS.md`` and a metric's labels
depend on the names of events and fields. The router decides which decisions are logged.
"""

from typing import NamedTuple

from yokesill.gateway.events import FinalAnswer, LogEvent, Refuse
from yokesill.gateway.messages import GatewayRequest, RequestSummary
from yokesill.logs import Logger
from yokesill.telemetry.figures import GatewayMetrics


class CoordinatedEnding(NamedTuple):
    """The result of a request that a coordinator ran.

    ``elapsed_s`` is the time at the node that received it from the caller, ``gathering_s`` the part of it
    that the coordinator took.
    """

    route: str
    status: int
    outcome: str
    coordinator: str
    elapsed_s: float
    gathering_s: float


class Observer:
    """Logs and counts decisions and requests that ended."""

    def __init__(self, log: Logger, figures: GatewayMetrics) -> None:
        self._log = log
        self._figures = figures

    def log_event(self, event: LogEvent) -> None:
        """Log and count one decision."""
        self._figures.count_event(event)
        self._log.info(event.name, **event.details)

    def answered(self, request: GatewayRequest, final: FinalAnswer, status: int, outcome: str) -> None:
        """Log and count a request that ended, with its HTTP status and outcome."""
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
        """Log and count a request that a coordinator ran; the coordinator's log has the details."""
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
        """Log and count a caller that disconnected before its answer."""
        self._figures.count_request("unknown", "caller_left", None)
        self._log.info("caller_left", request=request.request_id)

    def rejected(self, status: int, detail: str, path: str) -> None:
        """Log and count a request that was rejected before it reached the router."""
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

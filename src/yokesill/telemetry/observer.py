"""What a serving node tells of its decisions: log lines and figures."""

from typing import NamedTuple

from yokesill.gateway.events import FinalAnswer, LogEvent, Refuse
from yokesill.gateway.messages import GatewayRequest
from yokesill.logs import Logger
from yokesill.telemetry.figures import GatewayFigures


class CoordinatedEnding(NamedTuple):
    """How a request ended that a coordinator gathered.

    ``elapsed_s`` passed at the node that took it from its caller, ``gathering_s`` of them at the coordinator.
    """

    route: str
    status: int
    outcome: str
    coordinator: str
    elapsed_s: float
    gathering_s: float


class Observer:
    """Writes a line for each decision and counts it."""

    def __init__(self, log: Logger, figures: GatewayFigures) -> None:
        self._log = log
        self._figures = figures

    def note(self, note: LogEvent) -> None:
        """Tell of one of the router's decisions."""
        self._figures.count_note(note)
        self._log.info(note.name, **note.details)

    def answered(self, request: GatewayRequest, final: FinalAnswer, status: int, outcome: str) -> None:
        """Tell how a request ended, by its HTTP status and the outcome's name."""
        summary = final.summary
        route = summary.route if summary else "none"
        self._figures.count_request(route, outcome, summary)
        details: dict[str, object] = {}
        if summary is not None:
            details = {
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
        """Tell how a request ended that another node gathered; that one tells the rest."""
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
        """Tell that a caller went away before its answer."""
        self._figures.count_request("unknown", "caller_left", None)
        self._log.info("caller_left", request=request.request_id)

    def rejected(self, status: int, detail: str, path: str) -> None:
        """Tell of a request that was not passed on."""
        self._figures.count_request("none", "rejected", None)
        self._log.warning("request_rejected", status=status, detail=detail, path=path)

"""What a serving node tells of its decisions: log lines and figures."""

from yokesill.gateway.events import FinalAnswer, Note, Refuse
from yokesill.gateway.messages import GatewayRequest
from yokesill.logs import Logger
from yokesill.serving.answers import HttpAnswer
from yokesill.serving.coordinated_messages import GatheredAnswer
from yokesill.serving.figures import GatewayFigures


class Observer:
    """Writes a line for each decision and counts it."""

    def __init__(self, log: Logger, figures: GatewayFigures) -> None:
        self._log = log
        self._figures = figures

    def note(self, note: Note) -> None:
        """Tell of one of the router's decisions."""
        self._figures.count_note(note)
        self._log.info(note.name, **note.details)

    def answered(self, request: GatewayRequest, final: FinalAnswer, answer: HttpAnswer) -> None:
        """Tell how a request ended."""
        summary = final.summary
        route = summary.route if summary else "none"
        self._figures.count_request(route, answer.outcome, summary)
        details: dict[str, object] = {}
        if summary is not None:
            details = {
                "version": summary.version,
                "ms": round(summary.elapsed * 1000, 1),
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
            status=answer.status,
            outcome=answer.outcome,
            **details,
        )

    def coordinated(
        self, request: GatewayRequest, route: str, node: str, gathered: GatheredAnswer, now: float
    ) -> None:
        """Tell how a request ended that another node gathered; that one tells the rest."""
        answer = gathered.answer
        self._figures.count_request(route, answer.outcome, None)
        self._log.info(
            "request_ended",
            request=request.request_id,
            route=route,
            status=answer.status,
            outcome=answer.outcome,
            ms=round((now - request.arrived_at) * 1000, 1),
            coordinator=node,
            gathering_ms=round(gathered.gathering_s * 1000, 1),
        )

    def caller_left(self, request: GatewayRequest) -> None:
        """Tell that a caller went away before its answer."""
        self._figures.count_request("unknown", "caller_left", None)
        self._log.info("caller_left", request=request.request_id)

    def rejected(self, status: int, detail: str, path: str) -> None:
        """Tell of a request that was not passed on."""
        self._figures.count_request("none", "rejected", None)
        self._log.warning("request_rejected", status=status, detail=detail, path=path)

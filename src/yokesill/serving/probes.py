"""The side of operators' machines: readiness and figures."""

from collections.abc import Callable
from dataclasses import dataclass

from yokesill.serving.application import Receive, Scope, Send

OK, NOT_FOUND, UNAVAILABLE = 200, 404, 503
METRICS_PATH = "/metrics"


@dataclass(frozen=True, slots=True)
class ProbeApplication:
    """Answers ``ready_path`` with 200 or 503 and ``/metrics`` with the figures as text."""

    ready_path: str
    ready: Callable[[], bool]
    render_figures: Callable[[], bytes]

    async def __call__(self, scope: Scope, _receive: Receive, send: Send) -> None:
        """Serve one request."""
        if scope["type"] != "http":
            return
        status, body = self._answer(scope["path"])
        headers = [
            (b"content-type", b"text/plain; version=0.0.4"),
            (b"content-length", str(len(body)).encode()),
        ]
        await send({"type": "http.response.start", "status": status, "headers": headers})
        await send({"type": "http.response.body", "body": body})

    def _answer(self, path: str) -> tuple[int, bytes]:
        if path == self.ready_path:
            return (OK, b"ready\n") if self.ready() else (UNAVAILABLE, b"not ready\n")
        if path == METRICS_PATH:
            return OK, self.render_figures()
        return NOT_FOUND, b"not found\n"

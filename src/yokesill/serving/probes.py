"""Answers requests of operators and other nodes: readiness, metrics, roll-outs, and the node's state.

Holds no state: each answer is computed at the time of the request. Operators and nodes of other releases
rely on the paths and contents.
"""

import json
from collections.abc import Callable, Mapping

from yokesill.callers.application import Receive, Scope, Send
from yokesill.comm.http_status import NOT_FOUND, OK, UNAVAILABLE
from yokesill.registry.peer_bootstrap import SNAPSHOT_PATH
from yokesill.registry.watch_link import STATE_PATH

METRICS_PATH, ROLLOUTS_PATH = "/metrics", "/rollouts"
TEXT, CBOR, JSON = b"text/plain; version=0.0.4", b"application/cbor", b"application/json"


class ProbeApplication:
    """Answers ``ready_path`` with 200 or 503 and ``METRICS_PATH`` with the metrics as text.

    ``ROLLOUTS_PATH`` returns the roll-outs as JSON, or 404 if the node has no roll-outs. Starting nodes fetch
    this node's state from ``SNAPSHOT_PATH``, and nodes that missed changes fetch a feed from a path below
    ``STATE_PATH``; both return 503 while this node has no state.
    """

    __slots__ = ("_ready", "_ready_path", "_render_metrics", "_rollouts", "_snapshot", "_state")

    def __init__(
        self,
        ready_path: str,
        ready: Callable[[], bool],
        render_metrics: Callable[[], bytes],
        snapshot: Callable[[], bytes | None],
        state: Callable[[str], bytes | None] = lambda _feed: None,
        rollouts: Callable[[], Mapping[str, object] | None] = lambda: None,
    ) -> None:
        self._ready_path = ready_path
        self._ready = ready
        self._render_metrics = render_metrics
        self._snapshot = snapshot
        self._state = state
        self._rollouts = rollouts

    async def __call__(self, scope: Scope, _receive: Receive, send: Send) -> None:
        """Serve one request."""
        if scope["type"] != "http":
            return
        status, body = self._answer(scope["path"])
        content_type = _content_type(scope["path"])
        headers = [(b"content-type", content_type), (b"content-length", str(len(body)).encode())]
        await send({"type": "http.response.start", "status": status, "headers": headers})
        await send({"type": "http.response.body", "body": body})

    def _answer(self, path: str) -> tuple[int, bytes]:
        if path == self._ready_path:
            return (OK, b"ready\n") if self._ready() else (UNAVAILABLE, b"not ready\n")
        if path == METRICS_PATH:
            return OK, self._render_metrics()
        if path == ROLLOUTS_PATH:
            view = self._rollouts()
            return (NOT_FOUND, b"null\n") if view is None else (OK, json.dumps(view).encode())
        if path == SNAPSHOT_PATH:
            return _state_answer(self._snapshot())
        if path.startswith(STATE_PATH):
            return _state_answer(self._state(path.removeprefix(STATE_PATH)))
        return NOT_FOUND, b"not found\n"


def _content_type(path: str) -> bytes:
    if path == ROLLOUTS_PATH:
        return JSON
    return CBOR if path.startswith((SNAPSHOT_PATH, STATE_PATH)) else TEXT


def _state_answer(state: bytes | None) -> tuple[int, bytes]:
    return (UNAVAILABLE, b"nothing known\n") if state is None else (OK, state)

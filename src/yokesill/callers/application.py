"""The ASGI application for callers: reads requests, runs them here or on a coordinator, answers them.

Plain ASGI under uvicorn: operators define the paths, so a web framework would have nothing to route. Owns the
count of requests in flight; ``serving.driver`` runs the requests, ``answers`` sets statuses and headers.
"""

import contextlib
import itertools
from collections.abc import Awaitable, Callable, Iterator, MutableMapping
from dataclasses import replace
from typing import Any, NamedTuple

import anyio

from yokesill.callers.answers import HttpAnswer, deliverable, to_http
from yokesill.callers.headers import FIELD_LINE_BYTES, end_to_end_headers
from yokesill.comm.http_status import BAD_REQUEST, CONTENT_TOO_LARGE, HEADERS_TOO_LARGE, UNAVAILABLE
from yokesill.comm.numbers import parse_digits
from yokesill.gateway.documents import RequestLimits
from yokesill.gateway.messages import GatewayRequest, Headers
from yokesill.serving.driver import GatewayDriver
from yokesill.serving.header_names import HeaderNames
from yokesill.telemetry.observer import Observer

FRESH_CONNECTION = "yokesill.fresh_connection"
Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]
# Returns the final answer of another node, or the request that this node must run itself.
ForwardRequest = Callable[[GatewayRequest], Awaitable[HttpAnswer | GatewayRequest]]

# Bounds the caller's share of each log line about its request.
MAX_REQUEST_ID_BYTES = 128
# A request that arrives shortly before a starting node is ready is answered instead of refused. The wait
# counts towards the request's latency objective.
MAX_CONFIGURATION_WAIT_S = 0.12
# What a caller is told whose request another node may take.
RETRY_SOON: Headers = ((b"retry-after", b"0.100"),)


class CallerDisconnectedError(Exception):
    """The caller disconnected before its request was complete."""


class Rejected(NamedTuple):
    """The response to a request that is rejected without running it; it may carry when to retry."""

    status: int
    detail: str
    headers: Headers = ()


class GatewayApplication:
    """Answers callers; while ``stopping`` or ``partitioned`` is set, every answer closes its connection.

    ``synchronised`` is set once requests can be served; earlier requests wait for it up to
    ``MAX_CONFIGURATION_WAIT_S``. ``forward`` runs a caller's request on another node where that is better.
    """

    def __init__(
        self,
        driver: GatewayDriver,
        names: HeaderNames,
        observer: Observer,
        prefix: str,
        forward: ForwardRequest | None = None,
    ) -> None:
        self.stopping = False
        # While this node is partitioned from the other zones, callers reconnect, possibly to another node.
        self.partitioned = False
        self.synchronised = anyio.Event()
        self.in_flight = 0
        self._driver = driver
        self._names = names
        self._observer = observer
        self._prefix = prefix
        self._forward = forward
        self._numbers = itertools.count(1)
        # What waits for callers or for other nodes, and when it is given up.
        self._waits: set[anyio.CancelScope] = set()
        self._waits_end_at_s = float("inf")

    def end_waits_by(self, at_s: float) -> None:
        """Give up, at ``at_s`` in seconds of the node's clock, what callers or other nodes have not ended.

        That is, bodies that are not whole, and requests that other nodes have not answered.
        """
        self._waits_end_at_s = at_s
        for scope in self._waits:
            scope.deadline = at_s

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one ASGI request; other scope types are ignored."""
        if scope["type"] != "http":
            return
        self.in_flight += 1
        try:
            await self._serve(scope, receive, send)
        finally:
            self.in_flight -= 1

    async def _serve(self, scope: Scope, receive: Receive, send: Send) -> None:
        arrived_at = anyio.current_time()
        if not self.synchronised.is_set():
            with anyio.move_on_after(MAX_CONFIGURATION_WAIT_S):
                await self.synchronised.wait()
        try:
            read = await self._read(scope, receive, arrived_at)
        except CallerDisconnectedError:
            # Not logged: an incomplete request can't be run, nor identified in a log line.
            return
        if isinstance(read, Rejected):
            self._observer.rejected(read.status, read.detail, scope["path"])
            body = f"{read.detail}\n".encode()
            await self._send(send, HttpAnswer(read.status, read.headers, body, "rejected"), close=True)
            return
        answer = await self.run(read, receive, self._forward)
        if answer is not None:
            await self._send(send, answer, close=self.stopping or self.partitioned)

    # --- reading ---

    async def _read(self, scope: Scope, receive: Receive, arrived_at: float) -> GatewayRequest | Rejected:
        headers: Headers = tuple(scope["headers"])
        configuration = self._driver.router.configuration
        limits = configuration.limits if configuration else None
        if limits and _size_in_bytes(headers) > limits.header_bytes:
            return Rejected(HEADERS_TOO_LARGE, f"the headers are larger than {limits.header_bytes} bytes")
        with self._bounded_wait() as wait:
            body = await read_body(receive, (limits or RequestLimits()).body_bytes)
        if wait.cancelled_caught:
            return Rejected(UNAVAILABLE, "this node is about to end", RETRY_SOON)
        if body is None:
            return Rejected(CONTENT_TOO_LARGE, "the body is too large")
        values = dict(headers)
        request_id = values.get(self._names.request_id, b"").decode("latin-1")
        if not 0 < len(request_id) <= MAX_REQUEST_ID_BYTES:
            return Rejected(BAD_REQUEST, f"a {self._names.request_id.decode()} header is needed")
        query = scope["query_string"]
        return GatewayRequest(
            key=self.next_key(),
            request_id=request_id,
            method=scope["method"].encode("latin-1"),
            host=_host_name(values.get(b"host", b"")),
            path=scope["raw_path"].decode("latin-1"),
            target=scope["raw_path"] + (b"?" + query if query else b""),
            headers=end_to_end_headers(headers),
            body=body,
            arrived_at_s=arrived_at,
            caller_timeout_s=_timeout_s(values.get(self._names.deadline)),
            fresh_connection=scope.get(FRESH_CONNECTION, True),
        )

    # --- running ---

    def next_key(self) -> str:
        """Return a key for a new request, unique across nodes and restarts."""
        return f"{self._prefix}-{next(self._numbers)}"

    async def run(
        self, request: GatewayRequest, receive: Receive, forward: ForwardRequest | None = None
    ) -> HttpAnswer | None:
        """Run a request, on another node if ``forward`` returns its answer.

        Returns
        -------
        HttpAnswer or None
            ``None`` if the caller disconnected; the request's attempts are cancelled.
        """
        answer: HttpAnswer | None = None

        async def watch_caller() -> None:
            while (await receive())["type"] != "http.disconnect":
                pass
            task_group.cancel_scope.cancel()

        async with anyio.create_task_group() as task_group:
            task_group.start_soon(watch_caller)
            answer = await self._answer(request, forward)
            task_group.cancel_scope.cancel()
        if answer is None:
            self._observer.caller_left(request)
        return answer

    async def _answer(self, request: GatewayRequest, forward: ForwardRequest | None) -> HttpAnswer:
        if forward is not None:
            forwarded = await self._forward_in_time(request, forward)
            if isinstance(forwarded, HttpAnswer):
                return forwarded
            request = forwarded
        final = deliverable(await self._driver.execute(request))
        answer = to_http(final, request.request_id, self._names)
        self._observer.answered(request, final, answer.status, answer.outcome)
        return answer

    async def _forward_in_time(
        self, request: GatewayRequest, forward: ForwardRequest
    ) -> HttpAnswer | GatewayRequest:
        """Forward a request; given up at the end of a stop, it is left to this node, which may refuse it."""
        with self._bounded_wait():
            return await forward(request)
        return replace(request, possibly_sent=True)

    @contextlib.contextmanager
    def _bounded_wait(self) -> Iterator[anyio.CancelScope]:
        """Cancel what it encloses when waits end."""
        with anyio.CancelScope(deadline=self._waits_end_at_s) as scope:
            self._waits.add(scope)
            try:
                yield scope
            finally:
                self._waits.discard(scope)

    # --- answering ---

    async def _send(self, send: Send, answer: HttpAnswer, close: bool) -> None:
        headers = [*answer.headers, (b"content-length", str(len(answer.body)).encode())]
        if close:
            headers.append((b"connection", b"close"))
        await send({"type": "http.response.start", "status": answer.status, "headers": headers})
        await send({"type": "http.response.body", "body": answer.body})


async def read_body(receive: Receive, limit: int) -> bytes | None:
    """Return the complete body, or ``None`` if it is larger than ``limit`` bytes.

    Raises
    ------
    CallerDisconnectedError
        The caller disconnected before the end of the body.
    """
    body = bytearray()
    more = True
    while more:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise CallerDisconnectedError
        body += message.get("body", b"")
        if len(body) > limit:
            return None
        more = message.get("more_body", False)
    return bytes(body)


def _size_in_bytes(headers: Headers) -> int:
    """Return the size of a head's fields as operators limit it."""
    return sum(len(name) + len(value) + FIELD_LINE_BYTES for name, value in headers)


def _host_name(value: bytes) -> str:
    """Return the host name of a ``Host`` header without the port, in lower case."""
    return value.decode("latin-1").rpartition("@")[2].split(":")[0].lower()


def _timeout_s(value: bytes | None) -> float | None:
    """Parse milliseconds; ``None`` if the caller sent no valid timeout."""
    number_ms = None if value is None else parse_digits(value)
    return None if number_ms is None else number_ms / 1000

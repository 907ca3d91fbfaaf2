"""Sends attempts to servers and turns what comes back into events with a verdict."""

import math
from typing import Any

import anyio

from yokesill.charts.flat import transition_table
from yokesill.comm.http_reply import HttpReplyReader, ReplyError
from yokesill.gateway.documents import ServerRecord
from yokesill.gateway.events import AttemptAnswered, AttemptFailed
from yokesill.gateway.messages import Attempt, GatewayRequest, Load, ServerReply
from yokesill.serving.headers import end_to_end_headers
from yokesill.serving.names import HeaderNames
from yokesill.serving.upstream import (
    ConnectionSet,
    Connector,
    UpstreamConnection,
    connect_tcp,
    idle_time,
)
from yokesill.verdict import Failure, Reason, Verdict

CONNECT_TIMEOUT = 1.0
LONGEST_TURN = 0.5
MISDIRECTED, SERVER_ERROR = 421, 500
LOAD_FIELDS = 3
VERDICT_OF_STATE = {
    "never_sent": Verdict.NOT_RUN,
    "declined": Verdict.NOT_RUN,
    "in_doubt": Verdict.MAY_HAVE_RUN,
}
BROKEN = (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError)


class ServerClient:
    """The way to servers over HTTP/1.1."""

    def __init__(self, names: HeaderNames, connect: Connector = connect_tcp) -> None:
        self.connections_opened = 0
        self._names = names
        self._connect = connect
        self._sets: dict[str, ConnectionSet] = {}
        self._table = transition_table("attempt")

    async def call(self, attempt: Attempt) -> AttemptAnswered | AttemptFailed:
        """Send an attempt; always returns how it ended, at its deadline at the latest.

        Cancelling the call closes the connection.
        """
        connections = self._set_of(attempt.server)
        taken = await self._take(connections, attempt)
        if isinstance(taken, AttemptFailed):
            return taken
        connection, connected_in = taken
        body_free = attempt.request.method == b"HEAD"
        state = self._table[("connecting", "connection_ready")]
        try:
            with anyio.fail_after(attempt.deadline - anyio.current_time()):
                reader = await connection.exchange(self._encode(attempt), body_free)
        except TimeoutError:
            await connections.drop(connection)
            return self._failed(attempt, state, Reason.TIMED_OUT, "no whole answer by the deadline")
        except ReplyError as error:
            await connections.drop(connection)
            return self._failed(attempt, state, Reason.MALFORMED_REPLY, str(error))
        except BROKEN as error:
            await connections.drop(connection)
            return self._failed(attempt, state, Reason.CONNECTION_LOST, repr(error))
        except BaseException:
            await connections.drop(connection)
            raise
        outcome = self._read(attempt, reader, connected_in, state)
        await self._release(connections, connection, reader, outcome)
        return outcome

    async def forget(self, instance: str) -> None:
        """Close the idle connections to a server that is gone."""
        connections = self._sets.pop(instance, None)
        if connections is not None:
            await connections.aclose()

    # --- connections ---

    def _set_of(self, server: ServerRecord) -> ConnectionSet:
        connections = self._sets.get(server.instance)
        if connections is None:
            connections = ConnectionSet(server.host, server.port, self._connect)
            self._sets[server.instance] = connections
        return connections

    async def _take(
        self, connections: ConnectionSet, attempt: Attempt
    ) -> tuple[UpstreamConnection, float | None] | AttemptFailed:
        """Return a connection, and how long connecting took (s) where it is new."""
        started = anyio.current_time()
        try:
            # Bounded: the server may begin to leave while somebody waits, and must get no new work then.
            with anyio.fail_after(min(LONGEST_TURN, attempt.deadline - started)):
                idle = await connections.reserve(attempt.connection_limit)
        except TimeoutError:
            return self._failed(attempt, "connecting", Reason.OVERLOADED, "all connections are in use")
        if idle is not None:
            return idle, None
        started = anyio.current_time()
        bound = min(CONNECT_TIMEOUT, attempt.deadline - started)
        try:
            with anyio.fail_after(bound):
                connection = await connections.open()
        except TimeoutError:
            return self._failed(attempt, "connecting", Reason.CONNECT_FAILED, f"no answer in {bound:.2f} s")
        except BROKEN as error:
            return self._failed(attempt, "connecting", Reason.CONNECT_FAILED, repr(error))
        self.connections_opened += 1
        return connection, anyio.current_time() - started

    async def _release(
        self,
        connections: ConnectionSet,
        connection: UpstreamConnection,
        reader: HttpReplyReader,
        outcome: AttemptAnswered | AttemptFailed,
    ) -> None:
        """Keep the connection only after a clean answer to this very request."""
        foreign = isinstance(outcome, AttemptFailed) and outcome.failure.verdict is not Verdict.NOT_RUN
        if foreign or reader.surplus or not reader.keep_alive:
            await connections.drop(connection)
            return
        keep_alive = next((value for name, value in reader.headers if name == b"keep-alive"), None)
        connections.give_back(connection, anyio.current_time() + idle_time(keep_alive))

    # --- what is sent and read ---

    def _encode(self, attempt: Attempt) -> bytes:
        """Return the attempt's bytes: the caller's request, with what is left of its time."""
        request, names = attempt.request, self._names
        left = max(1, math.floor((attempt.deadline - anyio.current_time()) * 1000))
        lines = [request.method + b" " + request.target + b" HTTP/1.1"]
        replaced = (names.deadline, names.expect_instance)
        lines.extend(name + b": " + value for name, value in request.headers if name not in replaced)
        lines.append(names.deadline + b": " + str(left).encode())
        lines.append(names.expect_instance + b": " + attempt.server.instance.encode())
        if request.body or _has_body(request):
            lines.append(b"content-length: " + str(len(request.body)).encode())
        return b"\r\n".join(lines) + b"\r\n\r\n" + request.body

    def _read(
        self, attempt: Attempt, reader: HttpReplyReader, connected_in: float | None, state: str
    ) -> AttemptAnswered | AttemptFailed:
        headers = dict(reader.headers)
        if reader.status == MISDIRECTED:
            return self._declined(attempt, state, Reason.BACKEND_LEAVING, "another server has its address")
        if self._names.not_executed in headers:
            return self._declined(attempt, state, Reason.SHED, f"not executed, status {reader.status}")
        echoed = headers.get(self._names.request_id)
        if echoed is None or echoed.decode("latin-1") != attempt.request.request_id:
            return self._failed(attempt, state, Reason.FOREIGN_REPLY, "the answer names another request")
        signature = headers.get(self._names.signature)
        if reader.status < SERVER_ERROR:
            if b"content-encoding" in headers:
                return self._failed(attempt, state, Reason.MALFORMED_REPLY, "an answer with a content coding")
            if signature is None:
                return self._failed(attempt, state, Reason.MALFORMED_REPLY, "an answer without a signature")
        reply = ServerReply(
            status=reader.status,
            headers=end_to_end_headers(reader.headers),
            body=reader.body,
            signature=signature,
            load=_read_load(headers.get(self._names.load)),
        )
        return AttemptAnswered(attempt.number, reply, connected_in)

    def _declined(self, attempt: Attempt, state: str, reason: Reason, detail: str) -> AttemptFailed:
        verdict = VERDICT_OF_STATE[self._table[(state, "declined")]]
        return AttemptFailed(attempt.number, Failure(reason, verdict, detail))

    def _failed(self, attempt: Attempt, state: str, reason: Reason, detail: str) -> AttemptFailed:
        verdict = VERDICT_OF_STATE[self._table[(state, "failed")]]
        return AttemptFailed(attempt.number, Failure(reason, verdict, detail))


def _has_body(request: GatewayRequest) -> bool:
    """Whether an empty body must be said to be empty."""
    return request.method in (b"POST", b"PUT", b"PATCH")


def _read_load(value: bytes | None) -> Load | None:
    """Read ``RUNNING,WAITING,SLOTS``; anything else is no report."""
    if value is None:
        return None
    fields: list[Any] = value.split(b",")
    if len(fields) != LOAD_FIELDS or not all(field.strip().isdigit() for field in fields):
        return None
    running, waiting, slots = (int(field) for field in fields)
    return Load(running, waiting, slots)

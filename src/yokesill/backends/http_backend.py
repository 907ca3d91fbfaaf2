"""The client that reaches back ends over HTTP/1.1."""

from collections.abc import Sequence

import anyio
import httpcore

from yokesill.backends.base import BackendClient
from yokesill.backends.connections import ConnectionPool
from yokesill.backends.wire import (
    HEALTH_PATH,
    HTTP_OK,
    QUERY_PATH,
    decode_health,
    decode_reply,
    encode_attempt,
)
from yokesill.charts.flat import transition_table
from yokesill.comm.network import split_address
from yokesill.routing.events import AttemptAnswered, AttemptFailed
from yokesill.routing.messages import Attempt, ServerReport
from yokesill.verdict import Failure, Reason, Verdict

TIMEOUTS = {"timeout": {"connect": 1.0}}
# A server that takes longer to answer a health check counts as failing.
HEALTH_TIMEOUT_S = 1.0
# Limits the memory of a reply; a longer one is an error.
MAXIMUM_BODY_BYTES = 16 * 1024 * 1024
VERDICT_OF_STATE = {
    "never_sent": Verdict.NOT_RUN,
    "declined": Verdict.NOT_RUN,
    "in_doubt": Verdict.MAY_HAVE_RUN,
    "answered": Verdict.RAN,
}
NETWORK_ERRORS = (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException)


class HttpBackendClient(BackendClient):
    """Sends attempts over a connection pool for each server."""

    def __init__(self, connections_a_server: int) -> None:
        self._maximum = connections_a_server
        self._pools: dict[str, ConnectionPool] = {}
        self._table = transition_table("attempt")

    @property
    def connections_opened(self) -> int:
        """The number of connections opened so far."""
        return sum(each.opened for each in self._pools.values())

    async def call(self, attempt: Attempt) -> AttemptAnswered | AttemptFailed:
        """See ``BackendClient.call``.

        Reading has no timeout of its own: the router cancels the attempt at the query's deadline.
        """
        connections = self._pool_of(attempt.address)
        connection = await connections.acquire()
        if connection is None:
            return self._failure(attempt, "connecting", Reason.CONNECT_FAILED, "all connections are busy")
        body = encode_attempt(attempt, attempt.deadline_at_s - anyio.current_time())
        try:
            status, content = await exchange(connection, connections, b"POST", QUERY_PATH, body)
            outcome = decode_reply(attempt, status, content)
        except (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.ConnectionNotAvailable) as error:
            await connections.drop(connection)
            return self._failure(attempt, "connecting", Reason.CONNECT_FAILED, repr(error))
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            await connections.drop(connection)
            return self._failure(attempt, "sent", Reason.CONNECTION_LOST, repr(error))
        except BaseException:
            # Cancelled: with its connection closed, a late reply can't be received.
            await connections.drop(connection)
            raise
        if _out_of_sync(outcome):
            await connections.drop(connection)
        else:
            await connections.release(connection)
        return outcome

    async def check(self, address: str) -> ServerReport | None:
        """See ``BackendClient.check``."""
        connections = self._pool_of(address)
        connection = await connections.acquire()
        if connection is None:
            return None
        try:
            with anyio.fail_after(HEALTH_TIMEOUT_S):
                status, content = await exchange(connection, connections, b"GET", HEALTH_PATH, b"")
        except (*NETWORK_ERRORS, TimeoutError):
            await connections.drop(connection)
            return None
        except BaseException:
            await connections.drop(connection)
            raise
        await connections.release(connection)
        return decode_health(content) if status == HTTP_OK else None

    async def forget(self, addresses: set[str]) -> None:
        """See ``BackendClient.forget``."""
        for address in set(self._pools) - addresses:
            await self._pools.pop(address).aclose()

    def _pool_of(self, address: str) -> ConnectionPool:
        connections = self._pools.get(address)
        if connections is None:
            host, port = split_address(address)
            origin = httpcore.Origin(b"http", host.encode(), port)
            connections = self._pools[address] = ConnectionPool(origin, self._maximum)
        return connections

    def _failure(self, attempt: Attempt, state: str, reason: Reason, detail: str) -> AttemptFailed:
        verdict = VERDICT_OF_STATE[self._table[(state, "failed")]]
        return AttemptFailed(attempt.attempt_id, Failure(reason, verdict, detail))


def _out_of_sync(outcome: AttemptAnswered | AttemptFailed) -> bool:
    """Whether the requests and replies on the connection may be out of sync."""
    if isinstance(outcome, AttemptAnswered):
        return False
    return outcome.failure.reason in (Reason.FOREIGN_REPLY, Reason.MALFORMED_REPLY)


async def exchange(
    connection: httpcore.AsyncConnectionInterface,
    connections: ConnectionPool,
    method: bytes,
    path: str,
    body: bytes,
    more_headers: Sequence[tuple[bytes, bytes]] = (),
) -> tuple[int, bytes]:
    """Send one request and read its reply to the end; only connecting has a timeout."""
    origin = connections.origin
    headers = [connections.host_header, (b"Content-Length", str(len(body)).encode()), *more_headers]
    url = httpcore.URL(scheme=b"http", host=origin.host, port=origin.port, target=path.encode())
    request = httpcore.Request(method, url, headers=headers, content=body, extensions=TIMEOUTS)
    response = await connection.handle_async_request(request)
    try:
        chunks = []
        size = 0
        async for chunk in response.aiter_stream():
            size += len(chunk)
            if size > MAXIMUM_BODY_BYTES:
                raise httpcore.RemoteProtocolError("the reply is too large")
            chunks.append(chunk)
    finally:
        await response.aclose()
    return response.status, b"".join(chunks)

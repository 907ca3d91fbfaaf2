"""Sends a wide request to a coordinator over HTTP/1.1 and waits for its answer.

A coordinator acknowledges a request immediately by sending the head of its reply; the body follows when the
answer is complete. Without an acknowledgement, or when the connection breaks, the call fails and
``forwarding`` decides what to do next. Owns the idle connections to coordinators; ``upstreams.connections``
does the I/O.
"""

import anyio

from yokesill.comm.http_reply import HttpReplyReader
from yokesill.comm.http_status import OK
from yokesill.comm.reply_memory import ReplyMemory
from yokesill.coordinators.messages import GatheredAnswer, decode_answer
from yokesill.upstreams.connections import ServerConnection
from yokesill.upstreams.wires import Dial, dial_tcp
from yokesill.verdict import Failure, Reason, Verdict

COORDINATE_PATH = "/coordinate"
# Bounds the delay that a dead coordinator adds to a request. The hop to another zone is assumed to take 12 ms
# until it has been measured.
CONNECT_TIMEOUT_S = 0.04
# Less than the 15 s after which a coordinator closes an idle connection (``callers.listener``).
IDLE_LIMIT_S = 8.0


class CoordinatorClient:
    """Calls coordinators over HTTP/1.1 and keeps idle connections for reuse."""

    def __init__(self, dial: Dial = dial_tcp, memory: ReplyMemory | None = None) -> None:
        self._dial = dial
        self._memory = memory or ReplyMemory()
        self._idle: dict[str, list[ServerConnection]] = {}

    async def send(
        self, address: str, request_id: str, message: bytes, acknowledge_within_s: float, deadline_at_s: float
    ) -> GatheredAnswer | Failure:
        """Return the coordinator's final answer.

        Parameters
        ----------
        address
            ``HOST:PORT``.
        request_id
            The id that the answer must carry.
        message
            The request, encoded.
        acknowledge_within_s
            How long the coordinator may take to acknowledge the request.
        deadline_at_s
            When the call times out, in seconds of the node's clock.

        Returns
        -------
        GatheredAnswer or Failure
            A failure has the verdict ``NOT_RUN`` if the coordinator sent nothing to servers.
        """
        connection = await self._connect(address)
        if isinstance(connection, Failure):
            return connection
        completed = anyio.Event()
        outcome: list[HttpReplyReader | Exception] = []

        def complete(result: HttpReplyReader | Exception) -> None:
            outcome.append(result)
            completed.set()

        reusable = False
        try:
            connection.start(_encode_request(address, message), False, complete)
            with anyio.move_on_after(acknowledge_within_s):
                await completed.wait()
            if not connection.reply_started and not outcome:
                self._close_idle(address)
                return Failure(Reason.TIMED_OUT, Verdict.MAY_HAVE_RUN, "no acknowledgement in time")
            with anyio.move_on_after(deadline_at_s - anyio.current_time()):
                await completed.wait()
            if not outcome:
                return Failure(Reason.TIMED_OUT, Verdict.MAY_HAVE_RUN, "no answer before the deadline")
            answer = _decode_reply(outcome[0], request_id)
            reusable = isinstance(outcome[0], HttpReplyReader) and outcome[0].keep_alive
            return answer
        finally:
            if reusable and connection.is_open:
                self._put_idle(address, connection)
            else:
                connection.close()

    async def _connect(self, address: str) -> ServerConnection | Failure:
        now = anyio.current_time()
        idle = self._idle.get(address, [])
        while idle:
            connection = idle.pop()
            if now < connection.reusable_until and connection.has_no_unread_data():
                return connection
            connection.close()
        connection = ServerConnection(self._on_closed, self._memory)
        host, _, port = address.rpartition(":")
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                await connection.open(self._dial, host, int(port))
        except (TimeoutError, OSError, anyio.BrokenResourceError) as error:
            return Failure(Reason.CONNECT_FAILED, Verdict.NOT_RUN, repr(error))
        return connection

    def _put_idle(self, address: str, connection: ServerConnection) -> None:
        connection.reusable_until = anyio.current_time() + IDLE_LIMIT_S
        self._idle.setdefault(address, []).append(connection)

    def _close_idle(self, address: str) -> None:
        """Close a coordinator's idle connections, which may be as unresponsive as the one just used."""
        for connection in self._idle.pop(address, []):
            connection.close()

    def _on_closed(self, connection: ServerConnection) -> None:
        for idle in self._idle.values():
            if connection in idle:
                idle.remove(connection)


def _encode_request(address: str, message: bytes) -> bytes:
    head = f"POST {COORDINATE_PATH} HTTP/1.1\r\nhost: {address}\r\ncontent-length: {len(message)}\r\n\r\n"
    return head.encode() + message


def _decode_reply(outcome: HttpReplyReader | Exception, request_id: str) -> GatheredAnswer | Failure:
    if isinstance(outcome, Exception):
        return Failure(Reason.CONNECTION_LOST, Verdict.MAY_HAVE_RUN, repr(outcome))
    if outcome.status != OK:
        detail = outcome.body.decode("latin-1").strip()
        return Failure(Reason.OVERLOADED, Verdict.NOT_RUN, f"{outcome.status}: {detail}")
    try:
        return decode_answer(outcome.body, request_id)
    except ValueError as error:
        return Failure(Reason.MALFORMED_REPLY, Verdict.MAY_HAVE_RUN, str(error))

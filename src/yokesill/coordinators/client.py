"""Sends a wide request to a coordinator over HTTP/1.1 and waits for its answer.

A coordinator acknowledges a request immediately by sending the head of its reply; the body follows when the
answer is complete. Without an acknowledgement, or when the connection breaks, the call fails and
``forwarding`` decides what to do next. Owns the connections to coordinators and bounds their number;
``upstreams.connections`` does the I/O.
"""

import anyio

from yokesill.comm.http_reply import HttpReplyReader
from yokesill.comm.http_status import BAD_REQUEST, OK, SERVER_ERROR, UNAVAILABLE
from yokesill.comm.reply_memory import ReplyMemory
from yokesill.coordinators.messages import GatheredAnswer, decode_answer
from yokesill.upstreams.connection_limit import DEFAULT_MAX_CONNECTIONS
from yokesill.upstreams.connections import ServerConnection
from yokesill.upstreams.opening import is_of_this_node
from yokesill.upstreams.wires import Dial, dial_tcp
from yokesill.verdict import Failure, Reason, Verdict

COORDINATE_PATH = "/coordinate"
# Bounds the delay that a dead coordinator adds to a request. The hop to another zone is assumed to take 12 ms
# until it has been measured.
CONNECT_TIMEOUT_S = 0.04
# Less than the 15 s after which a coordinator closes an idle connection (``callers.listener``).
IDLE_LIMIT_S = 8.0


class CoordinatorClient:
    """Calls coordinators over HTTP/1.1 and keeps idle connections for reuse.

    Parameters
    ----------
    dial
        Opens the transport.
    memory
        Bounds the memory of unfinished replies.
    max_connections
        How many connections may be open or being opened.
    """

    def __init__(
        self,
        dial: Dial = dial_tcp,
        memory: ReplyMemory | None = None,
        max_connections: int = DEFAULT_MAX_CONNECTIONS,
    ) -> None:
        self._dial = dial
        self._memory = memory or ReplyMemory()
        self._max_connections = max_connections
        self._idle: dict[str, list[ServerConnection]] = {}
        # All connections, also those that are being opened.
        self._open: set[ServerConnection] = set()

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
            A failure has the verdict ``NOT_RUN`` if the coordinator sent nothing to servers, and the reason
            ``CONNECTION_LIMIT`` if this node can't open another connection.
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
                self._close(connection)

    async def _connect(self, address: str) -> ServerConnection | Failure:
        now = anyio.current_time()
        idle = self._idle.get(address, [])
        while idle:
            connection = idle.pop()
            if now < connection.reusable_until and connection.has_no_unread_data():
                return connection
            self._close(connection)
        if len(self._open) >= self._max_connections and not self._close_any_idle():
            detail = f"{len(self._open)} connections to coordinators are open"
            return Failure(Reason.CONNECTION_LIMIT, Verdict.NOT_RUN, detail)
        return await self._open_new(address)

    async def _open_new(self, address: str) -> ServerConnection | Failure:
        connection = ServerConnection(self._on_closed, self._memory)
        self._open.add(connection)
        opened = False
        host, _, port = address.rpartition(":")
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                await connection.open(self._dial, host, int(port))
            opened = True
        except (TimeoutError, OSError, anyio.BrokenResourceError) as error:
            reason = Reason.CONNECTION_LIMIT if is_of_this_node(error) else Reason.CONNECT_FAILED
            return Failure(reason, Verdict.NOT_RUN, repr(error))
        finally:
            # Also when the call is cancelled meanwhile.
            if not opened:
                self._close(connection)
        return connection

    def _put_idle(self, address: str, connection: ServerConnection) -> None:
        connection.reusable_until = anyio.current_time() + IDLE_LIMIT_S
        self._idle.setdefault(address, []).append(connection)

    def _close_idle(self, address: str) -> None:
        """Close a coordinator's idle connections, which may be as unresponsive as the one just used."""
        for connection in self._idle.pop(address, []):
            self._close(connection)

    def _close_any_idle(self) -> bool:
        """Close one of the idle connections to make room for another; return ``False`` if there is none."""
        for idle in self._idle.values():
            if idle:
                self._close(idle.pop(0))
                return True
        return False

    def _close(self, connection: ServerConnection) -> None:
        self._open.discard(connection)
        connection.close()

    def _on_closed(self, connection: ServerConnection) -> None:
        self._open.discard(connection)
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
        detail = f"{outcome.status}: {outcome.body.decode('latin-1').strip()}"
        if BAD_REQUEST <= outcome.status < SERVER_ERROR or outcome.status == UNAVAILABLE:
            return Failure(Reason.OVERLOADED, Verdict.NOT_RUN, detail)
        return Failure(Reason.MALFORMED_REPLY, Verdict.MAY_HAVE_RUN, detail)
    try:
        return decode_answer(outcome.body, request_id)
    except ValueError as error:
        return Failure(Reason.MALFORMED_REPLY, Verdict.MAY_HAVE_RUN, str(error))

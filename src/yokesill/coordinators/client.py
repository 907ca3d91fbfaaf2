"""Hands a wide request to a coordinator and waits for its answer.

A coordinator acknowledges by the head of its reply, at once. A node that sees no acknowledgement
goes around it and gathers itself; so it does when the connection breaks.
"""

import anyio

from yokesill.comm.http_reply import HttpReplyReader
from yokesill.coordinators.messages import GatheredAnswer, decode_answer
from yokesill.upstreams.connections import ServerConnection
from yokesill.upstreams.wires import Dial, dial_tcp
from yokesill.verdict import Failure, Reason, Verdict

COORDINATE_PATH = "/coordinate"
CONNECT_TIMEOUT_S = 0.04
REST_S = 8.0
OK = 200


class CoordinatorClient:
    """Calls coordinators over HTTP/1.1; idle connections are kept for a while."""

    def __init__(self, dial: Dial = dial_tcp) -> None:
        self._dial = dial
        self._idle: dict[str, list[ServerConnection]] = {}

    async def ask(
        self, address: str, request_id: str, message: bytes, acknowledge_s: float, until: float
    ) -> GatheredAnswer | Failure:
        """Return the coordinator's final answer.

        Parameters
        ----------
        address
            ``HOST:PORT``.
        request_id
            Whose answer it must be.
        message
            The request, encoded.
        acknowledge_s
            How long the coordinator may take to say that it has the request.
        until
            When to give it up, in seconds of the node's clock.

        Returns
        -------
        GatheredAnswer or Failure
            A failure with verdict ``NOT_RUN`` if the coordinator surely asked no server.
        """
        connection = await self._connect(address)
        if isinstance(connection, Failure):
            return connection
        ended = anyio.Event()
        outcome: list[HttpReplyReader | Exception] = []

        def end(result: HttpReplyReader | Exception) -> None:
            outcome.append(result)
            ended.set()

        kept = False
        try:
            connection.start(_encode(address, message), False, end)
            with anyio.move_on_after(acknowledge_s):
                await ended.wait()
            if not connection.reply_begun and not outcome:
                self._forget(address)
                return Failure(Reason.TIMED_OUT, Verdict.MAY_HAVE_RUN, "no acknowledgement")
            with anyio.move_on_after(until - anyio.current_time()):
                await ended.wait()
            if not outcome:
                return Failure(Reason.TIMED_OUT, Verdict.MAY_HAVE_RUN, "no answer in time")
            answer = _read(outcome[0], request_id)
            kept = isinstance(outcome[0], HttpReplyReader) and outcome[0].keep_alive
            return answer
        finally:
            if kept and connection.is_open:
                self._keep(address, connection)
            else:
                connection.close()

    async def _connect(self, address: str) -> ServerConnection | Failure:
        now = anyio.current_time()
        idle = self._idle.get(address, [])
        while idle:
            connection = idle.pop()
            if now < connection.reusable_until and connection.quiet():
                return connection
            connection.close()
        connection = ServerConnection(self._lost)
        host, _, port = address.rpartition(":")
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                await connection.open(self._dial, host, int(port))
        except (TimeoutError, OSError, anyio.BrokenResourceError) as error:
            return Failure(Reason.CONNECT_FAILED, Verdict.NOT_RUN, repr(error))
        return connection

    def _keep(self, address: str, connection: ServerConnection) -> None:
        connection.reusable_until = anyio.current_time() + REST_S
        self._idle.setdefault(address, []).append(connection)

    def _forget(self, address: str) -> None:
        """Close the idle connections to a coordinator: they may have gone silent like the one just used."""
        for connection in self._idle.pop(address, []):
            connection.close()

    def _lost(self, connection: ServerConnection) -> None:
        for idle in self._idle.values():
            if connection in idle:
                idle.remove(connection)


def _encode(address: str, message: bytes) -> bytes:
    head = f"POST {COORDINATE_PATH} HTTP/1.1\r\nhost: {address}\r\ncontent-length: {len(message)}\r\n\r\n"
    return head.encode() + message


def _read(outcome: HttpReplyReader | Exception, request_id: str) -> GatheredAnswer | Failure:
    if isinstance(outcome, Exception):
        return Failure(Reason.CONNECTION_LOST, Verdict.MAY_HAVE_RUN, repr(outcome))
    if outcome.status != OK:
        detail = outcome.body.decode("latin-1").strip()
        return Failure(Reason.OVERLOADED, Verdict.NOT_RUN, f"{outcome.status}: {detail}")
    try:
        return decode_answer(outcome.body, request_id)
    except ValueError as error:
        return Failure(Reason.MALFORMED_REPLY, Verdict.MAY_HAVE_RUN, str(error))

"""Serves wide requests that other nodes forward to this one as their coordinator.

Admission control of forwarded requests: a request is refused before anything is sent to servers if its sender
is not a node of the region, or if this node is stopping, has an older configuration, or is overloaded.
``callers.application`` runs the accepted ones.
"""

from collections.abc import Callable

import anyio

from yokesill.callers.application import (
    CallerDisconnectedError,
    GatewayApplication,
    Receive,
    Scope,
    Send,
    read_body,
)
from yokesill.comm.http_status import BAD_REQUEST, FORBIDDEN, OK, UNAVAILABLE
from yokesill.coordinators.messages import GatheredAnswer, decode_forwarded, encode_answer

# Bounds the memory that one message may use.
MESSAGE_LIMIT_BYTES = 4 * 1024 * 1024
# Beyond either limit the lack of CPU time delays all requests of this node. A node whose request is refused
# gathers it itself, which takes about ten milliseconds of a core.
IN_FLIGHT_LIMIT = 12
LATENESS_LIMIT_S = 0.02


class CoordinatorApplication:
    """Serves ``COORDINATE_PATH`` for other nodes.

    Parameters
    ----------
    application
        Runs requests.
    is_member
        Returns whether a host is a node of this zone or of another zone in this region.
    version
        Returns the version of the configuration in force here; 0 if there is none.
    lateness_s
        Returns by how much this node's own timers are late, in seconds.

    Notes
    -----
    ``in_flight`` counts unanswered requests, which a planned stop waits for; ``accepted`` counts the requests
    that were not refused.
    """

    def __init__(
        self,
        application: GatewayApplication,
        is_member: Callable[[str], bool],
        version: Callable[[], int],
        lateness_s: Callable[[], float],
    ) -> None:
        self.in_flight = 0
        self.accepted = 0
        self._application = application
        self._is_member = is_member
        self._version = version
        self._lateness_s = lateness_s

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        host = (scope.get("client") or ("",))[0]
        if not self._is_member(host):
            await _refuse(send, FORBIDDEN, "no node of this region")
            return
        self.in_flight += 1
        try:
            await self._coordinate(receive, send)
        except CallerDisconnectedError:
            # Not logged here: the forwarding node logs ``coordinator_missed``.
            pass
        finally:
            self.in_flight -= 1

    async def _coordinate(self, receive: Receive, send: Send) -> None:
        accepted_at_s = anyio.current_time()
        data = await read_body(receive, MESSAGE_LIMIT_BYTES)
        try:
            forwarded = decode_forwarded(data or b"", self._application.next_key(), accepted_at_s)
        except ValueError as error:
            await _refuse(send, BAD_REQUEST, str(error))
            return
        refusal = self._refusal(forwarded.version)
        if refusal:
            await _refuse(send, UNAVAILABLE, refusal)
            return
        self.accepted += 1
        # The head is the acknowledgement; the body follows when the answer is complete.
        await send({"type": "http.response.start", "status": OK, "headers": []})
        answer = await self._application.run(forwarded.request, receive)
        if answer is not None:
            gathered = GatheredAnswer(answer, anyio.current_time() - accepted_at_s)
            body = encode_answer(forwarded.request.request_id, gathered)
            await send({"type": "http.response.body", "body": body})

    def _refusal(self, version: int) -> str:
        """Return why a request forwarded under configuration ``version`` is refused; empty if accepted.

        The text is the body of the reply.
        """
        if self._application.stopping:
            return "stopping"
        if self._version() < version:
            return f"knows version {self._version()} only"
        if self.in_flight > IN_FLIGHT_LIMIT:
            return f"{self.in_flight} under way"
        if self._lateness_s() > LATENESS_LIMIT_S:
            return f"{self._lateness_s() * 1000:.0f} ms late"
        return ""


async def _refuse(send: Send, status: int, detail: str) -> None:
    body = f"{detail}\n".encode()
    headers = [(b"content-length", str(len(body)).encode())]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})

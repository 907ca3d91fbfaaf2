"""A coordinator's side: gathers wide requests that other nodes hand over."""

from collections.abc import Callable

import anyio

from yokesill.callers.application import (
    CallerGoneError,
    GatewayApplication,
    Receive,
    Scope,
    Send,
    read_body,
)
from yokesill.coordinators.messages import GatheredAnswer, decode_handed, encode_answer

OK, BAD_REQUEST, FORBIDDEN, UNAVAILABLE = 200, 400, 403, 503
LARGEST_MESSAGE_BYTES = 4 * 1024 * 1024
# Beyond this a node's own processor makes everybody late; who is refused gathers for itself.
MOST_AT_ONCE, MOST_LATENESS_S = 12, 0.02


class CoordinatorApplication:
    """Serves ``COORDINATE_PATH`` for other nodes.

    Parameters
    ----------
    application
        Runs requests. Those under way are counted here, for a planned stop to wait for them.
    is_member
        Whether a host is a node of this zone, or of another one of this region.
    version
        Which configuration is in force here; 0 while none is known.
    lateness_s
        How late this node's own timers come.
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
        except CallerGoneError:
            pass
        finally:
            self.in_flight -= 1

    async def _coordinate(self, receive: Receive, send: Send) -> None:
        accepted_at_s = anyio.current_time()
        data = await read_body(receive, LARGEST_MESSAGE_BYTES)
        try:
            handed = decode_handed(data or b"", self._application.next_key(), accepted_at_s)
        except ValueError as error:
            await _refuse(send, BAD_REQUEST, str(error))
            return
        refusal = self._refusal(handed.version)
        if refusal:
            await _refuse(send, UNAVAILABLE, refusal)
            return
        self.accepted += 1
        # The head is the acknowledgement; the answer follows.
        await send({"type": "http.response.start", "status": OK, "headers": []})
        answer = await self._application.run(handed.request, receive)
        if answer is not None:
            gathered = GatheredAnswer(answer, anyio.current_time() - accepted_at_s)
            body = encode_answer(handed.request.request_id, gathered)
            await send({"type": "http.response.body", "body": body})

    def _refusal(self, version: int) -> str:
        """Return why a request can't be taken; empty if it can."""
        if self._application.stopping:
            return "stopping"
        if self._version() < version:
            return f"knows version {self._version()} only"
        if self.in_flight > MOST_AT_ONCE:
            return f"{self.in_flight} under way"
        if self._lateness_s() > MOST_LATENESS_S:
            return f"{self._lateness_s() * 1000:.0f} ms late"
        return ""


async def _refuse(send: Send, status: int, why: str) -> None:
    body = f"{why}\n".encode()
    headers = [(b"content-length", str(len(body)).encode())]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})

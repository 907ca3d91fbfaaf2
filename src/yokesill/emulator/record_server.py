"""Stand-in for the servers behind gateway nodes: a plain ASGI application that answers with records.

Each request, whatever its path, is answered with ``RECORDS`` records of 16 printable bytes. A record is a
line with its rank and service. Headers let the node verify that the answer is complete and belongs to its
request.
"""

import random
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

import anyio

from yokesill.serving.header_names import HeaderNames

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]

OK, MISDIRECTED = 200, 421
RECORDS, RECORD_BYTES, MAX_RANK = 40, 16, 9999
SERVICE_TIME_RANGE_S = (0.004, 0.012)


class RecordServer:
    """One server; ``slow_s`` is added to each response time, ``ran`` lists the ids of executed requests."""

    def __init__(self, instance: str, service: str, source: random.Random) -> None:
        self.instance = instance
        self.service = service
        self.slow_s = 0.0
        self.ran: list[str] = []
        self._random = source
        self._names = HeaderNames()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        while (await receive()).get("more_body", False):
            pass
        headers = dict(scope["headers"])
        request_id: bytes = headers.get(self._names.request_id, b"")
        expected = headers.get(self._names.expect_instance)
        echo = [(self._names.request_id, request_id)]
        if expected is not None and expected != self.instance.encode():
            await _answer(send, MISDIRECTED, [*echo, (self._names.not_executed, b"1")], b"")
            return
        self.ran.append(request_id.decode("latin-1"))
        signature = f"{self.instance}.{len(self.ran)}".encode()
        await anyio.sleep(self.slow_s + self._random.uniform(*SERVICE_TIME_RANGE_S))
        await _answer(send, OK, [*echo, (self._names.signature, signature)], self._records())

    def _records(self) -> bytes:
        ranks = (self._random.randrange(MAX_RANK + 1) for _ in range(RECORDS))
        lines = (f"{rank:04d} {self.service}"[: RECORD_BYTES - 1] for rank in ranks)
        return b"".join(line.ljust(RECORD_BYTES - 1).encode() + b"\n" for line in lines)


async def _answer(send: Send, status: int, headers: list[tuple[bytes, bytes]], body: bytes) -> None:
    length = (b"content-length", str(len(body)).encode())
    await send({"type": "http.response.start", "status": status, "headers": [*headers, length]})
    await send({"type": "http.response.body", "body": body})

"""In-memory servers over byte streams in virtual time, with scripted answers."""

import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio
import anyio.abc

from yokesill.gateway.documents import ServerRecord
from yokesill.gateway.events import AttemptAnswered, AttemptFailed
from yokesill.gateway.messages import Attempt, GatewayRequest
from yokesill.upstreams.server_client import ServerClient

RECORD = ServerRecord("i-1", "desk", "10.0.0.1", 80, "z1", 2)


class MemoryStream(anyio.abc.ByteStream):
    """One side of a connection; with ``reset`` it ends in a reset. It receives at most ``window`` bytes."""

    def __init__(self) -> None:
        self.inbox_send, self.inbox = anyio.create_memory_object_stream[bytes](math.inf)
        self.peer: MemoryStream | None = None
        self.reset = False
        self.closed = False
        self.window: int | None = None

    async def receive(self, max_bytes: int = 65536) -> bytes:
        try:
            return await self.inbox.receive()
        except anyio.EndOfStream:
            if self.reset:
                raise anyio.BrokenResourceError from None
            raise

    async def send(self, item: bytes) -> None:
        assert self.peer is not None
        if self.peer.closed:
            raise anyio.BrokenResourceError
        if self.peer.window is not None and len(item) > self.peer.window:
            self.peer.inbox_send.send_nowait(item[: self.peer.window])
            await anyio.sleep_forever()
        self.peer.inbox_send.send_nowait(item)

    async def send_eof(self) -> None:
        raise NotImplementedError

    async def aclose(self) -> None:
        self.closed = True
        if self.peer is not None:
            self.peer.inbox_send.close()


def connected_pair() -> tuple[MemoryStream, MemoryStream]:
    near, far = MemoryStream(), MemoryStream()
    near.peer, far.peer = far, near
    return near, far


@dataclass
class ReceivedRequest:
    """One request as a server received it."""

    head: str
    connection: int
    body: bytes = b""

    def header(self, name: str) -> str | None:
        for line in self.head.split("\r\n")[1:]:
            key, _, value = line.partition(": ")
            if key == name:
                return value
        return None


Script = Callable[["MemoryServer", MemoryStream, ReceivedRequest], Awaitable[None]]


@dataclass
class MemoryServer:
    """Runs ``script`` for each received request; if ``full``, it resets new connections immediately."""

    script: Script
    tasks: anyio.abc.TaskGroup
    received: list[ReceivedRequest] = field(default_factory=list)
    opened: int = 0
    closed: int = 0
    refuse: bool = False
    full: bool = False
    window: int | None = None

    async def connect(self, _host: str, _port: int) -> MemoryStream:
        if self.refuse:
            raise ConnectionRefusedError
        self.opened += 1
        near, far = connected_pair()
        far.window = self.window
        if self.full:
            near.reset = True
            await far.aclose()
            return near
        self.tasks.start_soon(self._serve, far, self.opened)
        return near

    async def _serve(self, stream: MemoryStream, number: int) -> None:
        buffer = b""
        while True:
            try:
                buffer += await stream.receive()
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                self.closed += 1
                return
            while b"\r\n\r\n" in buffer:
                head, _, rest = buffer.partition(b"\r\n\r\n")
                request = ReceivedRequest(head.decode(), number)
                length = int(request.header("content-length") or 0)
                if len(rest) < length and self.window is None:
                    break
                request.body, buffer = rest[:length], rest[length:]
                self.received.append(request)
                try:
                    await self.script(self, stream, request)
                except anyio.BrokenResourceError:
                    return
                if stream.closed:
                    return


def answer_bytes(
    request_id: str | None,
    body: bytes = b"hello",
    status: str = "200 OK",
    extra: str = "",
    framed: bool = True,
) -> bytes:
    lines = [f"HTTP/1.1 {status}"]
    if request_id is not None:
        lines.append(f"Request-Id: {request_id}")
    lines.append("Server-Signature: sig")
    if framed:
        lines.append(f"Content-Length: {len(body)}")
    if extra:
        lines.append(extra)
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def answer_normally(_server: MemoryServer, stream: MemoryStream, request: ReceivedRequest) -> None:
    """Answer as a healthy server does."""
    await stream.send(answer_bytes(request.header("request-id")))


async def call(client: ServerClient, sent: Attempt) -> AttemptAnswered | AttemptFailed:
    """Send an attempt and wait for its end; cancelling the call cancels the attempt."""
    ended = anyio.Event()
    outcomes: list[AttemptAnswered | AttemptFailed] = []

    def done(outcome: AttemptAnswered | AttemptFailed) -> None:
        outcomes.append(outcome)
        ended.set()

    client.send(sent, done)
    assert not outcomes, "done was called before send returned"
    try:
        await ended.wait()
    except BaseException:
        client.cancel(sent.number)
        raise
    assert len(outcomes) == 1
    return outcomes[0]


def attempt(number: int = 1, method: bytes = b"GET", body: bytes = b"", seconds: float = 1.0) -> Attempt:
    now = anyio.current_time()
    headers = ((b"host", b"shop.example"), (b"request-id", b"id-%d" % number), (b"x-own", b"1"))
    request = GatewayRequest(
        f"k{number}", f"id-{number}", method, "shop.example", "/one/x", b"/one/x?q=1", headers, body, now, 2.0
    )
    return Attempt(number, request, RECORD, 2, now + seconds)

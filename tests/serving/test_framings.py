"""Requests in random framings and pieces reach the application exactly as they were sent."""

import asyncio
import random
from typing import Any, NamedTuple

import pytest

from yokesill.callers.application import read_body
from yokesill.callers.listener import Listener, create_listener
from yokesill.serving.settings import Address

SEEDS = range(40)
REQUESTS = 6
OFFERS = (
    b"",
    b"Connection: Upgrade\r\nUpgrade: h2c\r\n",
    b"connection: keep-alive, upgrade\r\nupgrade: websocket\r\n",
    b"Upgrade: other/1\r\n",
)
UNCERTAIN = {
    "two lengths": b"POST /u HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nabcGET",
    "a length beside chunks": b"POST /u HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "a tunnel": b"CONNECT x:1 HTTP/1.1\r\nHost: x\r\n\r\nGET /v HTTP/1.1\r\nHost: x\r\n\r\n",
    "bare line feeds": b"GET /u HTTP/1.1\nHost: x\n\n",
    "another protocol": b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
    "a space before the colon": b"GET /u HTTP/1.1\r\nHost : x\r\n\r\n",
}


class Sent(NamedTuple):
    """What reaches the application of one request."""

    method: str
    target: bytes
    body: bytes


class Recorder:
    """An application that records requests and answers each with its target."""

    def __init__(self) -> None:
        self.received: list[Sent] = []
        self.headers: list[list[tuple[bytes, bytes]]] = []

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        body = await read_body(receive, 1 << 20)
        query = scope["query_string"]
        target = scope["raw_path"] + (b"?" + query if query else b"")
        self.received.append(Sent(scope["method"], target, body or b""))
        self.headers.append(scope["headers"])
        headers = [(b"content-length", str(len(target)).encode())]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await send({"type": "http.response.body", "body": target})


def encode(request: Sent, source: random.Random) -> bytes:
    """Return a request in a random framing."""
    head = b"%s %s HTTP/1.1\r\nHost: x\r\n" % (request.method.encode(), request.target)
    head += source.choice(OFFERS)
    if request.method == "GET":
        return head + b"\r\n"
    if source.random() < 0.3:
        head += b"Expect: 100-continue\r\n"
    if source.random() < 0.5:
        return head + b"Content-Length: %d\r\n\r\n" % len(request.body) + request.body
    chunks, rest = b"", request.body
    while rest:
        size = source.randrange(1, len(rest) + 1)
        chunks += b"%x%s\r\n%s\r\n" % (size, source.choice((b"", b";ext=1")), rest[:size])
        rest = rest[size:]
    trailer = source.choice((b"", b"X-Trailer: 1\r\n"))
    return head + b"Transfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n" + trailer + b"\r\n"


def random_request(number: int, source: random.Random) -> Sent:
    """Return a request whose body may look like another request."""
    target = b"/r%d?q=%d" % (number, source.randrange(9))
    if source.random() < 0.3:
        return Sent("GET", target, b"")
    bodies = (b"", b"GET /smuggled HTTP/1.1\r\nHost: x\r\n\r\n", source.randbytes(source.randrange(1, 9000)))
    return Sent("POST", target, source.choice(bodies))


async def listen(application: Recorder) -> tuple[Listener, int]:
    """Return a listener on a free port."""
    listener = create_listener(application)
    await listener.start(Address("127.0.0.1", 0))
    return listener, listener.servers[0].sockets[0].getsockname()[1]


async def exchange(port: int, content: bytes, source: random.Random) -> bytes:
    """Send bytes in random pieces; return what comes back until the connection is quiet or closed."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    answer = b""
    try:
        while content:
            size = source.choice((1, 7, 100, 5000, len(content)))
            writer.write(content[:size])
            content = content[size:]
            await writer.drain()
            await asyncio.sleep(0)
        async with asyncio.timeout(0.3):
            while piece := await reader.read(65536):
                answer += piece
    except (TimeoutError, ConnectionError):
        pass
    finally:
        writer.transport.abort()
    return answer


@pytest.mark.parametrize("seed", SEEDS)
def test_exactly_the_requests_that_were_sent_reach_the_application(seed: int) -> None:
    # Guards against: a request that offers an upgrade ran without its body, and the body ran as a request.
    async def main() -> None:
        source = random.Random(seed)
        application = Recorder()
        listener, port = await listen(application)
        requests = [random_request(number, source) for number in range(REQUESTS)]
        answer = await exchange(port, b"".join(encode(each, source) for each in requests), source)
        await listener.close_listener()
        assert application.received == requests
        finals = answer.replace(b"HTTP/1.1 100 Continue\r\n\r\n", b"").split(b"HTTP/1.1 ")[1:]
        assert [each.partition(b"\r\n\r\n")[2] for each in finals] == [each.target for each in requests]
        assert all(name != b"x-trailer" for headers in application.headers for name, _ in headers)

    asyncio.run(main())


@pytest.mark.parametrize("kind", UNCERTAIN)
def test_bytes_that_cannot_be_framed_for_certain_are_refused_and_end_the_connection(kind: str) -> None:
    # Guards against: bytes behind a message of doubtful length run as a request.
    async def main() -> None:
        application = Recorder()
        listener, port = await listen(application)
        answer = await exchange(port, UNCERTAIN[kind], random.Random(0))
        await listener.close_listener()
        assert application.received == []
        assert answer.startswith(b"HTTP/1.1 400 ")

    asyncio.run(main())


@pytest.mark.parametrize(
    "second",
    [
        b"\0\0\0\r\n\r\n",
        b"GET /half HTTP/1.1\r\nHost: x\r\n",
        b"POST /b HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\nnonsense",
        b"GET /b HTTP/1.1\r\nHost: x\r\n" + b"a: b\r\n" * 50_000,
    ],
)
def test_what_follows_a_running_request_neither_takes_its_place_nor_keeps_its_connection(
    second: bytes,
) -> None:
    # Guards against: a 400, 408 or 431 for what follows is taken for the running request's answer; a request
    # that will never be whole keeps its connection for ever.
    async def main() -> None:
        application = Recorder()
        answered = asyncio.Event()

        async def slow(scope: Any, receive: Any, send: Any) -> None:
            if scope["raw_path"] == b"/first":
                await answered.wait()
            await application(scope, receive, send)

        listener = create_listener(slow)
        listener.set_limits(header_timeout_s=0.1, idle_timeout_s=5.0)
        await listener.start(Address("127.0.0.1", 0))
        reader, writer = await asyncio.open_connection(*listener.servers[0].sockets[0].getsockname())
        writer.write(b"GET /first HTTP/1.1\r\nHost: x\r\n\r\n" + second)
        await asyncio.sleep(0.4)
        answered.set()
        async with asyncio.timeout(3.0):
            answer = await reader.read()
        writer.close()
        await listener.close_listener()
        assert answer.startswith(b"HTTP/1.1 200 ")
        assert answer.count(b"HTTP/1.1 ") == 1
        assert [each.target for each in application.received] == [b"/first"]

    asyncio.run(main())

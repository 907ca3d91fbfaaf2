"""A crowded listener: how many requests run, and what callers without a place are told."""

import asyncio
import contextlib
import random
import socket
from collections import Counter
from itertools import count
from typing import Any

import pytest
from test_callers_connections import GET, Listening, run

from yokesill.callers.bounds import ListenerBounds
from yokesill.callers.lingering import LINGER_S, MAX_LINGERING

BOUNDS = ListenerBounds(max_connections=8)
HALF_HEAD = b"GET /a HTTP/1.1\r\nHost: x\r\n"
CALLS_EACH = 40


class Recording(Listening):
    """A listener that records which paths ran, and how many requests run at most; ``go`` lets them end."""

    def __init__(self, bounds: ListenerBounds, **options: Any) -> None:
        super().__init__(bounds, **options)
        self.ran: list[str] = []
        self.most_running = 0
        self.go, self.slow_go = asyncio.Event(), asyncio.Event()

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        more = True
        while more:
            message = await receive()
            if message["type"] == "http.disconnect":
                return
            more = message.get("more_body", False)
        self.ran.append(scope["path"])
        # Counted by the listener, which forgets a request whose caller has left.
        self.most_running = max(self.most_running, self.running)
        if scope["path"] != "/fast":
            await (self.slow_go if scope["path"] == "/slow" else self.go).wait()
        headers = [(b"content-length", str(len(self._body)).encode())]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await send({"type": "http.response.body", "body": self._body})

    @property
    def body_bytes(self) -> int:
        return len(self._body)

    @property
    def running(self) -> int:
        return len(self.shares.places._running)

    @property
    def shares(self) -> Any:
        return self._listener.config.shares

    @property
    def open(self) -> int:
        return len(self._listener.server_state.connections)

    async def fill(self, count: int) -> list[Any]:
        """Open connections whose requests run."""
        opened = [await self.connect() for _ in range(count)]
        for _, writer in opened:
            writer.write(GET)
        await asyncio.sleep(0.05)
        assert self.running == count
        return opened


def get(path: str, *fields: str) -> bytes:
    return "\r\n".join([f"GET {path} HTTP/1.1", "Host: x", *fields, "", ""]).encode()


async def read_all(reader: asyncio.StreamReader) -> bytes:
    try:
        return await asyncio.wait_for(reader.read(), 0.3)
    except TimeoutError:
        return b"(no answer)"
    except OSError as error:
        return repr(error).encode()


async def read_line(reader: asyncio.StreamReader) -> bytes:
    try:
        return await asyncio.wait_for(reader.readline(), 1.0)
    except OSError as error:
        return repr(error).encode()


def test_giving_up_a_connection_without_a_place_frees_no_place() -> None:
    # Guards against: requests run in the connections that are there to refuse others.
    async def main() -> None:
        listening = await Recording(BOUNDS).start()
        opened = await listening.fill(BOUNDS.places)
        for _ in range(2):
            opened.append(await listening.connect())
            await asyncio.sleep(0.02)
            reader, writer = await listening.connect()
            writer.write(GET)
            await asyncio.sleep(0.02)
            opened.append((reader, writer))
        reader, writer = await listening.connect()
        writer.write(GET)
        late = await read_all(reader)
        listening.go.set()
        for _, each in [*opened, (reader, writer)]:
            each.close()
        await listening.end()
        assert (listening.most_running, late[:12]) == (BOUNDS.places, b"HTTP/1.1 503")

    run(main)


def test_new_caller_whose_bytes_are_on_their_way_is_not_closed_while_extra_connections_are_free() -> None:
    # Guards against: the next new connection closes one whose first bytes come some ms after it.
    async def main() -> None:
        listening = await Recording(BOUNDS).start()
        opened = await listening.fill(BOUNDS.places - 1)
        opened += [await listening.connect()]
        opened[-1][1].write(GET)
        await asyncio.sleep(0.02)
        first, first_writer = await listening.connect()
        await asyncio.sleep(0.02)
        _, second_writer = await listening.connect()
        await asyncio.sleep(0.02)
        first_writer.write(GET)
        answered = await read_all(first)
        listening.go.set()
        for each in (first_writer, second_writer, *(writer for _, writer in opened)):
            each.close()
        await listening.end()
        assert answered.startswith(b"HTTP/1.1 503")

    run(main)


def test_request_runs_if_places_hold_idle_connections_when_its_head_is_whole() -> None:
    # Guards against: a request is refused while connections at rest keep the places.
    async def main() -> None:
        listening = await Recording(BOUNDS).start()
        opened = [await listening.connect()]
        opened[0][1].write(get("/slow"))
        await asyncio.sleep(0.02)
        for _ in range(BOUNDS.places - 1):
            opened.append(await listening.connect())
            opened[-1][1].write(GET)
        await asyncio.sleep(0.02)
        reader, writer = await listening.connect()
        writer.write(HALF_HEAD)
        await asyncio.sleep(0.02)
        listening.go.set()
        await asyncio.sleep(0.02)
        assert listening.running == 1
        writer.write(b"\r\n")
        answered = await asyncio.wait_for(reader.readline(), 1.0)
        listening.slow_go.set()
        for each in (writer, *(each for _, each in opened)):
            each.close()
        await listening.end()
        assert answered.startswith(b"HTTP/1.1 200")

    run(main)


def test_one_new_connection_closes_one_other_at_most() -> None:
    # Guards against: connections without a place count, and each newer one closes several others.
    async def main() -> None:
        bounds = ListenerBounds(max_connections=16)
        listening = await Recording(bounds, body=b"x" * 4_000_000).start()
        opened = [await listening.connect() for _ in range(bounds.places)]
        for _, writer in opened:
            writer.write(GET)
        await asyncio.sleep(0.05)
        # Three without a place, whose heads arrive slowly.
        slow = []
        for _ in range(3):
            slow.append(await listening.connect())
            slow[-1][1].write(HALF_HEAD)
        await asyncio.sleep(0.02)
        listening.go.set()
        await asyncio.sleep(0.02)
        for reader, _ in opened:
            await reader.read(100_000)
        before = len(listening.closed)
        _, writer = await listening.connect()
        writer.write(get("/fast"))
        await asyncio.sleep(0.02)
        states = [each.state.name for each in listening.closed[before:]]
        for each in (writer, *(each for _, each in [*opened, *slow])):
            each.transport.abort()
        await listening.end()
        assert len(states) <= 1, states

    run(main)


@pytest.mark.parametrize("size", [2, 3])
def test_small_listener_reads_a_request_before_it_refuses_it(size: int) -> None:
    # Guards against: a listener for few connections has none to refuse others in.
    async def main() -> None:
        bounds = ListenerBounds(max_connections=size)
        listening = await Recording(bounds).start()
        opened = await listening.fill(bounds.places)
        reader, writer = await listening.connect()
        writer.write(GET)
        answered = await read_all(reader)
        listening.go.set()
        for each in (writer, *(each for _, each in opened)):
            each.close()
        await listening.end()
        assert answered.startswith(b"HTTP/1.1 503")

    run(main)


@pytest.mark.parametrize("shape", ["body at once", "body after", "large body", "body as it goes"])
def test_refusal_reaches_a_caller_that_sends_a_body(shape: str) -> None:
    # Guards against: a caller sees a reset in place of the refusal.
    async def main() -> None:
        listening = await Recording(BOUNDS).start()
        opened = await listening.fill(BOUNDS.places)
        size = 300_000 if shape == "large body" else 12_000
        head = f"POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: {size}\r\n\r\n".encode()
        seen = []
        for _ in range(5):
            reader, writer = await listening.connect()
            # Reads while it sends, as an ordinary client does.
            reading = asyncio.create_task(read_line(reader))
            if shape in ("body at once", "large body"):
                writer.write(head + b"x" * size)
            elif shape == "body after":
                writer.write(head)
                await asyncio.sleep(0.02)
                writer.write(b"x" * size)
            else:
                writer.write(head)
                for _ in range(6):
                    await asyncio.sleep(0.005)
                    writer.write(b"x" * (size // 6))
            seen.append((await reading)[:30])
            writer.close()
        listening.go.set()
        for _, each in opened:
            each.close()
        await listening.end()
        assert all(each.startswith(b"HTTP/1.1 503") for each in seen)

    run(main)


@pytest.mark.parametrize(
    "request_bytes",
    [
        get("/r", "Connection: Upgrade", "Upgrade: h2c"),
        b"GET /r HTTP/1.0\r\nHost: x\r\n\r\n",
        get("/r") * 40,
        get("/r", *(f"a{i}: {'b' * 60}" for i in range(60))),
        b"POST /r HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n" + get("/r"),
        b"POST /r HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: x\r\nContent-Length: 40\r\n\r\n"
        + get("/r"),
        b"POST /r HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n",
    ],
    ids=["upgrade", "1.0", "ahead", "large head", "chunked", "upgrade with body", "expect"],
)
def test_refused_once_and_never_run(request_bytes: bytes) -> None:
    # Guards against: a request that was told not to have run runs, or what follows is answered, too.
    async def main() -> None:
        listening = await Recording(BOUNDS).start()
        opened = await listening.fill(BOUNDS.places)
        reader, writer = await listening.connect()
        writer.write(request_bytes)
        answered = await read_all(reader)
        writer.close()
        listening.go.set()
        await asyncio.sleep(0.05)
        for _, each in opened:
            each.close()
        await asyncio.sleep(0.05)
        assert answered.startswith(b"HTTP/1.1 503") and answered.count(b"HTTP/1.1") == 1
        assert "/r" not in listening.ran
        assert (listening.shares.places.taken, listening.open, listening.memory.held_bytes) == (0, 0, 0)
        await listening.end()

    run(main)


def test_requests_in_the_queue_at_a_planned_stop_are_answered_each() -> None:
    # Guards against: at a crowded node, the callers that wait to be accepted are closed unread at its stop.
    async def main() -> None:
        bounds = ListenerBounds(max_connections=8)
        listening = await Recording(bounds).start()
        opened = await listening.fill(bounds.places)
        address = listening._listener.servers[0].sockets[0].getsockname()
        waiting = []
        # The loop is held meanwhile.
        for _ in range(40):
            each = socket.create_connection(address)
            each.sendall(get("/fast"))
            waiting.append(each)
        await listening._listener.close_listener()
        await asyncio.sleep(0.1)
        seen: dict[bytes, int] = {}
        for each in waiting:
            each.setblocking(False)
            try:
                first = each.recv(100)[:12]
            except OSError as error:
                first = repr(error).encode()
            seen[first] = seen.get(first, 0) + 1
            each.close()
        listening.go.set()
        for _, each_writer in opened:
            each_writer.close()
        assert set(seen) <= {b"HTTP/1.1 503", b"HTTP/1.1 200"}

    run(main)


async def refused(listening: Recording, opened: list[Any]) -> socket.socket:
    """Return a caller's connection that has been refused before it sent anything."""
    # Asyncio's own client would close the connection at the first sign of its end.
    caller = socket.create_connection(listening.address)
    await asyncio.sleep(0.02)
    before = len(listening.closed)
    while len(listening.closed) == before:
        opened.append(await listening.connect())
        await asyncio.sleep(0.01)
    return caller


def test_refused_caller_that_sends_on_reads_its_refusal() -> None:
    # Guards against: the close crosses with the caller's request, which is answered with a reset.
    async def main() -> None:
        listening = await Recording(BOUNDS).start()
        opened = await listening.fill(BOUNDS.places)
        caller = await refused(listening, opened)
        with contextlib.closing(caller):
            for part in (HALF_HEAD, b"Content-Length: 1\r\n", b"\r\n", b"x"):
                caller.sendall(part)
                await asyncio.sleep(0.005)
            assert caller.recv(100).startswith(b"HTTP/1.1 503")
            while caller.recv(100):
                pass
        assert "/a" not in listening.ran[BOUNDS.places :]
        await end_all(listening, opened)

    run(main)


def test_refused_callers_that_send_without_end_or_never_close_are_closed() -> None:
    # Guards against: refused callers keep connections, and the listener's descriptors.
    async def main() -> None:
        listening = await Recording(BOUNDS).start()
        opened = await listening.fill(BOUNDS.places)
        callers = [await refused(listening, opened) for _ in range(2 * MAX_LINGERING)]
        most_open = BOUNDS.max_connections + MAX_LINGERING
        assert listening.open <= most_open
        callers[-1].setblocking(False)
        with pytest.raises(OSError):
            for _ in range(200):
                with contextlib.suppress(BlockingIOError):
                    callers[-1].sendall(b"x" * 1024)
                await asyncio.sleep(0)
        await asyncio.sleep(2 * LINGER_S)
        assert listening.open <= BOUNDS.max_connections
        for each in callers:
            each.close()
        await end_all(listening, opened)

    run(main)


async def end_all(listening: Recording, opened: list[Any]) -> None:
    """Let requests end, and close all connections."""
    listening.go.set()
    for _, each in opened:
        each.close()
    await listening.end()


async def head_in_two_parts(listening: Recording) -> None:
    """Reconnect for ever, and let each request run as long as it may."""
    while True:
        reader, writer = await listening.connect()
        writer.write(HALF_HEAD)
        await asyncio.sleep(0.01)
        writer.write(b"\r\n")
        await read_line(reader)
        writer.close()


async def silent(listening: Recording) -> None:
    while True:
        reader, writer = await listening.connect()
        with contextlib.suppress(OSError):
            await reader.read()
        writer.close()


async def half_head(listening: Recording) -> None:
    while True:
        reader, writer = await listening.connect()
        writer.write(HALF_HEAD)
        with contextlib.suppress(OSError):
            await reader.read()
        writer.close()


@pytest.mark.parametrize("size", [4, 12], ids=["few", "many"])
@pytest.mark.parametrize("pause_s", [0.0, 0.01], ids=["at-once", "after-10-ms"])
@pytest.mark.parametrize("kind", [head_in_two_parts, silent, half_head])
def test_beside_a_crowd_a_new_caller_is_told_something_while_places_run(
    kind: Any, pause_s: float, size: int
) -> None:
    # Guards against: a crowd takes the connections for refusals, and others are closed without a word.
    async def main() -> None:
        bounds = ListenerBounds(max_connections=32)
        listening = await Recording(bounds).start()
        opened = await listening.fill(bounds.places)
        # There are eight extra connections.
        crowd = [asyncio.create_task(kind(listening)) for _ in range(size)]
        await asyncio.sleep(0.5)
        seen = Counter[str]()
        for _ in range(30):
            reader, writer = await listening.connect()
            await asyncio.sleep(pause_s)
            writer.write(get("/mine"))
            answered = (await read_all(reader))[:12].decode()
            seen["runs" if answered == "(no answer)" else answered or "closed unread"] += 1
            writer.close()
        running = listening.running
        for each in crowd:
            each.cancel()
        for _, each_writer in opened:
            each_writer.transport.abort()
        listening.go.set()
        await asyncio.sleep(0.02)
        await listening.end()
        assert set(seen) <= {"HTTP/1.1 503"}
        assert running <= bounds.places

    run(main)


class RandomCallers:
    """Callers that send whole and partial requests in all shapes, and leave at any moment."""

    def __init__(self, listening: Recording, chance: random.Random) -> None:
        self._listening = listening
        self._chance = chance
        self._numbers = count()
        self.problems: list[str] = []
        self.refused: set[str] = set()

    async def call_often(self) -> None:
        for _ in range(CALLS_EACH):
            reader, writer = await self._listening.connect()
            with contextlib.suppress(OSError, EOFError, TimeoutError):
                for _ in range(self._chance.randrange(1, 4)):
                    if not await self._ask(reader, writer):
                        break
            writer.close()

    async def _ask(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Send one request; return whether the connection may be used again."""
        path = f"/{next(self._numbers)}"
        data = self._request(path)
        ends_early = self._chance.random() < 0.2
        if ends_early or self._chance.random() < 0.3:
            sent = self._chance.randrange(len(data))
            writer.write(data[:sent])
            await asyncio.sleep(self._chance.random() * 0.02)
            data = data[sent:]
        if ends_early:
            return False
        writer.write(data)
        async with asyncio.timeout(self._chance.choice([0.02, 2.0])):
            return await self._read_answer(path, reader)

    def _request(self, path: str) -> bytes:
        upgrade = ("Connection: Upgrade", "Upgrade: x")
        fields = self._chance.choice([(), upgrade, ("Connection: close",)])
        data = get(path, *fields)
        if self._chance.random() < 0.7:
            return data
        head = data.replace(b"GET", b"POST").removesuffix(b"\r\n")
        return head + b"Content-Length: 4\r\n\r\nabcd"

    async def _read_answer(self, path: str, reader: asyncio.StreamReader) -> bool:
        head = await reader.readuntil(b"\r\n\r\n")
        if b" 503 " in head:
            self.refused.add(path)
            if await reader.read():
                self.problems.append("bytes after a refusal")
            return False
        if b" 200 " not in head:
            self.problems.append(repr(head))
        await reader.readexactly(self._listening.body_bytes)
        return b"connection: close" not in head


async def run_in_waves(listening: Recording) -> None:
    """Hold the requests that run, and let them end, in turn."""
    while True:
        listening.go.clear()
        await asyncio.sleep(0.02)
        listening.go.set()
        await asyncio.sleep(0.005)


@pytest.mark.parametrize("seed", range(6))
def test_random_callers_find_all_promises_kept_and_leave_nothing_behind(seed: int) -> None:
    # Guards against: some sequence of states runs a refused request, or never gives its place back.
    async def main() -> None:
        chance = random.Random(seed)
        bounds = ListenerBounds(chance.choice([2, 3, 4, 8, 16]), header_timeout_s=0.3, idle_timeout_s=0.5)
        listening = await Recording(bounds, body=b"x" * chance.choice([2, 2_000_000])).start()
        callers = RandomCallers(listening, chance)
        waves = asyncio.create_task(run_in_waves(listening))
        await asyncio.gather(*(callers.call_often() for _ in range(2 * bounds.max_connections)))
        waves.cancel()
        listening.go.set()
        await asyncio.sleep(1.0)
        left = (listening.shares.places.taken, listening.open, listening.memory.held_bytes)
        await listening.end()
        assert listening.most_running <= bounds.places
        assert callers.problems == []
        assert callers.refused & set(listening.ran) == set()
        assert left == (0, 0, 0)

    run(main)

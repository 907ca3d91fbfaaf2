"""One stand-in server with limited concurrency, a queue, signed answers, and faults on command."""

import asyncio
import itertools
import random
import time
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import NamedTuple

from soak.layout import (
    DEADLY_PATH_MARKER,
    DEADLY_WORK_S,
    DESK,
    LONG_PATH_MARKER,
    LONG_WORK_S,
    SERVER_CAPACITY,
    SERVER_PORT,
)
from soak.records import records_of, single_body
from soak.standin import EventLog, HttpMessage, encode_message, read_message
from yokesill.platform.names import HEADER_NAMES

MAX_QUEUED, MAX_CONNECTIONS, IDLE_TIMEOUT_S = 12, 60, 10.0
SHARD_WORK_S, DESK_WORK_S, SLOW_FACTOR = 0.006, 0.02, 15.0
FAILING_SHARE, BAD_VERSION_FAILING_SHARE = 0.5, 0.4
GARBLE_KINDS = ("short", "junk", "surplus", "other")
# Start lines that begin no answer, and statuses that to callers say "not run", sent of requests that ran.
ODD_START_LINES = (
    b"HTTP/1.1 000 X",
    b"HTTP/1.1 099 X",
    b"HTTP/1.1 600 X",
    b"HTTP/1.1 999 X",
    b"HTTP/2.0 200 OK",
)
FALSE_PROMISES = (408, 429, 503)
REQUEST_ID, DEADLINE, SIGNATURE, EXPECTED_INSTANCE, LOAD, NOT_RUN = (
    name.decode()
    for name in (
        HEADER_NAMES.request_id,
        HEADER_NAMES.deadline,
        HEADER_NAMES.signature,
        HEADER_NAMES.expect_instance,
        HEADER_NAMES.load,
        HEADER_NAMES.not_executed,
    )
)


# What a server in mode "endless" sends behind its answer, with a pause between the pieces.
ENDLESS_PIECE, ENDLESS_PAUSE_S = b"x" * 65536, 0.001
DARK_POLL_S = 0.05


class Work(NamedTuple):
    """What one kind of request asks of a server: the mean of its work, and the size of its answer.

    ``body_bytes`` is 0 for the size that the answers have by themselves.
    """

    mean_s: float
    body_bytes: int = 0


class ServerTerms(NamedTuple):
    """The properties of a server.

    ``kinds`` has the work of requests by the first segment of their path, ``work`` that of all others. The
    server pauses for ``pause_s`` every ``pause_every_s`` (0: never), multiplies its work by ``speed``, and by
    ``cold_factor`` too in its first ``cold_s``.
    """

    work: Work
    shard: bool = True
    slots: int = SERVER_CAPACITY
    queue: int = MAX_QUEUED
    max_connections: int = MAX_CONNECTIONS
    kinds: Mapping[str, Work] = MappingProxyType({})
    speed: float = 1.0
    pause_s: float = 0.0
    pause_every_s: float = 0.0
    cold_s: float = 0.0
    cold_factor: float = 1.0
    tells_load: bool = True


def default_terms(service: str) -> ServerTerms:
    """Return the properties of a server of the soak's own services."""
    if service == DESK:
        return ServerTerms(Work(DESK_WORK_S), shard=False)
    return ServerTerms(Work(SHARD_WORK_S))


class Answer(NamedTuple):
    """The bytes of an answer, and whether the connection is closed after it."""

    content: bytes
    close: bool = False
    endless: bool = False


class Server:
    """One incarnation of a server at one address.

    ``mode`` is its current fault, which strikes ``fault_share`` of the answers that it may spoil and slows
    work down by ``slow_factor``; ``bad`` tells whether its software version is faulty.
    """

    def __init__(
        self,
        instance: str,
        service: str,
        version: str,
        log: EventLog,
        rng: random.Random,
        terms: ServerTerms | None = None,
    ) -> None:
        self.instance = instance
        self.service = service
        self.version = version
        self.terms = terms or default_terms(service)
        self.mode = "sound"
        self.slow_factor = SLOW_FACTOR
        self.fault_share = 1.0
        self.bad = False
        self.leaving = False
        self.on_crash: Callable[[], None] = lambda: None
        self._log = log
        self._rng = rng
        self._running = 0
        self._waiting = 0
        self._slots = asyncio.Semaphore(self.terms.slots)
        self._started_s = time.monotonic()
        self._cold_until_s = self._started_s + self.terms.cold_s
        # Servers pause each at a time of its own; most have no pauses and draw no number.
        self._phase_s = self._started_s - (
            rng.random() * self.terms.pause_every_s if self.terms.pause_s else 0
        )
        self._numbers = itertools.count(1)
        self._writers: set[asyncio.StreamWriter] = set()
        self._listener: asyncio.Server | None = None
        self._last_answer = b""

    async def start(self, host: str) -> None:
        """Start to listen on the server port of ``host``."""
        self._listener = await asyncio.start_server(self._serve, host, SERVER_PORT, backlog=256)

    def end(self) -> None:
        """Stop listening and abort all connections at once."""
        if self._listener is not None:
            self._listener.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self._log.write("ended", server=self.instance)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(self._writers) >= self.terms.max_connections:
            writer.transport.abort()
            return
        self._writers.add(writer)
        try:
            for exchange in itertools.count():
                async with asyncio.timeout(IDLE_TIMEOUT_S):
                    request = await read_message(reader)
                if request is None:
                    return
                answer = await self._answer(request, later=exchange > 0)
                if answer is None:
                    writer.transport.abort()
                    return
                writer.write(answer.content)
                await writer.drain()
                while answer.endless:
                    writer.write(ENDLESS_PIECE)
                    await writer.drain()
                    await asyncio.sleep(ENDLESS_PAUSE_S)
                if answer.close:
                    return
        except (OSError, ValueError, TimeoutError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request: HttpMessage, later: bool) -> Answer | None:
        """Return the answer, to a ``later`` request of its connection or the first; ``None`` aborts it."""
        if request.start_line[1] == "/health":
            status = 503 if self.leaving else 200
            return Answer(self._encode(status, {"x-yokesill-instance-id": self.instance}))
        if self.mode == "dark":
            # Connections that hang are given up at the end, so that they hold no places any longer.
            while self.mode == "dark":
                await asyncio.sleep(DARK_POLL_S)
            return None
        refusal = self._refusal(request)
        if refusal:
            self._log_arrival(request, ran=False, signature="", status=refusal)
            echoed = {REQUEST_ID: request.headers[REQUEST_ID]} if request.headers.get(REQUEST_ID) else {}
            return Answer(self._encode(refusal, {NOT_RUN: "1"} | echoed))
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        self._running += 1
        try:
            return await self._work(request, later)
        finally:
            self._running -= 1
            self._slots.release()

    def _refusal(self, request: HttpMessage) -> int:
        if request.headers.get(EXPECTED_INSTANCE, self.instance) != self.instance:
            return 421
        if not request.headers.get(REQUEST_ID):
            return 400
        return 503 if self.mode == "full" or self._waiting >= self.terms.queue else 0

    async def _work(self, request: HttpMessage, later: bool) -> Answer | None:
        request_id = request.headers[REQUEST_ID]
        signature = f"{self.instance}.{next(self._numbers)}"
        self._log_arrival(request, ran=True, signature=signature)
        if DEADLY_PATH_MARKER in request.start_line[1]:
            await asyncio.sleep(DEADLY_WORK_S)
            self._log.write("crashed", server=self.instance, path=request.start_line[1])
            self.on_crash()
            return None
        work = self._work_of(request.start_line[1])
        if pause_left_s := self._pause_left_s():
            await asyncio.sleep(pause_left_s)
        work_s = work.mean_s * self._rng.lognormvariate(0, 0.4) * self.terms.speed
        work_s *= self.terms.cold_factor if self.warmup_left_s() else 1.0
        work_s *= self.slow_factor if self.mode == "slow" else 1.0
        work_s += LONG_WORK_S if LONG_PATH_MARKER in request.start_line[1] else 0.0
        remaining_s = int(request.headers.get(DEADLINE, "60000")) / 1000
        await asyncio.sleep(min(work_s, remaining_s))
        failing = self.mode == "fails" and self._rng.random() < FAILING_SHARE
        failing = failing or (self.bad and self._rng.random() < BAD_VERSION_FAILING_SHARE)
        status = 504 if work_s > remaining_s else 500 if failing else 200
        if self.mode == "loses_answers" and self._strikes():
            return None
        if status != 200:
            self._log_done(signature, status)
            return Answer(self._signed(status, request_id, signature, b"failed"))
        if self.mode == "false_promises" and self._strikes():
            status = self._rng.choice(FALSE_PROMISES)
            self._log_done(signature, status)
            return Answer(self._signed(status, request_id, signature, b"failed"))
        content = self._signed(200, request_id, signature, self._body(work, request_id, signature))
        if self.mode == "endless":
            self._log_done(signature, 0)
            return Answer(content.replace(b"content-length", b"x-length"), endless=True)
        if self.mode == "odd_status" and self._strikes():
            self._log_done(signature, 0)
            return Answer(self._rng.choice(ODD_START_LINES) + content[content.index(b"\r\n") :])
        if self.mode == "late_rejections" and later and self._strikes():
            self._log_done(signature, 0)
            return Answer(self._late_rejection() + content)
        garble = self._rng.choice(GARBLE_KINDS) if self.mode == "garbles" and self._strikes() else ""
        # A truncated or unreadable answer does not count as an answer, so it is recorded with status 0.
        self._log_done(signature, 0 if garble in ("short", "junk", "other") else 200)
        answer = self._garble(garble, content)
        if not garble:
            self._last_answer = content
        return answer

    def warmup_left_s(self) -> float:
        """Return how much longer the server is cold."""
        return max(0.0, self._cold_until_s - time.monotonic())

    def turn_cold(self, seconds: float) -> None:
        """Be cold for a time from now on."""
        self._cold_until_s = time.monotonic() + seconds
        self._log.write("turned_cold", server=self.instance, service=self.service, seconds=seconds)

    def _work_of(self, path: str) -> Work:
        return self.terms.kinds.get(path.split("/", 2)[1], self.terms.work)

    def _pause_left_s(self) -> float:
        """Return what is left of the current pause, with which each period ends."""
        if not self.terms.pause_every_s:
            return 0.0
        left_s = self.terms.pause_every_s - (time.monotonic() - self._phase_s) % self.terms.pause_every_s
        return left_s if left_s <= self.terms.pause_s else 0.0

    def _strikes(self) -> bool:
        """Whether the current fault strikes an answer that it may spoil."""
        return self.fault_share >= 1.0 or self._rng.random() < self.fault_share

    def _body(self, work: Work, request_id: str, signature: str) -> bytes:
        if not self.terms.shard:
            return single_body(signature, work.body_bytes)
        return b"".join(records_of(self.service, request_id, work.body_bytes))

    def _garble(self, garble: str, content: bytes) -> Answer:
        match garble:
            case "short":
                return Answer(content[:-20], close=True)
            case "junk":
                return Answer(b"\x00\xff not an answer at all\r\n\r\n" + content[-40:], close=True)
            case "surplus":
                return Answer(content + self._last_answer)
            case "other":
                return Answer(self._last_answer or b"HTTP/1.1 200 OK\r\n\r\n", close=True)
        return Answer(content, close=self.leaving)

    def _late_rejection(self) -> bytes:
        """Return a surplus rejection, which names a request of before or, as some do, none."""
        named = {REQUEST_ID: "an-earlier-request"} if self._rng.random() < 0.5 else {}
        return self._encode(503, {NOT_RUN: "1"} | named)

    def _signed(self, status: int, request_id: str, signature: str, body: bytes) -> bytes:
        headers = {REQUEST_ID: request_id, SIGNATURE: signature}
        if self.terms.tells_load:
            headers[LOAD] = f"{self._running}, {self._waiting}, {self.terms.slots}"
        return self._encode(status, headers, body)

    def _encode(self, status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
        if self.leaving:
            headers = headers | {"connection": "close"}
        return encode_message(f"HTTP/1.1 {status} X", headers, body)

    def _log_arrival(self, request: HttpMessage, ran: bool, signature: str, status: int = 0) -> None:
        self._log.write(
            "arrived",
            server=self.instance,
            service=self.service,
            version=self.version,
            id=request.headers.get(REQUEST_ID, ""),
            path=request.start_line[1],
            ran=ran,
            signature=signature,
            status=status,
        )

    def _log_done(self, signature: str, status: int) -> None:
        self._log.write("done", signature=signature, status=status)

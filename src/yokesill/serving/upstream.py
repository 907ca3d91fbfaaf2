"""Connections to servers: a bounded set for each incarnation, one request at a time on each.

A connection whose reply was not read to its end, or after whose reply more bytes came, is closed
and never used again. Over anyio streams, so that the same code runs in virtual time.
"""

import contextlib
import select
from collections import deque
from collections.abc import Awaitable, Callable

import anyio
import anyio.abc

from yokesill.comm.http_reply import HttpReplyReader, ReplyError

READ_BYTES = 64 * 1024
SENT_AT_ONCE_BYTES = 16 * 1024
IDLE_SHARE = 0.8
IDLE_DEFAULT = 60.0
POLLED_EVENTS = select.POLLIN | select.POLLHUP | select.POLLERR
Connector = Callable[[str, int], Awaitable[anyio.abc.ByteStream]]


async def connect_tcp(host: str, port: int) -> anyio.abc.ByteStream:
    """Open a TCP connection."""
    return await anyio.connect_tcp(host, port)


class UpstreamConnection:
    """One open connection; ``reusable_until`` (s) is when the server may close it for idleness."""

    def __init__(self, stream: anyio.abc.ByteStream) -> None:
        self.reusable_until = 0.0
        self._stream = stream
        self._poll: select.poll | None = None
        raw = stream.extra(anyio.abc.SocketAttribute.raw_socket, None)
        if raw is not None:
            self._poll = select.poll()
            self._poll.register(raw, POLLED_EVENTS)

    def usable(self, now: float) -> bool:
        """Whether it is still open and quiet: nothing came in while nobody asked."""
        if now >= self.reusable_until:
            return False
        return self._poll is None or not self._poll.poll(0)

    async def exchange(self, request: bytes, bodiless: bool) -> HttpReplyReader:
        """Send a request and read its whole reply.

        A server may answer a long request before it has read it: such a connection is not kept, since
        the rest of the request would be taken for the next one. Raises ``ReplyError``, ``OSError`` or
        an anyio resource error.
        """
        reader = HttpReplyReader(bodiless)
        if len(request) <= SENT_AT_ONCE_BYTES:
            await self._stream.send(request)
            await self._read(reader)
            return reader
        sent_whole = False

        async def send() -> None:
            nonlocal sent_whole
            with contextlib.suppress(anyio.BrokenResourceError):
                await self._stream.send(request)
                sent_whole = True

        async with anyio.create_task_group() as task_group:
            task_group.start_soon(send)
            try:
                await self._read(reader)
            except (ReplyError, OSError, anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
                failure: Exception | None = error
            else:
                failure = None
            task_group.cancel_scope.cancel()
        if failure is not None:
            raise failure
        reader.keep_alive = reader.keep_alive and sent_whole
        return reader

    async def _read(self, reader: HttpReplyReader) -> None:
        while not reader.complete:
            try:
                data = await self._stream.receive(READ_BYTES)
            except anyio.EndOfStream:
                reader.end_of_stream()
            else:
                reader.feed(data)

    async def aclose(self) -> None:
        """Close it at once."""
        await anyio.aclose_forcefully(self._stream)


class ConnectionSet:
    """Connections to one incarnation of a server; whoever finds all in use waits its turn."""

    def __init__(self, host: str, port: int, connect: Connector) -> None:
        self.busy = 0
        self._host = host
        self._port = port
        self._connect = connect
        self._idle: list[UpstreamConnection] = []
        self._waiters: deque[anyio.Event] = deque()

    async def reserve(self, limit: int) -> UpstreamConnection | None:
        """Wait until one of ``limit`` connections is free and count it as in use.

        Returns an open one that was used lately, or ``None``: the caller opens one by ``open``.
        """
        while self.busy >= limit:
            await self._wait()
        self.busy += 1
        while self._idle:
            connection = self._idle.pop()
            if connection.usable(anyio.current_time()):
                return connection
            await connection.aclose()
        return None

    async def open(self) -> UpstreamConnection:
        """Open the connection that was reserved. Raises ``OSError``, and gives the place back then."""
        try:
            return UpstreamConnection(await self._connect(self._host, self._port))
        except BaseException:
            self._free()
            raise

    def give_back(self, connection: UpstreamConnection, reusable_until: float) -> None:
        """Keep a connection whose reply was read to its end."""
        connection.reusable_until = reusable_until
        self._idle.append(connection)
        self._free()

    async def drop(self, connection: UpstreamConnection) -> None:
        """Close a connection that must not be used again, also when the caller is cancelled."""
        self._free()
        with anyio.CancelScope(shield=True):
            await connection.aclose()

    async def aclose(self) -> None:
        """Close the idle connections."""
        while self._idle:
            await self._idle.pop().aclose()

    async def _wait(self) -> None:
        turn = anyio.Event()
        self._waiters.append(turn)
        try:
            await turn.wait()
        except BaseException:
            if turn.is_set():
                self._wake_next()
            else:
                self._waiters.remove(turn)
            raise

    def _free(self) -> None:
        self.busy -= 1
        self._wake_next()

    def _wake_next(self) -> None:
        if self._waiters:
            self._waiters.popleft().set()


def idle_time(keep_alive: bytes | None) -> float:
    """Return how long a connection may rest, in seconds, by the server's ``Keep-Alive`` header."""
    if keep_alive is None:
        return IDLE_DEFAULT
    for part in keep_alive.split(b","):
        name, _, value = part.strip().partition(b"=")
        if name.lower() == b"timeout" and value.isdigit():
            return int(value) * IDLE_SHARE
    return IDLE_DEFAULT

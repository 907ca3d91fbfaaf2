"""One HTTP/1.1 connection over an anyio stream: for calls that are few, such as long polls of the registry.

Awaited, unlike ``upstreams.connections``, which calls back for the sake of its cost; tests run the same code
in virtual time. Owns one stream; ``api_client`` keeps idle connections.
"""

import contextlib
import select

import anyio
import anyio.abc

from yokesill.comm.http_reply import HttpReplyReader, ReplyError
from yokesill.upstreams.wires import POLLED_EVENTS, READ_BYTES

# A larger request is sent beside reading: the server may answer before it has read it.
SENT_AT_ONCE_BYTES = 16 * 1024


async def connect_tcp(host: str, port: int) -> anyio.abc.ByteStream:
    """Open a TCP connection."""
    return await anyio.connect_tcp(host, port)


class StreamConnection:
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
        """Whether it is still open, with nothing to read between calls."""
        if now >= self.reusable_until:
            return False
        return self._poll is None or not self._poll.poll(0)

    async def exchange(self, request: bytes, bodiless: bool) -> HttpReplyReader:
        """Send a request and read its whole reply.

        A server may answer a long request before it has read it: such a connection is not reused, since
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
            # Not an error by itself: what reading finds, a reply or the end, is the outcome.
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

"""One HTTP/1.1 connection over an anyio stream, for infrequent calls such as long polls of the registry.

It is awaited, unlike ``upstreams.connections``, which uses callbacks because they cost less; tests run the
same code in virtual time. Owns one stream; ``api_client`` keeps idle connections.
"""

import contextlib
import select

import anyio
import anyio.abc

from yokesill.comm.http_reply import HttpReplyReader, ReplyError
from yokesill.upstreams.wires import POLLED_EVENTS, READ_BYTES

# An answer of the registry or of another node has one page of objects, one object, or some changes.
MAX_REPLY_BYTES = 4 * 1024 * 1024
# A larger request is sent while the reply is read, since the server may answer before it has read all of it.
MAX_INLINE_SEND_BYTES = 16 * 1024


async def connect_tcp(host: str, port: int) -> anyio.abc.ByteStream:
    """Open a TCP connection."""
    return await anyio.connect_tcp(host, port)


class StreamConnection:
    """One open connection; ``reusable_until`` (in seconds) is when the server may close it as idle."""

    def __init__(self, stream: anyio.abc.ByteStream) -> None:
        self.reusable_until = 0.0
        self._stream = stream
        self._poll: select.poll | None = None
        raw = stream.extra(anyio.abc.SocketAttribute.raw_socket, None)
        if raw is not None:
            self._poll = select.poll()
            self._poll.register(raw, POLLED_EVENTS)

    def usable(self, now: float) -> bool:
        """Return whether the connection is open and has no unread data between calls."""
        if now >= self.reusable_until:
            return False
        return self._poll is None or not self._poll.poll(0)

    async def exchange(self, request: bytes, bodiless: bool) -> HttpReplyReader:
        """Send a request and read its complete reply.

        A server may answer a large request before it has read all of it: such a connection is not reused,
        since the server would parse the rest of the request as the next one. Raises ``ReplyError``,
        ``OSError`` or an anyio resource error.
        """
        reader = HttpReplyReader(bodiless, max_body_bytes=MAX_REPLY_BYTES)
        if len(request) <= MAX_INLINE_SEND_BYTES:
            await self._stream.send(request)
            await self._read(reader)
            return reader
        sent_whole = False

        async def send() -> None:
            nonlocal sent_whole
            # Not an error by itself: the outcome is what the reader receives, a reply or the end of the
            # stream.
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
        try:
            while not reader.complete:
                try:
                    data = await self._stream.receive(READ_BYTES)
                except anyio.EndOfStream:
                    reader.end_of_stream()
                else:
                    reader.feed(data)
        finally:
            reader.release()

    async def aclose(self) -> None:
        """Close the connection immediately."""
        await anyio.aclose_forcefully(self._stream)

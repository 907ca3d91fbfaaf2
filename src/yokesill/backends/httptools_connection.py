"""An HTTP/1.1 connection with httpcore's interface over httptools, at a fraction of the cost of h11.

httptools is the parser of uvicorn; this adapter parses nothing itself. It is stricter than h11 where that is
safe: a reply must be framed (by a length or chunks), and data after a reply closes the connection.
"""

import contextlib
import select
from collections.abc import AsyncIterator, Mapping
from typing import Any

import anyio
import anyio.abc
import httpcore

from yokesill.comm.http_reply import HttpReplyReader, ReplyError

READ_BYTES = 64 * 1024
POLLED_EVENTS = select.POLLIN | select.POLLHUP | select.POLLERR


class _Body:
    """The stream of a reply body that was already read."""

    def __init__(self, content: bytes) -> None:
        self._content = content

    async def __aiter__(self) -> AsyncIterator[bytes]:
        yield self._content

    async def aclose(self) -> None:
        """Do nothing: the stream holds no resource."""


class HttptoolsConnection(httpcore.AsyncConnectionInterface):
    """A connection to one origin; connects on first use and carries one request at a time."""

    def __init__(self, origin: httpcore.Origin) -> None:
        self._origin = origin
        self._stream: anyio.abc.SocketStream | None = None
        self._poll: select.poll | None = None
        self._busy = False
        self._closed = False

    async def handle_async_request(self, request: httpcore.Request) -> httpcore.Response:
        """Send a request and read its reply to the end."""
        if self._busy or self._closed:
            raise httpcore.ConnectionNotAvailable
        times: Mapping[str, float] = request.extensions.get("timeout", {})
        self._busy = True
        try:
            if self._stream is None:
                self._stream = await self._connect(times.get("connect"))
            await self._write(self._stream, await _encode(request), times.get("write"))
            response = await self._read(self._stream, times.get("read"))
        except BaseException:
            self._closed = True
            raise
        self._busy = False
        return response

    async def _connect(self, timeout: float | None) -> anyio.abc.SocketStream:
        try:
            with anyio.fail_after(timeout):
                stream = await anyio.connect_tcp(self._origin.host.decode(), self._origin.port)
        except TimeoutError as error:
            raise httpcore.ConnectTimeout(str(error)) from error
        except OSError as error:
            raise httpcore.ConnectError(str(error)) from error
        raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
        self._poll = select.poll()
        self._poll.register(raw, POLLED_EVENTS)
        return stream

    async def _write(self, stream: anyio.abc.SocketStream, data: bytes, timeout: float | None) -> None:
        try:
            with _timeout_scope(timeout):
                await stream.send(data)
        except TimeoutError as error:
            raise httpcore.WriteTimeout(str(error)) from error
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError) as error:
            raise httpcore.WriteError(str(error)) from error

    async def _read(self, stream: anyio.abc.SocketStream, timeout: float | None) -> httpcore.Response:
        reader = HttpReplyReader()
        try:
            with _timeout_scope(timeout):
                while not reader.complete:
                    reader.feed(await stream.receive(READ_BYTES))
        except TimeoutError as error:
            raise httpcore.ReadTimeout(str(error)) from error
        except ReplyError as error:
            raise httpcore.RemoteProtocolError(str(error)) from error
        except anyio.EndOfStream as error:
            raise httpcore.RemoteProtocolError("the server closed within a reply") from error
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError) as error:
            raise httpcore.ReadError(str(error)) from error
        finally:
            reader.release()
        if not reader.framed:
            raise httpcore.RemoteProtocolError("the reply does not say where it ends")
        self._closed = reader.surplus or not reader.keep_alive
        return httpcore.Response(reader.status, headers=reader.headers, content=_Body(reader.body))

    async def aclose(self) -> None:
        """Close the connection."""
        self._closed = True
        if self._stream is not None:
            await anyio.aclose_forcefully(self._stream)

    def info(self) -> str:
        """Return a short description of the connection and its state."""
        state = "closed" if self._closed else "busy" if self._busy else "idle"
        return f"{self._origin.host.decode()}:{self._origin.port}, httptools, {state}"

    def can_handle_request(self, origin: httpcore.Origin) -> bool:
        """Whether the connection is to ``origin``."""
        return bool(origin == self._origin)

    def is_available(self) -> bool:
        """Whether the connection can take a request now."""
        return not self._busy and not self._closed

    def has_expired(self) -> bool:
        """Whether the server closed the connection, or sent unsolicited data, while it was idle."""
        return self._poll is not None and bool(self._poll.poll(0))

    def is_idle(self) -> bool:
        """Whether no request is in progress."""
        return not self._busy

    def is_closed(self) -> bool:
        """Whether the connection is closed or must not be used again."""
        return self._closed


def _timeout_scope(timeout: float | None) -> contextlib.AbstractContextManager[Any]:
    """Return a cancel scope only if ``timeout`` is set, since a scope costs as much as parsing a reply."""
    return contextlib.nullcontext() if timeout is None else anyio.fail_after(timeout)


async def _encode(request: httpcore.Request) -> bytes:
    """Return the bytes of a request; header names and values come from this package, never callers."""
    lines = [request.method + b" " + request.url.target + b" HTTP/1.1"]
    lines.extend(name + b": " + value for name, value in request.headers)
    stream: Any = request.stream
    body = b"".join([chunk async for chunk in stream])
    return b"\r\n".join(lines) + b"\r\n\r\n" + body

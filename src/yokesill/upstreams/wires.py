"""Byte transports to servers that deliver received bytes by callback.

A wide request causes a hundred exchanges with servers, and a task and a cancel scope for each would cost more
than the exchange. Connections here therefore use callbacks, as uvicorn's listener does: over asyncio
transports in a serving node, and over any anyio byte stream in virtual time.
"""

import asyncio
import math
import select
from collections.abc import Awaitable, Callable
from typing import Protocol

import anyio
import anyio.abc

READ_BYTES = 64 * 1024
POLLED_EVENTS = select.POLLIN | select.POLLHUP | select.POLLERR
StreamConnector = Callable[[str, int], Awaitable[anyio.abc.ByteStream]]


class TransportUser(Protocol):
    """Receives the bytes and the end of a transport."""

    def data_received(self, data: bytes) -> None:
        """Called with bytes as they arrive."""

    def transport_closed(self, error: Exception | None) -> None:
        """Called when the transport ends; ``error`` is ``None`` if the other side closed it normally."""


class ByteTransport(Protocol):
    """One open transport."""

    def write(self, data: bytes) -> None:
        """Send bytes; those that can't be sent yet are buffered and sent in order."""

    def unsent_bytes(self) -> int:
        """Return the number of buffered bytes."""

    def has_no_unread_data(self) -> bool:
        """Whether all received bytes have been delivered, and no end of the connection is waiting."""

    def close(self) -> None:
        """Close immediately, without a further callback."""


Dial = Callable[[str, int, TransportUser], Awaitable[ByteTransport]]


class TcpTransport(asyncio.BufferedProtocol):
    """A TCP connection over an asyncio transport.

    All connections share one read buffer: its bytes are copied out before the next read, and allocating a
    buffer for each read would cost more than the read.
    """

    _buffer = memoryview(bytearray(READ_BYTES))

    def __init__(self, user: TransportUser) -> None:
        self._user: TransportUser | None = user
        self._transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the asyncio transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the shared read buffer."""
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Pass the received bytes to the user."""
        if self._user is not None:
            self._user.data_received(bytes(self._buffer[:nbytes]))

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the connection to the user."""
        user, self._user = self._user, None
        if user is not None:
            user.transport_closed(exc)

    def write(self, data: bytes) -> None:
        """See ``ByteTransport.write``."""
        self._transport.write(data)

    def unsent_bytes(self) -> int:
        """See ``ByteTransport.unsent_bytes``."""
        return self._transport.get_write_buffer_size()

    def has_no_unread_data(self) -> bool:
        """See ``ByteTransport.has_no_unread_data``; polls the socket."""
        poll = select.poll()
        poll.register(self._transport.get_extra_info("socket"), POLLED_EVENTS)
        return not poll.poll(0)

    def close(self) -> None:
        """See ``ByteTransport.close``."""
        self._user = None
        self._transport.abort()


async def dial_tcp(host: str, port: int, user: TransportUser) -> ByteTransport:
    """Open a TCP connection.

    Raises
    ------
    OSError
        If the connection could not be opened.
    """
    loop = asyncio.get_running_loop()
    _, transport = await loop.create_connection(lambda: TcpTransport(user), host, port)
    return transport


class StreamTransport:
    """A connection over an anyio byte stream, with one task that reads and one that writes."""

    def __init__(self, stream: anyio.abc.ByteStream, user: TransportUser) -> None:
        self._stream = stream
        self._user: TransportUser | None = user
        self._unsent = 0
        self._outbox, self._inbox = anyio.create_memory_object_stream[bytes](math.inf)
        self._scope = anyio.CancelScope()

    async def run(self) -> None:
        """Read and write until the stream is closed."""
        with self._scope:
            async with anyio.create_task_group() as task_group:
                task_group.start_soon(self._send)
                await self._receive()
                task_group.cancel_scope.cancel()
        with anyio.CancelScope(shield=True):
            await anyio.aclose_forcefully(self._stream)

    def write(self, data: bytes) -> None:
        """See ``ByteTransport.write``."""
        self._unsent += len(data)
        self._outbox.send_nowait(data)

    def unsent_bytes(self) -> int:
        """See ``ByteTransport.unsent_bytes``."""
        return self._unsent

    def has_no_unread_data(self) -> bool:
        """See ``ByteTransport.has_no_unread_data``; always ``True``, as streams can't be polled."""
        return True

    def close(self) -> None:
        """See ``ByteTransport.close``."""
        self._user = None
        self._scope.cancel()

    async def _send(self) -> None:
        async for data in self._inbox:
            try:
                await self._stream.send(data)
            except (anyio.BrokenResourceError, OSError):
                # ``_receive`` ends with the same connection and reports the error.
                return
            self._unsent -= len(data)

    async def _receive(self) -> None:
        error: Exception | None = None
        while True:
            try:
                data = await self._stream.receive(READ_BYTES)
            except anyio.EndOfStream:
                break
            except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError) as receive_error:
                error = receive_error
                break
            if self._user is not None:
                self._user.data_received(data)
        user, self._user = self._user, None
        if user is not None:
            user.transport_closed(error)


def dial_streams(connect: StreamConnector, task_group: anyio.abc.TaskGroup) -> Dial:
    """Return a ``Dial`` over anyio byte streams whose tasks run in ``task_group``."""

    async def dial(host: str, port: int, user: TransportUser) -> ByteTransport:
        transport = StreamTransport(await connect(host, port), user)
        task_group.start_soon(transport.run)
        return transport

    return dial

"""Byte connections that call back when bytes come.

The way to servers carries a hundred exchanges for one wide request, and a task and a cancel scope
for each costs more than the exchange. So a connection here is a callback, as in uvicorn's own
listener: over asyncio's transports in a serving node, over any anyio byte stream in virtual time.
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


class WireUser(Protocol):
    """The user of a connection."""

    def data_received(self, data: bytes) -> None:
        """Called with bytes as they arrive."""

    def wire_closed(self, error: Exception | None) -> None:
        """Called at the end of the connection; ``None`` if the other side closed it normally."""


class Wire(Protocol):
    """One open connection."""

    def write(self, data: bytes) -> None:
        """Send bytes; what can't be sent yet is kept and sent in order."""

    def unsent_bytes(self) -> int:
        """Return how many bytes are still kept."""

    def has_no_unread_data(self) -> bool:
        """Whether neither bytes nor an end have arrived that were not passed on yet."""

    def close(self) -> None:
        """Close at once, without a further callback."""


Dial = Callable[[str, int, WireUser], Awaitable[Wire]]


class TcpWire(asyncio.BufferedProtocol):
    """A TCP connection over asyncio's transport.

    All connections read into one buffer: its bytes are handed on before the next read, and a buffer
    for each read would cost more than the read.
    """

    _buffer = memoryview(bytearray(READ_BYTES))

    def __init__(self, user: WireUser) -> None:
        self._user: WireUser | None = user
        self._transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the open transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer to read into."""
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Hand bytes to the user."""
        if self._user is not None:
            self._user.data_received(bytes(self._buffer[:nbytes]))

    def connection_lost(self, exc: Exception | None) -> None:
        """Hand the end to the user."""
        user, self._user = self._user, None
        if user is not None:
            user.wire_closed(exc)

    def write(self, data: bytes) -> None:
        """See ``Wire.write``."""
        self._transport.write(data)

    def unsent_bytes(self) -> int:
        """See ``Wire.unsent_bytes``."""
        return self._transport.get_write_buffer_size()

    def has_no_unread_data(self) -> bool:
        """See ``Wire.has_no_unread_data``; asks the kernel."""
        poll = select.poll()
        poll.register(self._transport.get_extra_info("socket"), POLLED_EVENTS)
        return not poll.poll(0)

    def close(self) -> None:
        """See ``Wire.close``."""
        self._user = None
        self._transport.abort()


async def dial_tcp(host: str, port: int, user: WireUser) -> Wire:
    """Open a TCP connection.

    Raises
    ------
    OSError
        It could not be opened.
    """
    loop = asyncio.get_running_loop()
    _, wire = await loop.create_connection(lambda: TcpWire(user), host, port)
    return wire


class StreamWire:
    """A connection over an anyio byte stream; a task reads it and another one writes."""

    def __init__(self, stream: anyio.abc.ByteStream, user: WireUser) -> None:
        self._stream = stream
        self._user: WireUser | None = user
        self._unsent = 0
        self._outbox, self._inbox = anyio.create_memory_object_stream[bytes](math.inf)
        self._scope = anyio.CancelScope()

    async def run(self) -> None:
        """Read and write until it is closed."""
        with self._scope:
            async with anyio.create_task_group() as task_group:
                task_group.start_soon(self._send)
                await self._receive()
                task_group.cancel_scope.cancel()
        with anyio.CancelScope(shield=True):
            await anyio.aclose_forcefully(self._stream)

    def write(self, data: bytes) -> None:
        """See ``Wire.write``."""
        self._unsent += len(data)
        self._outbox.send_nowait(data)

    def unsent_bytes(self) -> int:
        """See ``Wire.unsent_bytes``."""
        return self._unsent

    def has_no_unread_data(self) -> bool:
        """See ``Wire.has_no_unread_data``; a stream can't be asked."""
        return True

    def close(self) -> None:
        """See ``Wire.close``."""
        self._user = None
        self._scope.cancel()

    async def _send(self) -> None:
        async for data in self._inbox:
            try:
                await self._stream.send(data)
            except (anyio.BrokenResourceError, OSError):
                # Reported by ``_receive``, which ends with the connection and says why.
                return
            self._unsent -= len(data)

    async def _receive(self) -> None:
        error: Exception | None = None
        while True:
            try:
                data = await self._stream.receive(READ_BYTES)
            except anyio.EndOfStream:
                break
            except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError) as broken:
                error = broken
                break
            if self._user is not None:
                self._user.data_received(data)
        user, self._user = self._user, None
        if user is not None:
            user.wire_closed(error)


def dial_streams(connect: StreamConnector, task_group: anyio.abc.TaskGroup) -> Dial:
    """Return a way to dial over anyio byte streams, whose tasks run in ``task_group``."""

    async def dial(host: str, port: int, user: WireUser) -> Wire:
        wire = StreamWire(await connect(host, port), user)
        task_group.start_soon(wire.run)
        return wire

    return dial

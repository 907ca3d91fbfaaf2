"""Callers that hold connections: slow heads, bodies and empty lines, and answers that they don't take.

Their requests have no route, so that none of them reaches a server.
"""

import asyncio
import contextlib
import errno
import socket
import time
from typing import NamedTuple

from soak.layout import FRONT_PORT, HOST
from yokesill.platform.names import HEADER_NAMES

# Of each way; all together more than twice as many as a node takes with ``layout.MAX_DESCRIPTORS``.
CONNECTIONS_EACH = 100
SEND_EVERY_S, RECONNECT_PAUSE_S = 0.5, 0.1
SMALL_RECEIVE_BUFFER_BYTES = 4096
REQUESTS_AHEAD = 20

FIELDS = f"host: {HOST}\r\n{HEADER_NAMES.request_id.decode()}: slow\r\n".encode()
HEAD = b"GET /no-route HTTP/1.1\r\n" + FIELDS
BODY_HEAD = b"POST /no-route HTTP/1.1\r\n" + FIELDS + b"content-length: 60000\r\n\r\n"


class Way(NamedTuple):
    """How a caller holds its connection: it sends ``opening``, then ``repeated`` at intervals."""

    opening: bytes
    repeated: bytes
    reads: bool = True


WAYS = (
    Way(HEAD, b"a: b\r\n"),
    Way(BODY_HEAD, b"x"),
    Way(HEAD + b"\r\n", b"\r\n"),
    Way(b"", (HEAD + b"\r\n") * REQUESTS_AHEAD, reads=False),
)


async def hold_connections(host: str, seconds: float) -> None:
    """Hold connections in all ways for the time; those that are closed are opened again."""
    end_s = time.monotonic() + seconds
    callers = [_hold(host, way, end_s) for way in WAYS for _ in range(CONNECTIONS_EACH)]
    await asyncio.gather(*callers)


async def _hold(host: str, way: Way, end_s: float) -> None:
    while time.monotonic() < end_s:
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(end_s - time.monotonic()):
                await _hold_one(host, way)
        await asyncio.sleep(RECONNECT_PAUSE_S)


async def _hold_one(host: str, way: Way) -> None:
    """Hold one connection until it is closed."""
    loop = asyncio.get_running_loop()
    with socket.socket() as connection:
        connection.setblocking(False)
        if not way.reads:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_RECEIVE_BUFFER_BYTES)
        await loop.sock_connect(connection, (host, FRONT_PORT))
        await loop.sock_sendall(connection, way.opening)
        while not (way.reads and _is_closed(connection)):
            await loop.sock_sendall(connection, way.repeated)
            await asyncio.sleep(SEND_EVERY_S)


def _is_closed(connection: socket.socket) -> bool:
    """Drop what has arrived, and return whether the other side has closed."""
    try:
        return connection.recv(SMALL_RECEIVE_BUFFER_BYTES) == b""
    except OSError as error:
        return error.errno != errno.EAGAIN

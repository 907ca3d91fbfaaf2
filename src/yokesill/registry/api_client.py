"""Client of one HTTP/1.1 API, of the registry or of another node, with timeouts and failures as values.

A serving node uses it for all infrequent calls, including long polls; servers are called through
``upstreams``. Owns the idle connections to its address.
"""

import json
import socket
from typing import Any, NamedTuple

import anyio
import anyio.abc

from yokesill.comm.http_reply import ReplyError, ReplyTooLargeError
from yokesill.comm.lenient_json import decode_json
from yokesill.registry.stream_connection import StreamConnection, connect_tcp
from yokesill.serving.settings import Address
from yokesill.upstreams.wires import StreamConnector
from yokesill.verdict import Failure, Reason, Verdict

# Bounds the delay that an unreachable address adds to a call.
CONNECT_TIMEOUT_S = 1.0
# How long an idle connection may be reused.
IDLE_LIMIT_S = 10.0
# First probe after one idle second, then one per second; three unanswered probes close the connection.
KEEPALIVE_OPTIONS = ((socket.TCP_KEEPIDLE, 1), (socket.TCP_KEEPINTVL, 1), (socket.TCP_KEEPCNT, 3))
CONNECTION_ERRORS = (ReplyError, anyio.BrokenResourceError, anyio.ClosedResourceError, OSError)


Headers = tuple[tuple[bytes, bytes], ...]


class RawReply(NamedTuple):
    """A complete reply as received; names of ``headers`` are in lower case."""

    status: int
    body: bytes
    headers: Headers = ()


class ApiReply(NamedTuple):
    """A complete reply; ``body`` is the decoded JSON, ``None`` if the reply has no body."""

    status: int
    body: Any
    headers: Headers = ()


async def connect_with_probes(host: str, port: int) -> anyio.abc.ByteStream:
    """Open a TCP connection whose keepalive probes detect a lost peer within seconds.

    A long poll is idle most of the time: without probes a lost connection would look like a feed without
    changes.
    """
    stream = await connect_tcp(host, port)
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket, None)
    if raw is not None:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        for option, value in KEEPALIVE_OPTIONS:
            raw.setsockopt(socket.IPPROTO_TCP, option, value)
    return stream


class ApiClient:
    """Calls one API and keeps idle connections for further calls."""

    def __init__(self, address: Address, connect: StreamConnector = connect_with_probes) -> None:
        self.calls = 0
        self._address = address
        self._connect = connect
        self._idle: list[StreamConnection] = []

    def set_address(self, address: Address) -> None:
        """Call another address from now on."""
        if address != self._address:
            self._address = address
            self._idle.clear()

    async def call(self, method: str, path: str, timeout_s: float, body: Any = None) -> ApiReply | Failure:
        """Send one request with a JSON body and read its JSON reply; see ``fetch``."""
        reply = await self.fetch(method, path, timeout_s, body)
        if isinstance(reply, Failure):
            return reply
        try:
            content = decode_json(reply.body) if reply.body else None
            return ApiReply(reply.status, content, reply.headers)
        except ValueError as error:
            return Failure(Reason.MALFORMED_REPLY, Verdict.MAY_HAVE_RUN, repr(error))

    async def fetch(self, method: str, path: str, timeout_s: float, body: Any = None) -> RawReply | Failure:
        """Send one request and read its reply within ``timeout_s`` seconds.

        A failure to connect has the verdict ``NOT_RUN``; any later failure has ``MAY_HAVE_RUN``.
        """
        self.calls += 1
        try:
            connection = await self._acquire()
        except (TimeoutError, *CONNECTION_ERRORS) as error:
            return Failure(Reason.CONNECT_FAILED, Verdict.NOT_RUN, f"{self._address}: {error!r}")
        try:
            with anyio.fail_after(timeout_s):
                reader = await connection.exchange(self._encode_request(method, path, body), bodiless=False)
        except TimeoutError:
            await self._close(connection)
            await self._close_idle()
            return Failure(Reason.TIMED_OUT, Verdict.MAY_HAVE_RUN, f"no answer in {timeout_s:.1f} s")
        except ReplyTooLargeError as error:
            await self._close(connection)
            return Failure(Reason.REPLY_TOO_LARGE, Verdict.MAY_HAVE_RUN, str(error))
        except CONNECTION_ERRORS as error:
            await self._close(connection)
            return Failure(Reason.CONNECTION_LOST, Verdict.MAY_HAVE_RUN, repr(error))
        except BaseException:
            await self._close(connection)
            raise
        if reader.keep_alive and not reader.surplus:
            connection.reusable_until = anyio.current_time() + IDLE_LIMIT_S
            self._idle.append(connection)
        else:
            await self._close(connection)
        return RawReply(reader.status, reader.body, tuple(reader.headers))

    async def _acquire(self) -> StreamConnection:
        while self._idle:
            connection = self._idle.pop()
            if connection.usable(anyio.current_time()):
                return connection
            await connection.aclose()
        with anyio.fail_after(CONNECT_TIMEOUT_S):
            return StreamConnection(await self._connect(self._address.host, self._address.port))

    async def _close_idle(self) -> None:
        """Close the idle connections, which may be as unresponsive as the one just used."""
        idle, self._idle = self._idle, []
        for connection in idle:
            await self._close(connection)

    async def _close(self, connection: StreamConnection) -> None:
        with anyio.CancelScope(shield=True):
            await connection.aclose()

    def _encode_request(self, method: str, path: str, body: Any) -> bytes:
        lines = [f"{method} {path} HTTP/1.1", f"host: {self._address}"]
        content = b"" if body is None else json.dumps(body).encode()
        if body is not None:
            lines += ["content-type: application/json", f"content-length: {len(content)}"]
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + content

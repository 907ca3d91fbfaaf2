"""A connection to a server that handles one request at a time and reports by callbacks.

A connection whose reply was not read completely, or that receives bytes without a pending request, is closed
and never reused. ``wires`` transfers the bytes, ``comm.http_reply`` parses the replies.
"""

from collections.abc import Callable
from typing import NamedTuple

from yokesill.comm.http_reply import HttpReplyReader, ReplyError
from yokesill.comm.reply_memory import ReplyMemory
from yokesill.upstreams.wires import ByteTransport, Dial

OnReplyEnd = Callable[[HttpReplyReader | Exception], None]


class ResetBeforeReplyError(Exception):
    """A connection was reset before any byte of the reply arrived."""


class ClosedBeforeReplyError(Exception):
    """A server closed a connection before any byte of the reply: it ended, or abandoned the request."""


class PendingReply(NamedTuple):
    """The reply that a connection waits for; ``on_end`` gets the complete reply or an error."""

    reader: HttpReplyReader
    on_end: OnReplyEnd


class ServerConnection:
    """One connection to a server.

    ``reusable_until`` is when the server may close it as idle, and ``idle_since`` when it became idle, in
    seconds of the node's clock. ``opened_in_s`` is how long connecting took, which is a round trip.
    ``exchanges`` is how many requests it has carried. Unfinished replies count towards ``memory``.
    """

    __slots__ = (
        "_memory",
        "_on_lost",
        "_pending",
        "_transport",
        "exchanges",
        "idle_since",
        "opened_in_s",
        "reusable_until",
    )

    def __init__(
        self, on_lost: Callable[["ServerConnection"], None], memory: ReplyMemory | None = None
    ) -> None:
        self.reusable_until = 0.0
        self.opened_in_s = 0.0
        self.exchanges = 0
        self.idle_since: float | None = None
        self._on_lost = on_lost
        self._memory = memory
        self._pending: PendingReply | None = None
        self._transport: ByteTransport | None = None

    async def open(self, dial: Dial, host: str, port: int) -> None:
        """Connect to the server; raises ``OSError``."""
        self._transport = await dial(host, port, self)

    def start(self, request: bytes, bodiless: bool, on_end: OnReplyEnd) -> None:
        """Send a request; ``on_end`` is called once, never before this call returns."""
        self.exchanges += 1
        self._pending = PendingReply(HttpReplyReader(bodiless, self._memory), on_end)
        if self._transport is not None:
            self._transport.write(request)

    def close(self) -> None:
        """Close immediately, without a callback."""
        if self._pending is not None:
            self._pending.reader.release()
        self._pending = None
        transport, self._transport = self._transport, None
        if transport is not None:
            transport.close()

    @property
    def is_open(self) -> bool:
        """Whether neither side is known to have closed it."""
        return self._transport is not None

    @property
    def reply_started(self) -> bool:
        """Whether any byte of the pending reply has arrived."""
        return self._pending is not None and self._pending.reader.started

    def has_no_unread_data(self) -> bool:
        """Whether the connection is open and all received data has been delivered."""
        return self._transport is not None and self._transport.has_no_unread_data()

    def request_sent(self) -> bool:
        """Whether the last request was sent completely.

        A server may answer a long request before it has read all of it. On a reused connection, the rest of
        that request would be read as the next one.
        """
        return self._transport is not None and self._transport.unsent_bytes() == 0

    # --- TransportUser ---

    def data_received(self, data: bytes) -> None:
        """Feed bytes to the pending reply; close the connection if there is none."""
        pending = self._pending
        if pending is None:
            self.close()
            self._on_lost(self)
            return
        try:
            pending.reader.feed(data)
        except ReplyError as error:
            self._end(pending, error)
            return
        if pending.reader.complete:
            self._end(pending, pending.reader)

    def transport_closed(self, error: Exception | None) -> None:
        """End the pending reply: one without a length is complete, any other one failed."""
        self._transport = None
        pending = self._pending
        if pending is None:
            self._on_lost(self)
            return
        if error is not None:
            started = pending.reader.started
            self._end(pending, error if started else ResetBeforeReplyError(repr(error)))
            return
        if not pending.reader.started:
            self._end(pending, ClosedBeforeReplyError("closed before a reply"))
            return
        try:
            pending.reader.end_of_stream()
        except ReplyError as malformed:
            self._end(pending, malformed)
        else:
            self._end(pending, pending.reader)

    def _end(self, pending: PendingReply, outcome: HttpReplyReader | Exception) -> None:
        self._pending = None
        pending.reader.release()
        pending.on_end(outcome)

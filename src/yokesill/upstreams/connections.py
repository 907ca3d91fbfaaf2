"""One connection to a server: one request at a time, and callbacks instead of waiting.

A connection whose reply was not read to its end, or on which bytes arrive without a request, is closed and
never used again. Relies on ``wires`` for the bytes and ``comm.http_reply`` for reading replies.
"""

from collections.abc import Callable
from typing import NamedTuple

from yokesill.comm.http_reply import HttpReplyReader, ReplyError
from yokesill.upstreams.wires import Dial, Wire

Ended = Callable[[HttpReplyReader | Exception], None]


class ResetBeforeReplyError(Exception):
    """A connection was reset before any byte of the reply came."""


class ClosedBeforeReplyError(Exception):
    """A server closed a connection before any byte of the reply came: it ended, or gave the request up."""


class PendingReply(NamedTuple):
    """What a connection waits for; ``ended`` gets the whole reply, or the error that ended it."""

    reader: HttpReplyReader
    ended: Ended


class ServerConnection:
    """One connection to a server.

    ``reusable_until`` is when the server may close it for idleness, ``rested_at`` since when it has
    been idle, in seconds of the node's clock. ``opened_in_s`` is how long connecting took (a round trip).
    """

    __slots__ = ("_lost", "_pending", "_wire", "opened_in_s", "rested_at", "reusable_until")

    def __init__(self, lost: Callable[["ServerConnection"], None]) -> None:
        self.reusable_until = 0.0
        self.opened_in_s = 0.0
        self.rested_at: float | None = None
        self._lost = lost
        self._pending: PendingReply | None = None
        self._wire: Wire | None = None

    async def open(self, dial: Dial, host: str, port: int) -> None:
        """Connect; raises ``OSError``."""
        self._wire = await dial(host, port, self)

    def start(self, request: bytes, bodiless: bool, ended: Ended) -> None:
        """Send a request; ``ended`` is called once, never within this call."""
        self._pending = PendingReply(HttpReplyReader(bodiless), ended)
        if self._wire is not None:
            self._wire.write(request)

    def close(self) -> None:
        """Close at once, without a callback."""
        self._pending = None
        wire, self._wire = self._wire, None
        if wire is not None:
            wire.close()

    @property
    def is_open(self) -> bool:
        """Whether neither side is known to have closed it."""
        return self._wire is not None

    @property
    def reply_started(self) -> bool:
        """Whether any byte of the pending reply has arrived."""
        return self._pending is not None and self._pending.reader.begun

    def has_no_unread_data(self) -> bool:
        """Whether nothing has arrived that was not passed on yet."""
        return self._wire is not None and self._wire.has_no_unread_data()

    def sent_whole(self) -> bool:
        """Whether the server was sent all of the last request.

        A server may answer a long request before it has read it. What is left of that request would
        be taken for the next one.
        """
        return self._wire is not None and self._wire.unsent_bytes() == 0

    # --- WireUser ---

    def data_received(self, data: bytes) -> None:
        """Read bytes of the reply; close on bytes without a request."""
        pending = self._pending
        if pending is None:
            self.close()
            self._lost(self)
            return
        try:
            pending.reader.feed(data)
        except ReplyError as error:
            self._end(pending, error)
            return
        if pending.reader.complete:
            self._end(pending, pending.reader)

    def wire_closed(self, error: Exception | None) -> None:
        """End the pending reply: one without a length is complete, any other is lost."""
        self._wire = None
        pending = self._pending
        if pending is None:
            self._lost(self)
            return
        if error is not None:
            begun = pending.reader.begun
            self._end(pending, error if begun else ResetBeforeReplyError(repr(error)))
            return
        if not pending.reader.begun:
            self._end(pending, ClosedBeforeReplyError("closed before a reply"))
            return
        try:
            pending.reader.end_of_stream()
        except ReplyError as broken:
            self._end(pending, broken)
        else:
            self._end(pending, pending.reader)

    def _end(self, pending: PendingReply, outcome: HttpReplyReader | Exception) -> None:
        self._pending = None
        pending.ended(outcome)

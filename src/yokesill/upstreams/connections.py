"""Connections to servers: a bounded set for each incarnation, one request at a time on each.

A connection whose reply was not read to its end, or on which bytes come that nobody asked for, is
closed and never used again.
"""

from collections.abc import Callable
from typing import NamedTuple

from yokesill.comm.http_reply import HttpReplyReader, ReplyError
from yokesill.upstreams.wires import Dial, Wire

IDLE_SHARE = 0.8
IDLE_DEFAULT_S = 60.0

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
        """Close at once; nobody hears of it."""
        self._pending = None
        wire, self._wire = self._wire, None
        if wire is not None:
            wire.close()

    @property
    def is_open(self) -> bool:
        """Whether neither side has ended it, as far as is known."""
        return self._wire is not None

    @property
    def reply_begun(self) -> bool:
        """Whether any byte of the reply that is waited for has come."""
        return self._pending is not None and self._pending.reader.begun

    def quiet(self) -> bool:
        """Whether nothing came in that was not told of yet."""
        return self._wire is not None and self._wire.quiet()

    def sent_whole(self) -> bool:
        """Whether the server was sent all of the last request.

        A server may answer a long request before it has read it. What is left of that request would
        be taken for the next one.
        """
        return self._wire is not None and self._wire.unsent_bytes() == 0

    # --- WireUser ---

    def data_received(self, data: bytes) -> None:
        """Take bytes of the reply, or bytes that nobody asked for."""
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
        """Take the connection's end: it ends a reply without a length, and breaks any other off."""
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


Waiter = Callable[[ServerConnection | None], None]


class ConnectionSet:
    """Connections to one incarnation of a server; whoever finds all in use waits its turn.

    ``refused_at`` is when the server last reset a new connection at once.
    """

    __slots__ = ("_changed", "_idle", "_open", "_waiters", "busy", "host", "port", "refused_at")

    def __init__(self, host: str, port: int, changed: Callable[[int], None]) -> None:
        self.host = host
        self.port = port
        self.busy = 0
        self.refused_at = float("-inf")
        self._changed = changed
        self._open = 0
        self._idle: list[ServerConnection] = []
        # A list: it is nearly always empty, and an empty deque takes 0.7 KB a server.
        self._waiters: list[Waiter] = []

    def reserve(self, limit: int) -> bool:
        """Count one of ``limit`` connections as in use, if one is free."""
        if self.busy >= limit:
            return False
        self.busy += 1
        return True

    def opened(self) -> None:
        """Count a connection that was opened in a reserved place."""
        self._count(1)

    def take_idle(self, now: float, check: bool) -> ServerConnection | None:
        """Return the open connection that was used last; ``None`` when a new one must be opened.

        With ``check`` the kernel is asked whether it is still open and quiet.
        """
        while self._idle:
            connection = self._idle.pop()
            if now < connection.reusable_until and (not check or connection.quiet()):
                return connection
            connection.close()
            self._count(-1)
        return None

    def wait(self, waiter: Waiter) -> None:
        """Call ``waiter`` when a connection is free; it gets an open one or the place of one."""
        self._waiters.append(waiter)

    def stop_waiting(self, waiter: Waiter) -> None:
        """Give a turn up."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)

    def give_back(self, connection: ServerConnection, reusable_until: float) -> None:
        """Keep a connection whose reply was read to its end; the next waiter gets it."""
        connection.reusable_until = reusable_until
        if self._waiters:
            self._waiters.pop(0)(connection)
            return
        self.busy -= 1
        self._idle.append(connection)

    def drop(self, connection: ServerConnection | None) -> None:
        """Close a connection that must not be used again; the next waiter gets its place.

        ``None`` gives up a place in which none was opened.
        """
        if connection is not None:
            connection.close()
            self._count(-1)
        if self._waiters:
            self._waiters.pop(0)(None)
        else:
            self.busy -= 1

    def lost(self, connection: ServerConnection) -> None:
        """Forget an idle connection that has ended."""
        if connection in self._idle:
            self._idle.remove(connection)
            self._count(-1)

    def _count(self, change: int) -> None:
        self._open += change
        self._changed(self._open)

    def distrust(self, since: float) -> None:
        """Close connections that have been idle since before ``since`` (seconds of the node's clock).

        One that was used then stayed silent without a reset: whatever silenced it may have silenced
        these too, and each would cost a request its time.
        """
        silent = [each for each in self._idle if each.rested_at is not None and each.rested_at <= since]
        for connection in silent:
            self._idle.remove(connection)
            connection.close()
            self._count(-1)

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().close()
            self._count(-1)


def idle_time_s(keep_alive: bytes | None) -> float:
    """Return how long a connection may rest, in seconds, by the server's ``Keep-Alive`` header."""
    if keep_alive is None:
        return IDLE_DEFAULT_S
    for part in keep_alive.split(b","):
        name, _, value = part.strip().partition(b"=")
        if name.lower() == b"timeout" and value.isdigit():
            return int(value) * IDLE_SHARE
    return IDLE_DEFAULT_S

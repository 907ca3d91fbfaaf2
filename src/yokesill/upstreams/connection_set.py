"""The connections to one instance of a server: a limited number, of which each call gets one.

Owns the idle connections and the calls that wait for one; the limit comes with each attempt. Idle connections
are closed before the server closes them.
"""

from collections.abc import Callable

from yokesill.upstreams.connections import ServerConnection

# Share of the idle time announced by ``Keep-Alive`` for which a connection is used again: the rest is for
# clocks and a request's way, since the server may close it as a request arrives.
IDLE_SHARE = 0.8
# Idle time of a server that announces none.
IDLE_DEFAULT_S = 60.0

Waiter = Callable[[ServerConnection | None], None]


class ServerConnectionPool:
    """Connections to one instance of a server; a call that finds all in use waits in order of arrival.

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

        With ``check`` the kernel is asked whether it is still open and has nothing to read.
        """
        while self._idle:
            connection = self._idle.pop()
            if now < connection.reusable_until and (not check or connection.has_no_unread_data()):
                return connection
            connection.close()
            self._count(-1)
        return None

    def wait(self, waiter: Waiter) -> None:
        """Call ``waiter`` when a connection is free; it gets an open one or the place of one."""
        self._waiters.append(waiter)

    def stop_waiting(self, waiter: Waiter) -> None:
        """Remove a waiter."""
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

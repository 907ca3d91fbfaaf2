"""A bounded connection pool for one server instance; each call uses one connection exclusively.

Owns the idle connections and the queue of calls that wait for one; the limit comes with each attempt. An idle
connection is closed before the server's idle timeout.
"""

from collections.abc import Callable, Iterable

from yokesill.comm.numbers import parse_digits
from yokesill.upstreams.connection_limit import ConnectionLimit
from yokesill.upstreams.connections import ServerConnection

# Share of the ``Keep-Alive`` timeout during which a connection is reused. The rest allows for clock
# differences and the network delay of a request, since the server may close the connection just as the
# request arrives.
KEEP_ALIVE_SHARE = 0.8
# Idle timeout of a server that announces none.
DEFAULT_IDLE_TIMEOUT_S = 60.0

Waiter = Callable[[ServerConnection | None], None]


class ServerConnectionPool:
    """Connections to one server instance; calls that find all in use wait in order of arrival.

    ``refused_at`` is when the server last reset a new connection immediately. ``limit`` bounds the
    connections of all pools. A closed pool keeps no idle connections.
    """

    __slots__ = (
        "_changed",
        "_closed",
        "_idle",
        "_limit",
        "_open",
        "_waiters",
        "busy",
        "host",
        "port",
        "refused_at",
    )

    def __init__(
        self, host: str, port: int, changed: Callable[[int], None], limit: ConnectionLimit | None = None
    ) -> None:
        self.host = host
        self.port = port
        self.busy = 0
        self.refused_at = float("-inf")
        self._changed = changed
        self._limit = limit or ConnectionLimit()
        self._closed = False
        self._open = 0
        self._idle: list[ServerConnection] = []
        # A list, since it is nearly always empty and an empty deque takes 0.7 KB per server.
        self._waiters: list[Waiter] = []

    def reserve(self, limit: int) -> bool:
        """Reserve one of ``limit`` connections; return ``False`` if all are in use."""
        if self.busy >= limit:
            return False
        self.busy += 1
        return True

    def opened(self) -> None:
        """Count a connection that was opened for a reservation."""
        self._change_open_count(1)

    def take_idle(self, now: float, check: bool) -> ServerConnection | None:
        """Return the most recently used idle connection; ``None`` if a new one must be opened.

        With ``check``, close connections that the kernel reports as closed or as having unread data, and skip
        them.
        """
        while self._idle:
            connection = self._idle.pop()
            if now < connection.reusable_until and (not check or connection.has_no_unread_data()):
                return connection
            connection.close()
            self._closed_one()
        return None

    def wait(self, waiter: Waiter) -> None:
        """Call ``waiter`` once a connection is free, with an open one, or ``None`` to open one itself."""
        self._waiters.append(waiter)

    def cancel_wait(self, waiter: Waiter) -> None:
        """Remove a waiter from the queue."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)

    def release(self, connection: ServerConnection, reusable_until: float) -> None:
        """Return a connection whose reply was read completely; the next waiter gets it."""
        connection.reusable_until = reusable_until
        if self._waiters:
            self._waiters.pop(0)(connection)
            return
        self.busy -= 1
        waiter = self._limit.take_waiter(self) if self._limit.has_waiters else None
        if waiter is not None:
            waiter(connection)
        elif self._closed or self._limit.has_waiters:
            connection.close()
            self._closed_one()
        else:
            self._idle.append(connection)

    def discard(self, connection: ServerConnection | None) -> None:
        """Close a connection that must not be reused; the next waiter gets its reservation.

        ``None`` releases a reservation for which no connection was opened.
        """
        if connection is not None:
            connection.close()
            self._closed_one()
        if self._waiters:
            self._waiters.pop(0)(None)
        else:
            self.busy -= 1

    def remove_idle(self, connection: ServerConnection) -> None:
        """Remove an idle connection that was closed by the server."""
        if connection in self._idle:
            self._idle.remove(connection)
            self._closed_one()

    @property
    def idle_since(self) -> float:
        """When its oldest idle connection became idle, in seconds of the node's clock; infinite if none."""
        return (self._idle[0].idle_since or 0.0) if self._idle else float("inf")

    def close_oldest_idle(self) -> None:
        """Close the connection that has been idle for longest."""
        self._idle.pop(0).close()
        self._closed_one()

    def _change_open_count(self, delta: int) -> None:
        self._open += delta
        self._changed(self._open)

    def _closed_one(self) -> None:
        self._change_open_count(-1)
        self._limit.release()

    def close_idle_since(self, since: float) -> None:
        """Close connections that became idle no later than ``since``, in seconds of the node's clock.

        Called when a connection that was reused at ``since`` got neither a reply nor a reset. The cause may
        affect the others too, and each would make one request time out.
        """
        stale = [each for each in self._idle if each.idle_since is not None and each.idle_since <= since]
        for connection in stale:
            self._idle.remove(connection)
            connection.close()
            self._closed_one()

    def close(self) -> None:
        """Close the idle connections, and the others as they become idle."""
        self._closed = True
        while self._idle:
            self._idle.pop().close()
            self._closed_one()


def close_oldest_idle(pools: Iterable[ServerConnectionPool]) -> bool:
    """Close the connection that has been idle for longest, of all servers; ``False`` if none is idle."""
    oldest = min(pools, key=lambda pool: pool.idle_since, default=None)
    if oldest is None or oldest.idle_since == float("inf"):
        return False
    oldest.close_oldest_idle()
    return True


def idle_timeout_s(keep_alive: bytes | None) -> float:
    """Return how long a connection may stay idle, in seconds, by the server's ``Keep-Alive`` header."""
    if keep_alive is None:
        return DEFAULT_IDLE_TIMEOUT_S
    for part in keep_alive.split(b","):
        name, _, value = part.strip().partition(b"=")
        seconds = parse_digits(value)
        if name.lower() == b"timeout" and seconds is not None:
            return seconds * KEEP_ALIVE_SHARE
    return DEFAULT_IDLE_TIMEOUT_S

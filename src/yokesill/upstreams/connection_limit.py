"""Bounds the connections to all servers that are open or being opened.

Each takes a descriptor, and callers, probes, the registry and other nodes need theirs. At the limit an idle
connection is closed for a new one; if none is idle, calls wait in order of arrival.
"""

from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from yokesill.upstreams.connection_set import ServerConnectionPool, Waiter

# Limit without settings.
DEFAULT_MAX_CONNECTIONS = 4000


class ConnectionLimit:
    """Counts connections to servers; ``max_connections`` bounds their number.

    Parameters
    ----------
    max_connections
        How many connections may be open or being opened.
    close_idle
        Closes the connection that has been idle for longest; returns ``False`` if none is idle.
    """

    __slots__ = ("_close_idle", "_open", "_waiting", "max_connections")

    def __init__(
        self,
        max_connections: int = DEFAULT_MAX_CONNECTIONS,
        close_idle: Callable[[], bool] = lambda: False,
    ) -> None:
        self.max_connections = max_connections
        self._close_idle = close_idle
        self._open = 0
        self._waiting: dict[Waiter, ServerConnectionPool] = {}

    @property
    def has_waiters(self) -> bool:
        """Whether a call waits for a connection."""
        return bool(self._waiting)

    def acquire(self) -> bool:
        """Count a connection that is about to be opened; return ``False`` if the call must wait."""
        if self._waiting:
            return False
        if self._open >= self.max_connections and not self._close_idle():
            return False
        self._open += 1
        return True

    def release(self) -> None:
        """Stop counting a connection that was closed or not opened; the next waiter may open one."""
        self._open -= 1
        if self._waiting and self._open < self.max_connections:
            self._open += 1
            waiter = next(iter(self._waiting))
            del self._waiting[waiter]
            waiter(None)

    def wait(self, pool: "ServerConnectionPool", waiter: "Waiter") -> None:
        """Call ``waiter`` with a free connection of ``pool``, or with ``None`` once it may open one."""
        self._waiting[waiter] = pool

    def cancel_wait(self, waiter: "Waiter") -> None:
        """Remove a waiter."""
        self._waiting.pop(waiter, None)

    def take_waiter(self, pool: "ServerConnectionPool") -> "Waiter | None":
        """Remove and return the first waiter for a connection of ``pool``."""
        for waiter, wanted in self._waiting.items():
            if wanted is pool:
                del self._waiting[waiter]
                return waiter
        return None

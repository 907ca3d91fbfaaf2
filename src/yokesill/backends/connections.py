"""A pool of connections to one server, each with httpcore's interface over httptools.

httpcore's pool inspects all connections for every request. This pool takes the most recently used one and
doesn't inspect the others. A connection is closed and never reused when its request was cancelled or its
reply was not read to the end.
"""

import anyio
import httpcore

from yokesill.backends.httptools_connection import HttptoolsConnection


class ConnectionPool:
    """Idle and busy connections to one server, at most ``maximum`` in total."""

    def __init__(self, origin: httpcore.Origin, maximum: int) -> None:
        self.origin = origin
        self.host_header = (b"Host", origin.host + b":" + str(origin.port).encode())
        self.opened = 0
        self._maximum = maximum
        self._idle: list[httpcore.AsyncConnectionInterface] = []
        self._busy = 0

    async def acquire(self) -> httpcore.AsyncConnectionInterface | None:
        """Return an idle connection that is still open, or a new one; ``None`` when all are busy."""
        while self._idle:
            connection = self._idle.pop()
            # The server may have closed the idle connection: check this before anything is written.
            if not connection.has_expired() and not connection.is_closed():
                self._busy += 1
                return connection
            await connection.aclose()
        if self._busy >= self._maximum:
            return None
        self._busy += 1
        self.opened += 1
        return HttptoolsConnection(self.origin)

    async def release(self, connection: httpcore.AsyncConnectionInterface) -> None:
        """Return a connection to the pool after its reply was read to the end."""
        if connection.is_closed() or not connection.is_available():
            await self.drop(connection)
            return
        self._busy -= 1
        self._idle.append(connection)

    async def drop(self, connection: httpcore.AsyncConnectionInterface) -> None:
        """Close a connection that can't be reused, even if the calling task is cancelled."""
        self._busy -= 1
        with anyio.CancelScope(shield=True):
            await connection.aclose()

    async def aclose(self) -> None:
        """Close the idle connections."""
        while self._idle:
            await self._idle.pop().aclose()

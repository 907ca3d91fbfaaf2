"""A server's set of connections, each with httpcore's interface over httptools.

httpcore's pool looks at every connection for every request; here the last one used is taken
first and the rest are not looked at. A connection whose request was cancelled or whose reply was
not read to its end is closed, never used again.
"""

import anyio
import httpcore

from yokesill.backends.httptools_connection import HttptoolsConnection


class ConnectionPool:
    """Idle and busy connections to one server, at most ``maximum`` in all."""

    def __init__(self, origin: httpcore.Origin, maximum: int) -> None:
        self.origin = origin
        self.host_header = (b"Host", origin.host + b":" + str(origin.port).encode())
        self.opened = 0
        self._maximum = maximum
        self._idle: list[httpcore.AsyncConnectionInterface] = []
        self._busy = 0

    async def acquire(self) -> httpcore.AsyncConnectionInterface | None:
        """Return a connection that is still open or new; ``None`` when all are busy."""
        while self._idle:
            connection = self._idle.pop()
            # The server may have closed it meanwhile: notice before anything is written.
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
        """Return a connection whose reply was read to its end."""
        if connection.is_closed() or not connection.is_available():
            await self.drop(connection)
            return
        self._busy -= 1
        self._idle.append(connection)

    async def drop(self, connection: httpcore.AsyncConnectionInterface) -> None:
        """Close a connection whose reply was not read to its end, also when the caller is cancelled."""
        self._busy -= 1
        with anyio.CancelScope(shield=True):
            await connection.aclose()

    async def aclose(self) -> None:
        """Close the idle connections."""
        while self._idle:
            await self._idle.pop().aclose()

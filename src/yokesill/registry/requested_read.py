"""A read of a feed that was asked for, answered by the next call of the registry that begins afterwards."""

import anyio


class RequestedRead:
    """Whether a read was asked for and not answered yet."""

    __slots__ = ("_wanted",)

    def __init__(self) -> None:
        self._wanted = anyio.Event()

    def ask(self) -> None:
        """Ask for a read."""
        self._wanted.set()

    def begin_call(self) -> bool:
        """Begin a call; return whether a read was asked for."""
        wanted = self._wanted.is_set()
        self._wanted = anyio.Event()
        return wanted

    async def pause(self, seconds: float) -> None:
        """Return after a time, or as soon as a read is asked for."""
        with anyio.move_on_after(seconds):
            await self._wanted.wait()

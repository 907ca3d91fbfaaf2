"""Reads of a feed that others wait for, each answered by a call of the registry that begins afterwards.

A follower makes one call at a time; what is asked during a call waits for the next one.
"""

import anyio


class AwaitedReads:
    """Reads that were asked for and not answered yet."""

    __slots__ = ("_in_call", "_waiting", "_wanted")

    def __init__(self) -> None:
        self._waiting: list[anyio.Event] = []
        self._in_call: list[anyio.Event] = []
        self._wanted = anyio.Event()

    def ask(self) -> anyio.Event:
        """Ask for a read; the event is set when it has been answered."""
        read = anyio.Event()
        self._waiting.append(read)
        self._wanted.set()
        return read

    def begin_call(self) -> bool:
        """Begin a call for all that was asked; return whether anything was."""
        self._in_call, self._waiting = self._waiting, []
        self._wanted = anyio.Event()
        return bool(self._in_call)

    def end_call(self, answered: bool) -> None:
        """End the call; without an answer, what was asked waits for the next one."""
        if answered:
            for read in self._in_call:
                read.set()
        else:
            self._waiting += self._in_call
        self._in_call = []

    async def pause(self, seconds: float) -> None:
        """Return after a time, or as soon as a read is asked for."""
        with anyio.move_on_after(seconds):
            await self._wanted.wait()

"""Shares the event loop between connections: a bounded number of pieces of work a turn of the loop.

Bytes may cost much and carry little. Without a bound, few callers that send them as fast as they are taken
would leave no time to all others.
"""

import asyncio
from collections import deque
from typing import Protocol

# A piece of work takes some hundred microseconds at most. More pieces a turn than connections are accepted in
# one: what is accepted must not wait for ever.
PIECES_PER_TURN = 30


class Worker(Protocol):
    """A connection with work to do."""

    queued: bool

    @property
    def is_light(self) -> bool:
        """Whether it has had little work done since its last answer."""

    def has_work(self) -> bool:
        """Whether there is anything to do; a connection may end while it waits."""

    def work(self) -> bool:
        """Do one piece of work; return whether there is more."""


class WorkTurns:
    """Queues of connections: half of each turn is for those that have had little work done.

    A turn's share is renewed in the turn after it was used up: while there is little to do, nothing has to be
    scheduled.
    """

    __slots__ = ("_heavy", "_left", "_light", "_scheduled")

    def __init__(self) -> None:
        self._light: deque[Worker] = deque()
        self._heavy: deque[Worker] = deque()
        self._left = PIECES_PER_TURN // 2
        self._scheduled = False

    def add(self, worker: Worker) -> None:
        """Let a connection work, at once if nobody waits and the turn is not used up."""
        if worker.queued or not worker.has_work():
            return
        while self._left > 0 and not self._light and worker.is_light:
            self._left -= 1
            if not worker.work():
                return
        self._enqueue(worker)

    def _enqueue(self, worker: Worker) -> None:
        worker.queued = True
        (self._light if worker.is_light else self._heavy).append(worker)
        self._schedule()

    def _schedule(self) -> None:
        if not self._scheduled:
            self._scheduled = True
            asyncio.get_running_loop().call_soon(self._run)

    def _run(self) -> None:
        self._scheduled = False
        try:
            self._left = PIECES_PER_TURN // 2 - self._serve(self._light)
            self._serve(self._heavy)
        finally:
            if self._light or self._heavy:
                self._schedule()

    def _serve(self, queue: deque[Worker]) -> int:
        """Let the connections work in turn; return how many pieces were done."""
        count = 0
        while queue and count < PIECES_PER_TURN // 2:
            worker = queue.popleft()
            worker.queued = False
            if worker.has_work():
                count += 1
                if worker.work():
                    self._enqueue(worker)
        return count

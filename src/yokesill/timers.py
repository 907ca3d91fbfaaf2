"""One task for all timers of a node."""

import heapq
import itertools
from collections.abc import Callable
from typing import Generic, TypeVar

import anyio

TimerEvent = TypeVar("TimerEvent")


class Timers(Generic[TimerEvent]):
    """Calls ``fire`` with each timer's event when it is due."""

    def __init__(self, fire: Callable[[TimerEvent], None]) -> None:
        self._fire = fire
        self._heap: list[tuple[float, int, TimerEvent]] = []
        self._sequence = itertools.count()
        self._earlier = anyio.Event()

    def set(self, at: float, event: TimerEvent) -> None:
        """Fire ``event`` at ``at``, in seconds of the node's clock."""
        first = self._heap[0][0] if self._heap else float("inf")
        heapq.heappush(self._heap, (at, next(self._sequence), event))
        if at < first:
            self._earlier.set()

    async def run(self) -> None:
        """Fire timers until cancelled."""
        while True:
            self._fire_due(anyio.current_time())
            self._earlier = anyio.Event()
            pause = self._heap[0][0] - anyio.current_time() if self._heap else float("inf")
            with anyio.move_on_after(max(0.0, pause)):
                await self._earlier.wait()

    def _fire_due(self, now: float) -> None:
        while self._heap and self._heap[0][0] <= now:
            _, _, event = heapq.heappop(self._heap)
            self._fire(event)

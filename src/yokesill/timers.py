"""One task for all timers of a node: a heap of due times and one wait for the earliest.

Timers can't be cancelled; the handler checks whether its event is still relevant. Times are in seconds of
the node's clock (``clock``).
"""

import heapq
import itertools
from collections.abc import Callable
from typing import Generic, TypeVar

import anyio

from yokesill.supervision import Supervisor

TimerEvent = TypeVar("TimerEvent")


class Timers(Generic[TimerEvent]):
    """Calls ``fire`` with each timer's event when it is due; an exception stops no other timer."""

    def __init__(self, fire: Callable[[TimerEvent], None], supervisor: Supervisor | None = None) -> None:
        self._fire = fire
        self._supervisor = supervisor or Supervisor()
        self._heap: list[tuple[float, int, TimerEvent]] = []
        self._sequence = itertools.count()
        self._earliest_changed = anyio.Event()

    def set(self, at_s: float, event: TimerEvent) -> None:
        """Fire ``event`` at ``at_s``, in seconds of the node's clock."""
        earliest_s = self._heap[0][0] if self._heap else float("inf")
        heapq.heappush(self._heap, (at_s, next(self._sequence), event))
        if at_s < earliest_s:
            self._earliest_changed.set()

    async def run(self) -> None:
        """Fire timers until cancelled."""
        while True:
            self._fire_due(anyio.current_time())
            self._earliest_changed = anyio.Event()
            wait_s = self._heap[0][0] - anyio.current_time() if self._heap else float("inf")
            with anyio.move_on_after(max(0.0, wait_s)):
                await self._earliest_changed.wait()

    def _fire_due(self, now: float) -> None:
        while self._heap and self._heap[0][0] <= now:
            _, _, event = heapq.heappop(self._heap)
            self._supervisor.call("timers", self._fire, event)

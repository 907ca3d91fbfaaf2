"""Whose turn it is when a slow server's pacing slot is free.

Requests wait at this node, not in the server's own queue: that is first in, first out, and once it is longer
than callers wait, every answer comes too late. What waits here is served in the order that brings most
callers their answer in time, costs no server anything meanwhile, and surely has not run.

The order, for each service:

1. requests that would soon be given up: an answer that never comes is worse than a late one;
2. of those that can still be in time the newest: first in, first out would serve each one just too late;
3. whatever has waited longest.

Among equals of any of these the most urgent route goes first. All times are in seconds of the node's clock.
"""

from typing import Generic, Protocol, TypeVar


class QueuedRequest(Protocol):
    """A request that may wait.

    ``objective_at_s`` is until when its answer is in time, ``deadline_at_s`` when it is given up, both in
    seconds; ``priority`` 0 is the most urgent.
    """

    objective_at_s: float
    deadline_at_s: float

    @property
    def priority(self) -> int:
        """How urgent it is."""

    def awaits_slot(self, service: str) -> bool:
        """Whether it still waits for a slot at a service."""


# A request with less time left than this many expected latencies is soon given up and goes first. It buys
# answers that come at all: without it 12 and 13 in 100 searches get none where two shards are all slow under
# 1.2 times the load, or all slow or dark; with it 4 and 7 (at 5: 2 and 7, but fewer are in time).
# bench/overload.py, seeds 1 to 3.
LAST_CHANCE_FACTOR = 2.5

Request = TypeVar("Request", bound=QueuedRequest)


class PacingQueue(Generic[Request]):
    """Which requests wait for a slot at each service, and when a timer wakes them."""

    def __init__(self) -> None:
        self._requests: dict[str, list[Request]] = {}
        self._expected_s: dict[str, float] = {}
        self._wake_up_at_s: dict[str, float] = {}

    def __len__(self) -> int:
        """For how many services something is kept."""
        return len(self._requests.keys() | self._expected_s.keys() | self._wake_up_at_s.keys())

    def enter(self, service: str, request: Request, expected_s: float) -> None:
        """Let a request wait for a slot at a service that takes ``expected_s`` for an answer."""
        self._expected_s[service] = expected_s
        waiting = self._requests.setdefault(service, [])
        if request not in waiting:
            waiting.append(request)

    def next(self, service: str, now: float) -> Request | None:
        """Return the request whose turn it is; ``None`` when no request waits any more."""
        waiting = [each for each in self._requests.get(service, ()) if each.awaits_slot(service)]
        if not waiting:
            self._requests.pop(service, None)
            self._expected_s.pop(service, None)
            return None
        self._requests[service] = waiting
        last_chance_s = LAST_CHANCE_FACTOR * self._expected_s.get(service, 0.0)
        last_chance = [each for each in waiting if each.deadline_at_s - now < last_chance_s]
        if last_chance:
            return _most_urgent(last_chance)[0]
        in_time = [each for each in waiting if each.objective_at_s > now]
        return _most_urgent(in_time)[-1] if in_time else _most_urgent(waiting)[0]

    def is_awaited(self, service: str) -> bool:
        """Whether any request waits for a slot at a service."""
        return any(each.awaits_slot(service) for each in self._requests.get(service, ()))

    def schedule_wake_up(self, service: str, at_s: float) -> bool:
        """Note when a slot is free; return whether that needs a timer, since none is set for as early."""
        planned_at_s = self._wake_up_at_s.get(service)
        if planned_at_s is not None and planned_at_s <= at_s:
            return False
        self._wake_up_at_s[service] = at_s
        return True

    def clear_wake_up(self, service: str) -> None:
        """Note that the timer of a service has fired."""
        self._wake_up_at_s.pop(service, None)


def _most_urgent(waiting: list[Request]) -> list[Request]:
    """Return the most urgent ones, in the order in which they came."""
    least = min(each.priority for each in waiting)
    return [each for each in waiting if each.priority == least]

"""The queue of requests that wait for a slow server's pacing slot.

Requests wait at this node rather than in the server's queue, which is first in, first out: once it is longer
than the callers' timeouts, every answer is too late. Requests in this queue are served in the order that
gives most callers an answer in time; meanwhile they use no server capacity and are known not to have run.

The order, for each service:

1. requests close to their deadline, since a missing answer is worse than a late one;
2. the newest request whose objective has not passed; first in, first out would serve each one just too late;
3. the request that has waited longest.

Within each of these groups, the most urgent route goes first. All times are in seconds of the node's clock.
"""

from typing import Generic, Protocol, TypeVar


class QueuedRequest(Protocol):
    """A request that can wait in the queue.

    An answer is in time until ``objective_at_s``; the request is given up at ``deadline_at_s``, both in
    seconds. ``priority`` 0 is the most urgent.
    """

    objective_at_s: float
    deadline_at_s: float

    @property
    def priority(self) -> int:
        """The priority of the request's route; lower values are more urgent."""

    def awaits_slot(self, service: str) -> bool:
        """Whether the request still waits for a slot at a service."""


# A request with less time left than this many expected latencies is close to its deadline and goes first.
# This reduces the number of searches without any answer: without it, 12 and 13 in 100 searches get none if
# all servers of two shards are slow at 1.2 times the load, or slow or unresponsive; with it, 4 and 7 (with a
# factor of 5: 2 and 7, but fewer answers are in time). bench/overload.py, seeds 1 to 3.
NEAR_DEADLINE_FACTOR = 2.5

Request = TypeVar("Request", bound=QueuedRequest)


class PacingQueue(Generic[Request]):
    """The waiting requests of each service, and the times of their wake-up timers."""

    def __init__(self) -> None:
        self._requests: dict[str, list[Request]] = {}
        self._expected_s: dict[str, float] = {}
        self._wake_up_at_s: dict[str, float] = {}

    def __len__(self) -> int:
        """Return the number of services for which any state is held."""
        return len(self._requests.keys() | self._expected_s.keys() | self._wake_up_at_s.keys())

    def enter(self, service: str, request: Request, expected_s: float) -> None:
        """Add a request to the queue of a service whose expected latency is ``expected_s``."""
        self._expected_s[service] = expected_s
        waiting = self._requests.setdefault(service, [])
        if request not in waiting:
            waiting.append(request)

    def next(self, service: str, now: float) -> Request | None:
        """Return the request to serve next, or ``None`` if no request is waiting."""
        waiting = [request for request in self._requests.get(service, ()) if request.awaits_slot(service)]
        if not waiting:
            self._requests.pop(service, None)
            self._expected_s.pop(service, None)
            return None
        self._requests[service] = waiting
        near_deadline_s = NEAR_DEADLINE_FACTOR * self._expected_s.get(service, 0.0)
        near_deadline = [request for request in waiting if request.deadline_at_s - now < near_deadline_s]
        if near_deadline:
            return _most_urgent(near_deadline)[0]
        in_time = [request for request in waiting if request.objective_at_s > now]
        return _most_urgent(in_time)[-1] if in_time else _most_urgent(waiting)[0]

    def is_awaited(self, service: str) -> bool:
        """Whether any request waits for a slot at a service."""
        return any(request.awaits_slot(service) for request in self._requests.get(service, ()))

    def schedule_wake_up(self, service: str, at_s: float) -> bool:
        """Record when a slot is free; return whether a timer is needed because none is set as early."""
        planned_at_s = self._wake_up_at_s.get(service)
        if planned_at_s is not None and planned_at_s <= at_s:
            return False
        self._wake_up_at_s[service] = at_s
        return True

    def clear_wake_up(self, service: str) -> None:
        """Record that the timer of a service has fired."""
        self._wake_up_at_s.pop(service, None)


def _most_urgent(waiting: list[Request]) -> list[Request]:
    """Return the requests of the most urgent priority, in the order in which they were added."""
    top_priority = min(request.priority for request in waiting)
    return [request for request in waiting if request.priority == top_priority]

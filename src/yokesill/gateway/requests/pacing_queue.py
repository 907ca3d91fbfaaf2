"""Requests that wait at this node for room at slow servers.

A server's own queue is first in, first out: once it is longer than callers wait, every answer comes
too late. What waits here instead can be served in the order that brings most callers their answer in
time, and costs no server anything while it waits.
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
        """Whether it still waits for room at a service."""


# Expected latencies that a request must have left, lest it be served before others. It buys answers that
# come at all: without it 12 and 13 in 100 searches get none where two shards are all slow under 1.2 times
# the load, or all slow or dark; with it 4 and 7 (at 5: 2 and 7, but fewer are in time). `bench/overload.py`.
LAST_CHANCE_FACTOR = 2.5

Request = TypeVar("Request", bound=QueuedRequest)


class PacingQueue(Generic[Request]):
    """Who waits for room at each service, and when to look again."""

    def __init__(self) -> None:
        self._requests: dict[str, list[Request]] = {}
        self._expected_s: dict[str, float] = {}
        self._look_at: dict[str, float] = {}

    def __len__(self) -> int:
        """Of how many services something is kept."""
        return len(self._requests.keys() | self._expected_s.keys() | self._look_at.keys())

    def enter(self, service: str, request: Request, expected_s: float) -> None:
        """Let a request wait for room at a service that takes ``expected_s`` for an answer."""
        self._expected_s[service] = expected_s
        waiting = self._requests.setdefault(service, [])
        if request not in waiting:
            waiting.append(request)

    def next(self, service: str, now: float) -> Request | None:
        """Return whose turn it is: whoever has little time left, the newest, or who waits longest.

        Of each of these the most urgent first: a more urgent kind of request must not be served less.
        An answer that never comes is worse than a late one, so that those go first that would soon
        be given up. Then come those that can be in time, the newest first: first in, first out would
        serve each one just after its time was over.
        """
        waiting = [each for each in self._requests.get(service, ()) if each.awaits_slot(service)]
        if not waiting:
            self._requests.pop(service, None)
            self._expected_s.pop(service, None)
            return None
        self._requests[service] = waiting
        least_s = LAST_CHANCE_FACTOR * self._expected_s.get(service, 0.0)
        last_chance = [each for each in waiting if each.deadline_at_s - now < least_s]
        if last_chance:
            return _most_urgent(last_chance)[0]
        in_time = [each for each in waiting if each.objective_at_s > now]
        return _most_urgent(in_time)[-1] if in_time else _most_urgent(waiting)[0]

    def anybody(self, service: str) -> bool:
        """Whether somebody waits for room at a service."""
        return any(each.awaits_slot(service) for each in self._requests.get(service, ()))

    def look_again(self, service: str, at: float) -> bool:
        """Note that there is room at ``at``; whether a timer is needed for it."""
        planned = self._look_at.get(service)
        if planned is not None and planned <= at:
            return False
        self._look_at[service] = at
        return True

    def looked(self, service: str) -> None:
        """Take the timer of a service as fired."""
        self._look_at.pop(service, None)


def _most_urgent(waiting: list[Request]) -> list[Request]:
    """Return the most urgent ones, in the order in which they came."""
    least = min(each.priority for each in waiting)
    return [each for each in waiting if each.priority == least]

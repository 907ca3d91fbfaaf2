"""How carefully one request is sent on after servers ended under it."""

from typing import Protocol

from yokesill.gateway.requests.pacing_queue import QueuedRequest
from yokesill.gateway.requests.service_call import ServiceCall
from yokesill.quarantine.detector import Loss

# Lost attempts at one service are an everyday matter, and repeating them at once is worth a caller's time.
SERVICES_LOST_TO_HOLD = 2


class SuspectRequest(QueuedRequest, Protocol):
    """A request as its parts see it: how long it may last, and whether servers are feared to end by it."""

    def suspected(self, now: float) -> bool:
        """Whether it may be at one server at a time only."""

    def suspects_first(self, calls: list[ServiceCall]) -> list[ServiceCall]:
        """Return calls in the order in which to try them: services first whose servers ended."""


class Isolation:
    """The calls of one request that are held, and the one that is tried.

    What is lost at one service is repeated at once, and so is all as soon as some server has answered: then
    the servers were at fault. What is lost at a second one before that is held, for the request may be what
    ends servers: without that one request to ten shards of three servers ended twenty of them. Requests
    beside it lose no more than the time until their first answer. A suspected request is tried at one server
    at a time.
    """

    __slots__ = ("_answered", "_lost", "_uncounted", "held", "needed", "suspected", "trial")

    def __init__(self) -> None:
        self.held: list[ServiceCall] = []
        self.trial: int | None = None
        self.needed = False
        self.suspected = False
        self._lost: set[str] = set()
        self._uncounted: dict[str, Loss] = {}
        self._answered = False

    def update(self, suspected: bool) -> bool:
        """Take whether the request is suspected now; return whether calls are to be held."""
        self.suspected = suspected
        self.needed = suspected or (len(self._lost) >= SERVICES_LOST_TO_HOLD and not self._answered)
        return self.needed

    def ended(self, number: int, answered: bool, lost: str) -> None:
        """Take how an attempt ended; ``lost`` names the service whose server ended under it, if one did."""
        if number == self.trial:
            self.trial = None
        self._answered = self._answered or answered
        if lost:
            self._lost.add(lost)

    def evidence(self, loss: Loss) -> list[Loss]:
        """Return which losses speak against the request now that one more server has ended under it.

        Where some server has answered it, its server's end is its own fault, unless a second one of the same
        service ends: a request may end the servers of one shard only. Otherwise a loss of many servers would
        slow down all that was there, by one answer's time.
        """
        if not self._answered:
            return [loss]
        earlier = self._uncounted.pop(loss.service, None)
        if earlier is not None:
            return [earlier, loss]
        if loss.service in self._lost:
            return [loss]
        self._uncounted[loss.service] = loss
        return []

    def next(self, under_way: bool) -> ServiceCall | None:
        """Return the call to try now; ``None`` while one is tried, or while an answer may clear the request.

        A suspected one needs no longer wait for what was sent before the suspicion.
        """
        if not self.held or self.trial is not None or (under_way and not self.suspected):
            return None
        return self.held.pop(0)

    def hold_waiting(self, calls: list[ServiceCall]) -> None:
        """Hold the calls that wait for room at their servers."""
        for call in calls:
            if call.deferred:
                call.deferred = ""
                self.held.append(call)

    def release(self) -> list[ServiceCall]:
        """Return all that was held: the request has proved harmless."""
        held, self.held = self.held, []
        return held

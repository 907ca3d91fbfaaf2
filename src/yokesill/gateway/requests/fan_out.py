"""The calls of one request, and whether they cover enough of its services.

Owns the calls, which attempt belongs to which, and the counts behind three questions: are as many replies in
as the answer needs (``coverage_met``), can that many still come (``coverage_unreachable``), and is anything
still pending. ``required`` is the route's least coverage in calls; a request to one service needs that one.

The rules that act on the calls stand in modules of their own: ``first_attempts``, ``deferral``, ``hedging``,
``retrying``, ``probing``; ``conclusion`` turns the calls into the final answer.
"""

import math
import weakref

from yokesill.gateway.context import GatewayContext
from yokesill.gateway.documents import Gather, Route
from yokesill.gateway.messages import GatewayRequest
from yokesill.gateway.requests.deadlines import request_times
from yokesill.gateway.requests.isolation import Isolation
from yokesill.gateway.requests.pacing_queue import QueuedRequest
from yokesill.gateway.requests.service_call import ServiceCall
from yokesill.gateway.step import Step

# Far below one call and above the error of a product of floats: 0.7 of ten calls is seven, not eight.
ROUNDING_ERROR = 1e-9


class FanOut:
    """The calls of one request, ``required`` of which must bring a reply.

    Attributes
    ----------
    waiting_request
        The request itself, as the pacing queue knows it.
    calls, by_service, by_number
        All calls in the route's order, by service, and by the number of each attempt under way.
    covered
        How many calls have brought their reply.
    deferred
        How many calls wait for a pacing slot.
    gathers
        Whether the route gathers from many services; otherwise there is one call.
    postponed_hedges
        Whether hedges were postponed, which happens once at most.
    """

    def __init__(
        self,
        owner: QueuedRequest,
        request: GatewayRequest,
        route: Route,
        services: tuple[str, ...],
        context: GatewayContext,
    ) -> None:
        # Weak: two that held each other would stay, with a whole request's answers, until the interpreter
        # looks for cycles; 780 objects for each request to 90 services.
        self.waiting_request = weakref.ref(owner)
        self.request = request
        self.route = route
        self.version = context.configuration_version
        self.context = context
        self.objective_at_s, self.deadline_at_s, self.late_after_s = request_times(request, route, context)
        self.isolation = Isolation(request, context.crashes)
        self.calls = [ServiceCall(service, request, route, context) for service in services]
        self.by_service = {call.service: call for call in self.calls}
        self.by_number: dict[int, ServiceCall] = {}
        self.covered = 0
        self.deferred = 0
        self.postponed_hedges = False
        self._open_calls = len(self.calls)
        self.gathers = isinstance(route.destination, Gather)
        share = route.destination.minimum_coverage if isinstance(route.destination, Gather) else 1.0
        self.required = max(1, math.ceil(share * len(self.calls) - ROUNDING_ERROR))

    # --- coverage ---

    @property
    def coverage_met(self) -> bool:
        """Whether as many replies are in as the answer needs."""
        return self.covered >= self.required

    @property
    def coverage_unreachable(self) -> bool:
        """Whether too few replies can still come."""
        return self.covered + self._open_calls < self.required

    @property
    def pending(self) -> int:
        """How many calls were sent and may still bring a reply."""
        return self._open_calls - self.deferred

    # --- changes to calls ---

    def defer(self, call: ServiceCall, cause: str, step: Step) -> None:
        """Let a call's next attempt wait for a pacing slot."""
        self.deferred += not call.deferred_cause
        call.defer(cause, step.now)

    def end_deferral(self, call: ServiceCall, step: Step) -> str:
        """Return the cause of a call's attempt that waits no longer."""
        self.deferred -= 1
        return call.end_deferral(step.now)

    def hold_deferred(self) -> None:
        """Hold the calls that wait for a pacing slot: the request is isolated."""
        for call in self.calls:
            if call.deferred_cause:
                call.deferred_cause = ""
                self.isolation.held.append(call)
        self.deferred = 0

    def note_attempts(self, call: ServiceCall) -> None:
        """Note a call's new attempts, or that there are none and it is over."""
        for number in call.live_numbers:
            self.by_number[number] = call
        self.count_if_over(call)

    def count_if_over(self, call: ServiceCall) -> None:
        """Count a call once it can bring nothing more; looking at all calls each time would cost too much."""
        if call.open or call.counted:
            return
        call.counted = True
        self._open_calls -= 1
        self.deferred -= bool(call.deferred_cause)
        call.deferred_cause = ""
        self.covered += call.reply is not None

"""The calls of one request and their coverage of its services.

Owns the calls, the mapping from attempts to calls, and the counts that determine whether enough replies have
arrived (``coverage_met``), whether enough can still arrive (``coverage_unreachable``), and how many calls are
pending. ``required`` is the route's minimum coverage as a number of calls; a request to one service requires
its single call.

The rules that act on the calls are in separate modules: ``first_attempts``, ``deferral``, ``hedging``,
``retrying`` and ``probing``; ``conclusion`` builds the final answer.
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

# Tolerance for floating-point rounding, far below one call: 0.7 of ten calls is seven, not eight.
COVERAGE_TOLERANCE = 1e-9


class FanOut:
    """The calls of one request, ``required`` of which must get a reply.

    Attributes
    ----------
    waiting_request
        A weak reference to the request, as it is entered in the pacing queue.
    calls, by_service, by_number
        All calls in the route's order, keyed by service, and keyed by the number of each attempt under way.
    covered
        Number of calls that have a reply.
    deferred
        Number of calls that wait for a pacing slot.
    gathers
        Whether the route gathers from many services; otherwise there is one call.
    postponed_hedges
        Whether hedges were postponed, which happens at most once per request.
    """

    def __init__(
        self,
        owner: QueuedRequest,
        request: GatewayRequest,
        route: Route,
        services: tuple[str, ...],
        context: GatewayContext,
    ) -> None:
        # A weak reference avoids a reference cycle, which would keep all replies of a request in memory until
        # the next run of the cyclic garbage collector: 780 objects for each request to 90 services.
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
        self.required = max(1, math.ceil(share * len(self.calls) - COVERAGE_TOLERANCE))

    # --- coverage ---

    @property
    def coverage_met(self) -> bool:
        """Whether enough replies have arrived for an answer."""
        return self.covered >= self.required

    @property
    def coverage_unreachable(self) -> bool:
        """Whether too few replies can still arrive."""
        return self.covered + self._open_calls < self.required

    @property
    def pending(self) -> int:
        """Number of open calls that are not deferred."""
        return self._open_calls - self.deferred

    # --- changes to calls ---

    def defer(self, call: ServiceCall, cause: str, step: Step) -> None:
        """Defer a call's next attempt until a pacing slot is free."""
        self.deferred += not call.deferred_cause
        call.defer(cause, step.now)

    def end_deferral(self, call: ServiceCall, step: Step) -> str:
        """End a call's deferral and return the cause of the deferred attempt."""
        self.deferred -= 1
        return call.end_deferral(step.now)

    def hold_deferred(self) -> None:
        """Hold the deferred calls because the request is isolated."""
        for call in self.calls:
            if call.deferred_cause:
                call.deferred_cause = ""
                self.isolation.held.append(call)
        self.deferred = 0

    def note_attempts(self, call: ServiceCall) -> None:
        """Register a call's attempts under way, and count the call if it is finished."""
        for number in call.live_numbers:
            self.by_number[number] = call
        self.count_if_finished(call)

    def count_if_finished(self, call: ServiceCall) -> None:
        """Count a call once it is finished; checking all calls each time would be too expensive."""
        if call.open or call.finish_counted:
            return
        call.finish_counted = True
        self._open_calls -= 1
        self.deferred -= bool(call.deferred_cause)
        call.deferred_cause = ""
        self.covered += call.reply is not None

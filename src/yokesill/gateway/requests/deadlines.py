"""When a request's answer comes too late, and when the request is given up.

- ``deadline_at_s``: the route's timeout or the caller's own, whichever ends first.
- ``objective_at_s``: until when a whole answer is waited for; from then on, one that covers enough is given.
  It is the route's latency objective less what the caller spent on an earlier try of the same request.

Both lie earlier by a margin for what this node can't see of the caller's latency: connecting, the ways here
and back (``fresh_margin_s``, ``reused_margin_s`` of the options) and how late this node's own timers come.
"""

from typing import NamedTuple

from yokesill.gateway.context import GatewayContext
from yokesill.gateway.documents import Route
from yokesill.gateway.messages import GatewayRequest


class RequestTimes(NamedTuple):
    """When one request is late and given up, in seconds; an answer after ``late_after_s`` is late."""

    objective_at_s: float
    deadline_at_s: float
    late_after_s: float


def request_times(request: GatewayRequest, route: Route, context: GatewayContext) -> RequestTimes:
    """Return when a request that has just arrived is late and when it is given up."""
    options = context.options
    margin_s = options.fresh_margin_s if request.fresh_connection else options.reused_margin_s
    margin_s += context.lateness_s
    caller_timeout_s = route.timeout_s if request.caller_timeout_s is None else request.caller_timeout_s
    deadline_at_s = request.arrived_at_s + min(route.timeout_s, caller_timeout_s - margin_s)
    earlier_wait_s = context.earlier_wait_s(route, caller_timeout_s)
    if earlier_wait_s >= route.objective_s:
        # Late whatever is done; or this caller merely has a shorter timeout than others of the route.
        earlier_wait_s = 0.0
    objective_at_s = request.arrived_at_s + max(0.0, route.objective_s - earlier_wait_s - margin_s)
    return RequestTimes(objective_at_s, deadline_at_s, objective_at_s + margin_s)

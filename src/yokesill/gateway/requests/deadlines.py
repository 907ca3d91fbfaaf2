"""Computes a request's latency objective and its deadline.

- ``deadline_at_s``: the route's timeout, the caller's own timeout or the end of this node's planned stop,
  whichever comes first.
- ``objective_at_s``: up to this time the request waits for a complete answer; from then on, an answer with
  sufficient coverage is given. It is the route's latency objective minus the time that the caller spent on
  an earlier try of the same request.

A margin is subtracted for the part of the caller's latency that this node cannot measure: connecting and
the network round trip (``fresh_margin_s`` and ``reused_margin_s`` of the options), and the lateness of this
node's own timers. The route's own timeout is used without a margin.
"""

from typing import NamedTuple

from yokesill.gateway.context import GatewayContext
from yokesill.gateway.documents import Route
from yokesill.gateway.messages import GatewayRequest


class RequestTimes(NamedTuple):
    """Times of one request, in seconds of the node's clock; an answer after ``late_after_s`` is late."""

    objective_at_s: float
    deadline_at_s: float
    late_after_s: float


def request_times(request: GatewayRequest, route: Route, context: GatewayContext) -> RequestTimes:
    """Return the objective and the deadline of a request that has just arrived."""
    options = context.options
    margin_s = options.fresh_margin_s if request.fresh_connection else options.reused_margin_s
    margin_s += context.lateness_s
    caller_timeout_s = route.timeout_s if request.caller_timeout_s is None else request.caller_timeout_s
    deadline_at_s = request.arrived_at_s + min(route.timeout_s, caller_timeout_s - margin_s)
    deadline_at_s = min(deadline_at_s, context.answers_by_s)
    earlier_wait_s = context.earlier_wait_s(route, caller_timeout_s)
    if earlier_wait_s >= route.objective_s:
        # Either the answer is late in any case, or this caller's timeout is merely shorter than that of other
        # callers of the route.
        earlier_wait_s = 0.0
    objective_at_s = request.arrived_at_s + max(0.0, route.objective_s - earlier_wait_s - margin_s)
    return RequestTimes(objective_at_s, deadline_at_s, objective_at_s + margin_s)

"""Admission control: refuses requests before any server is selected.

A request is refused if this node has no configuration yet, if no route matches it, if it is quarantined
because it crashed servers (``quarantine``), or if this node's planned stop leaves it too little time. The
refusals themselves are built in ``refusal``.
``first_attempts`` checks whether enough servers are available for an admitted request.
"""

from yokesill.gateway.context import GatewayContext
from yokesill.gateway.documents import Route
from yokesill.gateway.messages import GatewayRequest
from yokesill.gateway.requests import refusal
from yokesill.gateway.requests.fingerprints import fingerprint
from yokesill.quarantine.detector import QuarantineStatus
from yokesill.verdict import Failure, Verdict


def admit(request: GatewayRequest, context: GatewayContext, now: float) -> Route | Failure:
    """Return the route of a request that has just arrived, or the failure with which it is refused."""
    configuration = context.configuration
    if configuration is None:
        return refusal.not_ready()
    route = configuration.find(request.host, request.path)
    if route is None:
        return refusal.unknown_service(request.host, request.path, configuration.version)
    verdict = Verdict.MAY_HAVE_RUN if request.possibly_sent else Verdict.NOT_RUN
    if context.crashes.status(request, now) is QuarantineStatus.QUARANTINED:
        return refusal.quarantined(fingerprint(request), verdict)
    if ends_too_soon(request, route, context, now):
        return refusal.stopping(verdict)
    return route


def ends_too_soon(request: GatewayRequest, route: Route, context: GatewayContext, now: float) -> bool:
    """Whether this node's planned stop leaves a request less than its latency objective.

    A request whose own time ends before the stop does is not concerned.
    """
    left_s = context.answers_by_s - context.lateness_s - now
    waits_s = route.timeout_s if request.caller_timeout_s is None else request.caller_timeout_s
    own_left_s = request.arrived_at_s + min(route.timeout_s, waits_s) - now
    return left_s < min(own_left_s, route.objective_s)

"""Admission control: refuses requests before any server is selected.

A request is refused if this node has no configuration yet, if no route matches it, or if it is quarantined
because it crashed servers (``quarantine``). The refusals themselves are built in ``refusal``.
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
    if context.crashes.status(request, now) is QuarantineStatus.QUARANTINED:
        verdict = Verdict.MAY_HAVE_RUN if request.possibly_sent else Verdict.NOT_RUN
        return refusal.quarantined(fingerprint(request), verdict)
    return route

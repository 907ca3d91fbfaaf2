"""Which requests go to no server at all, before anything is selected or sent.

A request is refused while this node has no configuration, if no route of the configuration matches it, and
if it is quarantined: it crashed servers (``quarantine``). What a refusal says is in ``refusal``. Whether
enough servers can be sent an admitted request is decided by ``first_attempts``.
"""

from yokesill.gateway.context import GatewayContext
from yokesill.gateway.documents import Route
from yokesill.gateway.messages import GatewayRequest
from yokesill.gateway.requests import refusal
from yokesill.gateway.requests.fingerprints import fingerprint
from yokesill.quarantine.detector import QuarantineStatus
from yokesill.verdict import Failure, Verdict


def admit(request: GatewayRequest, context: GatewayContext, now: float) -> Route | Failure:
    """Return the route of a request that has just arrived, or why it is refused."""
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

"""When a request is suspected of crashing servers and runs at one server at a time.

A lost attempt is usually the server's fault and repeated at once. The request itself is the likelier cause,
and its other calls are held, as long as

- servers of two services were lost under it before any server answered it; without this rule one request to
  ten shards of three servers ended twenty of them. Requests beside it at those servers lose no more than the
  time until their first answer; or
- the node's crash detector suspects its fingerprint, by earlier requests like it or by other nodes.

A suspected request is sent to one server at a time, as a probe. An answer that clears it releases all that is
held; a server that ends under a probe is evidence for its quarantine (``quarantine.detector``).

The state belongs to one request; ``CrashTracker`` holds what the node knows of all of them.
"""

from collections.abc import Collection

from yokesill.gateway.context import LiveAttempt
from yokesill.gateway.crash_tracker import CrashTracker
from yokesill.gateway.messages import GatewayRequest
from yokesill.gateway.requests.fingerprints import fingerprint
from yokesill.gateway.requests.service_call import ServiceCall
from yokesill.gateway.step import Step
from yokesill.quarantine.detector import Loss, QuarantineStatus

# Lost attempts at one service are an everyday matter, and repeating them at once is worth a caller's time.
SERVICES_LOST_TO_HOLD = 2


class Isolation:
    """The held calls of one request, the probe under way, and the evidence of servers lost under it.

    ``active`` while calls are held; ``held`` are these calls in the order in which they are probed.
    ``probe_number`` is the attempt that probes now. ``has_unreported`` when some losses are not reported yet.
    """

    __slots__ = (
        "_answered", "_crashes", "_fingerprint", "_lost_services", "_request", "_suspected", "_uncounted",
        "_unreported", "active", "held", "probe_number",
    )  # fmt: skip

    def __init__(self, request: GatewayRequest, crashes: CrashTracker) -> None:
        self.active = False
        self.held: list[ServiceCall] = []
        self.probe_number: int | None = None
        self._request = request
        self._crashes = crashes
        self._fingerprint = ""
        self._suspected = False
        self._answered = False
        self._lost_services: set[str] = set()
        self._uncounted: dict[str, Loss] = {}
        self._unreported: list[Loss] = []

    @property
    def fingerprint(self) -> str:
        """The same for each try of the request; computed when it is first needed."""
        self._fingerprint = self._fingerprint or fingerprint(self._request)
        return self._fingerprint

    # --- holding and probing ---

    def update(self, now: float) -> bool:
        """Return whether calls are held from now on."""
        detector = self._crashes.detector
        known = len(detector) > 0
        self._suspected = known and detector.status(self.fingerprint, now) is QuarantineStatus.SUSPECTED
        lost = len(self._lost_services)
        self.active = self._suspected or (lost >= SERVICES_LOST_TO_HOLD and not self._answered)
        return self.active

    def attempt_ended(self, number: int, answered: bool, lost_service: str) -> None:
        """Count an attempt's end; ``lost_service`` is empty unless its server ended under it."""
        if number == self.probe_number:
            self.probe_number = None
        self._answered = self._answered or answered
        if lost_service:
            self._lost_services.add(lost_service)

    def hold_all(self, calls: list[ServiceCall]) -> None:
        """Hold all calls, services whose servers ended under such a request first."""
        lost = self._crashes.detector.suspected_services(self.fingerprint)
        self.held = sorted(calls, key=lambda call: call.service not in lost)

    def next_to_probe(self, attempts_pending: bool) -> ServiceCall | None:
        """Return the call to probe now; ``None`` while one is probed or an answer may clear the request.

        A suspected one doesn't wait for what was sent before the suspicion.
        """
        if not self.held or self.probe_number is not None or (attempts_pending and not self._suspected):
            return None
        return self.held.pop(0)

    def release(self) -> list[ServiceCall]:
        """Return the calls that were held, and hold none any more."""
        held, self.held = self.held, []
        return held

    # --- evidence ---

    def server_lost(self, attempt: LiveAttempt, only_attempt: bool, step: Step) -> None:
        """Count that a server ended under an attempt.

        A probe counts as one if it was the ``only_attempt``: no other server had the request at that time.
        """
        record = attempt.server.record
        losses = self._evidence(Loss(record.instance, record.service, attempt.probe and only_attempt))
        for loss in losses:
            self._crashes.lost(self.fingerprint, loss, step.now, step.actions)
        self._unreported += losses

    def _evidence(self, loss: Loss) -> list[Loss]:
        """Return which losses speak against the request now that one more server has ended under it.

        Once some server has answered, the end of another is its own fault, unless a second one of the same
        service ends: a request may crash the servers of one shard only. Otherwise a loss of many servers
        would slow down every request that was there by one answer's time.
        """
        if not self._answered:
            return [loss]
        earlier = self._uncounted.pop(loss.service, None)
        if earlier is not None:
            return [earlier, loss]
        if loss.service in self._lost_services:
            return [loss]
        self._uncounted[loss.service] = loss
        return []

    @property
    def has_unreported(self) -> bool:
        """Whether losses are yet to be reported."""
        return bool(self._unreported)

    def report_losses(self, answered: Collection[str], step: Step) -> None:
        """Report the losses, now that the request is over, except at services that ``answered`` it."""
        losses, self._unreported = self._unreported, []
        for loss in losses:
            if loss.service not in answered:
                self._crashes.report_loss(self.fingerprint, loss, step.actions)

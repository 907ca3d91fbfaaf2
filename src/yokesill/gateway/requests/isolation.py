"""Isolates a request that is suspected of crashing servers.

A lost attempt is usually the server's fault and is retried at once. The request itself is the more likely
cause, and its other calls are held, as long as

- servers of two services were lost while running it, before any server answered it; without this rule, one
  request to ten shards of three servers crashed twenty servers. Other requests on those servers are delayed
  by no more than the time until their first answer; or
- the node's crash detector suspects its fingerprint because of earlier identical requests or reports of other
  nodes.

A suspected request is sent to one server at a time, as a probe. An answer that clears it releases all held
calls; a server that is lost during a probe is evidence for quarantine (``quarantine.detector``).

This module holds the state of one request; ``CrashTracker`` holds the node's state for all requests.
"""

from collections.abc import Collection

from yokesill.gateway.context import LiveAttempt
from yokesill.gateway.crash_tracker import CrashTracker
from yokesill.gateway.messages import GatewayRequest
from yokesill.gateway.requests.fingerprints import fingerprint
from yokesill.gateway.requests.service_call import ServiceCall
from yokesill.gateway.step import Step
from yokesill.quarantine.detector import Loss, QuarantineStatus

# Lost attempts at a single service are common, and retrying them at once saves the caller time.
MIN_LOST_SERVICES_TO_ISOLATE = 2


class Isolation:
    """The held calls of one request, its current probe, and the server losses attributed to it.

    ``active`` is set while the request is isolated; ``held`` are the held calls in the order in which they
    are probed. ``probe_number`` is the number of the current probe's attempt, if any. ``has_unreported``
    tells whether some losses have not been reported yet.
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
        """The request's fingerprint, the same for each try; computed on first use."""
        self._fingerprint = self._fingerprint or fingerprint(self._request)
        return self._fingerprint

    # --- holding and probing ---

    def update(self, now: float) -> bool:
        """Update and return whether the request is isolated."""
        detector = self._crashes.detector
        tracks_any = len(detector) > 0
        self._suspected = tracks_any and detector.status(self.fingerprint, now) is QuarantineStatus.SUSPECTED
        lost = len(self._lost_services)
        self.active = self._suspected or (lost >= MIN_LOST_SERVICES_TO_ISOLATE and not self._answered)
        return self.active

    def attempt_ended(self, number: int, answered: bool, lost_service: str) -> None:
        """Record an attempt's end; ``lost_service`` is its service if its server was lost, else empty."""
        if number == self.probe_number:
            self.probe_number = None
        self._answered = self._answered or answered
        if lost_service:
            self._lost_services.add(lost_service)

    def hold_all(self, calls: list[ServiceCall]) -> None:
        """Hold all calls, those of services that already lost servers to this fingerprint first."""
        lost = self._crashes.detector.suspected_services(self.fingerprint)
        self.held = sorted(calls, key=lambda call: call.service not in lost)

    def next_to_probe(self, attempts_pending: bool) -> ServiceCall | None:
        """Return the call to probe now, or ``None`` during a probe or while an answer may clear the request.

        If the crash detector suspects the request, probing does not wait for attempts that were sent earlier.
        """
        if not self.held or self.probe_number is not None or (attempts_pending and not self._suspected):
            return None
        return self.held.pop(0)

    def release(self) -> list[ServiceCall]:
        """Return the held calls and stop holding them."""
        held, self.held = self.held, []
        return held

    # --- evidence ---

    def server_lost(self, attempt: LiveAttempt, only_attempt: bool, step: Step) -> None:
        """Record that a server was lost during an attempt.

        A probe is recorded as such only if it was the ``only_attempt``, so that no other server had the
        request at that time.
        """
        record = attempt.server.record
        losses = self._evidence(Loss(record.instance, record.service, attempt.probe and only_attempt))
        for loss in losses:
            self._crashes.lost(self.fingerprint, loss, step.now, step.actions)
        self._unreported += losses

    def _evidence(self, loss: Loss) -> list[Loss]:
        """Return the losses that count as evidence against the request after one more loss.

        Once some server has answered, the loss of another is attributed to that server, unless a second
        server of the same service is lost: a request may crash the servers of one shard only. Without this
        rule, an outage of many servers would delay every request on them by the time of one answer.
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
        """Whether some losses have not been reported yet."""
        return bool(self._unreported)

    def report_losses(self, answered: Collection[str], step: Step) -> None:
        """Report the losses of a finished request, except those at services that ``answered`` it."""
        losses, self._unreported = self._unreported, []
        for loss in losses:
            if loss.service not in answered:
                self._crashes.report_loss(self.fingerprint, loss, step.actions)

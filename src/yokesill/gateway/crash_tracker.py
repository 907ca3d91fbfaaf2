"""Tracks requests during which servers were lost, and reports the findings.

Owns the node's ``CrashDetector`` and turns its findings into actions: a log event for each change of a
request's status, and reports to the request's owners, the two nodes that detect for all.
"""

from yokesill.gateway import events as ev
from yokesill.gateway.messages import GatewayRequest
from yokesill.gateway.requests.fingerprints import fingerprint
from yokesill.quarantine.detector import CrashDetector, Loss, QuarantineStatus


class CrashTracker:
    """One node's detector of requests that crash servers, and the actions that follow from its findings.

    ``list_known`` is set once the registry or a peer has sent the list of quarantined requests.
    ``newly_quarantined`` are those that may still have attempts in flight here. While the detector holds no
    requests, no fingerprint is computed.
    """

    def __init__(self) -> None:
        self.detector = CrashDetector()
        self.list_known = False
        self.newly_quarantined: set[str] = set()

    def status(self, request: GatewayRequest, now: float) -> QuarantineStatus:
        """Return a request's status."""
        return (
            self.detector.status(fingerprint(request), now) if len(self.detector) else QuarantineStatus.CLEAR
        )

    # --- observations of this node ---

    def lost(self, request_fingerprint: str, loss: Loss, now: float, actions: list[ev.Action]) -> None:
        """Record that a server was lost while it had the request with this fingerprint.

        A suspicion is not reported, since the request may still be answered. Its owners get its losses once
        it has failed, so that the loss of many servers at once does not cause messages for every request
        there.
        """
        status = self.detector.record_loss(request_fingerprint, loss, now)
        if status is not None:
            self._changed(request_fingerprint, status, "found", actions)
        if status is QuarantineStatus.QUARANTINED:
            actions.append(ev.QuarantineStatusDecided(request_fingerprint, status))

    def report_loss(self, request_fingerprint: str, loss: Loss, actions: list[ev.Action]) -> None:
        """Report a loss during a failed request to the request's owners."""
        self.detector.mark_shared(request_fingerprint)
        actions.append(ev.LossObserved(request_fingerprint, loss))

    def answered(self, request_fingerprint: str, service: str, probe: bool, actions: list[ev.Action]) -> None:
        """Record that a server answered the request, which may clear it."""
        shared = self.detector.is_shared(request_fingerprint)
        if self.detector.record_answer(request_fingerprint, service, probe):
            if shared:
                actions.append(ev.AnswerObserved(request_fingerprint, service, probe))
            if probe:
                self._changed(request_fingerprint, QuarantineStatus.CLEAR, "answered", actions)

    # --- reports from other nodes and the registry ---

    def loss_reported(self, event: ev.LossReported, now: float, actions: list[ev.Action]) -> None:
        """Record a loss that another node saw; report the resulting status to all nodes."""
        status = self.detector.record_loss(event.fingerprint, event.loss, now)
        self.detector.mark_shared(event.fingerprint)
        if status is not None:
            self._changed(event.fingerprint, status, "found", actions)
            actions.append(ev.QuarantineStatusDecided(event.fingerprint, status))

    def status_received(
        self, event: ev.QuarantineStatusReceived, now: float, actions: list[ev.Action]
    ) -> None:
        """Adopt the status that another node decided."""
        if self.detector.receive_status(event.fingerprint, event.status, now):
            self._changed(event.fingerprint, event.status, "told", actions)

    def record(self, fingerprints: frozenset[str], actions: list[ev.Action]) -> None:
        """Adopt the registry's list of quarantined requests, and log what changed."""
        before, self.list_known = self.detector.recorded, True
        self.detector.set_recorded(fingerprints)
        for each in sorted(fingerprints - before):
            self._changed(each, QuarantineStatus.QUARANTINED, "recorded", actions)
        for each in sorted(before - fingerprints):
            self._changed(each, QuarantineStatus.CLEAR, "lifted", actions)

    def take_newly_quarantined(self) -> frozenset[str]:
        """Return the requests that were quarantined since the last call."""
        taken, self.newly_quarantined = frozenset(self.newly_quarantined), set()
        return taken

    def _changed(
        self, request_fingerprint: str, status: QuarantineStatus, why: str, actions: list[ev.Action]
    ) -> None:
        if status is QuarantineStatus.QUARANTINED:
            self.newly_quarantined.add(request_fingerprint)
        details: dict[str, object] = {
            "fingerprint": request_fingerprint,
            "standing": status.name.lower(),
            "why": why,
        }
        actions.append(ev.LogEvent("request_judged", details))

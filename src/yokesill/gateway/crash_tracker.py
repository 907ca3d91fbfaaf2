"""What a node knows of requests under which servers ended, and what it reports of them.

Owns the node's ``CrashDetector``; turns its findings into actions: a log event for each change of a request's
status, and reports to a request's owners, the two nodes that detect for all.
"""

from yokesill.gateway import events as ev
from yokesill.gateway.messages import GatewayRequest
from yokesill.gateway.requests.fingerprints import fingerprint
from yokesill.quarantine.detector import CrashDetector, Loss, QuarantineStatus


class CrashTracker:
    """One node's detector of requests that crash servers, and the actions that follow from its findings.

    ``list_known`` once the registry or a peer has sent the list of quarantined requests.
    ``newly_quarantined`` are those of which attempts may still be under way here. While nothing is known of
    any request, no fingerprint is computed.
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

    # --- what this node saw ---

    def lost(self, name: str, loss: Loss, now: float, actions: list[ev.Action]) -> None:
        """Count that a server ended under the request with the fingerprint ``name``.

        A suspicion stays here: the request may be answered yet. Its owners get its losses once it has failed,
        so a loss of many servers at once makes no messages for every request there.
        """
        status = self.detector.record_loss(name, loss, now)
        if status is not None:
            self._changed(name, status, "found", actions)
        if status is QuarantineStatus.QUARANTINED:
            actions.append(ev.RequestJudged(name, status))

    def report_loss(self, name: str, loss: Loss, actions: list[ev.Action]) -> None:
        """Report a loss of a failed request to its owners."""
        self.detector.mark_shared(name)
        actions.append(ev.LossObserved(name, loss))

    def answered(self, name: str, service: str, probe: bool, actions: list[ev.Action]) -> None:
        """Count that a server answered the request, which may clear it."""
        shared = self.detector.is_shared(name)
        if self.detector.record_answer(name, service, probe):
            if shared:
                actions.append(ev.AnswerObserved(name, service, probe))
            if probe:
                self._changed(name, QuarantineStatus.CLEAR, "answered", actions)

    # --- what other nodes and the registry report ---

    def loss_reported(self, event: ev.LossReported, now: float, actions: list[ev.Action]) -> None:
        """Count what another node saw; all nodes get what follows from it."""
        status = self.detector.record_loss(event.fingerprint, event.loss, now)
        self.detector.mark_shared(event.fingerprint)
        if status is not None:
            self._changed(event.fingerprint, status, "found", actions)
            actions.append(ev.RequestJudged(event.fingerprint, status))

    def status_received(
        self, event: ev.QuarantineStatusReceived, now: float, actions: list[ev.Action]
    ) -> None:
        """Adopt what another node found."""
        if self.detector.receive_status(event.fingerprint, event.status, now):
            self._changed(event.fingerprint, event.status, "told", actions)

    def record(self, fingerprints: frozenset[str], actions: list[ev.Action]) -> None:
        """Adopt the registry's list of quarantined requests."""
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

    def _changed(self, name: str, status: QuarantineStatus, why: str, actions: list[ev.Action]) -> None:
        if status is QuarantineStatus.QUARANTINED:
            self.newly_quarantined.add(name)
        details: dict[str, object] = {"fingerprint": name, "standing": status.name.lower(), "why": why}
        actions.append(ev.LogEvent("request_judged", details))

"""What a node knows of requests under which servers ended, and what it tells the others of them."""

from yokesill.gateway import events as ev
from yokesill.gateway.messages import GatewayRequest
from yokesill.gateway.requests.fingerprints import fingerprint
from yokesill.quarantine.detector import CrashDetector, Loss, QuarantineStatus
from yokesill.verdict import Failure, Reason, Verdict

# Nothing is gained by coming back before somebody has looked at the request or at the servers' software.
QUARANTINED_RETRY_AFTER_MS = 60_000


class CrashTracker:
    """One node's judge of requests, and the actions that follow from what it finds.

    ``told`` once the registry or a peer told which requests are quarantined. ``newly_quarantined`` are those
    of which something may still be under way here. While nothing is known of any request, no fingerprint is
    worked out.
    """

    def __init__(self) -> None:
        self.detector = CrashDetector()
        self.told = False
        self.newly_quarantined: set[str] = set()

    def standing(self, request: GatewayRequest, now: float) -> QuarantineStatus:
        """Return what holds for a request."""
        return (
            self.detector.status(fingerprint(request), now) if len(self.detector) else QuarantineStatus.CLEAR
        )

    # --- what this node saw ---

    def lost(self, name: str, loss: Loss, now: float, actions: list[ev.Action]) -> None:
        """Take that a server ended under the request with the fingerprint ``name``.

        A suspicion stays here: the request may be answered yet. Who judges it for all is told of its losses
        once it has failed, so that a loss of many servers at once makes no messages for all that was there.
        """
        standing = self.detector.lost(name, loss, now)
        if standing is not None:
            self._changed(name, standing, "found", actions)
        if standing is QuarantineStatus.QUARANTINED:
            actions.append(ev.RequestJudged(name, standing))

    def tell(self, name: str, loss: Loss, actions: list[ev.Action]) -> None:
        """Have those told who judge a request that failed."""
        self.detector.share(name)
        actions.append(ev.LossObserved(name, loss))

    def answered(self, name: str, service: str, trial: bool, actions: list[ev.Action]) -> None:
        """Take that a server answered it."""
        shared = self.detector.shared(name)
        if self.detector.answered(name, service, trial):
            if shared:
                actions.append(ev.AnswerObserved(name, service, trial))
            if trial:
                self._changed(name, QuarantineStatus.CLEAR, "answered", actions)

    # --- what other nodes and the registry tell ---

    def loss_reported(self, event: ev.LossReported, now: float, actions: list[ev.Action]) -> None:
        """Take what another node saw; what comes of it, all nodes are told."""
        standing = self.detector.lost(event.fingerprint, event.loss, now)
        self.detector.share(event.fingerprint)
        if standing is not None:
            self._changed(event.fingerprint, standing, "found", actions)
            actions.append(ev.RequestJudged(event.fingerprint, standing))

    def status_received(
        self, event: ev.QuarantineStatusReceived, now: float, actions: list[ev.Action]
    ) -> None:
        """Take what another node found."""
        if self.detector.receive_status(event.fingerprint, event.status, now):
            self._changed(event.fingerprint, event.status, "told", actions)

    def record(self, fingerprints: frozenset[str], actions: list[ev.Action]) -> None:
        """Take which requests the registry records."""
        before, self.told = self.detector.recorded, True
        self.detector.record(fingerprints)
        for each in sorted(fingerprints - before):
            self._changed(each, QuarantineStatus.QUARANTINED, "recorded", actions)
        for each in sorted(before - fingerprints):
            self._changed(each, QuarantineStatus.CLEAR, "lifted", actions)

    def take_new(self) -> frozenset[str]:
        """Return the requests that were quarantined since this was last asked."""
        taken, self.newly_quarantined = frozenset(self.newly_quarantined), set()
        return taken

    def _changed(self, name: str, standing: QuarantineStatus, why: str, actions: list[ev.Action]) -> None:
        if standing is QuarantineStatus.QUARANTINED:
            self.newly_quarantined.add(name)
        details: dict[str, object] = {"fingerprint": name, "standing": standing.name.lower(), "why": why}
        actions.append(ev.LogEvent("request_judged", details))


def quarantined(name: str, verdict: Verdict) -> Failure:
    """Return why a request that ends servers gets no answer; ``verdict`` says whether it may have run."""
    detail = f"servers ended under it: {name}"
    return Failure(Reason.QUARANTINED, verdict, detail, QUARANTINED_RETRY_AFTER_MS)

"""What one request shows of itself by the servers that ended under it, and who is told."""

from collections.abc import Collection

from yokesill.gateway.crash_tracker import CrashTracker
from yokesill.gateway.events import Action
from yokesill.gateway.messages import GatewayRequest
from yokesill.gateway.requests.fingerprints import fingerprint
from yokesill.gateway.requests.service_call import ServiceCall
from yokesill.quarantine.detector import Loss, QuarantineStatus


class RequestLosses:
    """One request's losses; ``crashes`` is what its node knows of it and of others like it."""

    __slots__ = ("_crashes", "_fingerprint", "_request", "_untold")

    def __init__(self, request: GatewayRequest, crashes: CrashTracker) -> None:
        self._request = request
        self._crashes = crashes
        self._fingerprint = ""
        self._untold: list[Loss] = []

    @property
    def fingerprint(self) -> str:
        """What tells the request when it comes again; worked out when it is first asked for."""
        self._fingerprint = self._fingerprint or fingerprint(self._request)
        return self._fingerprint

    def suspected(self, now: float) -> bool:
        """Whether servers are suspected to end by it."""
        judge = self._crashes.detector
        return len(judge) > 0 and judge.status(self.fingerprint, now) is QuarantineStatus.SUSPECTED

    def suspects_first(self, calls: list[ServiceCall]) -> list[ServiceCall]:
        """Return calls in the order in which to try them: services first whose servers ended."""
        lost = self._crashes.detector.suspected_services(self.fingerprint)
        return sorted(calls, key=lambda call: call.service not in lost)

    def add(self, losses: list[Loss], now: float, actions: list[Action]) -> None:
        """Take servers that ended under it."""
        for loss in losses:
            self._crashes.lost(self.fingerprint, loss, now, actions)
        self._untold += losses

    def tell(self, answered: Collection[str], actions: list[Action]) -> None:
        """Have its judges told, now that it is over, of its losses at services that have not ``answered``."""
        losses, self._untold = self._untold, []
        for loss in losses:
            if loss.service not in answered:
                self._crashes.tell(self.fingerprint, loss, actions)

"""Decides which failures count against a server, and when bad attempts are reported to peers.

Reported are late, failed and silent attempts. Inputs: the ends of attempts and, periodically, the attempts in
flight; their routes' typical latencies. Output: `ServerObserved` actions, which the outlier detector at two
of the nodes evaluates (``outliers/``). Times are in seconds of the node's clock.
"""

from collections.abc import Callable

from yokesill.gateway.context import GatewayContext, LiveAttempt
from yokesill.gateway.documents import Route
from yokesill.gateway.events import Action, ServerObserved
from yokesill.verdict import Failure, Reason

# A timeout counts against a server only after this multiple of its typical latency: a caller with little time
# left ends its attempts early, which is no evidence about the server.
TIMEOUT_FACTOR = 4.0
# An attempt without an answer is reported after this time and this multiple of its typical latency. Servers
# occasionally pause for some hundred milliseconds; only longer silence is reported.
MIN_REPORTED_SILENCE_S, REPORTED_SILENCE_FACTOR = 0.4, 8.0
# The shortest time between two checks of the attempts in flight: small compared to MIN_REPORTED_SILENCE_S
# (0.4 s).
SILENCE_CHECK_INTERVAL_S = 0.1
# Failures that are no evidence about the server: this node's own limits, and an idle connection that was
# reset.
NO_EVIDENCE = frozenset({Reason.OVERLOADED, Reason.CONNECTION_FORGOTTEN})


class ServerEvidence:
    """Collects and reports one node's evidence against servers."""

    def __init__(self, context: GatewayContext, now: float) -> None:
        self._context = context
        self._silence_checked_at_s = now

    def counts(self, attempt: LiveAttempt, route: Route, failure: Failure, now: float) -> bool:
        """Return whether a failure counts against the server; a timeout only after ``TIMEOUT_FACTOR``."""
        if failure.reason in NO_EVIDENCE:
            return False
        if failure.reason is not Reason.TIMED_OUT:
            return True
        typical_s = attempt.server.round_trip + self._context.typical_latency(route).median
        return now - attempt.sent_at_s >= TIMEOUT_FACTOR * typical_s

    def report(self, attempt: LiveAttempt, now: float, actions: list[Action]) -> None:
        """Report the server if the attempt's end counted against it, unless its silence was reported."""
        if attempt.server.take_evidence() and not attempt.silence_reported:
            self._report(attempt, now, actions)

    def report_silent_servers(
        self, route_of: Callable[[int], Route | None], now: float, actions: list[Action]
    ) -> None:
        """Report attempts that have been in flight for much longer than a pause, once each."""
        if now - self._silence_checked_at_s < SILENCE_CHECK_INTERVAL_S:
            return
        self._silence_checked_at_s = now
        for number, attempt in self._context.live.items():
            route = route_of(number)
            latency = None if route is None else self._context.find_typical_latency(route)
            if attempt.silence_reported or latency is None:
                continue
            if now - attempt.sent_at_s >= max(
                MIN_REPORTED_SILENCE_S, REPORTED_SILENCE_FACTOR * latency.median
            ):
                attempt.silence_reported = True
                self._report(attempt, now, actions)

    def _report(self, attempt: LiveAttempt, now: float, actions: list[Action]) -> None:
        server = attempt.server
        actions.append(ServerObserved(server.record.instance, server.take_successes(now)))

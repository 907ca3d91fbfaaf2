"""Which failures and silences speak against a server, and when the other nodes are told of them."""

from collections.abc import Callable

from yokesill.gateway.context import GatewayContext, LiveAttempt
from yokesill.gateway.documents import Route
from yokesill.gateway.events import Action, ServerObserved
from yokesill.verdict import Failure, Reason

SILENCE_FACTOR = 4.0
# Servers pause now and then, for some hundred milliseconds; silence beyond that is told.
SILENCE_TO_TELL_S, SILENCE_TO_TELL_FACTOR = 0.4, 8.0
SILENCE_CHECK_S = 0.1
# Failures that say nothing of the server: this node's own limits, and a connection that had rested.
NO_EVIDENCE = frozenset({Reason.OVERLOADED, Reason.CONNECTION_FORGOTTEN})


class ServerEvidence:
    """What one node's attempts show of servers."""

    def __init__(self, context: GatewayContext, now: float) -> None:
        self._context = context
        self._silence_checked_at = now

    def counts(self, attempt: LiveAttempt, route: Route, failure: Failure, now: float) -> bool:
        """Whether a failure speaks against the server: silence does only after the usual time and more.

        A caller that has little time left ends its attempts early; that says nothing of servers.
        """
        if failure.reason in NO_EVIDENCE:
            return False
        if failure.reason is not Reason.TIMED_OUT:
            return True
        usual = attempt.server.round_trip + self._context.typical(route).median
        return now - attempt.sent_at_s >= SILENCE_FACTOR * usual

    def tell(self, attempt: LiveAttempt, now: float, actions: list[Action]) -> None:
        """Tell the other nodes if the attempt's end spoke against its server."""
        if attempt.server.take_evidence() and not attempt.told:
            self._tell(attempt, now, actions)

    def tell_of_silent_servers(
        self, route_of: Callable[[int], Route | None], now: float, actions: list[Action]
    ) -> None:
        """Tell, once each, of attempts that have been out for much longer than a pause."""
        if now - self._silence_checked_at < SILENCE_CHECK_S:
            return
        self._silence_checked_at = now
        for number, attempt in self._context.live.items():
            route = route_of(number)
            typical = None if route is None else self._context.known_typical(route)
            if attempt.told or typical is None:
                continue
            if now - attempt.sent_at_s >= max(SILENCE_TO_TELL_S, SILENCE_TO_TELL_FACTOR * typical.median):
                attempt.told = True
                self._tell(attempt, now, actions)

    def _tell(self, attempt: LiveAttempt, now: float, actions: list[Action]) -> None:
        server = attempt.server
        actions.append(ServerObserved(server.record.instance, server.take_successes(now)))

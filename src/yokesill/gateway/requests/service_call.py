"""The attempts of one request at the servers of one service.

Owns the attempts, their results, and the verdict on whether the request may have run at the service, which is
a guarantee to the caller. ``server_choice`` selects the server of an attempt; ``first_attempts``,
``deferral``, ``hedging``, ``retrying`` and ``probing`` decide whether one is sent.
"""

from yokesill.gateway.context import GatewayContext, LiveAttempt
from yokesill.gateway.documents import Route
from yokesill.gateway.events import LogEvent, SendAttempt
from yokesill.gateway.messages import Attempt, GatewayRequest, ServerReply
from yokesill.gateway.requests import refusal
from yokesill.gateway.servers.eligibility import present
from yokesill.gateway.servers.selection import Choice
from yokesill.gateway.servers.server_state import ServerState
from yokesill.gateway.step import Step
from yokesill.verdict import Failure, Reason, Verdict

# With less time left before the deadline, an attempt is not sent: a server would work on an answer that comes
# too late.
MIN_TIME_TO_SEND_S = 0.003
NEVER = float("inf")
# Reasons for which the request never reached a server, so that the next attempt is not an extra attempt.
NEVER_SENT = frozenset(
    {Reason.OVERLOADED, Reason.CONNECT_FAILED, Reason.CONNECTION_REFUSED, Reason.SERVER_LEFT}
)


class ServiceCall:
    """The state of a request at one service: attempts under way, results, and verdict.

    Attributes
    ----------
    reply, fallback
        The first successful answer; the last error response, passed on if there is no successful answer.
    closed, failure
        Whether the call was closed without a reply, and the last failure.
    finish_counted
        Set by the fan-out when it has counted the call as finished.
    hedge_at_s
        When a hedge is due, in seconds of the node's clock.
    late
        Whether the last attempt is late; a newer attempt clears it.
    deferred_cause
        The cause of an attempt that waits for a pacing slot; empty while none waits.
    waited_s
        Total time that attempts waited for pacing slots, in seconds.
    canary
        Whether the first attempt may go to a new version.
    tried
        The instances that an attempt was sent to; one that refused the connection is removed again.
    attempts, extra_attempts
        Number of attempts sent, and how many of them were taken from the budget.
    """

    def __init__(self, service: str, request: GatewayRequest, route: Route, context: GatewayContext) -> None:
        self.service = service
        self.reply: ServerReply | None = None
        self.fallback: ServerReply | None = None
        self.closed = False
        self.finish_counted = False
        self.failure: Failure | None = None
        self.hedge_at_s = NEVER
        self.deferred_cause = ""
        self.waited_s = 0.0
        self.late = False
        self.canary = False
        self.tried: set[str] = set()
        self.attempts = 0
        self.extra_attempts = 0
        self._request = request
        self._route = route
        self._context = context
        self._live: dict[int, LiveAttempt] = {}
        self._deferred_at_s = 0.0
        # Another node that had the request before may have used all attempts but the last.
        self._ran = max(1, route.max_attempts - 1) if request.possibly_sent else 0
        self._may_have_arrived = request.possibly_sent
        self._verdict = Verdict.MAY_HAVE_RUN if request.possibly_sent else Verdict.NOT_RUN

    # --- state ---

    @property
    def open(self) -> bool:
        """Whether the call may still get a reply."""
        return self.reply is None and not self.closed

    @property
    def verdict(self) -> Verdict:
        """Whether the request may have run at this service."""
        return Verdict.MAY_HAVE_RUN if self._live and self._verdict is Verdict.NOT_RUN else self._verdict

    @property
    def live_numbers(self) -> list[int]:
        """The numbers of the attempts under way."""
        return list(self._live)

    @property
    def has_attempts_left(self) -> bool:
        """Whether another attempt stays within the route's limit on servers that may run the request."""
        return self._ran + len(self._live) < self._route.max_attempts

    @property
    def may_repeat(self) -> bool:
        """Whether another attempt is safe: the route is idempotent, or nothing can have run yet."""
        return self._route.repeatable or self._verdict is Verdict.NOT_RUN

    def available_at_s(self, now: float) -> float:
        """Return when any server of the service is available, including tried ones; infinite if unknown."""
        candidates = self._context.eligibility.candidates(self.service, self._route, now)
        return min((each.available_at_s(now) for each in candidates), default=NEVER)

    # --- sending ---

    def send(
        self, cause: str, choice: Choice, deadline_at_s: float, hedge_delay_s: float, step: Step
    ) -> LiveAttempt | None:
        """Send an attempt; return ``None`` if the deadline is too close or the budget is exhausted.

        It is an extra attempt if an earlier one may have reached a server. A hedge is due ``hedge_delay_s``
        later or, at a slow server, at the expected completion time if that is later.
        """
        context, server, now = self._context, choice.server, step.now
        if deadline_at_s - now < MIN_TIME_TO_SEND_S:
            return None
        extra = self._may_have_arrived or bool(self._live)
        if extra and not context.take_extra_attempt(self.service, now):
            step.actions.append(self._log_event("budget_spent", cause, server, now))
            return None
        if cause == "first" and context.rollouts.is_new(server):
            cause = "canary"
        attempt = self._begin_attempt(server, extra, now)
        self.hedge_at_s = now + (hedge_delay_s if choice.healthy else max(hedge_delay_s, choice.expected_s))
        if cause != "first":
            step.actions.append(self._log_event("attempt_added", cause, server, now))
        limit = server.connections.limit(context.eligibility.connection_limit(self.service))
        repeatable = self._route.repeatable
        sent = Attempt(attempt.number, self._request, server.record, limit, deadline_at_s, repeatable)
        step.actions.append(SendAttempt(sent))
        return attempt

    def _begin_attempt(self, server: ServerState, extra: bool, now: float) -> LiveAttempt:
        context = self._context
        number = next(context.numbers)
        attempt = LiveAttempt(number, self._request.request_id, server, now, extra)
        context.live[number] = self._live[number] = attempt
        server.begin(number, context.typical_latency(self._route).median, now)
        context.sent(server, now)
        self.tried.add(server.record.instance)
        self.attempts += 1
        self.extra_attempts += extra
        self.late = False
        return attempt

    def _log_event(self, name: str, cause: str, server: ServerState, now: float) -> LogEvent:
        details: dict[str, object] = {
            "request": self._request.request_id,
            "service": self.service,
            "cause": cause,
            "instance": server.record.instance,
            "after_ms": round((now - self._request.arrived_at_s) * 1000, 1),
            "budget_left": round(self._context.extra_attempts_left(self.service, now), 1),
        }
        if server.record.service in self._context.rollouts.effective:
            details["server_version"] = server.record.version
        return LogEvent(name, details)

    # --- waiting and closing ---

    def defer(self, cause: str, now: float) -> None:
        """Defer an attempt until a pacing slot is free."""
        self.deferred_cause = cause
        self._deferred_at_s = now
        self.hedge_at_s = NEVER

    def end_deferral(self, now: float) -> str:
        """End the deferral and return the cause of the deferred attempt."""
        cause, self.deferred_cause = self.deferred_cause, ""
        self.waited_s += now - self._deferred_at_s
        return cause

    def mark_late(self) -> None:
        """Mark the attempts under way as late; no further hedge is due for them."""
        for attempt in self._live.values():
            attempt.server.stall(attempt.number)
        self.hedge_at_s = NEVER
        self.late = True

    def close(self, failure: Failure) -> None:
        """Close the call with a failure."""
        self.closed = True
        self.failure = failure
        self.hedge_at_s = NEVER

    def close_unsent(self, now: float) -> None:
        """Close the call because no attempt can be sent now; an earlier failure is kept."""
        if self.failure is not None:
            self.close(self.failure)
            return
        listed = bool(present(self._context.servers, self.service, now))
        self.close(refusal.no_server(self.service, listed))

    def close_unless_replied(self) -> None:
        """Close the call, leaving only its fallback, unless it has a reply."""
        self.closed = self.reply is None

    def skip(self) -> None:
        """Close the call unsent and without a failure: the answer does not depend on it."""
        self.closed = True

    def expire(self) -> None:
        """Close the call at the request's deadline."""
        self.closed = True
        self.failure = refusal.timed_out(self.verdict)

    # --- results of attempts ---

    def answered(self, number: int, reply: ServerReply) -> None:
        """Record an attempt's answer; the first successful one is the call's reply."""
        self._live.pop(number, None)
        self._may_have_arrived = True
        self._ran += 1
        self._verdict = Verdict.RAN
        if reply.succeeded:
            self.reply = self.reply or reply
        else:
            self.fallback = reply

    def failed(self, number: int, failure: Failure) -> None:
        """Record an attempt's end without an answer."""
        attempt = self._live.pop(number, None)
        self.failure = failure
        never_sent = failure.verdict is Verdict.NOT_RUN and failure.reason in NEVER_SENT
        self._may_have_arrived = self._may_have_arrived or not never_sent
        if never_sent and failure.reason is Reason.CONNECTION_REFUSED and attempt is not None:
            self.tried.discard(attempt.server.record.instance)
        if failure.verdict is not Verdict.NOT_RUN:
            self._ran += 1
            self._verdict = max(self._verdict, failure.verdict)

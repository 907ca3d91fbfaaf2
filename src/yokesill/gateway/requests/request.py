"""One request from its arrival to its final answer."""

from yokesill.gateway.context import GatewayContext, LiveAttempt
from yokesill.gateway.crash_tracker import quarantined
from yokesill.gateway.documents import Gather, Route
from yokesill.gateway.events import (
    Action,
    CancelAttempt,
    Gathered,
    PassOn,
    Refuse,
    SetTimer,
    TimerKind,
)
from yokesill.gateway.messages import GatewayRequest, RequestSummary, ServerReply
from yokesill.gateway.requests.fan_out import FanOut
from yokesill.gateway.requests.losses import RequestLosses
from yokesill.gateway.requests.merge import greatest_records
from yokesill.gateway.requests.refusals import shared_reason
from yokesill.gateway.requests.retry_after import FAILED_RETRY_AFTER_MS
from yokesill.gateway.requests.service_call import NEVER, ServiceCall
from yokesill.quarantine.detector import Loss
from yokesill.verdict import Failure, Reason, Verdict, join

# Where more than half of a request's attempts are late at once, this node's own delay is the likelier
# cause: a node's first wide request, busy connecting, hedged 0.78 of its shards. Hedging then waits once.
# With nodes that are never busy it buys nothing clear (0.003 of credit either way, bench/overload.py); fewer
# than eight attempts are too few to compare.
NODE_LATE_SHARE, LEAST_CALLS_TO_COMPARE = 0.5, 8


class RequestMachine:
    """Decides for one request under the configuration that was in force when it arrived.

    ``objective_at_s`` is when an answer that covers enough is given although parts are missing: the latest
    moment at which it is still in time for the caller. ``deadline_at_s`` is when it is given up.
    """

    def __init__(
        self,
        request: GatewayRequest,
        route: Route,
        services: tuple[str, ...],
        version: int,
        context: GatewayContext,
    ) -> None:
        self.request = request
        self.route = route
        self.done = False
        self._version = version
        self._context = context
        self._timer_at = NEVER
        self._postponed = False
        options = context.options
        margin = options.fresh_margin_s if request.fresh_connection else options.kept_margin_s
        margin += context.lateness
        self._margin = margin
        patience = request.caller_timeout_s if request.caller_timeout_s is not None else route.timeout_s
        self.deadline_at_s = request.arrived_at_s + min(route.timeout_s, patience - margin)
        waited = context.waited_before(route, patience)
        if waited >= route.objective_s:
            # Late whatever is done; or this caller is merely less patient than the most patient one.
            waited = 0.0
        self.objective_at_s = request.arrived_at_s + max(0.0, route.objective_s - waited - margin)
        self._evidence = RequestLosses(request, context.crashes)
        self._parts = FanOut(self, request, route, services, context)

    # --- events ---

    def begin(self, now: float, actions: list[Action]) -> None:
        """Send the first attempts and set the timers."""
        self._parts.begin(now, actions)
        if isinstance(self.route.destination, Gather):
            actions.append(SetTimer(self.request.key, TimerKind.OBJECTIVE, self.objective_at_s))
        actions.append(SetTimer(self.request.key, TimerKind.DEADLINE, self.deadline_at_s))
        self._conclude(now, actions)
        self._set_hedge_timer(actions)

    def answered(self, number: int, reply: ServerReply, now: float, actions: list[Action]) -> None:
        """Take an attempt's whole answer."""
        call = self._parts.by_number.pop(number)
        call.answered(number, reply)
        self._parts.ended(number, now, actions, answered=True, lost="")
        if not reply.succeeded and self.route.repeatable and reply.status >= 500 and not self.done:
            self._retry(call, now, actions)
        elif not reply.succeeded and not call.live_numbers:
            call.closed = call.reply is None
        self._parts.count(call)
        self._conclude(now, actions)

    def failed(self, number: int, failure: Failure, now: float, actions: list[Action]) -> None:
        """Take an attempt's end without an answer."""
        call = self._parts.by_number.pop(number, None)
        if call is None:
            return
        call.failed(number, failure)
        if not self.done:
            lost = call.service if failure.reason is Reason.CONNECTION_LOST else ""
            self._parts.ended(number, now, actions, answered=False, lost=lost)
            self._retry(call, now, actions)
            self._conclude(now, actions)

    def timer(self, kind: TimerKind, now: float, actions: list[Action]) -> None:
        """Take a decision point."""
        if self.done:
            return
        due = self._due(kind)
        self._context.observe_lateness(max(0.0, now - due))
        if kind is TimerKind.HEDGE:
            self._hedge_due(now, actions)
        elif kind is TimerKind.DEADLINE:
            self._give_up(now, actions)
        self._conclude(now, actions)

    def _due(self, kind: TimerKind) -> float:
        if kind is TimerKind.HEDGE:
            return self._timer_at
        return self.objective_at_s if kind is TimerKind.OBJECTIVE else self.deadline_at_s

    def caller_left(self, actions: list[Action]) -> None:
        """Break everything off: nobody waits for it."""
        self.done = True
        self._break_off(actions)
        self._tell_losses(actions)

    def _break_off(self, actions: list[Action]) -> None:
        for number in list(self._parts.by_number):
            del self._parts.by_number[number]
            self._context.release(number)
            actions.append(CancelAttempt(number))

    # --- servers that end under it ---

    @property
    def fingerprint(self) -> str:
        """What tells the request when it comes again."""
        return self._evidence.fingerprint

    def suspected(self, now: float) -> bool:
        """Whether servers are suspected to end by it."""
        return self._evidence.suspected(now)

    def suspects_first(self, calls: list[ServiceCall]) -> list[ServiceCall]:
        """Return calls in the order in which to try them: services first whose servers ended."""
        return self._evidence.suspects_first(calls)

    def lost(self, attempt: LiveAttempt, now: float, actions: list[Action]) -> None:
        """Take that a server ended under an attempt.

        A trial counts as one if nothing else of the request was left that a server might have answered.
        """
        record = attempt.server.record
        alone = attempt.trial and self._parts.by_number.keys() <= {attempt.number}
        loss = Loss(record.instance, record.service, alone)
        self._evidence.add(self._parts.isolation.evidence(loss), now, actions)
        if self.done:
            self._tell_losses(actions)

    def _tell_losses(self, actions: list[Action]) -> None:
        answered = {call.service for call in self._parts.calls if call.reply is not None}
        self._evidence.tell(answered, actions)

    def quarantine(self, now: float, actions: list[Action]) -> None:
        """Give up at once: servers end by it. What is under way is broken off before it ends more."""
        if self.done:
            return
        self.done = True
        summary = self._summary(now)
        self._break_off(actions)
        self._tell_losses(actions)
        actions.append(Refuse(self.request.key, quarantined(self.fingerprint, summary.verdict), summary))

    # --- room at slow servers ---

    @property
    def priority(self) -> int:
        """How urgent its route is; 0 is the most urgent."""
        return self.route.priority

    def awaits_slot(self, service: str) -> bool:
        """Whether a service should be asked as soon as one of its slow servers has room."""
        return not self.done and self._parts.awaits_slot(service)

    def dispatch_deferred(self, service: str, now: float, actions: list[Action]) -> float | None:
        """Ask a service that has room; return ``None``, or from when on it has room (seconds)."""
        room_at_s = self._parts.dispatch_deferred(service, now, actions)
        if room_at_s is None:
            self._conclude(now, actions)
            self._set_hedge_timer(actions)
        return room_at_s

    # --- hedges and retries ---

    def _hedge_due(self, now: float, actions: list[Action]) -> None:
        self._timer_at = NEVER
        late = self._parts.late_calls(now)
        if self._node_is_late(late):
            delay = self._parts.hedge_delay(now)
            for call in late:
                call.hedge_at = now + delay
        else:
            self._parts.hedge(late, now, actions)
        self._set_hedge_timer(actions)

    def _node_is_late(self, late: list[ServiceCall]) -> bool:
        """Whether so many services are late at once that this node is the likelier cause; once."""
        calls = len(self._parts.calls)
        compares = self._context.options.postpones_hedges and calls >= LEAST_CALLS_TO_COMPARE
        if self._postponed or not compares:
            return False
        self._postponed = len(late) > NODE_LATE_SHARE * calls
        return self._postponed

    def _retry(self, call: ServiceCall, now: float, actions: list[Action]) -> None:
        self._parts.retry(call, now, actions)
        self._set_hedge_timer(actions)

    def _set_hedge_timer(self, actions: list[Action]) -> None:
        due = self._parts.next_hedge_at()
        if due < self._timer_at and not self.done:
            self._timer_at = due
            actions.append(SetTimer(self.request.key, TimerKind.HEDGE, due))

    # --- the final answer ---

    def _conclude(self, now: float, actions: list[Action]) -> None:
        """Answer as soon as that is right; at most once."""
        if self.done:
            return
        if isinstance(self.route.destination, Gather):
            self._conclude_gather(self.route.destination, now, actions)
        else:
            self._conclude_single(now, actions)

    def _conclude_single(self, now: float, actions: list[Action]) -> None:
        call = self._parts.calls[0]
        if call.open:
            return
        self.done = True
        self._tell_losses(actions)
        reply = call.reply or call.fallback
        if reply is not None:
            actions.append(PassOn(self.request.key, reply, self._summary(now)))
            return
        self._refuse(now, actions)

    def _conclude_gather(self, gather: Gather, now: float, actions: list[Action]) -> None:
        parts = self._parts
        if parts.coverage_met:
            if parts.pending and now < self.objective_at_s:
                return
        elif not parts.coverage_unreachable:
            return
        self.done = True
        self._tell_losses(actions)
        if not parts.coverage_met:
            self._refuse(now, actions)
            return
        replies = [call.reply for call in parts.calls if call.reply is not None]
        records = greatest_records((reply.body for reply in replies), gather.greatest)
        signatures = tuple(reply.signature for reply in replies if reply.signature is not None)
        missing = len(parts.calls) - len(replies)
        summary = self._summary(now)
        actions.append(Gathered(self.request.key, records, signatures, missing, summary))

    def _give_up(self, now: float, actions: list[Action]) -> None:
        """The time is over: answer with what there is, or say that it is over."""
        for call in self._parts.calls:
            if call.open:
                call.closed = True
                call.failure = Failure(Reason.TIMED_OUT, call.verdict, "no answer in time")
                self._parts.count(call)
        self._conclude(now, actions)

    def _refuse(self, now: float, actions: list[Action]) -> None:
        failures = [call.failure for call in self._parts.calls if call.failure is not None]
        verdict = join(call.verdict for call in self._parts.calls)
        reason, detail = shared_reason(failures)
        refused = verdict is Verdict.NOT_RUN
        come_back = self._parts.retry_after_ms_of(now) if refused else FAILED_RETRY_AFTER_MS
        failure = Failure(reason, verdict, detail, come_back)
        actions.append(Refuse(self.request.key, failure, self._summary(now)))

    def _summary(self, now: float) -> RequestSummary:
        covered = sum(call.reply is not None for call in self._parts.calls)
        return RequestSummary(
            route=self.route.name,
            version=self._version,
            verdict=join(call.verdict for call in self._parts.calls),
            elapsed_s=now - self.request.arrived_at_s,
            covered=covered,
            asked=len(self._parts.calls),
            attempts=sum(call.sent for call in self._parts.calls),
            extra_attempts=sum(call.extras for call in self._parts.calls),
            missing=tuple(call.service for call in self._parts.calls if call.reply is None),
            left_out=tuple(call.service for call in self._parts.calls if not call.sent),
            waited_s=max(call.waited_s for call in self._parts.calls),
            late=now > self.objective_at_s + self._margin,
        )

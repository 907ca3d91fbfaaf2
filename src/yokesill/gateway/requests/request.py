"""State machine of one request, from its arrival to its final answer.

The router passes in the request's events (arrival, end of an attempt, timer, free pacing slot, disconnect of
the caller), and the machine applies the rules in order. Each rule is in its own module:

- ``deadlines``: the latency objective and the deadline
- ``first_attempts``, ``deferral``, ``pacing``: which attempts are sent at once, later, or not at all
- ``hedging``: when a hedge is sent
- ``retrying``: when a failed attempt is retried
- ``isolation``, ``probing``: handling of requests that may crash servers
- ``conclusion``, ``refusal``: the final answer, its verdict and Retry-After

A request keeps the configuration that was current at its arrival, and gives at most one final answer.
"""

from yokesill.gateway.context import GatewayContext, LiveAttempt
from yokesill.gateway.documents import Gather, Route
from yokesill.gateway.events import CancelAttempt, Refuse, SetTimer, TimerKind
from yokesill.gateway.messages import GatewayRequest, ServerReply
from yokesill.gateway.requests import (
    conclusion,
    deferral,
    first_attempts,
    hedging,
    probing,
    refusal,
    retrying,
)
from yokesill.gateway.requests.fan_out import FanOut
from yokesill.gateway.requests.merge import reduced_part
from yokesill.gateway.requests.service_call import NEVER, ServiceCall
from yokesill.gateway.step import Step
from yokesill.verdict import Failure, Reason


class RequestMachine:
    """One request, handled under the configuration that was current when it arrived.

    Up to ``objective_at_s`` it waits for a complete answer; at ``deadline_at_s`` it is given up, both in
    seconds of the node's clock (see ``deadlines``). ``done`` is set once the request has ended.
    """

    def __init__(
        self,
        request: GatewayRequest,
        route: Route,
        services: tuple[str, ...],
        context: GatewayContext,
    ) -> None:
        self.request = request
        self.route = route
        self.done = False
        self._context = context
        self._hedge_timer_at_s = NEVER
        self._fan_out = FanOut(self, request, route, services, context)
        self.objective_at_s = self._fan_out.objective_at_s
        self.deadline_at_s = self._fan_out.deadline_at_s

    @property
    def fingerprint(self) -> str:
        """The request's fingerprint, the same for each try and any caller."""
        return self._fan_out.isolation.fingerprint

    # --- arrival and end ---

    def begin(self, step: Step) -> None:
        """Send the first attempts and set the timers."""
        first_attempts.send_first_attempts(self._fan_out, step)
        if self._fan_out.gathers:
            step.actions.append(SetTimer(self.request.key, TimerKind.OBJECTIVE, self.objective_at_s))
        step.actions.append(SetTimer(self.request.key, TimerKind.DEADLINE, self.deadline_at_s))
        self._conclude(step)
        self._set_hedge_timer(step)

    def end_by(self, at_s: float, step: Step) -> None:
        """Bring the deadline forward to ``at_s``, in seconds of the node's clock."""
        if self.done or self.deadline_at_s <= at_s:
            return
        self.deadline_at_s = self._fan_out.deadline_at_s = at_s
        step.actions.append(SetTimer(self.request.key, TimerKind.DEADLINE, at_s))

    def caller_left(self, step: Step) -> None:
        """Cancel all attempts because the caller has disconnected."""
        self.done = True
        self._cancel_attempts(step)
        self._report_losses(step)

    def quarantine(self, step: Step) -> None:
        """Refuse the request at once and cancel its attempts before it crashes more servers."""
        if self.done:
            return
        self.done = True
        summary = conclusion.summarize(self._fan_out, step.now)
        self._cancel_attempts(step)
        self._report_losses(step)
        failure = refusal.quarantined(self.fingerprint, summary.verdict)
        step.actions.append(Refuse(self.request.key, failure, summary))

    def _conclude(self, step: Step) -> None:
        if self.done:
            return
        answer = conclusion.final_answer(self._fan_out, step.now)
        if answer is None:
            return
        self.done = True
        self._report_losses(step)
        step.actions.append(answer)

    def _cancel_attempts(self, step: Step) -> None:
        by_number = self._fan_out.by_number
        for number in list(by_number):
            del by_number[number]
            self._context.release(number)
            step.actions.append(CancelAttempt(number))

    # --- attempts ---

    def answered(self, number: int, reply: ServerReply, step: Step) -> None:
        """Handle the complete answer of an attempt."""
        fan_out = self._fan_out
        call = fan_out.by_number.pop(number)
        destination = self.route.destination
        if isinstance(destination, Gather):
            reply = reduced_part(reply, destination.greatest)
        call.answered(number, reply)
        self._attempt_ended(number, step, answered=True, lost_service="")
        if not reply.succeeded:
            if not self.done and retrying.should_retry(fan_out, reply):
                self._retry(call, step)
            elif not call.live_numbers:
                call.close_unless_replied()
        fan_out.count_if_finished(call)
        self._conclude(step)

    def failed(self, number: int, failure: Failure, step: Step) -> None:
        """Handle the end of an attempt without an answer."""
        call = self._fan_out.by_number.pop(number, None)
        if call is None:
            return
        call.failed(number, failure)
        if self.done:
            return
        lost_service = call.service if failure.reason is Reason.CONNECTION_LOST else ""
        self._attempt_ended(number, step, answered=False, lost_service=lost_service)
        self._retry(call, step)
        self._conclude(step)

    def server_lost(self, attempt: LiveAttempt, step: Step) -> None:
        """Record that a server was lost during an attempt; called before ``failed``."""
        fan_out = self._fan_out
        only_attempt = fan_out.by_number.keys() <= {attempt.number}
        fan_out.isolation.server_lost(attempt, only_attempt, step)
        if self.done:
            self._report_losses(step)

    def _attempt_ended(self, number: int, step: Step, answered: bool, lost_service: str) -> None:
        """Probe the next held call, or send all held calls once the request is no longer isolated."""
        fan_out, isolation = self._fan_out, self._fan_out.isolation
        was_isolated = isolation.active
        isolation.attempt_ended(number, answered, lost_service)
        if not was_isolated:
            return
        if probing.is_isolated(fan_out, step):
            probing.probe_next(fan_out, step)
            return
        for call in isolation.release():
            if call.attempts:
                retrying.retry(fan_out, call, step)
            else:
                first_attempts.send_held(fan_out, call, step)
        deferral.dispatch_deferred_calls(fan_out, step)

    def _retry(self, call: ServiceCall, step: Step) -> None:
        retrying.retry(self._fan_out, call, step)
        self._set_hedge_timer(step)

    def _report_losses(self, step: Step) -> None:
        isolation = self._fan_out.isolation
        if isolation.has_unreported:
            answered = {call.service for call in self._fan_out.calls if call.reply is not None}
            isolation.report_losses(answered, step)

    # --- timers ---

    def timer(self, kind: TimerKind, step: Step) -> None:
        """Handle a timer of this request."""
        if self.done:
            return
        self._context.observe_lateness(max(0.0, step.now - self._due_at_s(kind)))
        if kind is TimerKind.HEDGE:
            self._hedge_due(step)
        elif kind is TimerKind.DEADLINE:
            conclusion.expire_open_calls(self._fan_out)
        self._conclude(step)

    def _due_at_s(self, kind: TimerKind) -> float:
        if kind is TimerKind.HEDGE:
            return self._hedge_timer_at_s
        return self.objective_at_s if kind is TimerKind.OBJECTIVE else self.deadline_at_s

    def _hedge_due(self, step: Step) -> None:
        fan_out = self._fan_out
        self._hedge_timer_at_s = NEVER
        late = hedging.late_calls(fan_out, step.now)
        if not hedging.postpone_hedges(fan_out, late, step.now):
            hedging.hedge(fan_out, late, step)
            # Late calls no longer count as expected replies, so deferred calls may be needed instead.
            deferral.dispatch_deferred_calls(fan_out, step)
        self._set_hedge_timer(step)

    def _set_hedge_timer(self, step: Step) -> None:
        due_at_s = hedging.next_hedge_at_s(self._fan_out)
        if due_at_s < self._hedge_timer_at_s and not self.done:
            self._hedge_timer_at_s = due_at_s
            step.actions.append(SetTimer(self.request.key, TimerKind.HEDGE, due_at_s))

    # --- pacing slots of slow servers ---

    @property
    def priority(self) -> int:
        """The priority of the request's route; 0 is the most urgent."""
        return self.route.priority

    def awaits_slot(self, service: str) -> bool:
        """Whether a service's call should be sent as soon as one of its slow servers has a free slot."""
        return not self.done and deferral.awaits_slot(self._fan_out, service)

    def dispatch_deferred(self, service: str, step: Step) -> float | None:
        """Send a service's deferred call, or return when a slot is free (seconds) if none is free now."""
        free_at_s = deferral.dispatch_deferred(self._fan_out, service, step)
        if free_at_s is None:
            self._conclude(step)
            self._set_hedge_timer(step)
        return free_at_s

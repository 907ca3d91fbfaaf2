"""Retries attempts that did not succeed.

An attempt is retried if it failed without an answer, or if its server returned an error (status 500 and
above) and the route is idempotent. The rules, in order:

1. While another attempt of the call is under way, nothing is sent, since its answer may still arrive.
2. A retry must be safe and allowed: the route is idempotent (``repeatable``) or the request is known not to
   have run at this service, and the route's ``max_attempts`` is not used up. Only attempts that are under way
   or may have run count towards it (``ServiceCall.may_repeat``, ``has_attempts_left``).
3. It goes to a server that was not tried yet, at once and without backoff, because the caller is waiting. A
   server that refused the connection may be tried again, since it is at its connection limit, not failing.
4. While the request is isolated, the call is held for a probe instead.
5. If only slow servers are left, it waits for a pacing slot like a first attempt.
6. Each attempt after one that may have reached a server takes one extra attempt from the service's budget.
7. If no retry can be sent, the call is closed with its last failure.
"""

from yokesill.gateway.messages import ServerReply
from yokesill.gateway.requests import refusal
from yokesill.gateway.requests.deferral import dispatch_deferred_calls
from yokesill.gateway.requests.fan_out import FanOut
from yokesill.gateway.requests.hedging import hedge_delay_s
from yokesill.gateway.requests.pacing import has_free_slot
from yokesill.gateway.requests.probing import is_isolated, probe_next
from yokesill.gateway.requests.server_choice import select_repeat
from yokesill.gateway.requests.service_call import NEVER, ServiceCall
from yokesill.gateway.step import Step


def should_retry(fan_out: FanOut, reply: ServerReply) -> bool:
    """Whether an attempt with an unsuccessful answer is retried."""
    return fan_out.route.repeatable and reply.is_server_error


def retry(fan_out: FanOut, call: ServiceCall, step: Step) -> None:
    """Send a call's next attempt or close the call, then send deferred calls that are needed as a result."""
    isolated = is_isolated(fan_out, step)
    idle = call.open and not call.live_numbers
    if isolated and idle and select_repeat(fan_out, call, step.now) is not None:
        call.hedge_at_s = NEVER
        fan_out.isolation.held.append(call)
        probe_next(fan_out, step)
        return
    if idle:
        _retry_or_close(fan_out, call, step)
    fan_out.note_attempts(call)
    dispatch_deferred_calls(fan_out, step)


def _retry_or_close(fan_out: FanOut, call: ServiceCall, step: Step) -> None:
    delay_s = hedge_delay_s(fan_out, step.now)
    choice = select_repeat(fan_out, call, step.now)
    if choice is not None and not has_free_slot(choice, fan_out.context, step.now):
        fan_out.defer(call, "retry", step)
        return
    if choice is not None and call.send("retry", choice, fan_out.deadline_at_s, delay_s, step):
        return
    call.close(call.failure or refusal.server_failed())

"""Defers calls to slow servers until a pacing slot is free, or skips them.

A call with a sound server is never deferred. If all servers of a service are slow, they get attempts only at
the pace that their latency permits, one per free slot (``pacing``):

1. An answer needs ``required`` replies. Replies that have arrived and attempts that are under way and not
   late count towards them. If more are needed, that many of the deferred calls are needed, those with the
   lowest expected latency first.
2. A needed call is sent when a slot is free, or at once if the next slot is free only after the request's
   deadline.
3. A call that is not needed is sent only if a slot has been unused for a whole turn. Otherwise it is skipped,
   which leaves the slow server's capacity to requests that need it.
4. A needed call without a slot waits in the node's ``PacingQueue``, which selects the next request when a
   slot becomes free.

All times are in seconds of the node's clock. Measured with bench/overload.py, five seeds: with all servers of
two shards slow or unresponsive, the fraction of searches without an answer falls from 0.214 to 0.063; with
two of three servers of four shards slow under a load of 1.2 times the remaining capacity, the fraction of
answers in time rises from 0.355 to 0.600 (docs/design/overload.md). Two switches turn this off: without
``paces`` slots are always free, without ``leaves_out`` all deferred calls are needed.
"""

from yokesill.gateway.events import SetTimer, TimerKind
from yokesill.gateway.requests.fan_out import FanOut
from yokesill.gateway.requests.hedging import hedge_delay_s
from yokesill.gateway.requests.pacing import has_free_slot
from yokesill.gateway.requests.probing import is_isolated
from yokesill.gateway.requests.server_choice import select
from yokesill.gateway.requests.service_call import NEVER, ServiceCall
from yokesill.gateway.servers.selection import Choice
from yokesill.gateway.step import Step


def awaits_slot(fan_out: FanOut, service: str) -> bool:
    """Whether a service's call should be sent as soon as one of its slow servers has a free slot."""
    return bool(fan_out.by_service[service].deferred_cause) and calls_needed(fan_out) > 0


def calls_needed(fan_out: FanOut) -> int:
    """Return how many of the deferred calls the answer still needs; may be negative."""
    if not fan_out.context.options.switches.leaves_out:
        return fan_out.deferred
    expected = sum(call.open and not call.deferred_cause and not call.late for call in fan_out.calls)
    return fan_out.required - fan_out.covered - expected


def dispatch_deferred_calls(fan_out: FanOut, step: Step) -> None:
    """Send the deferred calls that may be sent now; queue the request for those that it still needs."""
    if not fan_out.deferred or is_isolated(fan_out, step):
        return
    choices = [(call, select(fan_out, call, step.now)) for call in fan_out.calls if call.deferred_cause]
    choices.sort(key=lambda each: NEVER if each[1] is None else each[1].expected_s)
    for call, choice in choices:
        if choice is None or _may_send(fan_out, choice, step.now):
            _send_deferred(fan_out, call, choice, step)
    if calls_needed(fan_out) <= 0:
        return
    for call, choice in choices:
        if call.deferred_cause and choice is not None:
            _enqueue(fan_out, call, choice, step)


def dispatch_deferred(fan_out: FanOut, service: str, step: Step) -> float | None:
    """Send a service's deferred call, or return when a slot is free if none is free now."""
    call = fan_out.by_service[service]
    choice = select(fan_out, call, step.now)
    if choice is not None and not has_free_slot(choice, fan_out.context, step.now):
        return choice.slot_at_s
    _send_deferred(fan_out, call, choice, step)
    return None


def _may_send(fan_out: FanOut, choice: Choice, now: float) -> bool:
    """Whether a deferred call may be sent to a slow server now.

    If the next slot is free too late for this request, a needed call is sent without waiting: a node's share
    of the pace is only an estimate when few of many nodes send. Measured with bench/overload.py and 9 of 195
    nodes sending: the fraction of searches without an answer falls from 0.178 to 0.
    """
    free = has_free_slot(choice, fan_out.context, now)
    if calls_needed(fan_out) > 0:
        return free or choice.misses(fan_out.deadline_at_s, now)
    return free and choice.slot_unused(now)


def _send_deferred(fan_out: FanOut, call: ServiceCall, choice: Choice | None, step: Step) -> None:
    delay_s = hedge_delay_s(fan_out, step.now)
    cause = fan_out.end_deferral(call, step)
    if choice is None or call.send(cause, choice, fan_out.deadline_at_s, delay_s, step) is None:
        call.close_unsent(step.now)
    fan_out.note_attempts(call)


def _enqueue(fan_out: FanOut, call: ServiceCall, choice: Choice, step: Step) -> None:
    """Queue the request for a slot and set a timer for the time at which the slot is free."""
    queue = fan_out.context.pacing_queue
    request = fan_out.waiting_request()
    if request is not None:
        queue.enter(call.service, request, choice.expected_s)
    if queue.schedule_wake_up(call.service, choice.slot_at_s):
        step.actions.append(SetTimer(call.service, TimerKind.PACING, choice.slot_at_s))

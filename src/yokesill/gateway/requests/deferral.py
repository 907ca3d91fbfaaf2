"""Which calls wait for a slow server's pacing slot, which are sent at once, and which not at all.

A call with a sound server is never deferred. Where all servers of a service are slow, they get attempts only
at the pace that their latency shows, one for each free slot (``pacing``):

1. An answer needs ``required`` replies. What is in and what is sent and not late counts towards them; as many
   of the deferred calls as are missing then are needed, those with the least expected latency first.
2. A needed call is sent when a slot is free, or when waiting for one would end after the request's deadline.
3. A call that the answer can do without is sent only where a slot has gone unused for a whole turn. Otherwise
   it is skipped, and the slow server answers requests that need it instead.
4. A needed call without a slot waits in the node's ``PacingQueue``, which decides whose turn a free slot is.

All times are in seconds of the node's clock. Measured with bench/overload.py, five seeds: with all servers of
two shards slow or dark, searches without an answer fall from 0.214 to 0.063; with two of three servers of
four shards slow at 1.2 of the remaining capacity, answers in time rise from 0.355 to 0.600
(docs/design/overload.md). Two switches go back: without ``paces`` slots are always free, without
``leaves_out`` all deferred calls are needed.
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
    """Send the deferred calls that may be sent now; the request waits in the queue for those it needs."""
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
            _queue(fan_out, call, choice, step)


def dispatch_deferred(fan_out: FanOut, service: str, step: Step) -> float | None:
    """Send a service's deferred call, whose turn it is; return ``None``, or when a slot is free instead."""
    call = fan_out.by_service[service]
    choice = select(fan_out, call, step.now)
    if choice is not None and not has_free_slot(choice, fan_out.context, step.now):
        return choice.slot_at_s
    _send_deferred(fan_out, call, choice, step)
    return None


def _may_send(fan_out: FanOut, choice: Choice, now: float) -> bool:
    """Whether a deferred call may be sent to a slow server now.

    A slot that is free too late for this request isn't waited for: a node's share of the pace is a guess
    where few of many nodes send. Measured in bench/overload.py with 9 of 195 nodes sending: searches without
    an answer 0.178 -> 0.
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


def _queue(fan_out: FanOut, call: ServiceCall, choice: Choice, step: Step) -> None:
    """Let the request wait for a slot, with a timer for the moment at which one is free."""
    queue = fan_out.context.pacing_queue
    request = fan_out.waiting_request()
    if request is not None:
        queue.enter(call.service, request, choice.expected_s)
    if queue.schedule_wake_up(call.service, choice.slot_at_s):
        step.actions.append(SetTimer(call.service, TimerKind.PACING, choice.slot_at_s))

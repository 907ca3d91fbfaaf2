"""Sends the first attempts of a request that has just arrived.

1. If fewer calls can be sent than the answer needs, nothing is sent: the request is refused as not run, and
   it is not counted towards the budget, since another node may run it.
2. An isolated request is probed, one server at a time (``isolation``).
3. Otherwise each call with a sound server is sent at once; a call whose servers are all slow is deferred
   (``deferral``); a call without any server is closed.

A call can be sent if a server can be selected and, for a request that another node may already have sent
(``possibly_sent``), if the route's attempts and the budget of extra attempts are not exhausted.
"""

from yokesill.gateway.requests import refusal
from yokesill.gateway.requests.deferral import dispatch_deferred_calls
from yokesill.gateway.requests.fan_out import FanOut
from yokesill.gateway.requests.hedging import hedge_delay_s
from yokesill.gateway.requests.probing import is_isolated, probe_next
from yokesill.gateway.requests.server_choice import select
from yokesill.gateway.requests.service_call import MIN_TIME_TO_SEND_S, NEVER, ServiceCall
from yokesill.gateway.servers.selection import Choice
from yokesill.gateway.step import Step


def send_first_attempts(fan_out: FanOut, step: Step) -> None:
    """Send the first attempts of a request that has just arrived, or close all its calls."""
    now = step.now
    delay_s = hedge_delay_s(fan_out, now)
    if fan_out.context.rollouts.effective:
        _choose_canaries(fan_out, now)
    choices = [(call, select(fan_out, call, now)) for call in fan_out.calls]
    if sum(_can_send(fan_out, call, choice, now) for call, choice in choices) < fan_out.required:
        _close_all(fan_out, choices, step)
        return
    if not fan_out.request.possibly_sent:
        # A request that another node had before was already counted there towards the shared budget.
        for call in fan_out.calls:
            fan_out.context.budget(call.service).count_request(now)
    if is_isolated(fan_out, step):
        fan_out.isolation.hold_all(fan_out.calls)
        probe_next(fan_out, step)
        return
    for call, choice in choices:
        _send_or_defer(fan_out, call, choice, delay_s, step)
    dispatch_deferred_calls(fan_out, step)


def send_held(fan_out: FanOut, call: ServiceCall, step: Step) -> None:
    """Send or defer the first attempt of a call that was held."""
    _send_or_defer(fan_out, call, select(fan_out, call, step.now), hedge_delay_s(fan_out, step.now), step)


def _can_send(fan_out: FanOut, call: ServiceCall, choice: Choice | None, now: float) -> bool:
    """Whether a first attempt can be sent, either now or once ``choice`` has a free pacing slot."""
    if choice is None or not call.has_attempts_left:
        return False
    return not fan_out.request.possibly_sent or fan_out.context.extra_attempts_left(call.service, now) >= 1.0


def _send_or_defer(
    fan_out: FanOut, call: ServiceCall, choice: Choice | None, delay_s: float, step: Step
) -> None:
    if choice is None or choice.healthy:
        _send_or_close(fan_out, call, choice, delay_s, step)
        fan_out.note_attempts(call)
    else:
        fan_out.defer(call, "first", step)


def _send_or_close(
    fan_out: FanOut, call: ServiceCall, choice: Choice | None, delay_s: float, step: Step
) -> None:
    if not call.has_attempts_left:
        call.close(refusal.tried_elsewhere(call.verdict))
        return
    if choice is not None and call.send("first", choice, fan_out.deadline_at_s, delay_s, step):
        return
    if fan_out.deadline_at_s - step.now < MIN_TIME_TO_SEND_S:
        call.close(refusal.no_time_left())
    else:
        call.close_unsent(step.now)


def _close_all(fan_out: FanOut, choices: list[tuple[ServiceCall, Choice | None]], step: Step) -> None:
    """Close every call unsent; a call that could have been sent gets no failure."""
    for call, choice in choices:
        if _can_send(fan_out, call, choice, step.now):
            call.skip()
        else:
            _send_or_close(fan_out, call, None, NEVER, step)
        fan_out.count_if_finished(call)


def _choose_canaries(fan_out: FanOut, now: float) -> None:
    """Mark calls as canaries: as many as the answer can do without, but at least one.

    A bad new version then does not spoil the answer.
    """
    max_canaries = max(1, len(fan_out.calls) - fan_out.required)
    rollouts = fan_out.context.rollouts
    for service in rollouts.canaries(fan_out.request, fan_out.route, fan_out.by_service, max_canaries, now):
        fan_out.by_service[service].canary = True

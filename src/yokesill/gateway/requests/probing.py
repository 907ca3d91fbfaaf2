"""Probes servers with an isolated request, one server at a time.

``isolation`` decides whether a request is isolated; this module holds its calls and probes them in turn. A
probe is sent regardless of pacing slots and is never hedged, since a hedge would put a second server at risk.
"""

from yokesill.gateway.requests.fan_out import FanOut
from yokesill.gateway.requests.server_choice import select_repeat
from yokesill.gateway.requests.service_call import NEVER, ServiceCall
from yokesill.gateway.step import Step


def is_isolated(fan_out: FanOut, step: Step) -> bool:
    """Return whether the request is isolated now; if so, hold also its calls that wait for a pacing slot."""
    isolated = fan_out.isolation.update(step.now)
    if isolated and fan_out.deferred:
        fan_out.hold_deferred()
    return isolated


def probe_next(fan_out: FanOut, step: Step) -> None:
    """Probe the next held call unless a probe is already under way."""
    isolation = fan_out.isolation
    while (call := isolation.next_to_probe(bool(fan_out.by_number))) is not None:
        isolation.probe_number = _probe(fan_out, call, step)
        fan_out.note_attempts(call)


def _probe(fan_out: FanOut, call: ServiceCall, step: Step) -> int | None:
    """Send a probe and return its number, or close the call and return ``None`` if it cannot be sent."""
    choice = select_repeat(fan_out, call, step.now)
    attempt = choice and call.send("trial", choice, fan_out.deadline_at_s, NEVER, step)
    if attempt is None:
        call.close_unsent(step.now)
        return None
    attempt.probe = True
    return attempt.number

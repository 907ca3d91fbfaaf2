"""Sends an isolated request to one server at a time.

``isolation`` decides whether a request is isolated; here its calls are held and probed in turn. A probe goes
out whatever pacing slot its server has, and is never hedged: a second server would be at risk, too.
"""

from yokesill.gateway.requests.fan_out import FanOut
from yokesill.gateway.requests.server_choice import select_repeat
from yokesill.gateway.requests.service_call import NEVER, ServiceCall
from yokesill.gateway.step import Step


def is_isolated(fan_out: FanOut, step: Step) -> bool:
    """Whether calls are held at this moment; those that wait for a pacing slot are held with them."""
    isolated = fan_out.isolation.update(step.now)
    if isolated and fan_out.deferred:
        fan_out.hold_deferred()
    return isolated


def probe_next(fan_out: FanOut, step: Step) -> None:
    """Probe the next held call unless one is probed already."""
    isolation = fan_out.isolation
    while (call := isolation.next_to_probe(bool(fan_out.by_number))) is not None:
        isolation.probe_number = _probe(fan_out, call, step)
        fan_out.note_attempts(call)


def _probe(fan_out: FanOut, call: ServiceCall, step: Step) -> int | None:
    """Send a probe and return its number; close the call if there is no server to send it to."""
    choice = select_repeat(fan_out, call, step.now)
    attempt = choice and call.send("trial", choice, fan_out.deadline_at_s, NEVER, step)
    if attempt is None:
        call.close_unsent(step.now)
        return None
    attempt.probe = True
    return attempt.number

"""Hedges late attempts: sends an additional attempt to another server of the same service.

1. An attempt is late ``hedge_delay_s`` after it was sent or, at a slow server, at its expected completion
   time if that is later. The delay is a multiple of the route's typical latency, short enough for another
   server to answer before the objective, and never below ``minimum_hedge_delay_s``.
2. If more than half of a request's calls are late at once, this node itself is the more likely cause: all
   their hedges are postponed by one more delay, at most once per request.
3. A late attempt marks its server as stalled, and its call is no longer expected to contribute a reply.
4. The hedge is sent if all of these hold: the request is not isolated; its route is idempotent
   (``repeatable``) and has attempts left; a server that was not tried yet can be selected; that server has a
   spare slot if it is slow; the service's budget has an extra attempt left (``limits.budget``).
5. Each call is hedged once for the attempts under way. A hedge is an ordinary attempt: it may be late in
   turn, and the first successful answer is used.

All times are in seconds. The factors are gateway options (2.0 for wide requests, 2.5 for single ones): a
multiple of the median remains valid while up to half of the servers are slow (docs/design/platform.md).
Without the switch ``hedges``, late servers are marked but no hedges are sent.
"""

from yokesill.gateway.requests.fan_out import FanOut
from yokesill.gateway.requests.pacing import has_spare_slot
from yokesill.gateway.requests.probing import is_isolated
from yokesill.gateway.requests.server_choice import select
from yokesill.gateway.requests.service_call import NEVER, ServiceCall
from yokesill.gateway.step import Step

# A hedge is due this many typical latencies before the objective at the latest, even if the attempt is not
# late by the regular delay yet. Without this bound, searches lose 0.003 of their credit and checks 0.002,
# most where two shards have only slow servers (0.025); bench/overload.py, three seeds.
LATEST_HEDGE_FACTOR = 1.3
# Above this fraction of late calls, the node itself is considered late. Without this rule a node's first wide
# request, delayed by connecting, hedged 0.78 of its shards; with it, 0.12. On nodes that are never busy it
# makes no clear difference (0.003 of credit either way, bench/overload.py).
NODE_LATE_FRACTION = 0.5
# With fewer calls than this, the fraction of late calls does not indicate a late node.
MIN_CALLS_FOR_NODE_LATE = 8


# --- when a hedge is due ---


def hedge_delay_s(fan_out: FanOut, now: float) -> float:
    """Return the time after which an attempt that is sent now counts as late."""
    context = fan_out.context
    options = context.options
    typical_s = context.typical_latency(fan_out.route).median
    delay_s = typical_s * (options.gather_hedge_factor if fan_out.gathers else options.single_hedge_factor)
    latest_s = fan_out.objective_at_s - now - LATEST_HEDGE_FACTOR * typical_s
    if typical_s < latest_s < delay_s:
        delay_s = latest_s
    return max(delay_s, options.minimum_hedge_delay_s)


def next_hedge_at_s(fan_out: FanOut) -> float:
    """Return when the next hedge is due, in seconds of the node's clock; infinite if none is."""
    return min((call.hedge_at_s for call in fan_out.calls if call.open), default=NEVER)


def late_calls(fan_out: FanOut, now: float) -> list[ServiceCall]:
    """Return the calls for which a hedge is due."""
    return [call for call in fan_out.calls if call.open and call.hedge_at_s <= now]


# --- whether a hedge is sent ---


def postpone_hedges(fan_out: FanOut, late: list[ServiceCall], now: float) -> bool:
    """Postpone the hedges of ``late`` calls if this node is the likely cause; return whether it did so."""
    if not _node_is_late(fan_out, late):
        return False
    fan_out.postponed_hedges = True
    delay_s = hedge_delay_s(fan_out, now)
    for call in late:
        call.hedge_at_s = now + delay_s
    return True


def _node_is_late(fan_out: FanOut, late: list[ServiceCall]) -> bool:
    calls = len(fan_out.calls)
    if fan_out.postponed_hedges or calls < MIN_CALLS_FOR_NODE_LATE:
        return False
    return fan_out.context.options.switches.postpones_hedges and len(late) > NODE_LATE_FRACTION * calls


def hedge(fan_out: FanOut, late: list[ServiceCall], step: Step) -> None:
    """Mark the ``late`` calls as late and send hedges for them where the rules permit."""
    if is_isolated(fan_out, step):
        for call in late:
            call.hedge_at_s = NEVER
        return
    delay_s = hedge_delay_s(fan_out, step.now)
    for call in late:
        call.mark_late()
        _send_hedge(fan_out, call, delay_s, step)
        fan_out.note_attempts(call)


def _send_hedge(fan_out: FanOut, call: ServiceCall, delay_s: float, step: Step) -> None:
    context, route = fan_out.context, fan_out.route
    if not route.repeatable or not call.has_attempts_left or not context.options.switches.hedges:
        return
    choice = select(fan_out, call, step.now, hedging=True)
    if choice is not None and has_spare_slot(choice, call.service, context, step.now):
        call.send("hedge", choice, fan_out.deadline_at_s, delay_s, step)

"""Selects the server for a call's next attempt.

``servers.eligibility`` determines which servers may get the request, and ``servers.selection`` ranks them.
This module chooses the version of the servers' software according to the service's rollout:

- during a canary, a canary call's first attempt goes to the new version if that has a sound server; all other
  attempts go to the old version;
- during the switch-over, attempts go to the new version, and to the old one only if no server of the new
  version is available; hedges always go to the new version.
"""

from collections.abc import Collection

from yokesill.gateway.requests.fan_out import FanOut
from yokesill.gateway.requests.service_call import ServiceCall
from yokesill.gateway.servers.selection import Choice, SelectionCriteria, choose_server
from yokesill.rollouts.orders import RolloutState


def select(fan_out: FanOut, call: ServiceCall, now: float, hedging: bool = False) -> Choice | None:
    """Return the server for an attempt that is sent now, or ``None`` if none is available."""
    effective = fan_out.context.rollouts.effective
    state = effective.get(call.service) if effective else None
    if state is RolloutState.SWITCHING:
        return _select_while_switching(fan_out, call, now, hedging)
    if call.canary and not call.attempts and state is RolloutState.CANARY:
        choice = _choose(fan_out, call, call.tried, now, new=True)
        if choice is not None and choice.healthy and not choice.server.leaving:
            return choice
    return _choose(fan_out, call, call.tried, now)


def select_repeat(fan_out: FanOut, call: ServiceCall, now: float) -> Choice | None:
    """Return the server for a possibly repeated attempt, or ``None`` if the call may not have another one."""
    return select(fan_out, call, now) if call.may_repeat and call.has_attempts_left else None


def _select_while_switching(fan_out: FanOut, call: ServiceCall, now: float, hedging: bool) -> Choice | None:
    """Return a server of the new version; one that is leaving is chosen only after the old version's."""
    choice = _choose(fan_out, call, call.tried, now, new=True)
    if hedging or (choice is not None and not choice.server.leaving):
        return choice
    any_new = _choose(fan_out, call, (), now, new=True) if call.tried else choice
    if any_new is not None and not any_new.server.leaving:
        return None
    return _choose(fan_out, call, call.tried, now) or choice


def _choose(
    fan_out: FanOut, call: ServiceCall, tried: Collection[str], now: float, new: bool = False
) -> Choice | None:
    context, route, service = fan_out.context, fan_out.route, call.service
    criteria = SelectionCriteria(
        tried=tried,
        subset=context.eligibility.subset(service, now, new),
        typical_s=context.typical_latency(route).median,
        removed_grace_s=context.options.removed_grace_s,
        connection_limit=context.eligibility.connection_limit(service),
        last_resort=len(route.services) == 1,
        active_nodes=context.node_shares.active_nodes(service) if context.options.switches.paces else 0,
    )
    candidates = context.eligibility.candidates(service, route, now, new)
    return choose_server(candidates, criteria, now, context.random_source)

"""Plans the faults of a run from a seed, without side effects, so that a seed repeats its schedule."""

import random
from collections.abc import Mapping
from typing import NamedTuple

from soak.layout import DESK_SERVERS, ZONES

# The target of each kind of fault, and its minimum and maximum duration in seconds.
KINDS: dict[str, tuple[str, float, float]] = {
    "node_kill": ("node", 0.5, 3.0),
    "node_pause": ("node", 0.5, 4.0),
    "node_suspend": ("node", 1.0, 6.0),
    "node_hup": ("node", 0.1, 0.1),
    "node_stop": ("node", 8.0, 8.0),
    "herd_kill": ("all", 1.0, 1.0),
    "front_reset": ("front", 0.2, 1.0),
    "front_delay": ("front", 1.0, 4.0),
    "store_link_silent": ("store", 2.0, 6.0),
    "store_link_one_way": ("store", 2.0, 6.0),
    "store_link_reset": ("store", 0.5, 3.0),
    "store_link_delay": ("store", 2.0, 6.0),
    "server_link_silent": ("server", 1.0, 5.0),
    "server_link_one_way": ("server", 1.0, 5.0),
    "server_link_reset": ("server", 0.5, 3.0),
    "server_link_delay": ("server", 1.0, 5.0),
    "store_down": ("core", 1.0, 6.0),
    "store_silent": ("core", 1.0, 6.0),
    "store_throttled": ("core", 1.0, 6.0),
    "store_refuses_some": ("nodes", 2.0, 6.0),
    "store_slow": ("core", 2.0, 6.0),
    "store_loses_answers": ("core", 1.0, 4.0),
    "store_forgets_history": ("core", 0.1, 0.1),
    "store_forgets_entries": ("core", 0.1, 0.1),
    "store_restored": ("core", 0.5, 3.0),
    "server_slow": ("server", 1.0, 6.0),
    "server_full": ("server", 1.0, 5.0),
    "server_dark": ("server", 1.0, 5.0),
    "server_fails": ("server", 1.0, 5.0),
    "server_loses_answers": ("server", 1.0, 4.0),
    "server_garbles": ("server", 1.0, 4.0),
    "server_drain": ("server", 7.0, 7.0),
    "server_vanish": ("server", 2.0, 6.0),
    "server_reuse": ("server", 6.0, 8.0),
    "shard_dark": ("shard", 1.0, 4.0),
    "shards_dark": ("shards", 1.0, 3.0),
    "shards_fails": ("shards", 2.0, 4.0),
    "desk_full": ("desk", 1.0, 3.0),
    "desk_loses_answers": ("desk", 0.5, 1.5),
    "desk_dark": ("desk", 1.0, 2.5),
    "load_burst": ("callers", 2.0, 4.0),
    "deadly_request": ("callers", 6.0, 12.0),
    "config_change": ("operator", 0.1, 0.1),
    "reshard": ("operator", 0.1, 0.1),
}
ROLLOUT_KINDS: dict[str, tuple[str, float, float]] = {
    "rollout_good": ("rollout", 25.0, 25.0),
    "rollout_bad": ("rollout", 25.0, 25.0),
}
# Servers of the new version are listed ``ALONGSIDE_S`` before the order. Apart, as the hazards below.
ALONGSIDE_S = 6.0
STAGED_ROLLOUT_KINDS: dict[str, tuple[str, float, float]] = {
    "rollout_staged": ("rollout", ALONGSIDE_S + 25.0, ALONGSIDE_S + 25.0),
}
# A zone gets nothing for a time, and its servers have turned cold by the end. Apart, since it needs other
# settings.
EVACUATION_KINDS: dict[str, tuple[str, float, float]] = {"zone_evacuated": ("zone", 11.0, 11.0)}
# The store loses the waits for changes that it has at a moment, and answers all other calls. Such waits are
# no disturbance of the store: a change is due as ever.
WAIT_KINDS: dict[str, tuple[str, float, float]] = {"store_loses_waits": ("waits", 0.1, 0.1)}
# What the bench of the users hardly plays: bytes without end, odd statuses and entries, rejections that come
# in the place of other answers, signals in series, slow callers. They are apart, since the schedule of a seed
# depends on its kinds.
HAZARD_KINDS: dict[str, tuple[str, float, float]] = {
    "server_endless": ("server", 1.0, 4.0),
    "server_odd_status": ("server", 1.0, 4.0),
    "server_false_promises": ("server", 1.0, 4.0),
    "server_late_rejections": ("server", 1.0, 4.0),
    "odd_entry": ("writer", 0.1, 0.1),
    "node_signals": ("node", 1.0, 4.0),
    "front_endless": ("front", 1.0, 3.0),
    # Not "front": callers of a node that slow ones crowd are judged as any others.
    "slow_callers": ("crowded", 5.0, 8.0),
}
MIXED_KINDS = KINDS | HAZARD_KINDS | WAIT_KINDS
ALL_ROLLOUT_KINDS = ROLLOUT_KINDS | STAGED_ROLLOUT_KINDS
ALL_KINDS = KINDS | ALL_ROLLOUT_KINDS | EVACUATION_KINDS | HAZARD_KINDS | WAIT_KINDS
# These kinds have their own planning functions and overlap with the other faults.
SEPARATELY_PLANNED = ("server_drain", "store_restored")
INITIAL_DELAY_S, FINAL_QUIET_S = 4.0, 3.0
MIN_GAP_S, MAX_GAP_S = 0.5, 5.0
# After a herd kill no other fault is injected until the recovery bound and a few more seconds have passed.
HERD_QUIET_S = 18.0
FAILED_SHARDS = 4
# Long enough for the servers of a rolled-back version to drain.
ROLLOUT_GAP_S = 8.0
OPERATOR_EVERY_S = (4.0, 9.0)
# Servers drain throughout the run, in parallel with the other faults. The drain bound is checked only for
# servers without another fault, so if drains were dealt among the other faults, few would be checked.
DRAIN_EVERY_S = (7.0, 10.0)
# From time to time all nodes are stopped in turn, each while the previous one is still stopping or starting,
# and the configuration changes several times in quick succession meanwhile.
ROLLING_STOPS_EVERY_S, STOP_GAP_S = (18.0, 30.0), (0.8, 2.0)
CHANGES_DURING_STOPS, CHANGE_GAP_S = 6, 0.3
# The store is restored from an older copy in parallel with the other faults, half of the time twice in a row.
# The restore loses a series of changes. One later change is written under reused revisions, late enough for
# its bound to be checked. More changes are lost than are written again by then; otherwise a node that
# compares revisions alone would do no harm and go undetected.
RESTORE_EVERY_S, RESTORE_GAP_S = (14.0, 24.0), (1.0, 4.0)
LOST_CHANGES, LOST_CHANGES_SPAN_S, CHANGE_AFTER_RESTORE_S = 8, 2.2, 4.5


class Fault(NamedTuple):
    """A fault from ``at_s`` to ``until_s`` after the start; ``targets`` are node numbers or server slots."""

    kind: str
    at_s: float
    until_s: float
    targets: tuple[int, ...]


def plan(seed: int, seconds: float, nodes: int, servers: int, kinds: tuple[str, ...]) -> tuple[Fault, ...]:
    """Return the faults of a run, ordered by start time.

    Parameters
    ----------
    seed
        The same seed and arguments give the same faults.
    seconds
        How long load runs.
    nodes, servers
        The numbers of available targets. Servers ``2 n`` and ``2 n + 1`` hold the same shard; the last
        ``DESK_SERVERS`` belong to the unsharded service.
    kinds
        The kinds of ``ALL_KINDS`` to inject.
    """
    unknown = sorted(set(kinds) - set(ALL_KINDS))
    if unknown:
        raise ValueError(f"--kinds: unknown kind of fault: {', '.join(unknown)}")
    rng = random.Random(seed)
    end_s = seconds - FINAL_QUIET_S
    faults = _plan_mixed(rng, end_s, nodes, servers, kinds)
    faults += _plan_operator_changes(rng, end_s, kinds)
    if "server_drain" in kinds:
        faults += _plan_drains(rng, end_s, servers)
    for in_turn in (ALL_ROLLOUT_KINDS, EVACUATION_KINDS):
        faults += _plan_in_turn(rng, end_s, {kind: in_turn[kind] for kind in kinds if kind in in_turn})
    herds = [each for each in faults if each.kind == "herd_kill"]
    faults += _plan_rolling_stops(rng, end_s, nodes, kinds, herds)
    faults += _plan_restores(rng, end_s, kinds, herds)
    faults += _plan_restarts_before_orders(faults, nodes, kinds)
    return tuple(sorted(faults, key=lambda fault: fault.at_s))


def _plan_mixed(
    rng: random.Random, end_s: float, nodes: int, servers: int, kinds: tuple[str, ...]
) -> list[Fault]:
    mixed = [
        kind
        for kind in kinds
        if kind in MIXED_KINDS and MIXED_KINDS[kind][0] != "operator" and kind not in SEPARATELY_PLANNED
    ]
    faults: list[Fault] = []
    at_s = INITIAL_DELAY_S
    herds = 0
    deck: list[str] = []
    while mixed:
        # Kinds are dealt from a shuffled deck, so that each occurs once before any repeats.
        if not deck:
            deck = rng.sample(mixed, len(mixed))
        kind = deck.pop()
        target_kind, min_s, max_s = MIXED_KINDS[kind]
        if kind == "herd_kill":
            if at_s + HERD_QUIET_S > end_s or herds > at_s / 90:
                if not [each for each in deck if each != "herd_kill"] and mixed == ["herd_kill"]:
                    break
                continue
            herds += 1
            at_s = max([at_s, *[fault.until_s for fault in faults]])
        at_s = round(at_s, 3)
        until_s = round(at_s + rng.uniform(min_s, max_s), 3)
        if until_s > end_s:
            break
        faults.append(Fault(kind, at_s, until_s, _choose_targets(rng, target_kind, nodes, servers)))
        at_s += HERD_QUIET_S if kind == "herd_kill" else rng.uniform(MIN_GAP_S, MAX_GAP_S)
    return faults


def _plan_operator_changes(rng: random.Random, end_s: float, kinds: tuple[str, ...]) -> list[Fault]:
    changes = [kind for kind in kinds if kind in KINDS and KINDS[kind][0] == "operator"]
    faults: list[Fault] = []
    at_s = INITIAL_DELAY_S
    while changes and at_s + 0.1 < end_s:
        faults.append(Fault(rng.choice(changes), round(at_s, 3), round(at_s + 0.1, 3), ()))
        at_s += rng.uniform(*OPERATOR_EVERY_S)
    return faults


def _plan_drains(rng: random.Random, end_s: float, servers: int) -> list[Fault]:
    faults: list[Fault] = []
    at_s = INITIAL_DELAY_S
    duration_s = KINDS["server_drain"][2]
    while at_s + duration_s <= end_s:
        faults.append(
            Fault("server_drain", round(at_s, 3), round(at_s + duration_s, 3), (rng.randrange(servers),))
        )
        at_s += rng.uniform(*DRAIN_EVERY_S)
    return faults


def _plan_restarts_before_orders(faults: list[Fault], nodes: int, kinds: tuple[str, ...]) -> list[Fault]:
    """Return a kill of all nodes before each staged order, once the former version has the later entries."""
    if not {"rollout_staged", "herd_kill"} <= set(kinds):
        return []
    down_s = KINDS["herd_kill"][1]
    kills_at_s = [each.at_s + ALONGSIDE_S / 2 + 0.5 for each in faults if each.kind == "rollout_staged"]
    return [Fault("herd_kill", at_s, at_s + down_s, tuple(range(nodes))) for at_s in kills_at_s]


def _plan_rolling_stops(
    rng: random.Random, end_s: float, nodes: int, kinds: tuple[str, ...], herds: list[Fault]
) -> list[Fault]:
    """Return stops of all nodes in turn, and configuration changes in quick succession meanwhile."""
    if not {"node_stop", "config_change"} <= set(kinds):
        return []
    faults: list[Fault] = []
    at_s = INITIAL_DELAY_S + rng.uniform(*ROLLING_STOPS_EVERY_S) / 2
    duration_s = KINDS["node_stop"][2]
    while at_s + duration_s < end_s:
        stop_s = at_s
        for node in rng.sample(range(nodes), nodes):
            faults.append(Fault("node_stop", round(stop_s, 3), round(stop_s + duration_s, 3), (node,)))
            stop_s += rng.uniform(*STOP_GAP_S)
        for number in range(CHANGES_DURING_STOPS):
            change_s = round(at_s + number * CHANGE_GAP_S, 3)
            faults.append(Fault("config_change", change_s, round(change_s + 0.1, 3), ()))
        at_s = stop_s + rng.uniform(*ROLLING_STOPS_EVERY_S)
    return _outside_herd_quiet(faults, end_s, herds)


def _plan_restores(
    rng: random.Random, end_s: float, kinds: tuple[str, ...], herds: list[Fault]
) -> list[Fault]:
    """Return restores of the store from an older copy, with changes just before and after each."""
    if "store_restored" not in kinds:
        return []
    _, min_s, max_s = KINDS["store_restored"]
    faults: list[Fault] = []
    at_s = INITIAL_DELAY_S + rng.uniform(*RESTORE_EVERY_S) / 2
    while at_s + max_s < end_s:
        for _ in range(rng.choice((1, 2))):
            until_s = at_s + rng.uniform(min_s, max_s)
            faults.append(Fault("store_restored", round(at_s, 3), round(until_s, 3), ()))
            if "config_change" in kinds:
                interval_s = LOST_CHANGES_SPAN_S / LOST_CHANGES
                changes_s = [
                    at_s - LOST_CHANGES_SPAN_S + number * interval_s for number in range(LOST_CHANGES)
                ]
                for change_s in (*changes_s, until_s + CHANGE_AFTER_RESTORE_S):
                    faults.append(Fault("config_change", round(change_s, 3), round(change_s + 0.1, 3), ()))
            at_s = until_s + rng.uniform(*RESTORE_GAP_S)
        at_s += rng.uniform(*RESTORE_EVERY_S)
    return _outside_herd_quiet(faults, end_s, herds)


def _outside_herd_quiet(faults: list[Fault], end_s: float, herds: list[Fault]) -> list[Fault]:
    """Return the faults that end by ``end_s`` and do not overlap the quiet time around a herd kill."""
    quiet = [(herd.at_s - 0.1, herd.at_s + HERD_QUIET_S) for herd in herds]
    return [
        each
        for each in faults
        if each.until_s <= end_s
        and not any(each.at_s <= until_s and each.until_s >= begin_s for begin_s, until_s in quiet)
    ]


def _plan_in_turn(
    rng: random.Random, end_s: float, allowed: Mapping[str, tuple[str, float, float]]
) -> list[Fault]:
    """Return faults one after the other, each with a pause behind it."""
    names = list(allowed)
    faults: list[Fault] = []
    at_s = INITIAL_DELAY_S + 4.0
    while names and at_s + allowed[names[0]][2] <= end_s:
        kind = rng.choice(names)
        target_kind, _, lasts_s = allowed[kind]
        until_s = at_s + lasts_s
        targets = (rng.randrange(len(ZONES)),) if target_kind == "zone" else ()
        faults.append(Fault(kind, round(at_s, 3), round(until_s, 3), targets))
        at_s = until_s + ROLLOUT_GAP_S
    return faults


def _choose_targets(rng: random.Random, target_kind: str, nodes: int, servers: int) -> tuple[int, ...]:
    if target_kind in ("node", "front", "crowded", "store"):
        return (rng.randrange(nodes),)
    if target_kind == "nodes":
        return tuple(sorted(rng.sample(range(nodes), max(1, nodes // 3))))
    if target_kind == "all":
        return tuple(range(nodes))
    if target_kind == "server":
        return (rng.randrange(servers),)
    if target_kind == "shards":
        # The shards of one set come first, so adjacent shards are of the same set: enough of them fail to
        # take a set below its minimum coverage.
        first = rng.randrange((servers - DESK_SERVERS) // 2 - FAILED_SHARDS) * 2
        return tuple(range(first, first + 2 * FAILED_SHARDS))
    if target_kind == "desk":
        return tuple(range(servers - DESK_SERVERS, servers))
    if target_kind == "shard":
        first = rng.randrange(servers // 2) * 2
        return (first, first + 1)
    return ()

"""Plans the troubles of a deployment's day from a seed, without side effects, so that a seed repeats its day.

Times count from the start of traffic; negative ones lie in the nodes' first start. Targets are drawn when a
trouble strikes, from what then runs, with the seed that the plan gives each trouble.
"""

import random
from enum import Enum
from typing import NamedTuple

from soak.site import Day, FinalFault, Site, Trouble


class Support(Enum):
    """How faithfully a kind of trouble is played on loopback."""

    PLAYED = "played"
    APPROXIMATED = "approximated"
    LEFT_OUT = "left out"


class KindSupport(NamedTuple):
    """How a kind is played; ``note`` says what differs from the users' machines."""

    support: Support
    note: str = ""


_PLAYED = KindSupport(Support.PLAYED)


def _approximated(note: str) -> KindSupport:
    return KindSupport(Support.APPROXIMATED, note)


def _left_out(note: str) -> KindSupport:
    return KindSupport(Support.LEFT_OUT, note)


KINDS: dict[str, KindSupport] = {
    "add_nodes": _PLAYED,
    "after_ack_kill": _approximated("SIGKILL instead of a loss of power"),
    "answer_lost": _PLAYED,
    "big_config": _PLAYED,
    "burst": _approximated("of all clients, not of one zone or class"),
    "clock_step": _left_out("the machine's clock is not stepped"),
    "config_change": _PLAYED,
    "config_storm": _PLAYED,
    "core_cut": _PLAYED,
    "garble": _PLAYED,
    "give_up": _approximated("the clients leave and don't cancel"),
    "herd_kill": _PLAYED,
    "hup": _PLAYED,
    "lossy": _approximated("the zone's links to callers and to the store are delayed; no packet is lost"),
    "node_cut": _approximated("the nodes' links to the store are cut, not those between nodes"),
    "node_freeze": _PLAYED,
    "node_kill": _PLAYED,
    "node_slow": _approximated("bursts of SIGSTOP and SIGCONT"),
    "platform_compact": _approximated("stale reads are no staler than else"),
    "platform_down": _approximated("leases that lapse are entries that the store drops afterwards"),
    "platform_lost": _approximated("writes are done at once, not late"),
    "platform_slow": _approximated("a fixed delay of each call"),
    "release": _approximated("the new server starts after the old one has drained"),
    "replace_with_reuse": _PLAYED,
    "reset_conns": _approximated("all connections between callers and the node"),
    "reshard": _PLAYED,
    "retry_abuse": _PLAYED,
    "roll_term": _PLAYED,
    "scale_in": _approximated("the servers come back after some seconds"),
    "scale_out": _left_out("no address is kept for more servers"),
    "shift": _PLAYED,
    "srv_crash": _PLAYED,
    "srv_grey": _approximated("for callers of all zones"),
    "srv_slow": _PLAYED,
}

# What may strike any deployment, whether or not its sheet names it.
COMMON_TROUBLES = (
    Trouble("burst", factor=1.7, for_s=3.0),
    Trouble("srv_grey", how=("errors",), share=0.15, factor=0.4, for_s=5.0),
    Trouble("srv_grey", how=("shed",), share=0.15, factor=0.4, for_s=5.0),
    Trouble("srv_grey", how=("reset",), share=0.15, factor=0.4, for_s=5.0),
    Trouble("replace_with_reuse", share=0.15, for_s=6.0),
    Trouble("scale_in", share=0.15, for_s=8.0),
    Trouble("node_freeze", share=0.1, for_s=3.0),
    Trouble("herd_kill", share=0.6, for_s=2.0),
    Trouble("reset_conns", share=0.1, factor=0.5, for_s=2.0),
    Trouble("node_slow", share=0.1, factor=5.0, for_s=5.0),
    Trouble("release", share=0.3, factor=1.0, gap_s=1.0),
)
# The word in ``how`` of a SIGHUP after the settings file was rewritten.
REWRITTEN = "rewritten"
# Troubles that may strike while nodes start or come back.
STORE_KINDS = ("platform_compact", "platform_down", "platform_lost", "platform_slow")
RESTARTING_KINDS = ("after_ack_kill", "herd_kill", "node_kill", "roll_term")

MIN_TROUBLES, MAX_TROUBLES = 8, 14
COMMON_SHARE, SERIES_SHARE, FOLLOW_UP_SHARE, FINAL_SHARE = 0.15, 0.2, 0.6, 0.85
# Troubles overlap: they strike in a few clusters of this width.
CLUSTERS, CLUSTER_WIDTH_S = 3, 5.0
SERIES_GAP_S, FOLLOW_UP_GAP_S = (0.5, 4.0), (0.02, 1.5)
# Troubles strike the nodes' first start within this time of its beginning.
TROUBLES_IN_START, START_WINDOW_S = 2, (0.02, 4.0)
QUIET_BEFORE_END_S = 3.0
DEFAULT_FOR_S, DEFAULT_GAP_S = 5.0, 1.0
DEFAULT_FINALS = (FinalFault("kill_all", 1.0), FinalFault("power_off_all", 1.0))
MAX_TARGET_SEED = 1 << 32


class PlannedTrouble(NamedTuple):
    """A trouble with its time; ``seed`` decides its targets."""

    number: int
    at_s: float
    seed: int
    trouble: Trouble


class DayPlan(NamedTuple):
    """A day's troubles, earliest first, and the fault that strikes all nodes after ``seconds``.

    ``left_out`` has the kinds that were drawn but can't be played, each with the reason.
    """

    name: str
    seed: int
    seconds: float
    troubles: tuple[PlannedTrouble, ...]
    final: FinalFault | None
    left_out: tuple[tuple[str, str], ...] = ()


def plan_day(site: Site, seed: int, seconds: float) -> DayPlan:
    """Return the plan of a day whose traffic runs for ``seconds`` before the final fault."""
    rng = random.Random(seed)
    end_s = max(1.0, seconds - QUIET_BEFORE_END_S)
    drawn = _draw_troubles(rng, site, end_s)
    drawn += _draw_follow_ups(rng, site, drawn, end_s)
    drawn += _draw_start_troubles(rng, site)
    final = rng.choice(_finals(site)) if rng.random() < FINAL_SHARE else None
    return _plan(f"seed-{seed}", seed, seconds, drawn, final)


def plan_standard_day(site: Site, day: Day) -> DayPlan:
    """Return the plan that replays one of the sheet's own days."""
    rng = random.Random(day.seed)
    drawn = [
        each._replace(at_s=round(rng.uniform(0.0, site.day_s), 3)) if each.at_s is None else each
        for each in day.troubles
    ]
    return _plan(day.name, day.seed, site.day_s, drawn, day.final)


def _plan(name: str, seed: int, seconds: float, drawn: list[Trouble], final: FinalFault | None) -> DayPlan:
    rng = random.Random(seed)
    ordered = sorted(drawn, key=lambda each: each.at_s or 0.0)
    playable = [each for each in ordered if support_of(each.kind).support is not Support.LEFT_OUT]
    left_out = {
        each.kind: support_of(each.kind).note
        for each in ordered
        if support_of(each.kind).support is Support.LEFT_OUT
    }
    troubles = tuple(
        PlannedTrouble(number, each.at_s or 0.0, rng.randrange(MAX_TARGET_SEED), each)
        for number, each in enumerate(playable, 1)
    )
    return DayPlan(name, seed, seconds, troubles, final, tuple(sorted(left_out.items())))


def support_of(kind: str) -> KindSupport:
    """Return how a kind is played; one that is not known is left out."""
    return KINDS.get(kind, _left_out("unknown kind"))


def _draw_troubles(rng: random.Random, site: Site, end_s: float) -> list[Trouble]:
    """Deal kinds from a shuffled deck at times around a few clusters, some of them in series."""
    clusters = [end_s * (number + rng.random()) / CLUSTERS for number in range(CLUSTERS)]
    count = rng.randint(MIN_TROUBLES, MAX_TROUBLES)
    deck: list[Trouble] = []
    drawn: list[Trouble] = []
    while len(drawn) < count:
        if rng.random() < COMMON_SHARE or not site.troubles:
            trouble = rng.choice(COMMON_TROUBLES)
        else:
            deck = deck or rng.sample(site.troubles, len(site.troubles))
            trouble = deck.pop()
        at_s = rng.choice(clusters) + rng.uniform(-CLUSTER_WIDTH_S, CLUSTER_WIDTH_S) / 2
        drawn.append(_timed(trouble, at_s, end_s))
        if rng.random() < SERIES_SHARE:
            drawn.append(_timed(trouble, at_s + rng.uniform(*SERIES_GAP_S), end_s))
    return drawn[:count]


def _draw_follow_ups(rng: random.Random, site: Site, drawn: list[Trouble], end_s: float) -> list[Trouble]:
    """Draw what strikes nodes that are just coming back: SIGHUPs, rewritten settings, kills, store faults."""
    choices = [
        Trouble("hup", share=1.0, gap_s=0.5),
        Trouble("hup", how=(REWRITTEN,), share=1.0, gap_s=0.2),
        Trouble("node_kill", share=0.2, for_s=0.5),
        Trouble("node_kill", how=("hard",), targets=2, for_s=0.1),
        Trouble("roll_term", share=0.4, gap_s=0.1),
        *(each for each in site.troubles if each.kind in STORE_KINDS),
    ]
    found: list[Trouble] = []
    for each in drawn:
        if each.kind in RESTARTING_KINDS and rng.random() < FOLLOW_UP_SHARE:
            back_s = (each.at_s or 0.0) + (each.for_s or DEFAULT_GAP_S)
            found.append(_timed(rng.choice(choices), back_s + rng.uniform(*FOLLOW_UP_GAP_S), end_s))
    return found


def _draw_start_troubles(rng: random.Random, site: Site) -> list[Trouble]:
    """Draw what strikes nodes in their first start, before there is traffic."""
    choices = [
        Trouble("hup", how=(REWRITTEN,), share=1.0, gap_s=0.5),
        Trouble("node_kill", share=0.2, for_s=0.5),
        Trouble("node_kill", how=("hard",), targets=2, for_s=0.1),
        Trouble("roll_term", share=0.4, gap_s=0.1),
        *(each for each in site.troubles if each.kind in STORE_KINDS),
    ]
    found = [rng.choice(choices) for _ in range(TROUBLES_IN_START)]
    return [each._replace(at_s=round(rng.uniform(*START_WINDOW_S) - site.lead_s, 3)) for each in found]


def _timed(trouble: Trouble, at_s: float, end_s: float) -> Trouble:
    return trouble._replace(at_s=round(min(max(at_s, 0.2), end_s), 3))


def _finals(site: Site) -> list[FinalFault]:
    return [day.final for day in site.days if day.final is not None] or list(DEFAULT_FINALS)

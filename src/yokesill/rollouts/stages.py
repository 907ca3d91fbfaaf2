"""What the record of a roll-out should say next."""

from typing import NamedTuple

from yokesill.rollouts.assessment import Verdict
from yokesill.rollouts.exposure import SWITCH_S, Totals
from yokesill.rollouts.orders import RolloutOrder, RolloutState

# What passes between an operator's call and a decider's hearing of it: a feed's wait and its telling.
FEED_S = 0.5
# In less nothing can be known of a version: the order alone takes longer to reach every node.
SHORTEST_S = 0.2
# A short order's switch gets four tenths of its time, a longer one's ``SWITCH_S``.
CANARY_PART = 0.6
# Longer at the canary's share tells no more; an order over a year is not left half done for a year.
LONGEST_CANARY_S = 600.0
# Two reports' intervals: without them nobody knows whether the new version answers at all.
LEAST_CANARY_S = 1.0
# The new version had its share of so many requests, two at least, and answered none well, or gave so many
# answers and no good one: too few for a test, but nothing to move to.
LEAST_TRAFFIC, LEAST_ANSWERS = 20, 2
# Old requests that don't end hold a good version up for so long beyond the deadline, not for ever.
BEYOND_S = 6.0
# Under full load a version is watched for so long: 30 requests at 20 a second, after which one that fails
# one in ten has shown it more often than not, or one that fails a third under load only. Where the
# switch came late the watch ends when a write of the record still fits, after a report's round at least.
WATCH_S, LEAST_WATCH_S, RECORD_S = 1.5, 0.6, 1.0
# A version that looks bad after the switch is watched until so long before the deadline; a slow write
# of the record fits.
LAST_WORD_S = 0.5
# A service that the configuration doesn't name may be on its way in the other feed.
UNKNOWN_GRACE_S = 1.0
# Servers are listed anew one by one after a gap in the feed; servers that are gone stay so.
GONE_S = 1.0


class Circumstances(NamedTuple):
    """What holds around one order, seen from this node.

    ``seniors`` deciders rank before this one. ``able``: the registry can be reached. ``informed``: this
    node has been told reports long enough to know the counts. ``woken``: it has not run for a while. The
    nodes in ``live`` are there; ``hears_most`` of those that should be. ``known``: the configuration names
    the service. ``servers`` of the target are listed, ``None`` if unknown; there have been none, although
    there are others, for ``gone_s``.
    """

    seniors: int = 0
    able: bool = True
    informed: bool = True
    woken: bool = False
    hears_most: bool = True
    live: frozenset[str] = frozenset()
    known: bool = True
    servers: int | None = None
    gone_s: float = 0.0


class Stage(NamedTuple):
    """How far one order is; ``waits_for`` are the nodes that may still use the old version."""

    order: RolloutOrder
    state: RolloutState
    elapsed_s: float
    in_state_s: float
    totals: Totals
    verdict: Verdict
    new_answers: int
    good_answers: int
    waits_for: tuple[str, ...]

    @staticmethod
    def switch_at_s(duration_s: float) -> float:
        """Return how long after the order the switch begins."""
        return min(max(CANARY_PART * duration_s, duration_s - SWITCH_S), LONGEST_CANARY_S)


class Wanted(NamedTuple):
    """What the record should say, and why."""

    state: RolloutState
    reason: str


def wanted_record(stage: Stage, seen: Circumstances) -> Wanted | None:
    """Return what should be recorded next of an open order; ``None`` while the record is right."""
    if stage.state is RolloutState.ORDERED:
        return _begin(stage, seen)
    if stage.state is RolloutState.CANARY:
        return _switch(stage, seen)
    if stage.state is RolloutState.SWITCHING:
        return _complete(stage, seen)
    return None


def _begin(stage: Stage, seen: Circumstances) -> Wanted | None:
    order = stage.order
    if order.problem:
        return Wanted(RolloutState.ROLLED_BACK, order.problem)
    if order.duration_s <= SHORTEST_S:
        return Wanted(RolloutState.ROLLED_BACK, f"{order.duration_s:g} s are too short")
    if not seen.known:
        if stage.in_state_s < UNKNOWN_GRACE_S:
            return None
        return Wanted(RolloutState.ROLLED_BACK, f"no service {order.service!r} in the configuration")
    if stage.elapsed_s >= max(order.duration_s, LEAST_CANARY_S):
        return Wanted(RolloutState.ROLLED_BACK, "found after its time")
    return Wanted(RolloutState.CANARY, "")


def _switch(stage: Stage, seen: Circumstances) -> Wanted | None:
    if stage.elapsed_s < Stage.switch_at_s(stage.order.duration_s) or stage.in_state_s < LEAST_CANARY_S:
        return None
    if not seen.informed or not _hears_enough(stage, seen):
        return None
    if stage.verdict.leaning_bad:
        return Wanted(RolloutState.ROLLED_BACK, f"probably bad: {stage.verdict.reason}")
    if seen.servers == 0:
        # Entries also lapse for a moment; there is time to see.
        lapsed = seen.gone_s < GONE_S and stage.elapsed_s < stage.order.duration_s - RECORD_S
        return None if lapsed else Wanted(RolloutState.ROLLED_BACK, "no server of the version")
    asked = stage.totals.all >= LEAST_TRAFFIC or stage.new_answers >= LEAST_ANSWERS
    if asked and stage.good_answers == 0:
        return Wanted(RolloutState.ROLLED_BACK, "no good answer of the new version was seen")
    return Wanted(RolloutState.SWITCHING, "")


def _complete(stage: Stage, seen: Circumstances) -> Wanted | None:
    if seen.gone_s >= GONE_S:
        return Wanted(RolloutState.ROLLED_BACK, "the version's servers have gone")
    if not seen.informed or not _hears_enough(stage, seen):
        return None
    if stage.verdict.leaning_bad:
        if stage.elapsed_s < stage.order.duration_s - LAST_WORD_S:
            return None
        return Wanted(RolloutState.ROLLED_BACK, f"probably bad: {stage.verdict.reason}")
    if (stage.waits_for or not _watched(stage)) and not _overdue(stage):
        return None
    return Wanted(RolloutState.COMPLETED, f"{stage.new_answers} answers of the new version seen")


def _watched(stage: Stage) -> bool:
    pressed = stage.elapsed_s >= stage.order.duration_s - RECORD_S
    return stage.in_state_s >= (LEAST_WATCH_S if pressed else WATCH_S)


def _hears_enough(stage: Stage, seen: Circumstances) -> bool:
    """Whether this node may go on: one cut off from the others is not to decide for them."""
    return seen.hears_most or _overdue(stage)


def _overdue(stage: Stage) -> bool:
    return stage.elapsed_s >= stage.order.duration_s + BEYOND_S

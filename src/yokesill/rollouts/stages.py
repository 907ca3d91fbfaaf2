"""What the record of a roll-out should say next: when an order begins, switches, completes or goes back.

Inputs: the order and how far it is (``OrderStatus``), and what its decider knows around it (``DeciderView``);
times in seconds. A record only moves forward. Each step waits until the decider knows enough to take it, and
goes back where it can't be taken; a version found bad at any time is taken back before these rules
(``OrderProgress``). The times follow from the bound that ``exposure.SWITCH_S`` was measured for
(``bench/rollout_verdicts.py``, table in ``docs/design/rollouts.md``).
"""

from typing import NamedTuple

from yokesill.rollouts.assessment import VersionAssessment
from yokesill.rollouts.exposure import SWITCH_S, Totals
from yokesill.rollouts.orders import RolloutOrder, RolloutState

# What passes between an operator's call and its arrival at a decider: a feed's wait and its report.
FEED_S = 0.5
# In less nothing can be known of a version: the order alone takes longer to reach every node.
SHORTEST_S = 0.2
# A short order's switch gets four tenths of its time, a longer one's ``SWITCH_S``.
CANARY_SHARE_OF_TIME = 0.6
# A longer canary shows no more; and an order over a year is not left half done for a year.
LONGEST_CANARY_S = 600.0
# Two reports' intervals: without them nobody knows whether the new version answers at all.
LEAST_CANARY_S = 1.0
# The new version had its share of so many requests, two at least, and answered none well, or gave so many
# answers and no good one: too few for a test, but nothing to move to.
LEAST_REQUESTS, LEAST_ANSWERS = 20, 2
# Who takes over a canary has seen nothing of it: its share's way to the nodes, a second of requests and a
# report pass before the absence of answers says anything.
UNSEEN_S = 2.0
# Requests at old servers that don't end delay a good version for so long beyond the deadline, not for ever.
OVERDUE_S = 6.0
# Under full load a version is watched for so long: 30 requests at 20 a second, after which one that fails
# one in ten has shown it more often than not, or one that fails a third under load only.
WATCH_S = 1.5
# Where the switch came late the watch ends when a write of the record still fits (``RECORD_S``), after a
# report's interval and its way at least.
LEAST_WATCH_S, RECORD_S = 0.6, 1.0
# A version that is probably bad after the switch is watched until so long before the deadline: a slow write
# of the record (0.25 s) still fits.
LAST_WATCH_S = 0.5
# A service that the configuration doesn't name may be on its way in the other feed.
UNKNOWN_SERVICE_GRACE_S = 1.0
# Servers are listed anew one by one after a gap in the feed; servers that are gone stay so.
SERVERS_GONE_S = 1.0


class DeciderView(NamedTuple):
    """What one decider knows around an order.

    Parameters
    ----------
    deciders_before
        How many deciders rank before this one.
    reaches_registry
        Whether the registry can be reached.
    informed
        Whether this node has received reports for long enough to know the counts.
    just_woken
        Whether it did not run for a while until just now.
    hears_most_nodes
        Whether most of the nodes that should report do.
    live
        The nodes that are there.
    service_known
        Whether the configuration names the service.
    servers
        How many servers of the target are listed; ``None`` if unknown.
    servers_gone_s
        For how long there have been none, although there are others.
    """

    deciders_before: int = 0
    reaches_registry: bool = True
    informed: bool = True
    just_woken: bool = False
    hears_most_nodes: bool = True
    live: frozenset[str] = frozenset()
    service_known: bool = True
    servers: int | None = None
    servers_gone_s: float = 0.0


class OrderStatus(NamedTuple):
    """How far one order is; ``waits_for`` are the nodes that may still use the old version.

    ``informed_s`` is for how long its decider has known all counts, and so has given a share.
    """

    order: RolloutOrder
    state: RolloutState
    elapsed_s: float
    in_state_s: float
    informed_s: float
    totals: Totals
    assessment: VersionAssessment
    new_answers: int
    good_answers: int
    waits_for: tuple[str, ...]


class RecordChange(NamedTuple):
    """What the record should say, and why."""

    state: RolloutState
    reason: str


def switch_at_s(duration_s: float) -> float:
    """Return how long after the order the switch begins."""
    return min(max(CANARY_SHARE_OF_TIME * duration_s, duration_s - SWITCH_S), LONGEST_CANARY_S)


def next_record(status: OrderStatus, view: DeciderView) -> RecordChange | None:
    """Return what should be recorded next of an open order; ``None`` while the record is right."""
    if status.state is RolloutState.ORDERED:
        return _begin(status, view)
    if status.state is RolloutState.CANARY:
        return _switch(status, view)
    if status.state is RolloutState.SWITCHING:
        return _complete(status, view)
    return None


def _begin(status: OrderStatus, view: DeciderView) -> RecordChange | None:
    order = status.order
    if order.problem:
        return _back(order.problem)
    if order.duration_s <= SHORTEST_S:
        return _back(f"{order.duration_s:g} s are too short")
    if not view.service_known:
        if status.in_state_s < UNKNOWN_SERVICE_GRACE_S:
            return None
        return _back(f"no service {order.service!r} in the configuration")
    if status.elapsed_s >= max(order.duration_s, LEAST_CANARY_S):
        return _back("found after its time")
    return RecordChange(RolloutState.CANARY, "")


def _switch(status: OrderStatus, view: DeciderView) -> RecordChange | None:
    if status.elapsed_s < switch_at_s(status.order.duration_s) or status.in_state_s < LEAST_CANARY_S:
        return None
    if not view.informed or not _hears_enough(status, view):
        return None
    if status.assessment.leaning_bad:
        return _back(f"probably bad: {status.assessment.reason}")
    if view.servers == 0:
        # Entries also lapse for a moment; there is time to see.
        lapsed = (
            view.servers_gone_s < SERVERS_GONE_S and status.elapsed_s < status.order.duration_s - RECORD_S
        )
        return None if lapsed else _back("no server of the version")
    enough = status.totals.all >= LEAST_REQUESTS or status.new_answers >= LEAST_ANSWERS
    if enough and status.good_answers == 0:
        if status.new_answers == 0 and status.informed_s < UNSEEN_S:
            return None
        return _back("no good answer of the new version was seen")
    return RecordChange(RolloutState.SWITCHING, "")


def _complete(status: OrderStatus, view: DeciderView) -> RecordChange | None:
    if view.servers_gone_s >= SERVERS_GONE_S:
        return _back("the version's servers have gone")
    if not view.informed or not _hears_enough(status, view):
        return None
    if status.assessment.leaning_bad:
        if status.elapsed_s < status.order.duration_s - LAST_WATCH_S:
            return None
        return _back(f"probably bad: {status.assessment.reason}")
    if (status.waits_for or not _watched(status)) and not _overdue(status):
        return None
    return RecordChange(RolloutState.COMPLETED, f"{status.new_answers} answers of the new version seen")


def _back(reason: str) -> RecordChange:
    return RecordChange(RolloutState.ROLLED_BACK, reason)


def _watched(status: OrderStatus) -> bool:
    pressed = status.elapsed_s >= status.order.duration_s - RECORD_S
    return status.in_state_s >= (LEAST_WATCH_S if pressed else WATCH_S)


def _hears_enough(status: OrderStatus, view: DeciderView) -> bool:
    """Whether this node may go on: one partitioned from the others is not to decide for them."""
    return view.hears_most_nodes or _overdue(status)


def _overdue(status: OrderStatus) -> bool:
    """Whether waiting has to end; deciders that find an order after its time wait for as long as others."""
    late = status.elapsed_s >= status.order.duration_s + OVERDUE_S
    return late and status.in_state_s >= OVERDUE_S

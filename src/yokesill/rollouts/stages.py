"""Decides what the record of a roll-out should say next: canary, switch, completion or rollback.

Inputs: the order and its progress (``OrderStatus``), and its decider's view (``DeciderView``); times in
seconds. A record only moves forward. Each step waits until the decider has enough information, and rolls back
where the step is impossible; a version found bad at any time is rolled back before these rules apply
(``OrderProgress``). The times follow from the limit that ``exposure.SWITCH_DURATION_S`` was measured for
(``bench/rollout_verdicts.py``, table in ``docs/design/rollouts.md``).
"""

from typing import NamedTuple

from yokesill.rollouts.assessment import VersionAssessment
from yokesill.rollouts.exposure import SWITCH_DURATION_S, Totals
from yokesill.rollouts.orders import RolloutOrder, RolloutState

# Delay between an operator's call and its arrival at a decider: the feed's wait and its report.
FEED_LAG_S = 0.5
# An order of this duration or less cannot be evaluated: it takes longer than this to reach every node.
MIN_DURATION_S = 0.2
# The switch gets the remaining four tenths of a short order's time, and ``SWITCH_DURATION_S`` of a longer
# one's.
CANARY_TIME_FRACTION = 0.6
# A longer canary gives no more information, and an order over a year should not stay unfinished for a year.
MAX_CANARY_S = 600.0
# Two report intervals, without which no decider knows whether the new version answers at all.
MIN_CANARY_S = 1.0
# A new version without a good answer is rolled back once this many requests were sent to the service (of
# which its share is at least two), or once it gave this many answers: too few for the test, but enough not to
# switch.
MIN_REQUESTS, MIN_ANSWERS = 20, 2
# A decider that takes over a canary has seen no answers yet: its share must reach the nodes, and a second of
# requests and a report must follow, before the absence of answers means anything.
FIRST_ANSWER_GRACE_S = 2.0
# Limit on how long past the deadline requests that don't end at old servers can delay a good version.
MAX_OVERTIME_S = 6.0
# Time that a version is watched under full load: 30 requests at 20 a second, enough to detect, more often
# than not, a version that fails 1 in 10 requests, or one that fails a third only under load.
FULL_LOAD_WATCH_S = 1.5
# After a late switch the watch ends while a write of the record still fits (``RECORD_WRITE_S``), but lasts at
# least a report interval and the report's transit.
MIN_FULL_LOAD_WATCH_S, RECORD_WRITE_S = 0.6, 1.0
# A version that is probably bad after the switch is watched until this long before the deadline, when a slow
# write of the record (0.25 s) still fits.
FINAL_DECISION_S = 0.5
# A service that the configuration doesn't name yet may still arrive through the other feed.
UNKNOWN_SERVICE_GRACE_S = 1.0
# After a gap in the feed, servers are listed again one by one; servers that are really gone stay unlisted.
SERVERS_GONE_GRACE_S = 1.0


class DeciderView(NamedTuple):
    """What one decider knows apart from the order itself.

    Parameters
    ----------
    deciders_before
        How many deciders rank before this one.
    reaches_registry
        Whether this node can reach the registry.
    counts_complete
        Whether this node has received reports for long enough to know all counts.
    just_resumed
        Whether this node has recently resumed after not running for a while.
    enough_nodes_report
        Whether at least half of the listed nodes report.
    live
        The live nodes.
    service_known
        Whether the configuration names the service.
    servers
        Number of listed servers of the target; ``None`` if unknown.
    servers_gone_s
        How long the target has had no listed server while other versions had.
    """

    deciders_before: int = 0
    reaches_registry: bool = True
    counts_complete: bool = True
    just_resumed: bool = False
    enough_nodes_report: bool = True
    live: frozenset[str] = frozenset()
    service_known: bool = True
    servers: int | None = None
    servers_gone_s: float = 0.0


class OrderStatus(NamedTuple):
    """Progress of one order; ``waits_for`` are the nodes that may still use the old version.

    ``counts_complete_s`` is how long the decider has known all counts, and so has announced a share.
    """

    order: RolloutOrder
    state: RolloutState
    elapsed_s: float
    in_state_s: float
    counts_complete_s: float
    totals: Totals
    assessment: VersionAssessment
    new_answers: int
    good_answers: int
    waits_for: tuple[str, ...]


class RecordChange(NamedTuple):
    """The state that the record should have, and the reason."""

    state: RolloutState
    reason: str


def switch_at_s(duration_s: float) -> float:
    """Return the time from the order to the start of its switch."""
    return min(max(CANARY_TIME_FRACTION * duration_s, duration_s - SWITCH_DURATION_S), MAX_CANARY_S)


def next_record(status: OrderStatus, view: DeciderView) -> RecordChange | None:
    """Return what to record next for an open order, or ``None`` while the record is correct."""
    if status.state is RolloutState.ORDERED:
        return _next_from_ordered(status, view)
    if status.state is RolloutState.CANARY:
        return _next_from_canary(status, view)
    if status.state is RolloutState.SWITCHING:
        return _next_from_switching(status, view)
    return None


def _next_from_ordered(status: OrderStatus, view: DeciderView) -> RecordChange | None:
    order = status.order
    if order.problem:
        return _roll_back(order.problem)
    if order.duration_s <= MIN_DURATION_S:
        return _roll_back(f"{order.duration_s:g} s are too short")
    if not view.service_known:
        if status.in_state_s < UNKNOWN_SERVICE_GRACE_S:
            return None
        return _roll_back(f"no service {order.service!r} in the configuration")
    if status.elapsed_s >= max(order.duration_s, MIN_CANARY_S):
        return _roll_back("found after its time")
    return RecordChange(RolloutState.CANARY, "")


def _next_from_canary(status: OrderStatus, view: DeciderView) -> RecordChange | None:
    if status.elapsed_s < switch_at_s(status.order.duration_s) or status.in_state_s < MIN_CANARY_S:
        return None
    if not view.counts_complete or not _may_proceed(status, view):
        return None
    if status.assessment.probably_bad:
        return _roll_back(f"probably bad: {status.assessment.reason}")
    if view.servers == 0:
        # Entries may lapse briefly; wait for them to return while there is time.
        lapsed = (
            view.servers_gone_s < SERVERS_GONE_GRACE_S
            and status.elapsed_s < status.order.duration_s - RECORD_WRITE_S
        )
        return None if lapsed else _roll_back("no server of the version")
    enough = status.totals.all >= MIN_REQUESTS or status.new_answers >= MIN_ANSWERS
    if enough and status.good_answers == 0:
        if status.new_answers == 0 and status.counts_complete_s < FIRST_ANSWER_GRACE_S:
            return None
        return _roll_back("no good answer of the new version was seen")
    return RecordChange(RolloutState.SWITCHING, "")


def _next_from_switching(status: OrderStatus, view: DeciderView) -> RecordChange | None:
    if view.servers_gone_s >= SERVERS_GONE_GRACE_S:
        return _roll_back("the version's servers have gone")
    if not view.counts_complete or not _may_proceed(status, view):
        return None
    if status.assessment.probably_bad:
        if status.elapsed_s < status.order.duration_s - FINAL_DECISION_S:
            return None
        return _roll_back(f"probably bad: {status.assessment.reason}")
    if (status.waits_for or not _watched_long_enough(status)) and not _overdue(status):
        return None
    return RecordChange(RolloutState.COMPLETED, f"{status.new_answers} answers of the new version seen")


def _roll_back(reason: str) -> RecordChange:
    return RecordChange(RolloutState.ROLLED_BACK, reason)


def _watched_long_enough(status: OrderStatus) -> bool:
    short_of_time = status.elapsed_s >= status.order.duration_s - RECORD_WRITE_S
    return status.in_state_s >= (MIN_FULL_LOAD_WATCH_S if short_of_time else FULL_LOAD_WATCH_S)


def _may_proceed(status: OrderStatus, view: DeciderView) -> bool:
    """Whether this decider may proceed; one partitioned from the other nodes must not decide for them."""
    return view.enough_nodes_report or _overdue(status)


def _overdue(status: OrderStatus) -> bool:
    """Whether waiting must end; an order found past its deadline still gets the full waiting time."""
    late = status.elapsed_s >= status.order.duration_s + MAX_OVERTIME_S
    return late and status.in_state_s >= MAX_OVERTIME_S

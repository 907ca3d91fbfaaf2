"""How large a share of a service's requests its new version may get while it may still be bad.

Inputs: requests at servers of either version, over all nodes; the contract's limits; the time left. A node's
counts are totals since its start: a lost report costs nothing, a repeated one adds nothing. The share spends
what the contract allows evenly until the switch, less all that the switch needs and a margin. Constants were
set by ``bench/rollout_verdicts.py``; its table is in ``docs/design/rollouts.md``.
"""

from collections import deque
from typing import NamedTuple

from yokesill.rollouts.orders import RolloutLimits

# Beyond it the old version would have too few answers to be compared with.
LARGEST_SHARE = 1 / 3
# From the switch on everything goes to the new version until the order's time is over, also if it turns bad
# just before that: the contract counts it all. The switch begins so long before the end: it takes 1.5 s (a
# record and its announcement, 1.1 s under watch, another record; virtual time), and a registry that answers
# in 0.25 s in place of 4 ms still fits. Of versions that fail one in ten at 20 requests a second, 2.5 s in
# its place put up to 7 in 100 beyond the bound, with the contract's whole share before it 30; this none
# (``bench/rollout_verdicts.py``, 40 plays a case), and no fewer are found.
SWITCH_S = 2.2
# Of the contract's share the canary gets so much at least: without answers a bad version would be found at
# the switch only. Up to 26 requests a second over 12 s that and the whole switch keep to the bound.
LEAST_SHARE_OF_LIMIT = 0.6
# By how much reports and decisions lag behind: two intervals of reports.
LAG_S = 1.0
# Thinning is by chance: two standard deviations of 25 requests, and those that dying nodes never report.
MARGIN_REQUESTS = 10.0
# Over how long the rate of requests is measured, and the least time for a figure: eight intervals of reports,
# and less than one of them.
RATE_S, LEAST_RATE_S = 4.0, 0.4
# Reports come by the dozen; the rate needs no more points than this.
POINT_S = 0.1


class Totals(NamedTuple):
    """Requests sent to either version since the order."""

    old: int = 0
    new: int = 0

    @property
    def all(self) -> int:
        """Of both."""
        return self.old + self.new


class ExposureCounts:
    """What all nodes sent to the versions of one service since its order."""

    def __init__(self) -> None:
        self._by_start: dict[tuple[str, int], Totals] = {}
        self._totals = Totals()
        self._history: deque[tuple[float, int]] = deque()

    @property
    def totals(self) -> Totals:
        """Over all nodes and all their starts."""
        return self._totals

    def report(self, node: str, incarnation: int, sent_old: int, sent_new: int, now: float) -> None:
        """Take a node's totals since its start ``incarnation``; older ones change nothing."""
        before = self._by_start.get((node, incarnation), Totals())
        after = Totals(max(before.old, sent_old), max(before.new, sent_new))
        self._by_start[node, incarnation] = after
        self._totals = Totals(
            self._totals.old + after.old - before.old, self._totals.new + after.new - before.new
        )
        if not self._history or now - self._history[-1][0] >= POINT_S:
            self._history.append((now, self._totals.all))
        while len(self._history) > 2 and now - self._history[1][0] > RATE_S:
            self._history.popleft()

    def rate(self, now: float) -> float | None:
        """Return how many requests a second reach the service; ``None`` when it isn't known yet."""
        if not self._history or now - self._history[0][0] < LEAST_RATE_S:
            return None
        since, before = self._history[0]
        return (self._totals.all - before) / (now - since)


def allowed_share(
    counts: ExposureCounts, terms: RolloutLimits, canary_left_s: float, left_s: float, now: float
) -> float:
    """Return which share (0 to 1) of the requests may go to the new version from now on.

    Parameters
    ----------
    counts
        What was sent so far.
    terms
        What the contract allows.
    canary_left_s
        How long the share has to last.
    left_s
        How long until the order's deadline: what comes until then raises the bound. No more than the
        switch is counted on, so a long order does not spend at once what its last hour allows.
    now
        The node's clock, in seconds.
    """
    rate = counts.rate(now)
    totals = counts.totals
    slack = max(0.0, terms.canary_slack - MARGIN_REQUESTS)
    if rate is None:
        return min(LARGEST_SHARE, terms.canary_share)
    unreported = rate * LAG_S
    if totals.new + terms.canary_share * unreported >= terms.canary_share * totals.all + slack:
        return 0.0
    counted_s = max(0.0, min(left_s, canary_left_s + SWITCH_S))
    allowed = terms.canary_share * (totals.all + rate * counted_s) + slack
    free = allowed - rate * SWITCH_S - totals.new
    coming = rate * max(canary_left_s, LAG_S)
    if coming <= 0.0:
        return LARGEST_SHARE
    return min(LARGEST_SHARE, max(LEAST_SHARE_OF_LIMIT * terms.canary_share, free / coming))

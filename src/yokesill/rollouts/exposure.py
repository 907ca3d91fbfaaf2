"""Computes the share of a service's requests that the new version may get while it may still be bad.

Inputs: the requests sent to each version over all nodes, the contract's limits and the time left. A node's
counts are totals since its start, so lost and repeated reports do no harm. The requests that the contract
allows, less those that the switch needs and a margin, are spread evenly over the time until the switch. The
constants were set by ``bench/rollout_verdicts.py``; its table is in ``docs/design/rollouts.md``.
"""

from collections import deque
from typing import NamedTuple

from yokesill.rollouts.orders import RolloutLimits

# With a larger share the old version would have too few answers to compare with.
MAX_SHARE = 1 / 3
# The switch begins this long before the order's deadline. From then on all requests go to the new version,
# and the contract counts all of them even if it turns bad just before the deadline. The switch takes 1.5 s of
# virtual time (a record and its announcement, 1.1 s under watch, another record), and still fits if the
# registry answers in 0.25 s instead of 4 ms. Of versions that fail 1 in 10 requests at 20 requests a second,
# 2.5 s put up to 7 in 100 over the limit, or 30 in 100 if the canary gets the contract's whole share; this
# value puts none over it and finds no fewer (``bench/rollout_verdicts.py``, 40 plays per case).
SWITCH_DURATION_S = 2.2
# The canary gets at least this fraction of the contract's share: without any answers a bad version would be
# found only at the switch. Up to 26 requests a second over 12 s, this and the whole switch stay within the
# limit.
MIN_SHARE_OF_LIMIT = 0.6
# Delay of reports and decisions: two report intervals.
REPORT_LAG_S = 1.0
# Canaries are selected randomly: two standard deviations for 25 requests, and those that crashed nodes never
# report.
MARGIN_REQUESTS = 10.0
# The request rate is measured over this window, and known after the minimum: eight report intervals, and less
# than one of them.
RATE_WINDOW_S, MIN_RATE_WINDOW_S = 4.0, 0.4
# Many reports arrive at once; the rate needs no finer resolution.
RATE_POINT_INTERVAL_S = 0.1


class Totals(NamedTuple):
    """Requests sent to each version since the order."""

    old: int = 0
    new: int = 0

    @property
    def all(self) -> int:
        """Requests sent to both versions."""
        return self.old + self.new


class ExposureCounts:
    """Requests that all nodes sent to each version of one service since its order."""

    def __init__(self) -> None:
        self._by_start: dict[tuple[str, int], Totals] = {}
        self._totals = Totals()
        self._history: deque[tuple[float, int]] = deque()

    @property
    def totals(self) -> Totals:
        """Totals over all nodes and all their incarnations."""
        return self._totals

    def report(self, node: str, incarnation: int, sent_old: int, sent_new: int, now: float) -> None:
        """Apply a node's totals since the start of ``incarnation``; older totals change nothing."""
        before = self._by_start.get((node, incarnation), Totals())
        after = Totals(max(before.old, sent_old), max(before.new, sent_new))
        self._by_start[node, incarnation] = after
        self._totals = Totals(
            self._totals.old + after.old - before.old, self._totals.new + after.new - before.new
        )
        if not self._history or now - self._history[-1][0] >= RATE_POINT_INTERVAL_S:
            self._history.append((now, self._totals.all))
        while len(self._history) > 2 and now - self._history[1][0] > RATE_WINDOW_S:
            self._history.popleft()

    def rate(self, now: float) -> float | None:
        """Return the service's requests per second, or ``None`` while it isn't known."""
        if not self._history or now - self._history[0][0] < MIN_RATE_WINDOW_S:
            return None
        since, before = self._history[0]
        return (self._totals.all - before) / (now - since)


def allowed_share(
    counts: ExposureCounts, limits: RolloutLimits, canary_left_s: float, left_s: float, now: float
) -> float:
    """Return the share (0 to 1) of the requests that may go to the new version from now on.

    Parameters
    ----------
    counts
        Requests sent so far.
    limits
        The contract's limits.
    canary_left_s
        Time until the switch, over which the share is spread.
    left_s
        Time until the order's deadline: requests until then raise the limit. Only those up to the end of the
        switch are counted on, so that a long order does not use up at once what its last hour allows.
    now
        The node's clock, in seconds.
    """
    rate = counts.rate(now)
    totals = counts.totals
    slack = max(0.0, limits.canary_slack - MARGIN_REQUESTS)
    if rate is None:
        return min(MAX_SHARE, limits.canary_share)
    unreported = rate * REPORT_LAG_S
    if totals.new + limits.canary_share * unreported >= limits.canary_share * totals.all + slack:
        return 0.0
    horizon_s = max(0.0, min(left_s, canary_left_s + SWITCH_DURATION_S))
    allowed = limits.canary_share * (totals.all + rate * horizon_s) + slack
    remaining = allowed - rate * SWITCH_DURATION_S - totals.new
    expected = rate * max(canary_left_s, REPORT_LAG_S)
    if expected <= 0.0:
        return MAX_SHARE
    return min(MAX_SHARE, max(MIN_SHARE_OF_LIMIT * limits.canary_share, remaining / expected))

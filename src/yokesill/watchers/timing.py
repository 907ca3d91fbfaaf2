"""Timeouts after which a watcher counts as failed or stale, all derived from the bound on a change.

The bound is the time in seconds within which a change in the registry must be in force on every node. The
shares below keep it in the worst case (``WatchTiming.within``); ``docs/design/readers.md`` weighs the
alternatives.
"""

from typing import NamedTuple

from yokesill.peers.ranks import RankTiming

# One of them may be slow or down. A third would cost as many calls again as are saved by not listing nodes.
WATCHERS_PER_ZONE = 2
# How long a starting node doesn't watch: eight reports at a bound of 3 s.
SETTLE_S = 2.5
# Shorter, since a strong node watches in any case and its zone's wide requests wait for its first report.
STRONG_SETTLE_S = 0.3
# Shares of the bound. Two reports may be lost before a watcher counts as failed, and each further rank waits
# a little longer.
REPORT_SHARE, TAKEOVER_SHARE, RANK_STEP_SHARE = 0.1, 0.25, 0.03
# Shares of the bound. The worst case takes AGE_LIMIT_SHARE and 1.25 times REPORT_TIMEOUT_SHARE, 0.83 of the
# bound, and leaves the rest for a call of the registry. A watcher checks often enough to stay current while
# the registry answers.
REPORT_TIMEOUT_SHARE, AGE_LIMIT_SHARE, CHECK_SHARE = 0.3, 0.45, 0.35


class WatchTiming(NamedTuple):
    """Intervals and timeouts of the nodes of a zone, in seconds.

    Parameters
    ----------
    report_interval_s
        Interval between reports of a watcher that has nothing new.
    takeover_s
        How long watchers must be silent until the next node in rank takes over. ``step_s`` is how much
        longer each further rank waits, so that they don't all take over at once.
    report_timeout_s
        How long a node goes without a report from a current watcher before it calls the registry itself.
    age_limit_s
        Age of a watcher's last successful answer from the registry beyond which it is not current.
    check_interval_s
        How often a watcher checks whether its long poll for changes was lost.
    settle_s
        How long a starting node doesn't watch, so that it first receives the reports of the others;
        ``strong_settle_s`` is the same for a node that ranks first by its processor.
    """

    report_interval_s: float
    takeover_s: float
    step_s: float
    report_timeout_s: float
    age_limit_s: float
    check_interval_s: float
    settle_s: float = SETTLE_S
    strong_settle_s: float = STRONG_SETTLE_S
    watchers: int = WATCHERS_PER_ZONE

    @property
    def ranks(self) -> RankTiming:
        """The part of the timing that decides which nodes watch."""
        return RankTiming(
            takeover_s=self.takeover_s,
            step_s=self.step_s,
            max_report_age_s=self.report_timeout_s,
            startup_delay_s=self.settle_s,
            strong_startup_delay_s=self.strong_settle_s,
            active_nodes=self.watchers,
        )

    @classmethod
    def within(cls, bound_s: float) -> "WatchTiming":
        """Return times such that a change is in force everywhere within ``bound_s``.

        In the worst case a watcher is disconnected from the registry without noticing: its last answer
        expires (``age_limit_s``), then its followers time out (``report_timeout_s`` plus their spread). A
        sixth of the bound is left for calling the registry.
        """
        return cls(
            report_interval_s=REPORT_SHARE * bound_s,
            takeover_s=TAKEOVER_SHARE * bound_s,
            step_s=RANK_STEP_SHARE * bound_s,
            report_timeout_s=REPORT_TIMEOUT_SHARE * bound_s,
            age_limit_s=AGE_LIMIT_SHARE * bound_s,
            check_interval_s=CHECK_SHARE * bound_s,
        )

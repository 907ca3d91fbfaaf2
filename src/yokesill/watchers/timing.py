"""When a watcher counts as gone or as not current: all times, derived from the bound on a change.

Input: the bound (seconds) within which a change of the registry must be in force on every node. The shares
keep it in the worst case (``WatchTiming.within``); ``docs/design/readers.md`` weighs the alternatives.
"""

from typing import NamedTuple

from yokesill.peers.ranks import RankTiming

# One may be slow or gone. A third would cost as many calls again as are saved by not listing nodes.
WATCHERS_PER_ZONE = 2
# A starting node leaves watching to others for so long, eight reports at a bound of 3 s.
SETTLE_S = 2.5
# A strong node watches in any case, and its zone's wide requests wait for its first report.
STRONG_SETTLE_S = 0.3
# Shares of the bound. Two reports may be lost before a watcher counts as gone, and each further rank waits a
# little longer.
REPORT_SHARE, TAKEOVER_SHARE, STEP_SHARE = 0.1, 0.25, 0.03
# Shares of the bound, too: the worst case takes AGE_SHARE and 1.25 times PATIENCE_SHARE, 0.83 of it, and
# leaves the rest for a call of the registry. A watcher checks often enough to be current while the registry
# answers.
PATIENCE_SHARE, AGE_SHARE, CHECK_SHARE = 0.3, 0.45, 0.35


class WatchTiming(NamedTuple):
    """How long the nodes of a zone wait for one another, in seconds.

    Parameters
    ----------
    report_interval_s
        Between two reports of a watcher that has nothing new.
    takeover_s
        How long watchers must be silent until the next in rank takes over, and ``step_s`` how much
        longer each further rank waits, so that not all do so at once.
    patience_s
        After so long without a report that can be relied on a node asks the registry itself.
    age_limit_s
        A watcher whose last good answer from the registry is older is not current.
    check_interval_s
        How often a watcher looks whether its wait for changes was swallowed.
    settle_s
        How long a starting node leaves watching to others, so that it learns first who is there, and
        ``strong_settle_s`` the same for one that ranks first by its processor.
    """

    report_interval_s: float
    takeover_s: float
    step_s: float
    patience_s: float
    age_limit_s: float
    check_interval_s: float
    settle_s: float = SETTLE_S
    strong_settle_s: float = STRONG_SETTLE_S
    watchers: int = WATCHERS_PER_ZONE

    @property
    def ranks(self) -> RankTiming:
        """What of it decides which nodes watch."""
        return RankTiming(
            takeover_s=self.takeover_s,
            step_s=self.step_s,
            max_report_age_s=self.patience_s,
            startup_delay_s=self.settle_s,
            strong_startup_delay_s=self.strong_settle_s,
            active_nodes=self.watchers,
        )

    @classmethod
    def within(cls, bound_s: float) -> "WatchTiming":
        """Return times such that a change is in force everywhere within ``bound_s``.

        The worst case is a watcher that is cut from the registry without noticing: its last answer ages
        (``age_limit_s``), then its followers lose patience (``patience_s`` and their spread); a sixth of
        the bound is left for asking the registry.
        """
        return cls(
            report_interval_s=REPORT_SHARE * bound_s,
            takeover_s=TAKEOVER_SHARE * bound_s,
            step_s=STEP_SHARE * bound_s,
            patience_s=PATIENCE_SHARE * bound_s,
            age_limit_s=AGE_SHARE * bound_s,
            check_interval_s=CHECK_SHARE * bound_s,
        )

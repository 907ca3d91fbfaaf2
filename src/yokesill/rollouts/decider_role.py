"""Who decides on roll-outs, and so writes their records: the first two of all nodes by rank that report.

Inputs: all nodes with their processors, deciders' messages (and whether they reach the registry), nodes'
reports; times in seconds of the node's clock. Without a lease and without a vote: what a decider too many
could do wrong is undone by the records' condition on their revision (``docs/design/rollouts.md``).
"""

import random
from collections.abc import Mapping

from yokesill.peers.capacity_rank import strong_nodes
from yokesill.peers.ranks import RankedGroup, RankTiming
from yokesill.rollouts.barrier import LIVE_S

RANK_SUBJECT = "rollout-decider"
# One may be gone or partitioned. Each decider more costs another report of every node.
DECIDERS = 2
# Between two reports, and two messages of decisions: two lost in a row still leave half of the bound for
# taking a version back (``RolloutLimits.rollback_s``, 5 s).
INTERVAL_S = 0.5
# 400 nodes tell two deciders 800 reports a second each, 0.1 ms of theirs; beyond, the interval grows.
NODES_AT_INTERVAL = 400
# After so many intervals without a message a decider counts as gone; reports are complete after as many.
INTERVALS_MISSED = 3
# How much longer each further rank waits, so that not all take over at once: a message's way and a turn.
STEP_S = 0.1
# A node that has not run for so long has missed two intervals of messages and reports.
PAUSE_S = 1.0
# For so long a node that woke up trusts nothing that it knew before: three intervals, as for a decider that
# is gone.
WAKE_S = 1.5


class DeciderRole:
    """One node's view of the deciders while there are open orders.

    Parameters
    ----------
    own
        This node's name.
    source
        Not drawn from for deciding; the group wants one.
    now
        The node's clock, in seconds.
    """

    def __init__(self, own: str, source: random.Random, now: float) -> None:
        self._own = own
        self._source = source
        self._cores: dict[str, float] = {own: 1.0}
        self._group: RankedGroup | None = None
        self._began_at_s = now
        self._updated_at_s = now
        self._deciding_since_s: float | None = None
        self._woke_at_s = float("-inf")
        self._able_at_s: dict[str, float] = {}
        self._unable_at_s: dict[str, float] = {}
        self._reported_at_s: dict[str, float] = {}
        self._listed_at_s: dict[str, float] = {}

    @property
    def interval_s(self) -> float:
        """How often reports and decisions go out."""
        return INTERVAL_S * max(1.0, len(self._cores) / NODES_AT_INTERVAL)

    @property
    def patience_s(self) -> float:
        """After which silence a decider counts as gone."""
        return INTERVALS_MISSED * self.interval_s

    @property
    def deciding(self) -> bool:
        """Whether this node decides."""
        return self._deciding_since_s is not None

    def set_nodes(self, cores: Mapping[str, float]) -> None:
        """Set all nodes and their processors; this node counts in any case."""
        wanted = {self._own: 1.0, **cores}
        if wanted != self._cores:
            self._cores = wanted
            self._set_members()

    def received(self, node: str, reaches_registry: bool, now: float) -> None:
        """Note that another decider sent its decisions."""
        if node == self._own:
            return
        (self._able_at_s if reaches_registry else self._unable_at_s)[node] = now
        (self._unable_at_s if reaches_registry else self._able_at_s).pop(node, None)
        if self._group is not None:
            self._group.record_report(node, reaches_registry, True, now)

    def reported(self, node: str, now: float) -> None:
        """Note that a node reported."""
        self._reported_at_s[node] = now

    def update(self, needed: bool, now: float) -> bool:
        """Update who decides; return whether this node has just begun to.

        Parameters
        ----------
        needed
            Whether there is anything to decide or to announce.
        now
            The node's clock, in seconds.
        """
        paused = now - self._updated_at_s > PAUSE_S
        self._updated_at_s = now
        if not needed:
            self._group = self._deciding_since_s = None
            return False
        if self._group is None:
            self._begin(now)
        elif paused:
            self._woke_at_s = now
            self._deciding_since_s = None
        if len(self._listed_at_s) < len(self._cores):
            self._listed_at_s = {node: self._listed_at_s.get(node, now) for node in self._cores}
        assert self._group is not None
        if not self._group.should_act(now):
            self._deciding_since_s = None
            return False
        began = self._deciding_since_s is None
        if began:
            self._deciding_since_s = now
        return began

    def just_woken(self, now: float) -> bool:
        """Whether this node has not run for a while until just now."""
        return now - self._woke_at_s < WAKE_S or now - self._updated_at_s > PAUSE_S

    def informed(self, now: float) -> bool:
        """Whether it has decided for long enough to have received each node's totals."""
        return self._deciding_since_s is not None and now - self._deciding_since_s >= self.patience_s

    def deciders_before(self, now: float) -> int:
        """Return how many deciders that reach the registry rank before this one, silent ones not counted.

        While nobody had time to send a message yet, the first by rank count.
        """
        is_start = now - self._began_at_s < self.patience_s
        above = self._ranked[: self._ranked.index(self._own)]
        there = [node for node in above if self._is_deciding(node, now)]
        if is_start:
            there = [node for node in above[:DECIDERS] if node not in self._unable_at_s]
        return len(there)

    def live(self, now: float) -> frozenset[str]:
        """Return the nodes that are there: they reported lately, or were listed just now."""
        reporting = {node for node, at_s in self._reported_at_s.items() if now - at_s < LIVE_S}
        new = {node for node, at_s in self._listed_at_s.items() if now - at_s < LIVE_S}
        return frozenset(reporting | (new & self._cores.keys()))

    def hears_most_nodes(self, now: float) -> bool:
        """Whether half of the listed nodes report, or had no time to yet."""
        if now - self._began_at_s < self.patience_s:
            return True
        reporting = sum(now - self._reported_at_s.get(node, float("-inf")) < LIVE_S for node in self._cores)
        return 2 * reporting >= len(self._cores)

    def reporting_to(self, now: float) -> tuple[str, ...]:
        """Return whom nodes report to: nodes that decided lately, and the next by rank up to two."""
        if self._group is None:
            return ()
        deciding = [
            node
            for node in self._ranked
            if self._is_deciding(node, now) or (node == self._own and self.deciding)
        ]
        rest = [
            node
            for rank, node in enumerate(self._ranked)
            if node not in deciding and self._may_decide_soon(node, rank, now)
        ]
        return tuple((deciding + rest)[: max(DECIDERS, len(deciding))])

    @property
    def _ranked(self) -> tuple[str, ...]:
        return self._group.ranked if self._group is not None else (self._own,)

    def _is_deciding(self, node: str, now: float) -> bool:
        return now - self._able_at_s.get(node, float("-inf")) < self.patience_s

    def _may_decide_soon(self, node: str, rank: int, now: float) -> bool:
        """Whether a node that sent no decisions may be a decider soon."""
        if node == self._own or now - self._began_at_s < self.patience_s:
            return True
        return rank >= DECIDERS and node not in self._able_at_s.keys() | self._unable_at_s

    def _begin(self, now: float) -> None:
        timing = RankTiming(
            takeover_s=self.patience_s,
            step_s=STEP_S,
            max_report_age_s=self.patience_s,
            startup_delay_s=0.0,
            strong_startup_delay_s=0.0,
            active_nodes=DECIDERS,
        )
        self._group = RankedGroup(self._own, RANK_SUBJECT, timing, self._source, now)
        self._began_at_s = now
        self._able_at_s.clear()
        self._unable_at_s.clear()
        self._reported_at_s.clear()
        self._listed_at_s.clear()
        self._set_members()

    def _set_members(self) -> None:
        if self._group is not None:
            self._group.set_members(self._cores, strong_nodes(self._cores))
        self._listed_at_s = {node: at_s for node, at_s in self._listed_at_s.items() if node in self._cores}

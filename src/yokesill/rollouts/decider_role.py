"""Elects the deciders, which write the records of roll-outs: the first two nodes by rank that are available.

Inputs: all nodes with their processor cores, the deciders' messages (and whether each reaches the registry),
the nodes' reports; times in seconds of the node's clock. There is no lease and no vote: surplus deciders do
no harm, because records are written on the condition of their revision (``docs/design/rollouts.md``).
"""

import random
from collections.abc import Mapping

from yokesill.peers.capacity_rank import strong_nodes
from yokesill.peers.ranks import RankedGroup, RankTiming
from yokesill.rollouts.barrier import NODE_TIMEOUT_S

RANK_SUBJECT = "rollout-decider"
# The second one covers for a decider that is gone or partitioned. Each further decider would cost another
# report from every node.
DECIDER_COUNT = 2
# Between two reports, and between two messages of decisions. Two lost messages in a row still leave half of
# the time allowed for a rollback (``RolloutLimits.rollback_s``, 5 s).
REPORT_INTERVAL_S = 0.5
# With 400 nodes each of the two deciders receives 800 reports a second, at 0.1 ms each; beyond that the
# interval grows.
MAX_NODES_AT_BASE_INTERVAL = 400
# A decider is considered gone after this many intervals without a message; a new decider has complete counts
# after the same time.
TIMEOUT_INTERVALS = 3
# Each further rank waits this much longer, for one message and one turn of the loop, so that not all take
# over at once.
TAKEOVER_STEP_S = 0.1
# A node that has not run for this long has missed two intervals of messages and reports.
SUSPENSION_S = 1.0
# For this long after resuming, a node does not rely on what it knew before: three intervals, the same as the
# timeout of a decider.
RESUME_GRACE_S = 1.5


class DeciderRole:
    """One node's view of the deciders, maintained while there are open orders.

    Parameters
    ----------
    own
        This node's name.
    source
        Random number generator that ``RankedGroup`` requires; decisions don't use it.
    now
        The node's clock, in seconds.
    """

    def __init__(self, own: str, source: random.Random, now: float) -> None:
        self._own = own
        self._source = source
        self._cores: dict[str, float] = {own: 1.0}
        self._group: RankedGroup | None = None
        self._started_at_s = now
        self._updated_at_s = now
        self._deciding_since_s: float | None = None
        self._resumed_at_s = float("-inf")
        self._connected_at_s: dict[str, float] = {}
        self._disconnected_at_s: dict[str, float] = {}
        self._reported_at_s: dict[str, float] = {}
        self._listed_at_s: dict[str, float] = {}

    @property
    def interval_s(self) -> float:
        """Interval between reports, and between decisions."""
        return REPORT_INTERVAL_S * max(1.0, len(self._cores) / MAX_NODES_AT_BASE_INTERVAL)

    @property
    def timeout_s(self) -> float:
        """Time without a message after which a decider is considered gone."""
        return TIMEOUT_INTERVALS * self.interval_s

    @property
    def deciding(self) -> bool:
        """Whether this node is a decider."""
        return self._deciding_since_s is not None

    def set_nodes(self, cores: Mapping[str, float]) -> None:
        """Set all nodes and their processor cores; this node is always included."""
        wanted = {self._own: 1.0, **cores}
        if wanted != self._cores:
            self._cores = wanted
            self._set_members()

    def note_decisions(self, node: str, reaches_registry: bool, now: float) -> None:
        """Record that another decider sent its decisions."""
        if node == self._own:
            return
        (self._connected_at_s if reaches_registry else self._disconnected_at_s)[node] = now
        (self._disconnected_at_s if reaches_registry else self._connected_at_s).pop(node, None)
        if self._group is not None:
            self._group.record_report(node, reaches_registry, True, now)

    def note_report(self, node: str, now: float) -> None:
        """Record that a node sent a report."""
        self._reported_at_s[node] = now

    def update(self, needed: bool, now: float) -> bool:
        """Update the set of deciders; return whether this node has just become one.

        Parameters
        ----------
        needed
            Whether there is anything to decide or to announce.
        now
            The node's clock, in seconds.
        """
        paused = now - self._updated_at_s > SUSPENSION_S
        self._updated_at_s = now
        if not needed:
            self._group = self._deciding_since_s = None
            return False
        if self._group is None:
            self._start(now)
        elif paused:
            self._resumed_at_s = now
            self._deciding_since_s = None
        if len(self._listed_at_s) < len(self._cores):
            self._listed_at_s = {node: self._listed_at_s.get(node, now) for node in self._cores}
        assert self._group is not None
        if not self._group.should_act(now):
            self._deciding_since_s = None
            return False
        started = self._deciding_since_s is None
        if started:
            self._deciding_since_s = now
        return started

    def just_resumed(self, now: float) -> bool:
        """Whether this node has recently resumed after not running for a while."""
        return now - self._resumed_at_s < RESUME_GRACE_S or now - self._updated_at_s > SUSPENSION_S

    def counts_complete(self, now: float) -> bool:
        """Whether this node has been a decider for long enough to have received every node's totals."""
        return self._deciding_since_s is not None and now - self._deciding_since_s >= self.timeout_s

    def deciders_before(self, now: float) -> int:
        """Return how many live deciders that reach the registry rank before this node.

        Right after the start, before any decider had time to send a message, the first nodes by rank are
        assumed to be deciders.
        """
        is_start = now - self._started_at_s < self.timeout_s
        above = self._ranked[: self._ranked.index(self._own)]
        present = [node for node in above if self._is_deciding(node, now)]
        if is_start:
            present = [node for node in above[:DECIDER_COUNT] if node not in self._disconnected_at_s]
        return len(present)

    def live_nodes(self, now: float) -> frozenset[str]:
        """Return the live nodes: those that reported recently or were listed only recently."""
        reporting = {node for node, at_s in self._reported_at_s.items() if now - at_s < NODE_TIMEOUT_S}
        new = {node for node, at_s in self._listed_at_s.items() if now - at_s < NODE_TIMEOUT_S}
        return frozenset(reporting | (new & self._cores.keys()))

    def enough_nodes_report(self, now: float) -> bool:
        """Whether at least half of the listed nodes report, or have not had time to."""
        if now - self._started_at_s < self.timeout_s:
            return True
        reporting = sum(
            now - self._reported_at_s.get(node, float("-inf")) < NODE_TIMEOUT_S for node in self._cores
        )
        return 2 * reporting >= len(self._cores)

    def report_targets(self, now: float) -> tuple[str, ...]:
        """Return the nodes to report to: the current deciders, filled up to two with the next by rank."""
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
            if node not in deciding and self._may_decide_next(node, rank, now)
        ]
        return tuple((deciding + rest)[: max(DECIDER_COUNT, len(deciding))])

    @property
    def _ranked(self) -> tuple[str, ...]:
        return self._group.ranked if self._group is not None else (self._own,)

    def _is_deciding(self, node: str, now: float) -> bool:
        return now - self._connected_at_s.get(node, float("-inf")) < self.timeout_s

    def _may_decide_next(self, node: str, rank: int, now: float) -> bool:
        """Whether a node that sends no decisions may become a decider soon."""
        if node == self._own or now - self._started_at_s < self.timeout_s:
            return True
        return rank >= DECIDER_COUNT and node not in self._connected_at_s.keys() | self._disconnected_at_s

    def _start(self, now: float) -> None:
        timing = RankTiming(
            takeover_s=self.timeout_s,
            step_s=TAKEOVER_STEP_S,
            max_report_age_s=self.timeout_s,
            startup_delay_s=0.0,
            strong_startup_delay_s=0.0,
            active_nodes=DECIDER_COUNT,
        )
        self._group = RankedGroup(self._own, RANK_SUBJECT, timing, self._source, now)
        self._started_at_s = now
        self._connected_at_s.clear()
        self._disconnected_at_s.clear()
        self._reported_at_s.clear()
        self._listed_at_s.clear()
        self._set_members()

    def _set_members(self) -> None:
        if self._group is not None:
            self._group.set_members(self._cores, strong_nodes(self._cores))
        self._listed_at_s = {node: at_s for node, at_s in self._listed_at_s.items() if node in self._cores}

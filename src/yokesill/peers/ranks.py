"""Who acts first among nodes that all could: the first by rank that report.

Each node decides for itself from the reports that it receives, without a lease and without a vote. So for a
while more nodes may act than wanted: whatever acts by rank must be harmless when done twice. Watchers of
the registry only cost calls, since their reports carry the registry's positions and nobody goes back;
deciders on roll-outs write under the condition of a record's revision.
"""

import random
from collections.abc import Collection, Iterable
from typing import NamedTuple

from yokesill.rendezvous import name_hash, weight

# Nodes lose patience spread over a quarter of it, so that they don't all ask the registry in one moment;
# ``WatchTiming.within`` allows for it.
PATIENCE_SPREAD_SHARE = 0.25


class RankTiming(NamedTuple):
    """How long nodes of a ranked group wait for one another, in seconds.

    Parameters
    ----------
    takeover_s
        How long nodes above must be silent until the next in rank acts.
    step_s
        How much longer each further rank waits, so that not all take over at once.
    max_report_age_s
        How long a report may be relied on.
    startup_delay_s
        How long a starting node leaves acting to others, so that it learns first who is there.
    strong_startup_delay_s
        The same for a strong node.
    active_nodes
        How many nodes are wanted to act.
    """

    takeover_s: float
    step_s: float
    max_report_age_s: float
    startup_delay_s: float
    strong_startup_delay_s: float
    active_nodes: int


class RankedGroup:
    """One node's view of who acts in a group of nodes.

    Parameters
    ----------
    own
        This node's name.
    subject
        What the group is for: groups of other subjects rank the same nodes otherwise.
    timing
        How long to wait for whom.
    source
        Spreads over time when nodes lose patience.
    now
        The node's clock, in seconds.
    """

    def __init__(self, own: str, subject: str, timing: RankTiming, source: random.Random, now: float) -> None:
        self._own = own
        self._subject = name_hash(subject)
        self._timing = timing
        self._ranked: list[str] = [own]
        self._current_at_s: dict[str, float] = {}
        self._reported_at_s: dict[str, float] = {}
        self._started_at_s = now
        self._settled_at_s = now + timing.startup_delay_s
        self._relied_at_s = self._settled_at_s - timing.max_report_age_s / 2
        self._patience_s = (
            timing.max_report_age_s + source.random() * PATIENCE_SPREAD_SHARE * timing.max_report_age_s
        )

    def set_members(self, nodes: Iterable[str], strong: Collection[str] = ()) -> None:
        """Set the members, and which of them rank first; this node is a member in any case."""
        members = {*nodes, self._own}
        if self._own in strong:
            self._settled_at_s = min(
                self._settled_at_s, self._started_at_s + self._timing.strong_startup_delay_s
            )
        self._ranked = sorted(
            members, key=lambda node: (node not in strong, weight(name_hash(node), self._subject), node)
        )
        self._current_at_s = {node: at_s for node, at_s in self._current_at_s.items() if node in members}
        self._reported_at_s = {node: at_s for node, at_s in self._reported_at_s.items() if node in members}

    @property
    def ranked(self) -> tuple[str, ...]:
        """All members, the first by rank first."""
        return tuple(self._ranked)

    def record_report(self, node: str, current: bool, synchronised: bool, now: float) -> None:
        """Note that a node reported.

        Parameters
        ----------
        node
            Who reported.
        current
            Whether it said that it can be relied on.
        synchronised
            Whether this node now knows all that the reporter knows.
        now
            The node's clock, in seconds.
        """
        self._reported_at_s[node] = now
        if not current:
            return
        self._current_at_s[node] = now
        if synchronised:
            self._relied_at_s = now

    def reporting(self, now: float) -> dict[str, float]:
        """Return the nodes that reported lately, current or not, and when."""
        return {
            node: at_s for node, at_s in self._reported_at_s.items() if now - at_s < self._timing.takeover_s
        }

    def should_act(self, now: float) -> bool:
        """Whether this node is to act: too few current nodes above it report, and it had time to learn so."""
        return now >= self._settled_at_s and self._too_few(self._current_at_s, now)

    def has_fresh_report(self, now: float) -> bool:
        """Whether a current node's report is young enough to rely on."""
        return now - self._relied_at_s <= self._patience_s

    def should_report(self, now: float) -> bool:
        """Whether this node should report what it knows although it is not current.

        While the registry is unreachable nobody is current; few nodes need to report, for those that start
        then or have missed something.
        """
        return self._too_few(self._reported_at_s, now)

    def _too_few(self, reported_at_s: dict[str, float], now: float) -> bool:
        """Whether fewer nodes than wanted reported above this one for long enough."""
        rank = self._ranked.index(self._own)
        silence_s = self._timing.takeover_s + rank * self._timing.step_s
        if rank < self._timing.active_nodes:
            return True
        if now - self._settled_at_s < silence_s:
            return False
        above = (reported_at_s.get(node, float("-inf")) for node in self._ranked[:rank])
        return sum(now - at_s < silence_s for at_s in above) < self._timing.active_nodes

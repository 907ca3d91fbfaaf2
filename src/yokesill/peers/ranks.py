"""Selects which nodes of a group act: the first by rank among those that report.

Each node decides on its own from the reports that it receives, without a lease or a vote, so for a while more
nodes may act than intended. Actions taken by rank must therefore be harmless when done twice. Surplus
watchers of the registry only cost calls, since their reports carry the registry's positions and no node goes
back to an older one; deciders on roll-outs write on condition that the record's revision is unchanged.
"""

import random
from collections.abc import Collection, Iterable
from typing import NamedTuple

from yokesill.rendezvous import name_hash, weight

# Each node extends ``max_report_age_s`` by a random share up to this, so that not all query the registry at
# the same time; ``WatchTiming.within`` allows for it.
REPORT_AGE_JITTER = 0.25


class RankTiming(NamedTuple):
    """Timeouts of a ranked group, in seconds, and the number of nodes that act.

    Parameters
    ----------
    takeover_s
        How long higher-ranked nodes must be silent before the next in rank acts.
    step_s
        How much longer each further rank waits, so that not all take over at the same time.
    max_report_age_s
        How long a report may be relied on, before the random extension.
    startup_delay_s
        How long a starting node does not act, so that it first receives the other nodes' reports.
    strong_startup_delay_s
        The same for a strong node, one that ranks first by its capacity.
    active_nodes
        How many nodes should act.
    """

    takeover_s: float
    step_s: float
    max_report_age_s: float
    startup_delay_s: float
    strong_startup_delay_s: float
    active_nodes: int


class RankedGroup:
    """One node's view of which nodes of a group act.

    Parameters
    ----------
    own
        This node's name.
    subject
        The purpose of the group; groups with different subjects rank the same nodes differently.
    timing
        The group's timeouts.
    source
        Random source for extending ``max_report_age_s``.
    now
        The time by the node's clock, in seconds.
    """

    def __init__(self, own: str, subject: str, timing: RankTiming, source: random.Random, now: float) -> None:
        self._own = own
        self._subject = name_hash(subject)
        self._timing = timing
        self._ranked: list[str] = [own]
        self._current_at_s: dict[str, float] = {}
        self._reported_at_s: dict[str, float] = {}
        self._started_at_s = now
        self._may_act_at_s = now + timing.startup_delay_s
        self._fresh_report_at_s = self._may_act_at_s - timing.max_report_age_s / 2
        self._max_report_age_s = (
            timing.max_report_age_s + source.random() * REPORT_AGE_JITTER * timing.max_report_age_s
        )

    def set_members(self, nodes: Iterable[str], strong: Collection[str] = ()) -> None:
        """Replace the members, and which of them rank first; this node is always a member."""
        members = {*nodes, self._own}
        if self._own in strong:
            self._may_act_at_s = min(
                self._may_act_at_s, self._started_at_s + self._timing.strong_startup_delay_s
            )
        self._ranked = sorted(
            members, key=lambda node: (node not in strong, weight(name_hash(node), self._subject), node)
        )
        self._current_at_s = {node: at_s for node, at_s in self._current_at_s.items() if node in members}
        self._reported_at_s = {node: at_s for node, at_s in self._reported_at_s.items() if node in members}

    @property
    def ranked(self) -> tuple[str, ...]:
        """All members in order of rank."""
        return tuple(self._ranked)

    def record_report(self, node: str, current: bool, synchronised: bool, now: float) -> None:
        """Record a report of another node.

        Parameters
        ----------
        node
            The reporting node.
        current
            Whether the report declares itself current, that is, reliable.
        synchronised
            Whether this node now has all the state that the reporter has.
        now
            The time by the node's clock, in seconds.
        """
        self._reported_at_s[node] = now
        if not current:
            return
        self._current_at_s[node] = now
        if synchronised:
            self._fresh_report_at_s = now

    def reporting(self, now: float) -> dict[str, float]:
        """Return the nodes with a recent report, current or not, and the time of their last one."""
        return {
            node: at_s for node, at_s in self._reported_at_s.items() if now - at_s < self._timing.takeover_s
        }

    def should_act(self, now: float) -> bool:
        """Whether this node must act: its startup delay is over and too few current nodes rank above it."""
        return now >= self._may_act_at_s and self._too_few_above(self._current_at_s, now)

    def has_fresh_report(self, now: float) -> bool:
        """Whether the last report of a current node is recent enough to rely on."""
        return now - self._fresh_report_at_s <= self._max_report_age_s

    def should_report(self, now: float) -> bool:
        """Whether this node should report its state although it is not current.

        While the registry is unreachable, no node is current. Then a few nodes report, for nodes that start
        or have missed changes.
        """
        return self._too_few_above(self._reported_at_s, now)

    def _too_few_above(self, reported_at_s: dict[str, float], now: float) -> bool:
        """Whether too few higher-ranked nodes reported within this node's takeover time."""
        rank = self._ranked.index(self._own)
        silence_s = self._timing.takeover_s + rank * self._timing.step_s
        if rank < self._timing.active_nodes:
            return True
        if now - self._may_act_at_s < silence_s:
            return False
        above = (reported_at_s.get(node, float("-inf")) for node in self._ranked[:rank])
        return sum(now - at_s < silence_s for at_s in above) < self._timing.active_nodes

"""Who watches the registry for a zone: the first nodes by rank that are heard of.

Nothing guards the watchers. Two too many cost calls and a paused one does no harm, since what
they tell carries the registry's positions and nobody goes back. So no lease, no vote: a node watches
while fewer than the wanted number above it in rank report, and it relies on reports as long as
a current watcher's come; without them it asks the registry itself.
"""

import enum
import random
from collections.abc import Collection, Iterable

from yokesill.rendezvous import name_hash, weight
from yokesill.watchers.timing import WatchTiming

RANK_SUBJECT = "registry-watcher"
SPREAD_SHARE = 0.25


class Duty(enum.StrEnum):
    """What a node does to keep up with the registry.

    It watches and tells its zone, relies on what watchers tell, or asks for itself alone.
    """

    WATCHING = "watching"
    FOLLOWING = "following"
    SOLITARY = "solitary"


class WatcherGroup:
    """One node's view of who watches for its zone.

    Parameters
    ----------
    own
        This node's name.
    terms
        How long to wait for whom.
    source
        Spreads over time when nodes of a zone lose patience.
    now
        The node's clock, in seconds.
    subject
        What the group is for: groups of other subjects rank the same nodes otherwise.
    """

    def __init__(
        self,
        own: str,
        terms: WatchTiming,
        source: random.Random,
        now: float,
        subject: str = RANK_SUBJECT,
    ) -> None:
        self._own = own
        self._subject = name_hash(subject)
        self._terms = terms
        self._ranked: list[str] = [own]
        self._heard_at_s: dict[str, float] = {}
        self._seen_at_s: dict[str, float] = {}
        self._started_at_s = now
        self._settled_at_s = now + terms.settle_s
        self._relied_at_s = self._settled_at_s - terms.patience_s / 2
        self._patience_s = terms.patience_s + source.random() * SPREAD_SHARE * terms.patience_s

    def set_members(self, nodes: Iterable[str], strong: Collection[str] = ()) -> None:
        """Take which nodes are in the zone, and which of them rank first; this node counts in any case."""
        members = {*nodes, self._own}
        if self._own in strong:
            self._settled_at_s = min(self._settled_at_s, self._started_at_s + self._terms.strong_settle_s)
        self._ranked = sorted(
            members, key=lambda node: (node not in strong, weight(name_hash(node), self._subject), node)
        )
        self._heard_at_s = {node: at_s for node, at_s in self._heard_at_s.items() if node in members}
        self._seen_at_s = {node: at_s for node, at_s in self._seen_at_s.items() if node in members}

    @property
    def ranked(self) -> tuple[str, ...]:
        """All members, the first by rank first."""
        return tuple(self._ranked)

    def heard(self, node: str, current: bool, level: bool, now: float) -> None:
        """Take a report.

        Parameters
        ----------
        node
            Who reported.
        current
            Whether it said that it can be relied on.
        level
            Whether this node now knows all that the reporter knows.
        now
            The node's clock, in seconds.
        """
        self._seen_at_s[node] = now
        if not current:
            return
        self._heard_at_s[node] = now
        if level:
            self._relied_at_s = now

    def reporting(self, now: float) -> dict[str, float]:
        """Return the nodes that reported lately, and when; they live, whether or not they are current."""
        return {node: at_s for node, at_s in self._seen_at_s.items() if now - at_s < self._terms.takeover_s}

    def duty(self, now: float) -> Duty:
        """Return what this node has to do now."""
        if now >= self._settled_at_s and self._wanted(now):
            return Duty.WATCHING
        if now - self._relied_at_s <= self._patience_s:
            return Duty.FOLLOWING
        return Duty.SOLITARY

    def speaks(self, now: float) -> bool:
        """Whether this node, although it can't be relied on, should tell what it knows.

        While the registry is dark everybody watches and nobody is current; few need to speak, for
        those that start then or have missed something.
        """
        return self._too_few(self._seen_at_s, now)

    def _wanted(self, now: float) -> bool:
        """Whether fewer watchers than wanted that can be relied on reported above this node."""
        return self._too_few(self._heard_at_s, now)

    def _too_few(self, reported_at_s: dict[str, float], now: float) -> bool:
        """Whether fewer nodes than wanted reported above this one for long enough."""
        rank = self._ranked.index(self._own)
        silence_s = self._terms.takeover_s + rank * self._terms.step_s
        if rank < self._terms.watchers:
            return True
        if now - self._settled_at_s < silence_s:
            return False
        above = (reported_at_s.get(node, float("-inf")) for node in self._ranked[:rank])
        return sum(now - at_s < silence_s for at_s in above) < self._terms.watchers

"""A node's role in following the registry: watch for its zone, follow the zone's watchers, or call alone.

The zone's ``RankedGroup`` decides it, by the rule that it implements and the times of ``WatchTiming``.
"""

import enum
import random

from yokesill.peers.ranks import RankedGroup
from yokesill.watchers.timing import WatchTiming

RANK_SUBJECT = "registry-watcher"


class WatchRole(enum.StrEnum):
    """What a node does to stay up to date with the registry.

    A watching node calls the registry and reports to its zone, a following one applies the watchers' reports,
    and a solitary one calls the registry for itself only.
    """

    WATCHING = "watching"
    FOLLOWING = "following"
    SOLITARY = "solitary"


def create_group(own: str, timing: WatchTiming, source: random.Random, now: float) -> RankedGroup:
    """Return a node's view of which nodes watch for its zone."""
    return RankedGroup(own, RANK_SUBJECT, timing.ranks, source, now)


def watch_role(group: RankedGroup, now: float) -> WatchRole:
    """Return a node's current role."""
    if group.should_act(now):
        return WatchRole.WATCHING
    return WatchRole.FOLLOWING if group.has_fresh_report(now) else WatchRole.SOLITARY

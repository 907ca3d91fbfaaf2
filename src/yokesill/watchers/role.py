"""How a node keeps up with the registry: it watches for its zone, follows the zone's watchers, or asks alone.

Decided from the zone's ``RankedGroup``, which has the rule and its times (``WatchTiming``).
"""

import enum
import random

from yokesill.peers.ranks import RankedGroup
from yokesill.watchers.timing import WatchTiming

RANK_SUBJECT = "registry-watcher"


class WatchRole(enum.StrEnum):
    """What a node does to keep up with the registry.

    It watches and reports to its zone, follows what watchers report, or asks for itself alone.
    """

    WATCHING = "watching"
    FOLLOWING = "following"
    SOLITARY = "solitary"


def create_group(own: str, timing: WatchTiming, source: random.Random, now: float) -> RankedGroup:
    """Return a node's view of who watches in its zone."""
    return RankedGroup(own, RANK_SUBJECT, timing.ranks, source, now)


def watch_role(group: RankedGroup, now: float) -> WatchRole:
    """Return a node's role now."""
    if group.should_act(now):
        return WatchRole.WATCHING
    return WatchRole.FOLLOWING if group.has_fresh_report(now) else WatchRole.SOLITARY

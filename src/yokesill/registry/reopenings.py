"""Orders the reopening of an evacuated zone after what the registry knew of its servers by then.

Feeds are read apart, and servers' changes are coalesced for longer than operators'. The servers of a zone may
have turned cold shortly before its evacuation ends; a node that learnt of the end first would overrun them.
"""

from collections.abc import Callable, Collection

import anyio

from yokesill.gateway.events import EvacuationsReplaced, Event, ZoneReopened
from yokesill.logs import get_logger
from yokesill.registry.feed_states import EVACUATIONS, SERVERS, WholeFeed, changes_from_wire
from yokesill.registry.feeds import Batch
from yokesill.registry.follower import FeedFollower
from yokesill.watchers.messages import FeedReport

# Share of the bound on an evacuation for which a reopening waits for the servers; evacuations of other zones
# may wait behind it.
WAIT_SHARE = 0.2


class ServersFirst:
    """Reads the servers anew before a node that calls the registry reopens a zone.

    Parameters
    ----------
    followers
        The follower of each feed, by the feed's name.
    whole
        Returns this node's view of a whole feed, by the feed's name.
    bound_s
        Time within which a change in the registry must take effect, in seconds.
    """

    def __init__(
        self, followers: dict[str, FeedFollower], whole: Callable[[str], WholeFeed | None], bound_s: float
    ) -> None:
        self._servers = followers[SERVERS]
        self._whole = whole
        self._wait_s = WAIT_SHARE * bound_s
        self._log = get_logger("registry")
        evacuations = followers.get(EVACUATIONS)
        if evacuations is not None:
            evacuations.before_applying = self._read_servers

    async def _read_servers(self, batch: Batch) -> None:
        known = self._whole(EVACUATIONS)
        evacuated = known.zones if isinstance(known, EvacuationsReplaced) else frozenset()
        if self._servers.position is None or not any(_reopens(each, evacuated) for each in batch.events):
            return
        with anyio.move_on_after(self._wait_s) as wait:
            await self._servers.read_anew()
        if wait.cancelled_caught:
            self._log.warning("servers_not_read", position=batch.position.revision)


def awaits_servers(report: FeedReport, behind: Collection[FeedReport]) -> bool:
    """Return whether a report may reopen a zone, and this node is ``behind`` with its servers.

    Reporters read the servers before they report a reopening, so that the reported position of the servers
    holds all that was known of them by then.
    """
    if report.feed != EVACUATIONS or not any(each.feed == SERVERS for each in behind):
        return False
    if report.changes is None:
        return True
    changes = changes_from_wire(report.changes, report.timeline)
    return any(isinstance(event, ZoneReopened) for event in changes)


def _reopens(event: Event, evacuated: frozenset[str]) -> bool:
    """Return whether an event reopens a zone; a whole list reopens those of ``evacuated`` not in it."""
    if isinstance(event, EvacuationsReplaced):
        return not evacuated <= event.zones
    return isinstance(event, ZoneReopened)

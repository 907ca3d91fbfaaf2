"""Brings a node's feeds up to date with what the zone's watchers report, by changes or by a whole feed.

A report's changes apply if this node's position lies in their range. A node at an older position, or whose
view differs from a current watcher's at the same position, fetches the whole feed from the reporter. A node
that watches lists the feed from the registry if its view differs.
"""

import random
from collections.abc import Awaitable, Callable

import anyio
import anyio.abc

from yokesill.logs import Logger
from yokesill.registry.feed_states import CONFIGURATION, SERVERS, changes_from_wire, decode_state
from yokesill.registry.feeds import Batch, NodeContact
from yokesill.registry.follower import FeedFollower
from yokesill.registry.view_check import ViewCheck
from yokesill.verdict import Failure
from yokesill.watchers.messages import FeedReport

# Nodes that are behind all fetch from the same reporter, so their calls are spread over this time.
FETCH_SPREAD_S = 0.04

Fetch = Callable[[str, str], Awaitable[bytes | Failure]]


class FeedCatchUp:
    """Applies reports to a node's feeds and fetches whole feeds that reports left out.

    Parameters
    ----------
    followers
        The follower of each feed, by the feed's name.
    view
        Compares this node's feeds with the reported ones.
    fetch
        Fetches a feed by its name from the node at ``IP:PORT``.
    source
        Random source that spreads simultaneous calls of many nodes.
    log
        Logs each fetched feed.
    """

    def __init__(
        self,
        followers: dict[str, FeedFollower],
        view: ViewCheck,
        fetch: Fetch,
        source: random.Random,
        log: Logger,
    ) -> None:
        self._followers = followers
        self._view = view
        self._fetch = fetch
        self._random = source
        self._log = log
        self._fetching: set[str] = set()

    def apply(self, report: FeedReport) -> bool:
        """Apply a feed's changes; return whether this node has now reached the reporter's position.

        Raises
        ------
        ValueError
            The feed or a change is unknown.
        """
        follower = self._followers.get(report.feed)
        if follower is None:
            raise ValueError(f"unknown feed {report.feed!r}")
        changes = changes_from_wire(report.changes or (), report.timeline)
        return follower.apply_changes(report.start, Batch(report.position, changes))

    def observe_timeline(self, report: FeedReport) -> None:
        """Record the registry's timeline from a report, for all feeds of this node."""
        follower = self._followers.get(report.feed)
        if follower is not None:
            follower.observe_timeline(report.timeline)

    def outdated(self, report: FeedReport) -> bool:
        """Return whether the reporter hasn't detected yet that the registry was restored from an older copy.

        A release without timelines never detects it, so its reports are always outdated if the registry has
        a timeline.
        """
        follower = self._followers.get(report.feed)
        known = follower.position if follower is not None else None
        return known is not None and report.timeline < known.timeline

    def schedule_fetch(
        self, feed: str, member: NodeContact, tasks: anyio.abc.TaskGroup, repair: bool = False
    ) -> None:
        """Start fetching a whole feed from a reporter unless a fetch of it is already in progress."""
        if feed not in self._fetching:
            self._fetching.add(feed)
            tasks.start_soon(self._fetch_whole, feed, member, repair)

    def repair(
        self, feed: str, member: NodeContact, tasks: anyio.abc.TaskGroup, watching: bool, now: float
    ) -> None:
        """Replace a feed that differs from a current watcher's: from the registry if this node watches.

        A configuration is always fetched from the watcher: the later version applies whatever its source.
        """
        if not self._view.repair_due(feed, now):
            return
        follower = self._followers[feed]
        self._log.warning("view_differs", feed=feed, node=member.node, position=list(follower.position or ()))
        if feed == CONFIGURATION or not (watching and follower.request_relist()):
            self.schedule_fetch(feed, member, tasks, repair=True)

    def relist_missing_servers(self, now: float) -> None:
        """List the servers again if the configuration names services that no listed server belongs to."""
        missing = self._view.services_to_relist(now)
        if missing and self._followers[SERVERS].request_relist():
            self._log.info("services_without_servers", count=len(missing), first=missing[0])

    async def _fetch_whole(self, name: str, member: NodeContact, repair: bool) -> None:
        """Fetch a whole feed; the next report shows whether this node has caught up."""
        try:
            await anyio.sleep(FETCH_SPREAD_S * self._random.random())
            data = await self._fetch(member.peers, name)
            if isinstance(data, Failure):
                self._log.info("feed_not_told", feed=name, node=member.node, reason=data.reason)
                return
            batch = decode_state(data)
            self._followers[name].apply_whole(batch, repair)
            self._log.info("feed_told", feed=name, node=member.node, position=batch.position.revision)
        except ValueError as error:
            self._log.warning("feed_rejected", feed=name, node=member.node, problem=str(error))
        finally:
            self._fetching.discard(name)

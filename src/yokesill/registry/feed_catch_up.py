"""Brings a node's feeds up to what a zone's watchers report: by their changes, or by a whole feed.

A report's changes apply where this node's position lies between theirs. A node that is older, or whose view
differs from a current watcher's at the same position, fetches the whole feed from the reporter; one that
watches lists the registry anew instead.
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

# All nodes of a zone that are behind fetch from the same reporter: they do so spread over this time.
FETCH_SPREAD_S = 0.04

Fetch = Callable[[str, str], Awaitable[bytes | Failure]]


class FeedCatchUp:
    """Applies reports to a node's feeds, and fetches what they left out.

    Parameters
    ----------
    followers
        What follows each feed, by the feed's name.
    view
        Compares this node's feeds with what others report.
    fetch
        Ask the node at ``IP:PORT`` for the feed of a name.
    source
        Spreads what many nodes do at one moment.
    log
        Gets a line for each whole feed.
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
        """Apply a feed's changes; return whether this node now knows as much as the reporter.

        Raises
        ------
        ValueError
            The feed or a change is unknown.
        """
        follower = self._followers.get(report.feed)
        if follower is None:
            raise ValueError(f"a feed {report.feed!r}")
        changes = changes_from_wire(report.changes or (), report.timeline)
        return follower.apply_changes(report.start, Batch(report.position, changes))

    def timeline_told(self, report: FeedReport) -> None:
        """Take a report as news of the registry's timeline, for all feeds of this node."""
        follower = self._followers.get(report.feed)
        if follower is not None:
            follower.timeline_told(report.timeline)

    def outdated(self, report: FeedReport) -> bool:
        """Whether the reporter has not noticed yet that the registry came back from an older copy.

        A release that names no timeline never notices: it is not relied on where the registry names one.
        """
        follower = self._followers.get(report.feed)
        known = follower.position if follower is not None else None
        return known is not None and report.timeline < known.timeline

    def fetch_soon(
        self, feed: str, member: NodeContact, tasks: anyio.abc.TaskGroup, repair: bool = False
    ) -> None:
        """Fetch a whole feed from a reporter, unless that is under way."""
        if feed not in self._fetching:
            self._fetching.add(feed)
            tasks.start_soon(self._fetch_whole, feed, member, repair)

    def repair(
        self, feed: str, member: NodeContact, tasks: anyio.abc.TaskGroup, watching: bool, now: float
    ) -> None:
        """Replace a feed that a current watcher knows otherwise: from the registry if this node watches.

        A configuration comes from the watcher in any case: a later version stands whoever tells it.
        """
        if not self._view.may_repair(feed, now):
            return
        follower = self._followers[feed]
        self._log.warning("view_differs", feed=feed, node=member.node, position=list(follower.position or ()))
        if feed == CONFIGURATION or not (watching and follower.list_anew()):
            self.fetch_soon(feed, member, tasks, repair=True)

    def list_missing_servers(self, now: float) -> None:
        """List the servers anew if the configuration names services that nobody lists."""
        missing = self._view.suspected_hole(now)
        if missing and self._followers[SERVERS].list_anew():
            self._log.info("services_without_servers", count=len(missing), first=missing[0])

    async def _fetch_whole(self, name: str, member: NodeContact, repair: bool) -> None:
        """Fetch a whole feed; the next report shows whether that was enough."""
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

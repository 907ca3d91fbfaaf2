"""Keeps a node up to date through its zone's watchers, and reports to the zone while it is a watcher itself.

A watcher reads the registry's feeds and reports to every node of its zone: immediately when it has read
changes, and at a fixed interval as a heartbeat. A report carries positions, by which a node detects that it
missed changes and fetches the whole feed from the reporter over HTTP. ``peers/ranks`` decides which nodes
watch, by the times of ``watchers/timing``.
"""

import random
from collections.abc import Awaitable, Callable, Iterable

import anyio

from yokesill.gateway.forwarding import Coordinator
from yokesill.logs import get_logger
from yokesill.peers.capacity_rank import strong_nodes
from yokesill.registry.feed_catch_up import FeedCatchUp, Fetch
from yokesill.registry.feed_reports import FeedReports
from yokesill.registry.feed_states import WholeFeed
from yokesill.registry.feeds import NodeContact
from yokesill.registry.follower import FeedFollower
from yokesill.registry.view_check import ViewCheck
from yokesill.watchers.messages import FeedReport, Report, decode_report, encode_report
from yokesill.watchers.role import WatchRole, create_group, watch_role
from yokesill.watchers.timing import WatchTiming

# How often a node updates its role within one report interval.
ROLE_CHECKS_PER_REPORT = 2

Send = Callable[[str, bytes], Awaitable[None]]


class ZoneWatch:
    """One node's part in watching the registry for its zone.

    Parameters
    ----------
    own
        This node's contact.
    followers
        The follower of each feed, by the feed's name.
    whole
        Returns this node's view of a whole feed, by the feed's name; ``None`` before the first list.
    send
        Sends a datagram to ``IP:PORT``.
    fetch
        Fetches a feed by its name from the node at ``IP:PORT``.
    timing
        Intervals and timeouts.
    source
        Random source that spreads simultaneous calls of many nodes.
    """

    def __init__(
        self,
        own: NodeContact,
        followers: dict[str, FeedFollower],
        whole: Callable[[str], WholeFeed | None],
        send: Send,
        fetch: Fetch,
        timing: WatchTiming,
        source: random.Random,
    ) -> None:
        self.role = WatchRole.FOLLOWING
        self._own = own
        self._followers = followers
        self._send = send
        self._timing = timing
        self._group = create_group(own.node, timing, source, anyio.current_time())
        self._members: dict[str, NodeContact] = {}
        self._strong: frozenset[str] = frozenset()
        self._report_requested = anyio.Event()
        self._reported_at_s = float("-inf")
        self._reported_current = False
        self._log = get_logger("watch")
        self._view = ViewCheck(followers, whole)
        self._reports = FeedReports(followers, whole, self._view, self._wake)
        self._catch_up = FeedCatchUp(followers, self._view, fetch, source, self._log)

    # --- members ---

    def set_members(self, contacts: Iterable[NodeContact]) -> None:
        """Replace the known nodes; nodes of other zones are ignored, since they have their own watchers."""
        self._members = {
            each.node: each
            for each in contacts
            if each.zone == self._own.zone and each.reports and each.node != self._own.node
        }
        cores = {each.node: each.cores for each in (self._own, *self._members.values())}
        self._strong = strong_nodes(cores)
        self._group.set_members(self._members, self._strong)

    def is_member(self, host: str) -> bool:
        """Return whether a host is another node of this zone."""
        return any(each.peers.rpartition(":")[0] == host for each in self._members.values())

    def coordinators(self) -> dict[str, Coordinator]:
        """Return the coordinators of wide requests for this node: the strong nodes that report.

        Strong nodes rank first among the watchers, so their reports also show that they are alive and which
        position of the registry they have reached. A strong node has no coordinator.
        """
        if self._own.node in self._strong:
            return {}
        reporting = self._group.reporting(anyio.current_time())
        return {
            node: Coordinator(self._members[node].peers, at_s)
            for node, at_s in reporting.items()
            if node in self._strong and node in self._members
        }

    async def run(self) -> None:
        """Act according to this node's role until cancelled."""
        async with anyio.create_task_group() as self._tasks:
            pause_s = self._timing.report_interval_s / ROLE_CHECKS_PER_REPORT
            while True:
                # Reset before reporting: changes that are read while a report is sent request another one.
                self._report_requested = anyio.Event()
                self._set_role(watch_role(self._group, anyio.current_time()))
                if self.role is WatchRole.WATCHING:
                    await self._report_if_due()
                    self._catch_up.relist_missing_servers(anyio.current_time())
                else:
                    self._reports.drop_pending()
                with anyio.move_on_after(pause_s):
                    await self._report_requested.wait()

    def _set_role(self, role: WatchRole) -> None:
        if role is not self.role:
            positions = {name: each.revision for name, each in self._followers.items()}
            self._log.info("duty", before=self.role, duty=role, positions=positions)
            self.role = role
        for follower in self._followers.values():
            follower.set_watching(role is not WatchRole.FOLLOWING)

    # --- reporting ---

    def state(self, name: str) -> bytes | None:
        """Return this node's view of a whole feed, encoded for another node; ``None`` if it has none."""
        return self._reports.state(name)

    def _wake(self) -> None:
        self._report_requested.set()

    async def _report_if_due(self) -> None:
        """Report changes immediately, and a heartbeat at each interval while other nodes benefit from it."""
        now = anyio.current_time()
        current = self._is_current(now)
        useful = current or self._group.should_report(now)
        quiet = now - self._reported_at_s < self._timing.report_interval_s or not useful
        if quiet and not self._reports.pending and current == self._reported_current:
            return
        self._reported_at_s, self._reported_current = now, current
        feeds = self._reports.drain(now)
        if not feeds:
            return
        data = encode_report(Report(self._own.node, current, feeds))
        for member in list(self._members.values()):
            await self._send(member.reports, data)

    def _is_current(self, now: float) -> bool:
        """Return whether others can rely on this node: its views of all feeds are current."""
        since_s = now - self._timing.age_limit_s
        return all(each.is_current(since_s) for each in self._followers.values())

    # --- receiving ---

    def receive(self, data: bytes, sender: str, now: float) -> None:
        """Apply a report from ``sender`` (``IP:PORT``); reports from outside this zone's nodes are ignored.

        Raises
        ------
        ValueError
            The datagram is not a report, or has a feed or a change that is unknown to this node.
        """
        report = decode_report(data)
        member = self._members.get(report.node)
        if member is None or member.reports != sender:
            return
        for each in report.feeds:
            self._catch_up.observe_timeline(each)
        behind = self._apply_feeds(report)
        current = report.current and not any(map(self._catch_up.outdated, report.feeds))
        if len(report.feeds) == len(self._followers):
            self._group.record_report(report.node, current, not behind, now)
        for each in behind:
            self._catch_up.schedule_fetch(each.feed, member, self._tasks)
        watching = self.role is WatchRole.WATCHING
        for each in report.feeds:
            if current and self._view.differs(each.feed, each.position, each.digest, now):
                self._catch_up.repair(each.feed, member, self._tasks, watching, now)

    def _apply_feeds(self, report: Report) -> list[FeedReport]:
        """Apply a report's feeds; return those that are to be fetched."""
        return [each for each in report.feeds if not self._catch_up.apply(each)]

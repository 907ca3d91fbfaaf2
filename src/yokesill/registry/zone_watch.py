"""Keeps a node up to date through its zone's watchers, and tells the zone while the node is one.

A watcher reads the registry's feeds and reports to every node of its zone: at once when it read
something, and at a steady interval as a sign of life. A report carries positions, so a node sees
that it missed something and asks the reporter for the whole feed over HTTP.
"""

import random
from collections.abc import Awaitable, Callable, Iterable
from functools import partial

import anyio

from yokesill.gateway.forwarding import Coordinator
from yokesill.logs import get_logger
from yokesill.peers.capacity_rank import strong_nodes
from yokesill.registry.feed_states import (
    SERVERS,
    WholeFeed,
    changes_from_wire,
    changes_to_wire,
    decode_state,
    encode_state,
)
from yokesill.registry.feeds import Batch, NodeContact
from yokesill.registry.follower import FeedFollower
from yokesill.registry.view_check import ViewCheck
from yokesill.verdict import Failure
from yokesill.watchers.digests import NOT_COMPARED
from yokesill.watchers.messages import FeedReport, Report, decode_report, encode_report
from yokesill.watchers.role import WatchRole, create_group, watch_role
from yokesill.watchers.timing import WatchTiming

TICKS_PER_REPORT = 2
FETCH_SPREAD_S = 0.04

Send = Callable[[str, bytes], Awaitable[None]]
Fetch = Callable[[str, str], Awaitable[bytes | Failure]]


class ZoneWatch:
    """One node's part in watching the registry for its zone.

    Parameters
    ----------
    own
        This node.
    followers
        What follows each feed, by the feed's name.
    whole
        Return a whole feed as this node knows it, by its name; ``None`` while it knows nothing.
    send
        Send a datagram to ``IP:PORT``.
    fetch
        Ask the node at ``IP:PORT`` for the feed of a name.
    terms
        How long to wait for whom.
    source
        Spreads what many nodes do at one moment.
    """

    def __init__(
        self,
        own: NodeContact,
        followers: dict[str, FeedFollower],
        whole: Callable[[str], WholeFeed | None],
        send: Send,
        fetch: Fetch,
        terms: WatchTiming,
        source: random.Random,
    ) -> None:
        self.role = WatchRole.FOLLOWING
        self._own = own
        self._followers = followers
        self._whole = whole
        self._send = send
        self._fetch = fetch
        self._terms = terms
        self._random = source
        self._group = create_group(own.node, terms, source, anyio.current_time())
        self._members: dict[str, NodeContact] = {}
        self._strong: frozenset[str] = frozenset()
        self._unreported: dict[str, FeedReport] = {}
        self._report_wanted = anyio.Event()
        self._reported_at_s = float("-inf")
        self._reported_current = False
        self._fetching: set[str] = set()
        self._view = ViewCheck(followers, whole)
        self._states: dict[str, tuple[tuple[int, int], bytes]] = {}
        self._log = get_logger("watch")
        for name, follower in followers.items():
            follower.on_read = partial(self._has_read, name)

    # --- who is there ---

    def set_members(self, contacts: Iterable[NodeContact]) -> None:
        """Take which nodes there are; those of other zones have watchers of their own."""
        self._members = {
            each.node: each
            for each in contacts
            if each.zone == self._own.zone and each.reports and each.node != self._own.node
        }
        cores = {each.node: each.cores for each in (self._own, *self._members.values())}
        self._strong = strong_nodes(cores)
        self._group.set_members(self._members, self._strong)

    def is_member(self, host: str) -> bool:
        """Whether a host is another node of this zone."""
        return any(each.peers.rpartition(":")[0] == host for each in self._members.values())

    def coordinators(self) -> dict[str, Coordinator]:
        """Return the nodes that gather wide requests for this one: the strong ones that report.

        Strong nodes rank first among the watchers, so that each report says that one lives and how
        far it knows the registry. A strong node has none.
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
        """Do what this node's role is until cancelled."""
        async with anyio.create_task_group() as self._tasks:
            pause_s = self._terms.report_interval_s / TICKS_PER_REPORT
            while True:
                # Before reporting: what is read while a report goes out asks for another one.
                self._report_wanted = anyio.Event()
                self._take_up(watch_role(self._group, anyio.current_time()))
                if self.role is WatchRole.WATCHING:
                    await self._report_if_due()
                    self._look_for_holes(anyio.current_time())
                else:
                    self._unreported.clear()
                with anyio.move_on_after(pause_s):
                    await self._report_wanted.wait()

    def _take_up(self, role: WatchRole) -> None:
        if role is not self.role:
            positions = {name: each.position for name, each in self._followers.items()}
            self._log.info("duty", before=self.role, duty=role, positions=positions)
            self.role = role
        for follower in self._followers.values():
            follower.set_watching(role is not WatchRole.FOLLOWING)

    # --- telling ---

    def _has_read(self, name: str, before: int, batch: Batch) -> None:
        """Tell the zone what was read; what a report that was not sent yet told goes along whole."""
        changes = changes_to_wire(batch.events) if name not in self._unreported else None
        start = batch.position if changes is None else before
        self._unreported[name] = FeedReport(name, start, batch.position, changes)
        self._report_wanted.set()

    async def _report_if_due(self) -> None:
        """Report news at once, and a sign of life now and then while that is of use to others."""
        now = anyio.current_time()
        current = self._current(now)
        useful = current or self._group.should_report(now)
        quiet = now - self._reported_at_s < self._terms.report_interval_s or not useful
        if quiet and not self._unreported and current == self._reported_current:
            return
        self._reported_at_s, self._reported_current = now, current
        feeds = self._feed_reports(now)
        self._unreported.clear()
        if not feeds:
            return
        data = encode_report(Report(self._own.node, current, feeds))
        for member in list(self._members.values()):
            await self._send(member.reports, data)

    def _feed_reports(self, now: float) -> tuple[FeedReport, ...]:
        reports = (
            self._unreported.get(name, FeedReport(name, each.position, each.position))
            for name, each in self._followers.items()
            if each.position is not None
        )
        return tuple(each._replace(digest=self._digest(each, now)) for each in reports)

    def _digest(self, report: FeedReport, now: float) -> int:
        """Return the digest that belongs to a report; more may have been told since it was read."""
        up_to_it = self._followers[report.feed].position == report.position
        return self._view.digest(report.feed, now) if up_to_it else NOT_COMPARED

    def _current(self, now: float) -> bool:
        """Whether others can rely on this node: the registry answers, and did so lately."""
        followers = self._followers.values()
        confirmed_at_s = max(each.confirmed_at_s for each in followers)
        known = all(each.connected and each.position is not None for each in followers)
        return known and now - confirmed_at_s < self._terms.age_limit_s

    def state(self, name: str) -> bytes | None:
        """Return a whole feed as this node knows it, for another node; ``None`` if it knows none."""
        follower = self._followers.get(name)
        if follower is None or follower.position is None:
            return None
        at = (follower.position, self._view.digest(name, anyio.current_time()))
        known = self._states.get(name)
        if known is None or known[0] != at:
            whole = self._whole(name)
            if whole is None:
                return None
            known = self._states[name] = (at, encode_state(whole, follower.position))
        return known[1]

    # --- receiving ---

    def receive(self, data: bytes, sender: str, now: float) -> None:
        """Read a report from ``sender`` (``IP:PORT``); other senders than nodes of this zone are ignored.

        Raises
        ------
        ValueError
            It is no report, or names a feed or a change that this node does not know.
        """
        report = decode_report(data)
        member = self._members.get(report.node)
        if member is None or member.reports != sender:
            return
        behind = [each for each in report.feeds if not self._apply(each)]
        if len(report.feeds) == len(self._followers):
            self._group.received(report.node, report.current, not behind, now)
        for each in behind:
            self._fetch_soon(each.feed, member, False)
        for each in report.feeds:
            if report.current and self._view.differs(each.feed, each.position, each.digest, now):
                self._repair(each.feed, member, now)

    def _fetch_soon(self, feed: str, member: NodeContact, repair: bool) -> None:
        if feed not in self._fetching:
            self._fetching.add(feed)
            self._tasks.start_soon(self._fetch_whole, feed, member, repair)

    def _repair(self, feed: str, member: NodeContact, now: float) -> None:
        """Take a feed anew that a current watcher knows otherwise: from the registry, or from it."""
        if not self._view.may_repair(feed, now):
            return
        follower = self._followers[feed]
        self._log.warning("view_differs", feed=feed, node=member.node, position=follower.position)
        if not (self.role is WatchRole.WATCHING and follower.list_anew()):
            self._fetch_soon(feed, member, True)

    def _look_for_holes(self, now: float) -> None:
        """List the servers anew if nobody lists some that the configuration names."""
        missing = self._view.suspected_hole(now)
        if missing and self._followers[SERVERS].list_anew():
            self._log.info("services_without_servers", count=len(missing), first=missing[0])

    def _apply(self, report: FeedReport) -> bool:
        """Take a feed's changes; return whether this node now knows as much as the reporter."""
        follower = self._followers.get(report.feed)
        if follower is None:
            raise ValueError(f"a feed {report.feed!r}")
        changes = changes_from_wire(report.changes or ())
        return follower.apply_changes(report.before, Batch(report.position, changes))

    async def _fetch_whole(self, name: str, member: NodeContact, repair: bool) -> None:
        """Ask a reporter for a whole feed; the next report tells whether that was enough."""
        try:
            await anyio.sleep(FETCH_SPREAD_S * self._random.random())
            data = await self._fetch(member.peers, name)
            if isinstance(data, Failure):
                self._log.info("feed_not_told", feed=name, node=member.node, reason=data.reason)
                return
            batch = decode_state(data)
            self._followers[name].apply_whole(batch, repair)
            self._log.info("feed_told", feed=name, node=member.node, position=batch.position)
        except ValueError as error:
            self._log.warning("feed_rejected", feed=name, node=member.node, problem=str(error))
        finally:
            self._fetching.discard(name)

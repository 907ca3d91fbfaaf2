"""Keeps a node up to date with all feeds of the registry, through its zone's watchers or by its own calls.

Owns one ``FeedFollower`` per feed and, if nodes can reach one another, the ``ZoneWatch`` that decides which
nodes call the registry. ``watchers`` derives the timeouts from the settings' bounds.
"""

import random
from collections.abc import Callable, Iterable
from typing import NamedTuple

import anyio

from yokesill.gateway.events import (
    EvacuationsReplaced,
    Event,
    QuarantineReplaced,
    RolloutsReplaced,
    ServersReplaced,
)
from yokesill.gateway.forwarding import Coordinator
from yokesill.registry.availability import RegistryAvailability
from yokesill.registry.feed_states import EVACUATIONS, QUARANTINE, ROLLOUTS, SERVERS, WholeFeed
from yokesill.registry.feeds import Feed, NodeContact, ReadPosition
from yokesill.registry.follower import FeedFollower
from yokesill.registry.position_check import PositionCheck
from yokesill.registry.reopenings import ReopenedZones
from yokesill.registry.watch_link import WatchLink
from yokesill.registry.zone_watch import ZoneWatch
from yokesill.serving.settings import GatewaySettings
from yokesill.supervision import Supervisor
from yokesill.watchers.role import WatchRole
from yokesill.watchers.timing import WatchTiming

# Pause after a batch of operators' changes, which are few and whose bound counts from the registry's answer.
OPERATOR_COALESCE_S = 0.3
# The feeds of events that replace a whole list. A configuration isn't one: the router applies the newer
# version.
FEED_BY_LIST_EVENT: dict[type, str] = {
    ServersReplaced: SERVERS,
    EvacuationsReplaced: EVACUATIONS,
    RolloutsReplaced: ROLLOUTS,
    QuarantineReplaced: QUARANTINE,
}


class FollowedFeed(NamedTuple):
    """A feed and the function that applies its events."""

    feed: Feed
    apply_event: Callable[[Event], None]


class RegistryFollowing:
    """The followers of all feeds and the watch that keeps them up to date.

    Parameters
    ----------
    settings
        The node's addresses and the bounds to keep.
    feeds
        The feeds to follow, by the names that nodes use for them in reports.
    whole
        Returns this node's view of a whole feed, by the feed's name; ``None`` before the first list.
    few_watchers
        Whether only a few nodes of the zone call the registry and report to the others.
    source
        Random source that spreads the calls of many nodes over time.
    supervisor
        Restarts each feed independently of the others.
    read_position
        Reads the registry's position, for checks of all feeds; without it nothing is checked.

    Notes
    -----
    ``on_restored`` is called when the registry was restored from an older copy and may have lost what this
    node wrote recently.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        feeds: dict[str, FollowedFeed],
        whole: Callable[[str], WholeFeed | None],
        few_watchers: bool,
        source: random.Random,
        supervisor: Supervisor | None = None,
        read_position: ReadPosition | None = None,
    ) -> None:
        self._supervisor = supervisor or Supervisor()
        shared = few_watchers and settings.reports is not None and settings.peers is not None
        timing = WatchTiming.within(settings.change_bound_s)
        self.contact = _contact(settings)
        self.on_restored: Callable[[], None] = lambda: None
        self._restored_timeline = 0
        self._followers: dict[str, FeedFollower] = {}
        availability = RegistryAvailability()
        for name, (feed, apply_event) in feeds.items():
            gathering_s = settings.coalescing_delay_s if name == SERVERS else OPERATOR_COALESCE_S
            self._followers[name] = FeedFollower(
                feed,
                apply_event,
                gathering_s,
                source,
                watching=not shared,
                availability=availability,
            )
            self._followers[name].on_restored = self._notify_restored
        self._check: PositionCheck | None = None
        if read_position is not None:
            followers = self._followers.values()
            interval_s = timing.check_interval_s
            self._check = PositionCheck(followers, read_position, interval_s, availability, source)
        ReopenedZones(self._followers, whole, feeds[SERVERS].apply_event)
        self._watch: ZoneWatch | None = None
        if shared and settings.reports is not None:
            self._link = WatchLink(settings.reports)
            transport = (self._link.send, self._link.fetch)
            self._watch = ZoneWatch(self.contact, self._followers, whole, *transport, timing, source)

    @property
    def calls(self) -> int:
        """Number of calls made to follow the registry."""
        checks = 0 if self._check is None else self._check.calls
        return checks + sum(each.calls for each in self._followers.values())

    @property
    def role(self) -> str:
        """This node's role in following the registry; empty if nodes don't watch for one another."""
        return "" if self._watch is None else self._watch.role

    @property
    def reaches_registry(self) -> bool:
        """Whether the registry answers this node or this node doesn't call it."""
        return not any(each.lost for each in self._followers.values())

    @property
    def calls_registry(self) -> bool:
        """Whether this node calls the registry itself and it answers."""
        return all(each.connected for each in self._followers.values()) and self.role != WatchRole.FOLLOWING

    def revisions(self) -> dict[str, int]:
        """Return the revision up to which each feed is known; 0 before the first list."""
        return {name: each.revision or 0 for name, each in self._followers.items()}

    async def run(self) -> None:
        """Follow all feeds until cancelled."""
        async with anyio.create_task_group() as task_group:
            keep_running = self._supervisor.keep_running
            for name, follower in self._followers.items():
                task_group.start_soon(keep_running, f"feed_{name}", follower.run)
            if self._check is not None:
                task_group.start_soon(keep_running, "registry_check", self._check.run)
            if self._watch is not None:
                task_group.start_soon(keep_running, "watch", self._link.run, self._watch, self._watch_alone)

    def awaits_first_answer(self, event: Event) -> bool:
        """Return whether the registry hasn't answered yet for the feed of a peer's event.

        Afterwards peers' events are not applied: a peer's list may be older than the one known here, and
        changes continue the registry's list.
        """
        follower = self._followers.get(FEED_BY_LIST_EVENT.get(type(event), ""))
        return follower is None or follower.position is None

    def set_nodes(self, contacts: Iterable[NodeContact]) -> None:
        """Replace the list of known nodes."""
        if self._watch is not None:
            self._watch.set_members(contacts)

    def is_member(self, host: str) -> bool:
        """Return whether a host is another node of this zone."""
        return self._watch is not None and self._watch.is_member(host)

    def coordinators(self) -> dict[str, Coordinator]:
        """Return the nodes that gather wide requests for this one."""
        return {} if self._watch is None else self._watch.coordinators()

    def state(self, feed: str) -> bytes | None:
        """Return a whole feed, encoded for another node; ``None`` if it is not known here."""
        return None if self._watch is None else self._watch.state(feed)

    def _notify_restored(self, timeline: int) -> None:
        """Call ``on_restored`` once per timeline, for the first feed that detects it."""
        if timeline != self._restored_timeline:
            self._restored_timeline = timeline
            self.on_restored()

    def _watch_alone(self) -> None:
        for follower in self._followers.values():
            follower.set_watching(True)


def _contact(settings: GatewaySettings) -> NodeContact:
    addresses = (settings.datagrams, settings.reports, settings.peers)
    datagrams, reports, peers = (str(each or "") for each in addresses)
    rollouts = str(settings.rollout_datagrams or "")
    return NodeContact(settings.node, settings.zone, datagrams, reports, peers, settings.cores, rollouts)

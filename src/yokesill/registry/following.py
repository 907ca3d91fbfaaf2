"""Keeps a node up to date with all feeds of the registry, through its zone's watchers or by itself.

Owns one ``FeedFollower`` a feed and, where nodes can reach one another, the ``ZoneWatch`` that decides which
nodes call the registry. Relies on ``watchers`` for timing within the settings' bounds.
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
from yokesill.registry.feeds import Feed, NodeContact
from yokesill.registry.follower import FeedFollower
from yokesill.registry.watch_link import WatchLink
from yokesill.registry.zone_watch import ZoneWatch
from yokesill.serving.settings import GatewaySettings
from yokesill.supervision import Supervisor
from yokesill.watchers.timing import WatchTiming

# Pause after a batch of operators' changes: they are few, and their bound counts from the registry's answer.
OPERATORS_GATHERING_S = 0.3
# Events that replace a whole list, by feed. A configuration isn't one: the router applies the newer version.
FEEDS_OF_LISTS: dict[type, str] = {
    ServersReplaced: SERVERS,
    EvacuationsReplaced: EVACUATIONS,
    RolloutsReplaced: ROLLOUTS,
    QuarantineReplaced: QUARANTINE,
}


class FollowedFeed(NamedTuple):
    """A feed, and what applies its events."""

    feed: Feed
    apply_event: Callable[[Event], None]


class RegistryFollowing:
    """The followers of all feeds, and what keeps them up to date.

    Parameters
    ----------
    settings
        Where nodes reach one another, and the bounds to keep.
    feeds
        What is followed, by the names under which nodes tell one another of it.
    whole
        Return a whole feed as this node knows it, by its name; ``None`` while it knows nothing.
    few_watchers
        Whether only a few nodes of the zone ask the registry and tell the others.
    source
        Spreads the calls of many nodes over time.
    supervisor
        Keeps each feed going whatever becomes of the others.

    Notes
    -----
    ``on_restored`` is called when the registry has come back from an older copy: what this node wrote to it
    lately may be gone.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        feeds: dict[str, FollowedFeed],
        whole: Callable[[str], WholeFeed | None],
        few_watchers: bool,
        source: random.Random,
        supervisor: Supervisor | None = None,
    ) -> None:
        self._supervisor = supervisor or Supervisor()
        shared = few_watchers and settings.reports is not None and settings.peers is not None
        terms = WatchTiming.within(settings.change_bound_s)
        check_s = terms.check_interval_s if shared else settings.check_interval_s
        self.contact = _contact(settings)
        self.on_restored: Callable[[], None] = lambda: None
        self._restored_timeline = 0
        self._followers: dict[str, FeedFollower] = {}
        reach = RegistryAvailability()
        for name, (feed, apply_event) in feeds.items():
            gathering_s = settings.gathering_time_s if name == SERVERS else OPERATORS_GATHERING_S
            self._followers[name] = FeedFollower(
                feed, apply_event, gathering_s, source, check_s, watching=not shared, reach=reach
            )
            self._followers[name].on_restored = self._restored
        self._watch: ZoneWatch | None = None
        if shared and settings.reports is not None:
            self._link = WatchLink(settings.reports)
            carried = (self._link.send, self._link.fetch)
            self._watch = ZoneWatch(self.contact, self._followers, whole, *carried, terms, source)

    @property
    def calls(self) -> int:
        """How many calls of the registry were made to follow it."""
        return sum(each.calls for each in self._followers.values())

    @property
    def role(self) -> str:
        """What this node does to keep up; empty where nodes don't watch for one another."""
        return "" if self._watch is None else self._watch.role

    @property
    def reaches_registry(self) -> bool:
        """Whether the registry answers this node, or this node doesn't call it."""
        return not any(each.lost for each in self._followers.values())

    def revisions(self) -> dict[str, int]:
        """Return up to which revision each feed is known; 0 while nothing is."""
        return {name: each.revision or 0 for name, each in self._followers.items()}

    async def run(self) -> None:
        """Keep up until cancelled."""
        async with anyio.create_task_group() as task_group:
            keep_running = self._supervisor.keep_running
            for name, follower in self._followers.items():
                task_group.start_soon(keep_running, f"feed_{name}", follower.run)
            if self._watch is not None:
                task_group.start_soon(keep_running, "watch", self._link.run, self._watch, self._watch_alone)

    def awaits_first_answer(self, event: Event) -> bool:
        """Whether the registry has not answered yet what a peer's event says.

        A peer's list may be older than the one known here, and changes continue the registry's list.
        """
        follower = self._followers.get(FEEDS_OF_LISTS.get(type(event), ""))
        return follower is None or follower.position is None

    def set_nodes(self, contacts: Iterable[NodeContact]) -> None:
        """Replace the nodes that are known."""
        if self._watch is not None:
            self._watch.set_members(contacts)

    def is_member(self, host: str) -> bool:
        """Whether a host is another node of this zone."""
        return self._watch is not None and self._watch.is_member(host)

    def coordinators(self) -> dict[str, Coordinator]:
        """Return the nodes that gather wide requests for this one."""
        return {} if self._watch is None else self._watch.coordinators()

    def state(self, feed: str) -> bytes | None:
        """Return a whole feed for another node; ``None`` if it is not known here."""
        return None if self._watch is None else self._watch.state(feed)

    def _restored(self, timeline: int) -> None:
        """Pass on that the registry was restored, when the first feed shows it."""
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

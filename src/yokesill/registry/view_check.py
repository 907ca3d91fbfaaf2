"""Compares a node's view of its feeds with those of the zone's watchers, and with what the configuration
names.

Two views that differ at the same position: one of them has a hole. A node that calls the registry lists the
feed again, any other fetches the watcher's. A hole that all watchers share is found by services that the
configuration names and that have no servers. Reasons: ``docs/design/placement.md``. Times in seconds of the
node's clock.
"""

from collections.abc import Callable
from functools import singledispatch
from typing import Any

from yokesill.gateway.events import (
    ConfigurationReceived,
    EvacuationsReplaced,
    QuarantineReplaced,
    RolloutsReplaced,
    ServersReplaced,
)
from yokesill.positions import Position
from yokesill.registry.feed_states import CONFIGURATION, SERVERS, WholeFeed
from yokesill.registry.follower import FeedFollower
from yokesill.watchers.digests import NOT_COMPARED, Repairs, digest_of

# How long a digest is used: one of 700 entries takes 0.3 ms of half a core, too much for each report.
DIGEST_AGE_S = 1.0
# How long a service must be without servers before the feed is listed again.
HOLE_AGE_S = 2.0
# First pause between such lists: a service whose servers all crashed costs four lists a watcher in its first
# minute.
HOLE_PAUSE_S = 8.0


class ViewCheck:
    """One node's digests, and when a feed may be listed or fetched again.

    Parameters
    ----------
    followers
        What follows each feed, by the feed's name.
    whole
        Return a whole feed as this node knows it; ``None`` while it knows nothing.
    """

    def __init__(self, followers: dict[str, FeedFollower], whole: Callable[[str], WholeFeed | None]) -> None:
        self._followers = followers
        self._whole = whole
        self._digests: dict[str, tuple[Position, float, int]] = {}
        self._repairs = {name: Repairs() for name in followers}
        self._hole_repairs = Repairs(HOLE_PAUSE_S)
        self._looked_at_s = float("-inf")
        self._missing_since_s = float("inf")

    def digest(self, name: str, now: float) -> int:
        """Return the digest of a feed at its position; 0 if there is nothing to compare."""
        position = self._followers[name].position
        if position is None:
            return NOT_COMPARED
        known = self._digests.get(name)
        if known is None or known[0] != position or now - known[1] >= DIGEST_AGE_S:
            whole = self._whole(name)
            value = NOT_COMPARED if whole is None else _digest(whole)
            known = self._digests[name] = (position, now, value)
        return known[2]

    def differs(self, name: str, position: Position, digest: int, now: float) -> bool:
        """Whether a reporter's feed at ``position`` differs from the one known here, and may be right."""
        if digest == NOT_COMPARED or self._followers[name].position != position:
            return False
        own = self.digest(name, now)
        if name == CONFIGURATION:
            return NOT_COMPARED != own < digest
        return own not in (NOT_COMPARED, digest)

    def may_repair(self, name: str, now: float) -> bool:
        """Whether a feed may be repaired now because of a difference; each repair delays the next."""
        return self._repairs[name].due(now)

    def suspected_hole(self, now: float) -> list[str]:
        """Return services without a server, if the registry should be listed again because of them.

        Checked once a second. Servers start before a configuration names them: a service without any has
        lost them all, or this zone's watchers don't know them.
        """
        if now - self._looked_at_s < DIGEST_AGE_S:
            return []
        self._looked_at_s = now
        missing = self._without_servers()
        self._missing_since_s = min(self._missing_since_s, now) if missing else float("inf")
        if now - self._missing_since_s < HOLE_AGE_S or not self._hole_repairs.due(now):
            return []
        return missing

    def _without_servers(self) -> list[str]:
        configuration, servers = self._whole(CONFIGURATION), self._whole(SERVERS)
        if not isinstance(configuration, ConfigurationReceived) or not isinstance(servers, ServersReplaced):
            return []
        listed = {each.service for each in servers.records}
        named = {name for route in configuration.configuration.routes for name in route.services}
        return sorted(named - listed)


@singledispatch
def _digest(_whole: Any) -> int:
    """Return a whole feed's digest."""
    return NOT_COMPARED


@_digest.register
def _(whole: ConfigurationReceived) -> int:
    # Its version, of which the highest counts: a registry that came back from an older copy tells a starting
    # node an older one than the others know.
    return whole.configuration.version


@_digest.register
def _(whole: ServersReplaced) -> int:
    return digest_of(f"{each.instance}{'-' if each.leaving else '+'}" for each in whole.records)


@_digest.register
def _(whole: EvacuationsReplaced) -> int:
    return digest_of(whole.zones)


@_digest.register
def _(whole: QuarantineReplaced) -> int:
    return digest_of(whole.fingerprints)


@_digest.register
def _(whole: RolloutsReplaced) -> int:
    return digest_of(f"{each.service}/{each.created_revision}" for each in whole.orders)

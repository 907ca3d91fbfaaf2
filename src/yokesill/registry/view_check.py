"""Compares a node's feeds with those of the zone's watchers, and its servers with the configuration.

If two views differ at the same position, one of them lacks entries. A node that calls the registry lists the
feed again; any other node fetches the watcher's. Entries that all watchers lack are detected by services that
the configuration names and that have no servers. Rationale: ``docs/design/placement.md``. Times are in
seconds of the node's clock.
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
from yokesill.watchers.digests import NOT_COMPARED, RepairBackoff, digest_of

# How long a digest is cached: one of 700 entries takes 0.3 ms of half a core, too much for each report.
DIGEST_AGE_S = 1.0
# How long a service must be without servers before the feed is listed again.
MISSING_GRACE_S = 2.0
# Initial pause between such lists: a service whose servers have all crashed costs each watcher four lists in
# the first minute.
MISSING_INITIAL_PAUSE_S = 8.0


class ViewCheck:
    """Computes a node's digests and decides when a feed may be listed or fetched again.

    Parameters
    ----------
    followers
        The follower of each feed, by the feed's name.
    whole
        Returns this node's view of a whole feed, by the feed's name; ``None`` before the first list.
    """

    def __init__(self, followers: dict[str, FeedFollower], whole: Callable[[str], WholeFeed | None]) -> None:
        self._followers = followers
        self._whole = whole
        self._digests: dict[str, tuple[Position, float, int]] = {}
        self._backoffs = {name: RepairBackoff() for name in followers}
        self._missing_backoff = RepairBackoff(MISSING_INITIAL_PAUSE_S)
        self._checked_at_s = float("-inf")
        self._missing_since_s = float("inf")

    def digest(self, name: str, now: float) -> int:
        """Return the digest of a feed at its current position; 0 if there is nothing to compare."""
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
        """Return whether a reporter's feed at ``position`` differs from the one here and may be correct."""
        if digest == NOT_COMPARED or self._followers[name].position != position:
            return False
        own = self.digest(name, now)
        if name == CONFIGURATION:
            return NOT_COMPARED != own < digest
        return own not in (NOT_COMPARED, digest)

    def repair_due(self, name: str, now: float) -> bool:
        """Return whether a feed that differs may be repaired now; each repair delays the next one."""
        return self._backoffs[name].due(now)

    def services_to_relist(self, now: float) -> list[str]:
        """Return the services without servers if the registry should be listed again because of them.

        Checked once per second. Servers start before a configuration names their service: a service without
        servers has lost them all, or this zone's watchers lack their entries.
        """
        if now - self._checked_at_s < DIGEST_AGE_S:
            return []
        self._checked_at_s = now
        missing = self._services_without_servers()
        self._missing_since_s = min(self._missing_since_s, now) if missing else float("inf")
        if now - self._missing_since_s < MISSING_GRACE_S or not self._missing_backoff.due(now):
            return []
        return missing

    def _services_without_servers(self) -> list[str]:
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
    # The version, since the highest one applies: a registry that was restored from an older copy gives a
    # starting node an older configuration than the other nodes have.
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

"""Tells the router when the servers of reopened zones are known as of the reopening.

Feeds are read apart, and servers' changes are coalesced for longer than operators'. The servers of a zone may
have turned cold shortly before its evacuation ends; until their feed has reached the position of the
reopening, the router treats each of them as cold.
"""

from collections.abc import Callable

from yokesill.gateway.events import EvacuationsReplaced, Event, ReopenedServersKnown
from yokesill.positions import Position
from yokesill.registry.feed_states import EVACUATIONS, SERVERS, WholeFeed
from yokesill.registry.feeds import Batch
from yokesill.registry.follower import FeedFollower


class ReopenedZones:
    """Compares the servers' position with that of the last reopening.

    Parameters
    ----------
    followers
        The follower of each feed, by the feed's name.
    whole
        Returns this node's view of a whole feed, by the feed's name.
    apply_event
        Applies an event to the router.
    """

    def __init__(
        self,
        followers: dict[str, FeedFollower],
        whole: Callable[[str], WholeFeed | None],
        apply_event: Callable[[Event], None],
    ) -> None:
        self._servers = followers[SERVERS]
        self._whole = whole
        self._apply_event = apply_event
        self._evacuated: frozenset[str] = frozenset()
        self._reopened_at: Position | None = None
        evacuations = followers.get(EVACUATIONS)
        if evacuations is not None:
            evacuations.on_applied = self._evacuations_applied
            self._servers.on_applied = self._servers_applied

    def _evacuations_applied(self, batch: Batch) -> None:
        known = self._whole(EVACUATIONS)
        before, self._evacuated = self._evacuated, _zones(known)
        if before <= self._evacuated:
            return
        self._reopened_at = batch.position
        if not self._tell_if_known():
            self._servers.request_read()

    def _servers_applied(self, _batch: Batch) -> None:
        self._tell_if_known()

    def _tell_if_known(self) -> bool:
        """Tell the router once the servers are known as of the last reopening; return whether they are."""
        known = self._servers.position
        if self._reopened_at is None or known is None or known < self._reopened_at:
            return False
        self._reopened_at = None
        self._apply_event(ReopenedServersKnown())
        return True


def _zones(evacuations: WholeFeed | None) -> frozenset[str]:
    return evacuations.zones if isinstance(evacuations, EvacuationsReplaced) else frozenset()

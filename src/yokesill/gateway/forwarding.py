"""Whether a wide request is gathered here, or by a much stronger node of the zone.

Asking a hundred servers takes a node's processor some ten milliseconds, and many times that where no
connections are open: a weak node that meets a wide request now and then is late before it has asked
everybody. So it hands the whole request to one of its zone's coordinators: nodes with at least twice
the processor of most, which meet many and hold open connections.
"""

from collections.abc import Mapping
from typing import NamedTuple

from yokesill.gateway.documents import Gather, Route
from yokesill.rendezvous import name_hash, weight

# Asking so many services over open connections (0.1 ms each to send, as much to read) takes half a core
# as long as the hop to a coordinator and back; asking fewer is quicker done here.
LEAST_SERVICES = 16
# A coordinator that refused a request is busy or stopping: it is left alone for so long.
REFUSED_PAUSE_S = 0.5
# One of another zone that is lost may have been cut off with its zone, which is gone around for so long.
ZONE_LOST_PAUSE_S = 2.0
# One elsewhere that was lost is tried again after so long, and twice as long each further time: each try of a
# dead one costs a request 40 ms, and the directory names the dead for minutes.
FIRST_LOST_PAUSE_S, LONGEST_LOST_PAUSE_S = 2.0, 60.0
# What the hop takes until it was measured, in seconds.
FIRST_HOP_S = 0.005
# How quickly the measure of the hop follows, and how many mean deviations are kept beside its mean: a
# coordinator that counts the hop too short answers everybody just too late.
HOP_WEIGHT, HOP_DEVIATIONS = 0.15, 1.5


class Coordinator(NamedTuple):
    """Where a coordinator is reached (``HOST:PORT``), when it was last heard of, and its zone if another."""

    address: str
    heard_at_s: float
    zone: str = ""


class CoordinatorChoice:
    """One node's choices; times in seconds of its clock.

    Parameters
    ----------
    own
        This node's name: nodes of a zone spread over its coordinators by it.
    first_hop_s
        What the hop takes until it was measured, in seconds.
    """

    def __init__(self, own: str, first_hop_s: float = FIRST_HOP_S) -> None:
        self._own = name_hash(own)
        self._zone_lost_at: dict[str, float] = {}
        self._avoided_until: dict[str, float] = {}
        self._lost_at: dict[str, float] = {}
        self._losses: dict[str, int] = {}
        self._hop_s = first_hop_s
        self._hop_deviation_s = 0.0

    @property
    def hop_s(self) -> float:
        """What handing a request over takes beside gathering it, there and back, in seconds."""
        return self._hop_s + HOP_DEVIATIONS * self._hop_deviation_s

    def choose(self, route: Route, coordinators: Mapping[str, Coordinator], now: float) -> str | None:
        """Return the coordinator to hand a request of a route to; ``None`` to gather it here."""
        if not coordinators or not is_wide(route):
            return None
        able = [node for node, each in coordinators.items() if self._able(node, each, now)]
        return min(able, key=lambda node: (weight(name_hash(node), self._own), node), default=None)

    def _able(self, node: str, coordinator: Coordinator, now: float) -> bool:
        zone_lost_at = self._zone_lost_at.get(coordinator.zone, float("-inf"))
        if coordinator.zone and now - zone_lost_at < ZONE_LOST_PAUSE_S:
            return False
        lost_at = self._lost_at.get(node, float("-inf"))
        return coordinator.heard_at_s > lost_at and self._avoided_until.get(node, 0.0) <= now

    def refused(self, node: str, now: float) -> None:
        """Leave a coordinator alone for a while: it did not take a request."""
        self._avoided_until[node] = now + REFUSED_PAUSE_S

    def lost(self, node: str, now: float, zone: str = "") -> None:
        """Leave a coordinator alone until it is heard of again: it did not answer, or broke off.

        Of one in another ``zone`` nothing is heard: it is tried again later each time it is lost.
        """
        self._lost_at[node] = self._zone_lost_at[zone] = now
        if zone:
            losses = self._losses[node] = self._losses.get(node, 0) + 1
            pause_s = FIRST_LOST_PAUSE_S * 2.0 ** min(losses - 1, 8)
            self._avoided_until[node] = now + min(pause_s, LONGEST_LOST_PAUSE_S)

    def took(self, hop_s: float, node: str = "") -> None:
        """Take how long the way of a coordinator's answer took beside gathering."""
        self._losses.pop(node, None)
        error = max(0.0, hop_s) - self._hop_s
        self._hop_s += HOP_WEIGHT * error
        self._hop_deviation_s += HOP_WEIGHT * (abs(error) - self._hop_deviation_s)


def is_wide(route: Route) -> bool:
    """Whether a route's requests are worth handing over."""
    gathers = isinstance(route.destination, Gather) and route.repeatable
    return gathers and len(route.services) >= LEAST_SERVICES

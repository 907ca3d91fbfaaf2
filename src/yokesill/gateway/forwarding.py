"""When a wide request is forwarded to a coordinator, and to which.

Sending to a hundred servers costs a node's processor some ten milliseconds, and many times that where no
connections are open, so a weak node that gets a wide request now and then is late before it has sent
everything. It forwards the whole request to a coordinator of its zone: a node with at least twice the
processor of most (``peers/capacity_rank``), which gets many and holds open connections.

Inputs: the route, the coordinators that are known, what came of earlier requests; seconds of the node's
clock. `ServerZones` chooses zones elsewhere for a node whose zone has no servers; ``coordinators/`` does
the sending. Measured in ``docs/design/hand-over.md``.
"""

from collections.abc import Mapping
from typing import NamedTuple

from yokesill.gateway.documents import Gather, Route
from yokesill.rendezvous import name_hash, weight

# Routes with fewer services are gathered here. Sending to so many over open connections (0.1 ms each, as
# much to read) takes half a core as long as the hop to a coordinator and back.
MIN_WIDE_SERVICES = 16
# A coordinator that refused is busy or stopping: others get the requests for so long.
REFUSED_PAUSE_S = 0.5
# After a coordinator of another zone is lost, its whole zone is passed over for so long: it may be
# partitioned from here.
ZONE_LOST_PAUSE_S = 2.0
# A lost coordinator of another zone is tried again after so long, twice as long each further time: each try
# of a dead one costs a request 40 ms, and the directory lists the dead for minutes.
FIRST_LOST_PAUSE_S, LONGEST_LOST_PAUSE_S = 2.0, 60.0
# Keeps the doubling finite; the ceiling is reached before.
MAX_DOUBLINGS = 8
# The hop to a coordinator and back until it was measured. Measured since: 2.2 ms in the middle, 4.3 ms at the
# 0.9 quantile (``docs/design/shifted-work.md``).
INITIAL_HOP_S = 0.005
# The weight of the newest hop in its mean, and how many mean deviations are added to it: a coordinator that
# counts the hop too short answers every request just too late.
HOP_WEIGHT, HOP_DEVIATIONS = 0.15, 1.5


class Coordinator(NamedTuple):
    """A coordinator's address (``HOST:PORT``), when it last reported, and its zone if it is another one."""

    address: str
    reported_at_s: float
    zone: str = ""


class CoordinatorChoice:
    """One node's choice among the coordinators of one kind: of its own zone, or of zones elsewhere.

    Parameters
    ----------
    own
        This node's name, by which the nodes of a zone spread over its coordinators.
    first_hop_s
        What the hop takes until it was measured.
    """

    def __init__(self, own: str, first_hop_s: float = INITIAL_HOP_S) -> None:
        self._own = name_hash(own)
        self._zone_lost_at: dict[str, float] = {}
        self._avoided_until: dict[str, float] = {}
        self._lost_at: dict[str, float] = {}
        self._losses: dict[str, int] = {}
        self._hop_s = first_hop_s
        self._hop_deviation_s = 0.0

    @property
    def hop_s(self) -> float:
        """What forwarding adds to gathering, there and back, in seconds; rather too long than too short."""
        return self._hop_s + HOP_DEVIATIONS * self._hop_deviation_s

    def choose(self, route: Route, coordinators: Mapping[str, Coordinator], now: float) -> str | None:
        """Return the coordinator to forward a route's request to; ``None`` to gather it here."""
        if not coordinators or not is_wide(route):
            return None
        eligible = [node for node, each in coordinators.items() if self._eligible(node, each, now)]
        return min(eligible, key=lambda node: (weight(name_hash(node), self._own), node), default=None)

    def _eligible(self, node: str, coordinator: Coordinator, now: float) -> bool:
        zone_lost_at = self._zone_lost_at.get(coordinator.zone, float("-inf"))
        if coordinator.zone and now - zone_lost_at < ZONE_LOST_PAUSE_S:
            return False
        lost_at = self._lost_at.get(node, float("-inf"))
        return coordinator.reported_at_s > lost_at and self._avoided_until.get(node, 0.0) <= now

    def refused(self, node: str, now: float) -> None:
        """Pass a coordinator over for a while: it refused a request."""
        self._avoided_until[node] = now + REFUSED_PAUSE_S

    def lost(self, node: str, now: float, zone: str = "") -> None:
        """Pass a coordinator over until it reports again: it did not answer, or broke off.

        One in another ``zone`` sends no reports here: it is tried again, after a longer pause each time.
        """
        self._lost_at[node] = self._zone_lost_at[zone] = now
        if zone:
            losses = self._losses[node] = self._losses.get(node, 0) + 1
            pause_s = FIRST_LOST_PAUSE_S * 2.0 ** min(losses - 1, MAX_DOUBLINGS)
            self._avoided_until[node] = now + min(pause_s, LONGEST_LOST_PAUSE_S)

    def record_hop(self, hop_s: float, node: str = "") -> None:
        """Count what forwarding added to gathering in one answer, in seconds."""
        self._losses.pop(node, None)
        error = max(0.0, hop_s) - self._hop_s
        self._hop_s += HOP_WEIGHT * error
        self._hop_deviation_s += HOP_WEIGHT * (abs(error) - self._hop_deviation_s)


def is_wide(route: Route) -> bool:
    """Whether a route's requests are worth forwarding."""
    gathers = isinstance(route.destination, Gather) and route.repeatable
    return gathers and len(route.services) >= MIN_WIDE_SERVICES

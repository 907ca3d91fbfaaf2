"""Decides when a wide request is forwarded to a coordinator, and to which one.

Sending to a hundred servers costs a node about ten milliseconds of processor time, and many times that where
no connections are open. A weak node that gets a wide request only now and then is late before it has sent
everything. It forwards the whole request to a coordinator of its zone: a node with at least twice the
processor of most (``peers/capacity_rank``), which gets many such requests and keeps connections open.

Inputs: the route, the known coordinators, the outcomes of earlier requests. Times are in seconds of the
node's clock. `ServerZones` selects zones elsewhere for a node whose own zone has no servers;
``coordinators/`` does the sending. Measurements: ``docs/design/hand-over.md``.
"""

from collections.abc import Mapping
from typing import NamedTuple

from yokesill.gateway.documents import Gather, Route
from yokesill.rendezvous import name_hash, weight

# Routes with fewer services are gathered locally. On half a core, sending to this many over open connections
# (0.1 ms each, and as much to read) takes as long as the hop to a coordinator and back.
MIN_WIDE_SERVICES = 16
# How long a coordinator is skipped after it refused a request, since it is busy or stopping.
REFUSED_PAUSE_S = 0.5
# How long another zone is skipped after one of its coordinators was lost: there may be a partition between
# that zone and this one.
ZONE_LOST_PAUSE_S = 2.0
# Exponential backoff before a lost coordinator of another zone is tried again: each try of a dead one costs a
# request 40 ms, and the directory lists dead ones for minutes.
INITIAL_LOST_PAUSE_S, MAX_LOST_PAUSE_S = 2.0, 60.0
# Keeps the power of two finite; MAX_LOST_PAUSE_S is reached earlier.
MAX_DOUBLINGS = 8
# The assumed time of the hop to a coordinator and back until a node has measured it. Measured in runs: median
# 2.2 ms, 0.9 quantile 4.3 ms (``docs/design/shifted-work.md``).
INITIAL_HOP_S = 0.005
# The weight of the newest hop in the moving average, and how many mean deviations are added to it. If the hop
# is estimated too short, the coordinator answers every request slightly too late.
HOP_WEIGHT, HOP_DEVIATIONS = 0.15, 1.5


class Coordinator(NamedTuple):
    """A coordinator's address (``HOST:PORT``), when it last reported, and its zone if it is not this one."""

    address: str
    reported_at_s: float
    zone: str = ""


class CoordinatorChoice:
    """One node's choice among coordinators, either those of its own zone or those of other zones.

    Parameters
    ----------
    own
        This node's name. Its hash spreads the nodes of a zone over the coordinators.
    initial_hop_s
        The assumed time of the hop until it has been measured, in seconds.
    """

    def __init__(self, own: str, initial_hop_s: float = INITIAL_HOP_S) -> None:
        self._own = name_hash(own)
        self._zone_lost_at: dict[str, float] = {}
        self._avoided_until: dict[str, float] = {}
        self._lost_at: dict[str, float] = {}
        self._losses: dict[str, int] = {}
        self._hop_s = initial_hop_s
        self._hop_deviation_s = 0.0

    @property
    def hop_s(self) -> float:
        """The time that forwarding adds to gathering, both ways, in seconds; errs on the long side."""
        return self._hop_s + HOP_DEVIATIONS * self._hop_deviation_s

    def choose(self, route: Route, coordinators: Mapping[str, Coordinator], now: float) -> str | None:
        """Return the coordinator to forward a route's request to; ``None`` to gather it locally."""
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
        """Skip a coordinator for ``REFUSED_PAUSE_S`` because it refused a request."""
        self._avoided_until[node] = now + REFUSED_PAUSE_S

    def lost(self, node: str, now: float, zone: str = "") -> None:
        """Skip a coordinator until it reports again because it did not answer, or broke off its answer.

        A coordinator in another ``zone`` sends no reports here, so it is tried again after a pause that
        doubles each time.
        """
        self._lost_at[node] = self._zone_lost_at[zone] = now
        if zone:
            losses = self._losses[node] = self._losses.get(node, 0) + 1
            pause_s = INITIAL_LOST_PAUSE_S * 2.0 ** min(losses - 1, MAX_DOUBLINGS)
            self._avoided_until[node] = now + min(pause_s, MAX_LOST_PAUSE_S)

    def record_hop(self, hop_s: float, node: str = "") -> None:
        """Record the time that forwarding added to gathering in one answer, in seconds."""
        self._losses.pop(node, None)
        error = max(0.0, hop_s) - self._hop_s
        self._hop_s += HOP_WEIGHT * error
        self._hop_deviation_s += HOP_WEIGHT * (abs(error) - self._hop_deviation_s)


def is_wide(route: Route) -> bool:
    """Whether a route's requests are worth forwarding."""
    gathers = isinstance(route.destination, Gather) and route.repeatable
    return gathers and len(route.services) >= MIN_WIDE_SERVICES

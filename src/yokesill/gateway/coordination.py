"""Whether a wide request is gathered here, or by a node of the zone that does so all the time.

A node that meets a wide request now and then has no open connections to its shards, and knows little
of their servers. So it hands the whole request to one of its zone's coordinators. A node
that meets many is as good as they are and gathers itself; so does a coordinator.
"""

import math
from collections.abc import Collection

from yokesill.gateway.documents import Gather, Route
from yokesill.rendezvous import name_hash, weight

# Fewer services than this are connected to within a few milliseconds of processor time.
LEAST_SERVICES = 32
# So many wide requests a second keep a node's own connections open and its knowledge fresh.
WARM_RATE, RATE_MEMORY_S = 2.0, 5.0
# A coordinator that did not take a request is left alone for so long.
AVOIDED_S = 1.0


class CoordinatorChoice:
    """One node's choices; times in seconds of its clock."""

    def __init__(self) -> None:
        self._recent = 0.0
        self._counted_at = 0.0
        self._avoided_until: dict[str, float] = {}

    def count(self, route: Route, now: float) -> None:
        """Count a caller's request, if it is a wide one."""
        if not _is_wide(route):
            return
        self._recent = self._faded(now) + 1.0
        self._counted_at = now

    def rate(self, now: float) -> float:
        """Return how many wide requests came lately, a second."""
        return self._faded(now) / RATE_MEMORY_S

    def _faded(self, now: float) -> float:
        return self._recent * math.exp(-(now - self._counted_at) / RATE_MEMORY_S)

    def choose(self, route: Route, coordinators: Collection[str], now: float) -> str | None:
        """Return the coordinator to hand a request of a route to; ``None`` to gather it here.

        Requests of one route go to one coordinator, as long as that takes them.
        """
        if not _is_wide(route) or self.rate(now) >= WARM_RATE:
            return None
        able = [node for node in coordinators if self._avoided_until.get(node, 0.0) <= now]
        subject = name_hash(route.name)
        return min(able, key=lambda node: (weight(name_hash(node), subject), node), default=None)

    def avoid(self, node: str, now: float) -> None:
        """Leave a coordinator alone for a while: it did not take a request."""
        self._avoided_until[node] = now + AVOIDED_S


def _is_wide(route: Route) -> bool:
    gathers = isinstance(route.destination, Gather) and route.repeatable
    return gathers and len(route.services) >= LEAST_SERVICES

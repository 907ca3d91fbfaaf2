"""The other zones in which a node without servers of its own zone may have wide requests gathered.

Gathered at home, every attempt of such a request crosses zones: with 90 shards 90 requests and 90 answers,
each of which a lost packet can make late. Gathered where the servers are, one request and one merged answer
cross. Inputs: the route, the servers listed, the zones' distances and regions. `CoordinatorChoice` then
picks a node there; alternatives are in ``docs/design/placement.md``, "Gathering where the servers are".
"""

from collections import Counter
from typing import NamedTuple

from yokesill.gateway.documents import Route
from yokesill.gateway.options import GatewayOptions
from yokesill.gateway.servers.eligibility import present
from yokesill.gateway.servers.server_table import ServerTable

# A node whose zone has servers of more than this share of the services gathers for itself.
MOST_AT_HOME_SHARE = 0.1
# A zone with servers of a smaller share of the services is not gone to: it would cross zones for the others.
LEAST_ELSEWHERE_SHARE = 0.9
# Zones whose round trips differ by less are equally near, and requests spread over them.
ZONE_DISTANCE_TOLERANCE_S = 0.001
# How long a route's zones are kept: finding them for 90 services takes 0.1 ms of half a core.
REFRESH_S = 1.0


class _Known(NamedTuple):
    route: Route
    found_at_s: float
    zones: frozenset[str]


class ServerZones:
    """Which zones a node may have its wide requests gathered in."""

    def __init__(self, options: GatewayOptions, servers: ServerTable) -> None:
        self._options = options
        self._servers = servers
        self._known: dict[str, _Known] = {}

    def zones(self, route: Route, now: float) -> frozenset[str]:
        """Return the nearest zones of this region with the servers of a route; none if some are at home.

        Parameters
        ----------
        route
            Of a wide request.
        now
            The node's clock, in seconds; what is returned may be ``REFRESH_S`` old.
        """
        known = self._known.get(route.name)
        if known is None or known.route is not route or now - known.found_at_s >= REFRESH_S:
            known = self._known[route.name] = _Known(route, now, self._nearest(route, now))
        return known.zones - self._servers.evacuated

    def _nearest(self, route: Route, now: float) -> frozenset[str]:
        services, own = route.services, self._options.zone
        held: Counter[str] = Counter()
        for service in services:
            held.update({each.record.zone for each in present(self._servers, service, now)})
        if held[own] > MOST_AT_HOME_SHARE * len(services):
            return frozenset()
        holders = [
            zone
            for zone, count in held.items()
            if zone != own and count >= LEAST_ELSEWHERE_SHARE * len(services) and self._allowed(zone, route)
        ]
        distance = self._servers.distances.extra_round_trip
        least = min(map(distance, holders), default=0.0)
        return frozenset(zone for zone in holders if distance(zone) <= least + ZONE_DISTANCE_TOLERANCE_S)

    def _allowed(self, zone: str, route: Route) -> bool:
        """Whether a request may be gathered in a zone: its body must not leave its region."""
        region = self._options.regions.get(zone)
        same = region == self._options.regions.get(self._options.zone)
        return same and (not route.regions or region in route.regions)

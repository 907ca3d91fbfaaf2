"""Selects the other zones in which a node whose own zone lacks servers may have wide requests gathered.

If such a request is gathered locally, every attempt crosses zones: with 90 shards, 90 requests and 90
answers, each of which a lost packet can delay. If it is gathered where the servers are, one request and one
merged answer cross. Inputs: the route, the listed servers, the zones' distances and regions.
`CoordinatorChoice` then picks a node there; alternatives are in ``docs/design/placement.md``, "Gathering
where the servers are".
"""

from collections import Counter
from typing import NamedTuple

from yokesill.gateway.documents import Route
from yokesill.gateway.options import GatewayOptions
from yokesill.gateway.servers.eligibility import present
from yokesill.gateway.servers.server_table import ServerTable

# A node whose own zone has servers of more than this share of the services gathers locally.
MAX_LOCAL_SHARE = 0.1
# A zone with servers of a smaller share of the services is not used: it would cross zones for the others.
MIN_REMOTE_SHARE = 0.9
# Zones whose round trips differ by less are equally near, and requests are spread over them.
ZONE_DISTANCE_TOLERANCE_S = 0.001
# How long a route's zones are cached: computing them for 90 services takes 0.1 ms on half a core.
REFRESH_S = 1.0


class _CachedZones(NamedTuple):
    route: Route
    computed_at_s: float
    zones: frozenset[str]


class ServerZones:
    """The zones in which a node may have its wide requests gathered, cached per route."""

    def __init__(self, options: GatewayOptions, servers: ServerTable) -> None:
        self._options = options
        self._servers = servers
        self._cache: dict[str, _CachedZones] = {}

    def zones(self, route: Route, now: float) -> frozenset[str]:
        """Return the nearest zones of this region with the route's servers; none if its own zone has servers.

        Parameters
        ----------
        route
            The route of a wide request.
        now
            The node's clock, in seconds; the result may be up to ``REFRESH_S`` old.
        """
        cached = self._cache.get(route.name)
        if cached is None or cached.route is not route or now - cached.computed_at_s >= REFRESH_S:
            cached = self._cache[route.name] = _CachedZones(route, now, self._nearest(route, now))
        return cached.zones - self._servers.evacuated

    def _nearest(self, route: Route, now: float) -> frozenset[str]:
        services, own = route.services, self._options.zone
        services_in: Counter[str] = Counter()
        for service in services:
            services_in.update({each.record.zone for each in present(self._servers, service, now)})
        if services_in[own] > MAX_LOCAL_SHARE * len(services):
            return frozenset()
        holders = [
            zone
            for zone, count in services_in.items()
            if zone != own and count >= MIN_REMOTE_SHARE * len(services) and self._allowed(zone, route)
        ]
        distance = self._servers.distances.extra_round_trip
        nearest_s = min(map(distance, holders), default=0.0)
        return frozenset(zone for zone in holders if distance(zone) <= nearest_s + ZONE_DISTANCE_TOLERANCE_S)

    def _allowed(self, zone: str, route: Route) -> bool:
        """Whether a request may be gathered in a zone, since its body must not leave its region."""
        region = self._options.regions.get(zone)
        same_region = region == self._options.regions.get(self._options.zone)
        return same_region and (not route.regions or region in route.regions)

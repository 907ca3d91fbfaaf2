"""Selects coordinators in other zones for a node whose own zone has no servers of a wide request.

Other zones send no heartbeats, so their strong nodes are read from the node directory and tried. A node that
can't be connected to or doesn't acknowledge is skipped for a while, and its zone with it. Owns the measured
latency of the hop; ``gateway.servers.server_zones`` locates the servers.
"""

from collections.abc import Iterable, Mapping

from yokesill.gateway.documents import Route
from yokesill.gateway.forwarding import Coordinator, CoordinatorChoice
from yokesill.gateway.options import GatewayOptions
from yokesill.gateway.servers.server_table import ServerTable
from yokesill.gateway.servers.server_zones import ServerZones
from yokesill.peers.capacity_rank import coordinator_nodes, strong_nodes
from yokesill.registry.feeds import NodeContact

# A lost coordinator of another zone is retried after this time, since no heartbeat announces its return. Each
# attempt at a dead one delays a request by ``client.CONNECT_TIMEOUT_S``.
RETRY_PAUSE_S = 2.0
# Assumed latency of the hop to another zone until it has been measured.
INITIAL_HOP_S = 0.012
# Share of the latency objective that the hop may use: the rest must be enough to gather. If the hop takes
# more, one request per interval is still forwarded to measure it again.
HOP_SHARE_LIMIT = 0.35
HOP_MEASURE_INTERVAL_S = 5.0


class RemoteCoordinators:
    """Returns the strong nodes of the zones that have a request's servers."""

    def __init__(self, options: GatewayOptions, servers: ServerTable) -> None:
        self.choice = CoordinatorChoice(options.node, INITIAL_HOP_S)
        self._options = options
        self._servers = servers
        self._server_zones = ServerZones(options, servers)
        self._strong: dict[str, list[NodeContact]] = {}
        self._hosts: frozenset[str] = frozenset()
        self._measured_at_s = float("-inf")

    def set_nodes(self, contacts: Iterable[NodeContact]) -> None:
        """Replace the list of known nodes."""
        regions, own = self._options.regions, self._options.zone
        by_zone: dict[str, list[NodeContact]] = {}
        for each in contacts:
            if each.peers and each.zone != own and regions.get(each.zone) == regions.get(own):
                by_zone.setdefault(each.zone, []).append(each)
        self._hosts = frozenset(each.peers.rpartition(":")[0] for zone in by_zone.values() for each in zone)
        self._strong = {}
        for zone, nodes in by_zone.items():
            strong = strong_nodes({each.node: each.cores for each in nodes})
            self._strong[zone] = [each for each in nodes if each.node in strong]

    def gathering(self, contacts: Iterable[NodeContact]) -> frozenset[str]:
        """Return the nodes that gather wide requests for others; servers' capacity is divided among them.

        Strong nodes of a zone without servers are included only if no zone with servers has strong nodes.
        """
        contacts = tuple(contacts)
        gathering = coordinator_nodes((each.node, each.zone, each.cores) for each in contacts)
        if not self._options.switches.gathers_near_servers:
            return gathering
        zones = {each.zone for each in self._servers.records()}
        near_servers = {each.node for each in contacts if each.zone in zones}
        return gathering & near_servers or gathering

    def is_remote_node(self, host: str) -> bool:
        """Return whether a host is a node of another zone in this region."""
        return host in self._hosts

    def coordinators(self, route: Route, now: float) -> Mapping[str, Coordinator]:
        """Return the nodes that may gather a wide request near its servers; empty if that is no better."""
        if not self._options.switches.gathers_near_servers or not self._hop_is_short(route, now):
            return {}
        reported_at_s = now - RETRY_PAUSE_S
        return {
            each.node: Coordinator(each.peers, reported_at_s, zone)
            for zone in self._server_zones.zones(route, now)
            for each in self._strong.get(zone, ())
        }

    def _hop_is_short(self, route: Route, now: float) -> bool:
        if (
            self.choice.hop_s > HOP_SHARE_LIMIT * route.objective_s
            and now - self._measured_at_s < HOP_MEASURE_INTERVAL_S
        ):
            return False
        self._measured_at_s = now
        return True

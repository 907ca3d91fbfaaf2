"""The coordinators of other zones, for a node whose own zone has no servers of a wide request.

No reports come from other zones: their strong nodes are taken from the directory of nodes and simply
asked. One that does not let itself be connected to, or does not acknowledge, is gone around, with its zone.
"""

from collections.abc import Iterable, Mapping

from yokesill.gateway.documents import Route
from yokesill.gateway.forwarding import Coordinator, CoordinatorChoice
from yokesill.gateway.options import GatewayOptions
from yokesill.gateway.servers.server_table import ServerTable
from yokesill.gateway.servers.server_zones import ServerZones
from yokesill.peers.capacity_rank import gathering_nodes, strong_nodes
from yokesill.registry.feeds import NodeContact

# Nobody says that a coordinator elsewhere lives again: it is tried after so long.
LOST_PAUSE_S = 2.0
# What the hop to another zone takes until it was measured, in seconds.
FIRST_HOP_S = 0.012
# A hop that takes more of the aim leaves too little for gathering; it is measured again now and then.
MOST_HOP_SHARE, MEASURE_AGAIN_S = 0.35, 5.0


class RemoteCoordinators:
    """Chooses among the strong nodes of the zones that have the servers."""

    def __init__(self, options: GatewayOptions, servers: ServerTable) -> None:
        self.choice = CoordinatorChoice(options.node, FIRST_HOP_S)
        self._options = options
        self._servers = servers
        self._places = ServerZones(options, servers)
        self._strong: dict[str, list[NodeContact]] = {}
        self._hosts: frozenset[str] = frozenset()
        self._tried_at_s = float("-inf")

    def set_nodes(self, contacts: Iterable[NodeContact]) -> None:
        """Take which nodes there are."""
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
        """Return the nodes that gather wide requests for others, so that servers are shared among them.

        Strong nodes of a zone without servers gather only when nobody elsewhere does.
        """
        contacts = tuple(contacts)
        gathering = gathering_nodes((each.node, each.zone, each.cores) for each in contacts)
        if not self._options.gathers_near_servers:
            return gathering
        zones = {each.zone for each in self._servers.records()}
        beside = {each.node for each in contacts if each.zone in zones}
        return gathering & beside or gathering

    def knows(self, host: str) -> bool:
        """Whether a host is a node of another zone of this region."""
        return host in self._hosts

    def coordinators(self, route: Route, now: float) -> Mapping[str, Coordinator]:
        """Return who may gather a wide request near its servers; nobody where that is no better."""
        if not self._options.gathers_near_servers or not self._quick_enough(route, now):
            return {}
        heard_at_s = now - LOST_PAUSE_S
        return {
            each.node: Coordinator(each.peers, heard_at_s, zone)
            for zone in self._places.zones(route, now)
            for each in self._strong.get(zone, ())
        }

    def _quick_enough(self, route: Route, now: float) -> bool:
        if (
            self.choice.hop_s > MOST_HOP_SHARE * route.objective_s
            and now - self._tried_at_s < MEASURE_AGAIN_S
        ):
            return False
        self._tried_at_s = now
        return True

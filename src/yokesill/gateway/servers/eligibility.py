"""Decides which servers may be sent an attempt at all.

Everything that sends to a server, or counts the servers that could be sent to, uses these rules. An eligible
server is

1. of a version that a roll-out lets this request reach (``rollouts/versions``), even if no other is left,
2. in no evacuated zone, even if no other server is left: operators must be able to rely on it,
3. in a region that the route allows, since request bodies must not leave these regions,
4. not cold, nor in a reopened zone whose servers have not been read since, or within this node's share of a
   cold server's capacity (`ColdStarts`),
5. not yet tried by this request,
6. listed and not leaving. A server whose entry vanished recently is eligible if no listed server is, since
   entries also vanish when the registry was unavailable (``GatewayOptions.removed_grace_s``).

Ejection, refused connections and peers' suspicions do not exclude a server: they only lower its rank
(`selection`). A suspicion is applied only while another server is left that is not suspected.

The number of connections and the subset of servers that a node uses are also decided here, since both follow
from the capacity that a server has for all nodes together. Times are in seconds of the node's clock.
"""

from collections.abc import Collection, Iterable, Mapping

from yokesill.gateway.documents import Configuration, Route, ServerRecord, ServiceLimits
from yokesill.gateway.limits.node_shares import NodeShares
from yokesill.gateway.options import GatewayOptions
from yokesill.gateway.servers.cold_starts import ColdStarts
from yokesill.gateway.servers.server_state import LEAVING, ServerState
from yokesill.gateway.servers.server_table import ServerTable
from yokesill.rendezvous import name_hash, weight

# The smallest subset of servers: a hedge needs a second one.
MIN_SUBSET_SIZE = 2
# Servers whose round trips differ by less count as equally near, and the nodes' hashes spread over them.
# Twice the tolerance in `selection`, since a subset should be stable while distances are learned.
SUBSET_DISTANCE_STEP_S = 0.001


def reachable(servers: ServerTable, service: str, now: float, new: bool = False) -> Iterable[ServerState]:
    """Return a service's servers outside evacuated zones whose version may be reached.

    With ``new``, those of the target version of a roll-out.
    """
    found = servers.of_service(service)
    if service in servers.versions.gated:
        allowed = servers.versions.allowed(service, new, now)
        found = [each for each in found if each.record.version in allowed]
    if not servers.evacuated:
        return found
    return [each for each in found if each.record.zone not in servers.evacuated]


def present(servers: ServerTable, service: str, now: float, new: bool = False) -> list[ServerState]:
    """Return the reachable servers that are listed and not leaving."""
    return [each for each in reachable(servers, service, now, new) if not each.leaving]


def eligible(
    candidates: Iterable[ServerState], tried: Collection[str], removed_grace_s: float, now: float
) -> list[ServerState]:
    """Return the candidates that a request may be sent to next."""
    untried = [each for each in candidates if each.record.instance not in tried]
    listed = [each for each in untried if not each.leaving]
    return listed or [each for each in untried if _just_removed(each, removed_grace_s, now)]


def _just_removed(server: ServerState, removed_grace_s: float, now: float) -> bool:
    if server.state == LEAVING or server.replaced or server.removed_at_s is None:
        return False
    return now - server.removed_at_s < removed_grace_s


def suspect(servers: ServerTable, instance: str, for_s: float, now: float) -> bool:
    """Apply peers' suspicion of a server, unless it is the last server that is not suspected.

    Returns
    -------
    bool
        Whether it is suspected now and was not before.
    """
    server = servers.get(instance)
    if server is None or server.leaving:
        return False
    others = (each for each in _alternatives(servers, server, now) if each is not server)
    if not any(not each.leaving and not each.probation.suspected(now) for each in others):
        return False
    was_suspected = server.probation.suspected(now)
    server.probation.begin(for_s, now)
    return not was_suspected


def _alternatives(servers: ServerTable, server: ServerState, now: float) -> Iterable[ServerState]:
    """Return the servers of the same service and version, to which requests for ``server`` may go."""
    service = server.record.service
    found = reachable(servers, service, now)
    return found if server in found else reachable(servers, service, now, new=True)


class Eligibility:
    """One node's rules and their inputs: the configuration, the nodes that share capacity, cold servers.

    Parameters
    ----------
    options
        The node's options.
    servers
        All servers that the node knows.
    node_shares
        The number of nodes that share a service's capacity.
    """

    def __init__(self, options: GatewayOptions, servers: ServerTable, node_shares: NodeShares) -> None:
        self.cold_starts = ColdStarts(options.node, options.cold_starts)
        self._options = options
        self._servers = servers
        self._node_shares = node_shares
        self._node_hash = name_hash(options.node)
        self._limits: Mapping[str, ServiceLimits] = {}

    def set_configuration(self, configuration: Configuration) -> None:
        """Apply the services' limits of a configuration."""
        self._limits = configuration.services

    def candidates(self, service: str, route: Route, now: float, new: bool = False) -> Iterable[ServerState]:
        """Return the servers that a route's requests may go to: rules 1 to 4.

        With ``new``, only those of the target version of a roll-out.
        """
        servers = reachable(self._servers, service, now, new)
        if route.regions:
            regions = self._options.regions
            servers = [each for each in servers if regions.get(each.record.zone) in route.regions]
        rate = self._cold_requests_per_s(service)
        if rate is None:
            return servers
        allows, may_be_cold = self.cold_starts.allows, self._servers.may_be_cold
        return [each for each in servers if not may_be_cold(each, now) or allows(each.record, rate, now)]

    def may_still_start(self, record: ServerRecord, now: float) -> bool:
        """Whether an attempt that waited on this node may go to its server: rules 1, 2 and 6 once more.

        A removed server may be used within its grace, whichever other servers are listed by now.
        """
        servers = self._servers
        server = servers.get(record.instance)
        if server is None or record.zone in servers.evacuated:
            return False
        if record.service in servers.versions.gated and not any(
            record.version in servers.versions.allowed(record.service, new, now) for new in (False, True)
        ):
            return False
        return not server.leaving or _just_removed(server, self._options.removed_grace_s, now)

    def count_sent(self, server: ServerState, now: float) -> None:
        """Count an attempt, which may use up this node's share of a cold server."""
        if self._cold_requests_per_s(server.record.service) is not None and self._servers.may_be_cold(
            server, now
        ):
            self.cold_starts.sent(server.record, now)

    def _cold_requests_per_s(self, service: str) -> float | None:
        """Return the rate for one cold server of the service; ``None`` if it is not limited."""
        limits = self._limits.get(service)
        return limits.cold_requests_per_s if limits is not None and limits.cold_requests_per_s > 0.0 else None

    def connection_limit(self, service: str) -> int:
        """Return how many connections this node may hold to each of the service's servers."""
        limits = self._limits.get(service)
        if limits is None:
            return 1
        usable = self._options.connection_share * limits.connections
        return max(1, int(usable / self._node_shares.active_nodes(service)))

    def subset(self, service: str, now: float, new: bool = False) -> Collection[str]:
        """Return the instances that this node connects to as long as they are healthy.

        If the nodes together could open more connections than the servers accept, each node uses only as many
        servers as its share of the connections allows: the nearest first, then by rendezvous hash, which
        gives every server its share of the nodes.
        """
        servers = present(self._servers, service, now, new)
        limits = self._limits.get(service)
        if limits is None or not servers:
            return [each.record.instance for each in servers]
        usable = self._options.connection_share * limits.connections * len(servers)
        size = max(MIN_SUBSET_SIZE, int(usable / self._node_shares.active_nodes(service)))
        if size < len(servers):
            servers = sorted(servers, key=self._subset_rank)[:size]
        return [each.record.instance for each in servers]

    def _subset_rank(self, server: ServerState) -> tuple[float, int]:
        steps = round(server.round_trip / SUBSET_DISTANCE_STEP_S)
        return steps, weight(self._node_hash, server.name_hash)

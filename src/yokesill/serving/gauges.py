"""What a node is like at the moment at which somebody asks for its figures."""

import importlib

from yokesill.coordinators.coordinator import CoordinatorApplication
from yokesill.gateway.router import GatewayRouter
from yokesill.logs import LogOutput
from yokesill.registry.following import RegistryFollowing
from yokesill.telemetry.figures import GatewayFigures
from yokesill.upstreams.server_client import ServerClient
from yokesill.watchers.role import WatchRole


def render_figures(
    figures: GatewayFigures,
    version: int,
    router: GatewayRouter,
    coordinator: CoordinatorApplication,
    client: ServerClient,
    output: LogOutput,
    following: RegistryFollowing,
) -> bytes:
    """Return all figures as text; ``version`` is the configuration's in force, 0 without one."""
    gauge = figures.gauge
    gauge("yokesill_version", "Configuration version", version)
    gauge("yokesill_servers", "Servers known", len(router.servers))
    gauge("yokesill_nodes", "Nodes that share the budgets", router.nodes)
    gauge("yokesill_in_flight", "Requests without a final answer", router.in_flight)
    gauge("yokesill_quarantined", "Requests kept from servers", len(router.quarantine.detector.quarantined))
    gauge("yokesill_coordinated", "Requests gathered here for other nodes", coordinator.taken)
    gauge("yokesill_connections_opened", "Connections to servers", client.connections_opened)
    gauge("yokesill_log_lines_dropped", "Log lines that did not fit", output.dropped)
    gauge("yokesill_registry_calls", "Calls that follow feeds", following.calls)
    gauge("yokesill_registry_asking", "Whether this node asks it", following.role != WatchRole.FOLLOWING)
    for feed, position in following.positions().items():
        gauge(f"yokesill_registry_{feed}_position", "Known up to here", position)
    # Loaded when somebody asks for the figures, not before: the library is priced in memory.
    exposition = importlib.import_module("yokesill.telemetry.exposition")
    text: bytes = exposition.render(figures)
    return text

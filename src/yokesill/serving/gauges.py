"""Renders a node's metrics; gauges are read from the node's components at each call of ``/metrics``.

Owns no state. Counters and histograms are in ``telemetry.figures`` and updated as events occur.
"""

import importlib
from collections.abc import Callable
from typing import NamedTuple

from yokesill.callers.memory import CallerMemory
from yokesill.comm.reply_memory import ReplyMemory
from yokesill.coordinators.coordinator import CoordinatorApplication
from yokesill.gateway.router import GatewayRouter
from yokesill.logs import LogOutput
from yokesill.registry.following import RegistryFollowing
from yokesill.serving.life_cycle import LifeCycle
from yokesill.serving.settings import GatewaySettings
from yokesill.serving.state_snapshot import configuration_version
from yokesill.serving.usage import Usage, open_descriptors, resident_bytes
from yokesill.telemetry.figures import GatewayMetrics
from yokesill.upstreams.server_client import ServerClient
from yokesill.watchers.role import WatchRole


class GaugeSources(NamedTuple):
    """Components that the values of a node's gauges are read from."""

    life_cycle: LifeCycle
    router: GatewayRouter
    coordinator: CoordinatorApplication
    client: ServerClient
    output: LogOutput
    following: RegistryFollowing
    settings: GatewaySettings
    reply_memory: ReplyMemory
    caller_memory: CallerMemory
    usage: Usage
    settings_not_understood: Callable[[], int]


def render_metrics(metrics: GatewayMetrics, sources: GaugeSources) -> bytes:
    """Set the gauges and return all metrics in the text exposition format."""
    life_cycle, router, coordinator, client, output, following, settings = sources[:7]
    replies, callers, usage = sources.reply_memory, sources.caller_memory, sources.usage
    gauge = metrics.gauge
    gauge("yokesill_cut_off", "Whether it reaches nothing", life_cycle.state == "cut_off")
    gauge("yokesill_version", "Configuration version", configuration_version(router))
    gauge("yokesill_servers", "Servers known", len(router.servers))
    gauge("yokesill_nodes", "Nodes that share the budgets", router.nodes)
    gauge("yokesill_in_flight", "Requests without a final answer", router.in_flight)
    gauge("yokesill_quarantined", "Requests kept from servers", len(router.quarantine.detector.quarantined))
    gauge("yokesill_coordinated", "Requests gathered here for other nodes", coordinator.accepted)
    gauge("yokesill_connections_opened", "Connections to servers", client.connections_opened)
    gauge("yokesill_log_lines_dropped", "Log lines that did not fit", output.dropped)
    gauge("yokesill_registry_calls", "Calls that follow feeds", following.calls)
    gauge("yokesill_registry_asking", "Whether this node asks it", following.role != WatchRole.FOLLOWING)
    gauge("yokesill_memory_bytes", "Resident memory", resident_bytes())
    gauge("yokesill_memory_limit_bytes", "The process is killed above this", settings.memory_bytes)
    gauge("yokesill_reply_bytes", "Held by unfinished replies", replies.held_bytes)
    gauge("yokesill_reply_limit_bytes", "Largest replies are discarded above", replies.limit_bytes)
    gauge("yokesill_caller_bytes", "Held for callers on all listeners", callers.held_bytes)
    gauge("yokesill_caller_limit_bytes", "Largest holders are closed above", callers.limit_bytes)
    gauge("yokesill_descriptors", "Open descriptors", open_descriptors())
    gauge("yokesill_descriptors_limit", "Descriptors that may be open", settings.descriptors)
    gauge("yokesill_longest_hold_seconds", "Longest hold of the event loop", usage.longest_hold_s)
    not_understood = sources.settings_not_understood()
    gauge("yokesill_settings_not_understood", "Fields that can't be read", not_understood)
    for feed, revision in following.revisions().items():
        gauge(f"yokesill_registry_{feed}_position", "Known up to here", revision)
    # Imported at the first call: prometheus-client needs memory that a node without a scraper can save.
    exposition = importlib.import_module("yokesill.telemetry.exposition")
    text: bytes = exposition.render(metrics)
    return text

"""Creates the components of one gateway node and connects them; each is created after its dependencies.

Owns no state; ``process`` runs the components. Circular dependencies are resolved after construction: the
roll-out link and the callers' listener subscribe to ``FeedUpdates``, and ``Findings`` sets the driver's
callbacks.
"""

import random
from functools import partial
from typing import NamedTuple

from yokesill.callers.application import GatewayApplication
from yokesill.callers.closings import ReportClosed
from yokesill.callers.listener import Listener
from yokesill.callers.memory import CallerMemory
from yokesill.coordinators.coordinator import CoordinatorApplication
from yokesill.gateway.events import ConfigurationReceived, Event, NodeCountUpdated
from yokesill.gateway.router import GatewayRouter
from yokesill.logs import LogOutput, get_logger
from yokesill.registry.following import RegistryFollowing
from yokesill.registry.node_presence import NodePresence
from yokesill.registry.peer_bootstrap import PeerBootstrap
from yokesill.registry.stream_connection import connect_tcp
from yokesill.registry.version_settlement import VersionSettlement
from yokesill.serving.dependencies import Dependencies
from yokesill.serving.driver import GatewayDriver
from yokesill.serving.feed_updates import FeedUpdates
from yokesill.serving.findings import Findings
from yokesill.serving.gauges import GaugeSources, render_metrics
from yokesill.serving.life_cycle import LifeCycle
from yokesill.serving.peer_application import PeerApplication
from yokesill.serving.peer_changes import PeerChanges
from yokesill.serving.probes import ProbeApplication
from yokesill.serving.reachability import Reachability
from yokesill.serving.request_path import (
    Callers,
    Core,
    Registry,
    create_callers,
    create_core,
    create_registry,
)
from yokesill.serving.rollout_link import RolloutLink
from yokesill.serving.rollout_port import create_rollout_link
from yokesill.serving.settings import GatewaySettings
from yokesill.serving.state_snapshot import configuration_version, encode_router_snapshot
from yokesill.serving.usage import Usage
from yokesill.supervision import Supervisor
from yokesill.telemetry.figures import GatewayMetrics


class NodeComponents(NamedTuple):
    """All components of one node; none of them runs yet."""

    life_cycle: LifeCycle
    metrics: GatewayMetrics
    router: GatewayRouter
    supervisor: Supervisor
    driver: GatewayDriver
    updates: FeedUpdates
    following: RegistryFollowing
    presence: NodePresence
    findings: Findings
    rollouts: RolloutLink | None
    reachability: Reachability
    bootstrap: PeerBootstrap
    settlement: VersionSettlement
    application: GatewayApplication
    listener: Listener
    coordinator: CoordinatorApplication
    probes: ProbeApplication
    peers: PeerApplication
    caller_memory: CallerMemory
    report_closed: ReportClosed
    usage: Usage


class _PeerServices(NamedTuple):
    """Components that exchange information with other nodes."""

    findings: Findings
    rollouts: RolloutLink | None
    reachability: Reachability
    bootstrap: PeerBootstrap
    settlement: VersionSettlement
    presence: NodePresence


class _SideServices(NamedTuple):
    """Components that serve other nodes and operators."""

    coordinator: CoordinatorApplication
    probes: ProbeApplication
    peers: PeerApplication


def build_node(
    settings: GatewaySettings,
    dependencies: Dependencies,
    life_cycle: LifeCycle,
    source: random.Random,
    output: LogOutput,
    now: float,
) -> NodeComponents:
    """Return the components of a node that starts at ``now``, in seconds of its clock.

    Raises
    ------
    ValueError
        A name in ``settings.switched_off`` is not the name of a switch.
    """
    usage = Usage(settings, get_logger("gateway"))
    core = create_core(settings, dependencies, source, now)
    registry = create_registry(core)
    callers = create_callers(core, registry)
    peer_services = _create_peer_services(core, registry, callers, life_cycle)
    side = _create_side_services(core, registry, callers, peer_services, life_cycle, output, usage)
    return NodeComponents(
        life_cycle=life_cycle,
        metrics=core.metrics,
        router=core.router,
        supervisor=core.supervisor,
        driver=core.driver,
        updates=registry.updates,
        following=registry.following,
        **callers._asdict(),
        **peer_services._asdict(),
        **side._asdict(),
        caller_memory=core.caller_memory,
        report_closed=core.report_closed,
        usage=usage,
    )


def _create_peer_services(
    core: Core, registry: Registry, callers: Callers, life_cycle: LifeCycle
) -> _PeerServices:
    driver, source, contact = core.driver, core.source, registry.following.contact
    records = core.dependencies.quarantine_records
    findings = Findings(contact, core.settings.datagrams, driver, records, source)
    rollouts = _create_rollout_link(core, registry.following)
    if rollouts is not None:
        registry.updates.subscribe(rollouts.apply_update)
    registry.updates.subscribe(partial(_apply_connection_limits, callers.listener, core.router))
    reachability = _create_reachability(core, callers.application, life_cycle)
    bootstrap = _create_peer_bootstrap(core, registry)
    settlement = _create_version_settlement(core, registry, bootstrap)
    peer_changes = PeerChanges(
        driver,
        registry.following,
        registry.remote_coordinators,
        findings,
        rollouts,
        reachability,
        settlement,
    )
    presence = NodePresence(
        core.dependencies.nodes,
        contact,
        lambda count: driver.feed(NodeCountUpdated(count)),
        source,
        peer_changes.peers_changed,
    )

    def registry_restored() -> None:
        presence.announce_again()
        findings.record_again()
        settlement.record_again()

    registry.following.on_restored = registry_restored
    return _PeerServices(findings, rollouts, reachability, bootstrap, settlement, presence)


def _create_rollout_link(core: Core, following: RegistryFollowing) -> RolloutLink | None:
    limits, records = core.settings.rollouts, core.dependencies.rollout_records
    if limits is None or records is None:
        return None
    return create_rollout_link(
        following.contact, limits, core.driver, records, lambda: following.reaches_registry, core.source
    )


def _apply_connection_limits(listener: Listener, router: GatewayRouter, event: Event) -> None:
    if isinstance(event, ConfigurationReceived) and router.configuration is not None:
        limits = router.configuration.limits
        listener.set_limits(limits.header_timeout_s, limits.idle_timeout_s, limits.header_bytes)


def _create_reachability(core: Core, application: GatewayApplication, life_cycle: LifeCycle) -> Reachability:
    driver = core.driver

    def partition_changed(partitioned: bool) -> None:
        application.partitioned = partitioned
        life_cycle.apply_event("cut_off" if partitioned else "reached")

    return Reachability(
        core.settings.zone,
        core.router,
        lambda: driver.last_remote_answer_s,
        connect_tcp,
        partition_changed,
        core.source,
    )


def _create_peer_bootstrap(core: Core, registry: Registry) -> PeerBootstrap:
    updates, following = registry.updates, registry.following

    def apply_from_peer(event: Event) -> None:
        if following.awaits_first_answer(event):
            updates.apply(event)

    return PeerBootstrap(
        core.settings.seeds,
        connect_tcp,
        updates.synchronised,
        apply_from_peer,
        core.source,
    )


def _create_version_settlement(core: Core, registry: Registry, bootstrap: PeerBootstrap) -> VersionSettlement:
    updates, following = registry.updates, registry.following
    return VersionSettlement(
        core.router.servers.versions,
        core.dependencies.version_records,
        bootstrap.fetch_snapshot,
        updates.apply,
        lambda: following.calls_registry and updates.synchronised(),
        core.settings.peers,
        core.settings.seeds,
        core.source,
    )


def _create_side_services(
    core: Core,
    registry: Registry,
    callers: Callers,
    peer_services: _PeerServices,
    life_cycle: LifeCycle,
    output: LogOutput,
    usage: Usage,
) -> _SideServices:
    router, following, rollouts = core.router, registry.following, peer_services.rollouts

    def is_peer(host: str) -> bool:
        return following.is_member(host) or registry.remote_coordinators.is_remote_node(host)

    version = partial(configuration_version, router)
    coordinator = CoordinatorApplication(callers.application, is_peer, version, lambda: router.lateness_s)
    sources = GaugeSources(
        life_cycle,
        router,
        coordinator,
        core.client,
        output,
        following,
        core.settings,
        core.memory,
        core.caller_memory,
        usage,
        core.dependencies.settings_not_understood,
    )
    probes = ProbeApplication(
        core.dependencies.ready_path,
        life_cycle.is_ready,
        partial(render_metrics, core.metrics, sources),
        partial(encode_router_snapshot, router),
        following.state,
        rollouts.view if rollouts is not None else lambda: None,
    )
    return _SideServices(coordinator, probes, PeerApplication(coordinator, probes))

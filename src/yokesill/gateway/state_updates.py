"""Applies events from the registry and from other nodes to a node's state.

There is one handler per event (`apply_update`): configuration, servers, evacuated zones, nodes, roll-outs,
peers' suspicions and quarantined requests. The handlers change the state that requests share
(`GatewayContext`), and append log events and other actions for actual changes. Requests in progress keep the
configuration that they started with.
"""

from collections.abc import Collection, Iterable
from functools import singledispatch
from typing import Any

from yokesill.gateway import events as ev, log_events
from yokesill.gateway.context import GatewayContext
from yokesill.gateway.documents import Configuration, ServerRecord
from yokesill.gateway.requests.splits import SplitCursors
from yokesill.gateway.servers.eligibility import suspect
from yokesill.rollouts.node_orders import OrderChange


class StateUpdates:
    """Operations on the shared state, used by the handlers of update events."""

    def __init__(self, context: GatewayContext, cursors: SplitCursors) -> None:
        self.context = context
        self._cursors = cursors

    def configuration(self, configuration: Configuration, actions: list[ev.Action]) -> None:
        """Replace the configuration by a newer version; ignore older versions from any source."""
        context = self.context
        current = context.configuration
        if current is not None and configuration.version <= current.version:
            return
        context.configuration = configuration
        context.node_shares.set_configuration(configuration)
        context.eligibility.set_configuration(configuration)
        context.rollouts.set_configuration(configuration)
        context.forget_unused(current)
        self._cursors.keep({route.name for route in configuration.routes})
        details: dict[str, object] = {
            "version": configuration.version,
            "before": current.version if current else None,
            "routes": len(configuration.routes),
        }
        actions.append(ev.LogEvent("configuration_applied", details))

    def evacuations(self, zones: frozenset[str], actions: list[ev.Action]) -> None:
        """Set which zones are evacuated; attempts in flight there are not cancelled."""
        for zone in sorted(self.context.servers.evacuate(zones)):
            actions.append(ev.LogEvent("zone_evacuated", {"zone": zone, "evacuated": zone in zones}))

    def rollouts(self, changes: Iterable[OrderChange], actions: list[ev.Action]) -> None:
        """Log changes of roll-outs and of their effective states at this node."""
        actions.extend(log_events.rollout(change) for change in changes)

    def nodes(self, names: frozenset[str], coordinators: frozenset[str]) -> None:
        """Set the live nodes, and which of them are coordinators."""
        self.context.eligibility.cold_starts.set_nodes(names)
        self.context.node_shares.set_coordinators(coordinators)

    def server(self, record: ServerRecord, now: float, actions: list[ev.Action]) -> None:
        """Add or change a server."""
        if self.context.servers.put(record, now) and record.leaving:
            actions.append(log_events.server_entry(record.instance, "leaving"))
        self._after_change(now, actions)

    def removal(self, instance: str, now: float, actions: list[ev.Action]) -> None:
        """Remove a server whose entry is gone."""
        if self.context.servers.remove(instance, now):
            actions.append(log_events.server_entry(instance, "removed"))
        self._after_change(now, actions)

    def all_servers(self, records: Collection[ServerRecord], now: float, actions: list[ev.Action]) -> None:
        """Replace all servers by a complete list."""
        gone = self.context.servers.replace(records, now)
        actions.extend(log_events.server_entry(instance, "removed") for instance in gone)
        self._after_change(now, actions)

    def restored_servers(
        self, records: Collection[ServerRecord], now: float, actions: list[ev.Action]
    ) -> None:
        """Replace all servers by a complete list whose entries may be older than what is known."""
        gone = self.context.servers.restore(records, now)
        actions.extend(log_events.server_entry(instance, "removed") for instance in gone)
        self._after_change(now, actions)

    def suspicion(self, instance: str, for_s: float, now: float, actions: list[ev.Action]) -> None:
        """Suspect a server that the nodes together detected as slow or failing."""
        context = self.context
        if context.options.switches.heeds_suspicions and suspect(context.servers, instance, for_s, now):
            actions.append(log_events.server_suspected(instance, for_s))

    def _after_change(self, now: float, actions: list[ev.Action]) -> None:
        """Log servers whose address was taken over, and drop servers that were removed long ago."""
        for instance in self.context.servers.take_replaced():
            actions.append(log_events.server_entry(instance, "replaced"))
        for instance in self.context.servers.forget_removed(now):
            self.context.eligibility.cold_starts.forget(instance)
            actions.append(ev.ForgetServer(instance))


Actions = list[ev.Action]


@singledispatch
def apply_update(event: Any, updates: StateUpdates, now: float, actions: Actions) -> None:
    """Apply an event that changes the node's state; raises ``TypeError`` for any other."""
    raise TypeError(f"no handler for this type of event: {event!r}")


@apply_update.register
def _(event: ev.ConfigurationReceived, updates: StateUpdates, now: float, actions: Actions) -> None:
    updates.configuration(event.configuration, actions)


@apply_update.register
def _(event: ev.NodeCountUpdated, updates: StateUpdates, now: float, actions: Actions) -> None:
    updates.context.node_shares.nodes = max(1, event.nodes)


@apply_update.register
def _(event: ev.NodesUpdated, updates: StateUpdates, now: float, actions: Actions) -> None:
    updates.nodes(event.names, event.coordinators)


@apply_update.register
def _(event: ev.ZoneEvacuated, updates: StateUpdates, now: float, actions: Actions) -> None:
    updates.evacuations(updates.context.servers.evacuated | {event.zone}, actions)


@apply_update.register
def _(event: ev.ZoneReopened, updates: StateUpdates, now: float, actions: Actions) -> None:
    updates.evacuations(updates.context.servers.evacuated - {event.zone}, actions)


@apply_update.register
def _(event: ev.ReopenedServersKnown, updates: StateUpdates, now: float, actions: Actions) -> None:
    updates.context.servers.unread_zones = frozenset()


@apply_update.register
def _(event: ev.EvacuationsReplaced, updates: StateUpdates, now: float, actions: Actions) -> None:
    updates.evacuations(event.zones, actions)


@apply_update.register
def _(event: ev.RolloutOrdered, updates: StateUpdates, now: float, actions: Actions) -> None:
    if updates.context.options.rollouts is not None:
        updates.rollouts(updates.context.rollouts.orders.set_order(event.order), actions)


@apply_update.register
def _(event: ev.RolloutWithdrawn, updates: StateUpdates, now: float, actions: Actions) -> None:
    updates.rollouts(updates.context.rollouts.orders.withdraw(event.service), actions)


@apply_update.register
def _(event: ev.RolloutsReplaced, updates: StateUpdates, now: float, actions: Actions) -> None:
    if updates.context.options.rollouts is not None:
        updates.rollouts(updates.context.rollouts.orders.replace_orders(event.orders), actions)


@apply_update.register
def _(event: ev.RolloutDecisionsReceived, updates: StateUpdates, now: float, actions: Actions) -> None:
    if updates.context.options.rollouts is not None:
        updates.rollouts(updates.context.rollouts.orders.receive_decisions(event.decisions, now), actions)


@apply_update.register
def _(event: ev.VersionsEstablished, updates: StateUpdates, now: float, actions: Actions) -> None:
    updates.context.servers.versions.adopt_established(event.versions)


@apply_update.register
def _(event: ev.VersionsRecorded, updates: StateUpdates, now: float, actions: Actions) -> None:
    updates.context.servers.versions.adopt_recorded(event.services)


@apply_update.register
def _(event: ev.ServerSuspected, updates: StateUpdates, now: float, actions: Actions) -> None:
    updates.suspicion(event.instance, event.for_s, now, actions)


@apply_update.register
def _(event: ev.ServerListed, updates: StateUpdates, now: float, actions: Actions) -> None:
    updates.server(event.record, now, actions)


@apply_update.register
def _(event: ev.ServerRemoved, updates: StateUpdates, now: float, actions: Actions) -> None:
    updates.removal(event.instance, now, actions)


@apply_update.register
def _(event: ev.ServersReplaced, updates: StateUpdates, now: float, actions: Actions) -> None:
    updates.all_servers(event.records, now, actions)


@apply_update.register
def _(event: ev.ServersRestored, updates: StateUpdates, now: float, actions: Actions) -> None:
    updates.restored_servers(event.records, now, actions)


@apply_update.register
def _(event: ev.LossReported, updates: StateUpdates, now: float, actions: Actions) -> None:
    updates.context.crashes.loss_reported(event, now, actions)


@apply_update.register
def _(event: ev.AnswerReported, updates: StateUpdates, now: float, actions: Actions) -> None:
    updates.context.crashes.detector.record_answer(event.fingerprint, event.service, event.trial)


@apply_update.register
def _(event: ev.QuarantineStatusReceived, updates: StateUpdates, now: float, actions: Actions) -> None:
    updates.context.crashes.status_received(event, now, actions)


@apply_update.register
def _(event: ev.RequestQuarantined, updates: StateUpdates, now: float, actions: Actions) -> None:
    crashes = updates.context.crashes
    crashes.record(crashes.detector.recorded | {event.fingerprint}, actions)


@apply_update.register
def _(event: ev.QuarantineLifted, updates: StateUpdates, now: float, actions: Actions) -> None:
    crashes = updates.context.crashes
    crashes.record(crashes.detector.recorded - {event.fingerprint}, actions)


@apply_update.register
def _(event: ev.QuarantineReplaced, updates: StateUpdates, now: float, actions: Actions) -> None:
    updates.context.crashes.record(event.fingerprints, actions)

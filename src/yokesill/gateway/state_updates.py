"""What a node learns of the world: configurations, servers, evacuated zones, who else is there."""

from collections.abc import Collection, Iterable
from functools import singledispatch
from typing import Any

from yokesill.gateway import events as ev, log_events
from yokesill.gateway.context import GatewayContext
from yokesill.gateway.documents import Configuration, ServerRecord
from yokesill.gateway.requests.splits import SplitCursors
from yokesill.rollouts.node_orders import OrderChange


class StateUpdates:
    """Takes what is learnt over into what the requests of a node share; tells of it in notes."""

    def __init__(self, context: GatewayContext, cursors: SplitCursors) -> None:
        self.context = context
        self._cursors = cursors

    def configuration(self, configuration: Configuration, actions: list[ev.Action]) -> None:
        """Swap a newer version in, whole; an older one is ignored, from whatever source it comes."""
        context = self.context
        current = context.configuration
        if current is not None and configuration.version <= current.version:
            return
        context.configuration = configuration
        context.node_shares.set_configuration(configuration)
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
        """Take which zones are evacuated; what is under way there ends by itself."""
        for zone in sorted(self.context.servers.evacuate(zones)):
            actions.append(ev.LogEvent("zone_evacuated", {"zone": zone, "evacuated": zone in zones}))

    def rollouts(self, changes: Iterable[OrderChange], actions: list[ev.Action]) -> None:
        """Tell of what was learnt of roll-outs, and of what this node obeys of it now."""
        actions.extend(log_events.rollout(change) for change in changes)

    def nodes(self, names: frozenset[str], coordinators: frozenset[str]) -> None:
        """Take which nodes there are, and which of them gather for others."""
        self.context.cold_starts.set_nodes(names)
        self.context.node_shares.set_coordinators(coordinators)

    def server(self, record: ServerRecord, now: float, actions: list[ev.Action]) -> None:
        """Take a server's entry."""
        if self.context.servers.put(record, now) and record.leaving:
            actions.append(log_events.server_entry(record.instance, "leaving"))
        self._forget_removed(now, actions)

    def removal(self, instance: str, now: float, actions: list[ev.Action]) -> None:
        """Take that a server's entry is gone."""
        if self.context.servers.remove(instance, now):
            actions.append(log_events.server_entry(instance, "removed"))
        self._forget_removed(now, actions)

    def all_servers(self, records: Collection[ServerRecord], now: float, actions: list[ev.Action]) -> None:
        """Take a whole list of servers."""
        gone = self.context.servers.replace(records, now)
        actions.extend(log_events.server_entry(instance, "removed") for instance in gone)
        self._forget_removed(now, actions)

    def suspicion(self, instance: str, for_s: float, now: float, actions: list[ev.Action]) -> None:
        """Take that the nodes together found a server slow or failing."""
        context = self.context
        if context.options.heeds_suspicions and context.servers.suspect(instance, for_s, now):
            actions.append(log_events.server_suspected(instance, for_s))

    def _forget_removed(self, now: float, actions: list[ev.Action]) -> None:
        for instance in self.context.servers.forget_removed(now):
            self.context.cold_starts.forget(instance)
            actions.append(ev.ForgetServer(instance))


Actions = list[ev.Action]


@singledispatch
def apply_update(event: Any, learning: StateUpdates, now: float, actions: Actions) -> None:
    """Take an event that tells of the world; raises ``TypeError`` for any other."""
    raise TypeError(f"no event: {event!r}")


@apply_update.register
def _(event: ev.ConfigurationLearnt, learning: StateUpdates, now: float, actions: Actions) -> None:
    learning.configuration(event.configuration, actions)


@apply_update.register
def _(event: ev.NodesCounted, learning: StateUpdates, now: float, actions: Actions) -> None:
    learning.context.node_shares.nodes = max(1, event.nodes)


@apply_update.register
def _(event: ev.NodesMet, learning: StateUpdates, now: float, actions: Actions) -> None:
    learning.nodes(event.names, event.coordinators)


@apply_update.register
def _(event: ev.ZoneEvacuated, learning: StateUpdates, now: float, actions: Actions) -> None:
    learning.evacuations(learning.context.servers.evacuated | {event.zone}, actions)


@apply_update.register
def _(event: ev.ZoneReopened, learning: StateUpdates, now: float, actions: Actions) -> None:
    learning.evacuations(learning.context.servers.evacuated - {event.zone}, actions)


@apply_update.register
def _(event: ev.EvacuationsReplaced, learning: StateUpdates, now: float, actions: Actions) -> None:
    learning.evacuations(event.zones, actions)


@apply_update.register
def _(event: ev.RolloutOrdered, learning: StateUpdates, now: float, actions: Actions) -> None:
    if learning.context.options.rollouts is not None:
        learning.rollouts(learning.context.rollouts.orders.ordered(event.order), actions)


@apply_update.register
def _(event: ev.RolloutWithdrawn, learning: StateUpdates, now: float, actions: Actions) -> None:
    learning.rollouts(learning.context.rollouts.orders.withdrawn(event.service), actions)


@apply_update.register
def _(event: ev.RolloutsReplaced, learning: StateUpdates, now: float, actions: Actions) -> None:
    if learning.context.options.rollouts is not None:
        learning.rollouts(learning.context.rollouts.orders.replaced(event.orders), actions)


@apply_update.register
def _(event: ev.RolloutDecisionsReceived, learning: StateUpdates, now: float, actions: Actions) -> None:
    if learning.context.options.rollouts is not None:
        learning.rollouts(learning.context.rollouts.orders.received(event.decisions, now), actions)


@apply_update.register
def _(event: ev.VersionsEstablished, learning: StateUpdates, now: float, actions: Actions) -> None:
    learning.context.servers.versions.establish(event.versions)


@apply_update.register
def _(event: ev.ServerSuspected, learning: StateUpdates, now: float, actions: Actions) -> None:
    learning.suspicion(event.instance, event.for_s, now, actions)


@apply_update.register
def _(event: ev.ServerListed, learning: StateUpdates, now: float, actions: Actions) -> None:
    learning.server(event.record, now, actions)


@apply_update.register
def _(event: ev.ServerRemoved, learning: StateUpdates, now: float, actions: Actions) -> None:
    learning.removal(event.instance, now, actions)


@apply_update.register
def _(event: ev.ServersReplaced, learning: StateUpdates, now: float, actions: Actions) -> None:
    learning.all_servers(event.records, now, actions)


@apply_update.register
def _(event: ev.LossReported, learning: StateUpdates, now: float, actions: Actions) -> None:
    learning.context.crashes.loss_reported(event, now, actions)


@apply_update.register
def _(event: ev.AnswerReported, learning: StateUpdates, now: float, actions: Actions) -> None:
    learning.context.crashes.detector.answered(event.fingerprint, event.service, event.trial)


@apply_update.register
def _(event: ev.QuarantineStatusReceived, learning: StateUpdates, now: float, actions: Actions) -> None:
    learning.context.crashes.status_received(event, now, actions)


@apply_update.register
def _(event: ev.RequestQuarantined, learning: StateUpdates, now: float, actions: Actions) -> None:
    crashes = learning.context.crashes
    crashes.record(crashes.detector.recorded | {event.fingerprint}, actions)


@apply_update.register
def _(event: ev.QuarantineLifted, learning: StateUpdates, now: float, actions: Actions) -> None:
    crashes = learning.context.crashes
    crashes.record(crashes.detector.recorded - {event.fingerprint}, actions)


@apply_update.register
def _(event: ev.QuarantineReplaced, learning: StateUpdates, now: float, actions: Actions) -> None:
    learning.context.crashes.record(event.fingerprints, actions)

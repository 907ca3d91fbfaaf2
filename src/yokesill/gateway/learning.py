"""What a node learns of the world: configurations, servers, evacuated zones, who else is there."""

from collections.abc import Iterable

from yokesill.gateway import events as ev
from yokesill.gateway import notes
from yokesill.gateway.context import GatewayContext
from yokesill.gateway.documents import Configuration, ServerRecord
from yokesill.gateway.splits import SplitCursors


class Learning:
    """Takes what is learnt over into what the requests of a node share; tells of it in notes."""

    def __init__(self, context: GatewayContext, cursors: SplitCursors) -> None:
        self._context = context
        self._cursors = cursors

    def configuration(self, configuration: Configuration, actions: list[ev.Action]) -> None:
        """Swap a newer version in, whole; an older one is ignored, from whatever source it comes."""
        context = self._context
        current = context.configuration
        if current is not None and configuration.version <= current.version:
            return
        context.configuration = configuration
        context.sharing.set_configuration(configuration)
        context.forget_unused(current)
        self._cursors.keep({route.name for route in configuration.routes})
        details: dict[str, object] = {
            "version": configuration.version,
            "before": current.version if current else None,
            "routes": len(configuration.routes),
        }
        actions.append(ev.Note("configuration_applied", details))

    def evacuations(self, zones: frozenset[str], actions: list[ev.Action]) -> None:
        """Take which zones are evacuated; what is under way there ends by itself."""
        for zone in sorted(self._context.servers.evacuate(zones)):
            actions.append(ev.Note("zone_evacuated", {"zone": zone, "evacuated": zone in zones}))

    def nodes(self, names: frozenset[str], coordinators: frozenset[str]) -> None:
        """Take which nodes there are, and which of them gather for others."""
        self._context.cold_starts.set_nodes(names)
        self._context.sharing.set_coordinators(coordinators)

    def server(self, record: ServerRecord, now: float, actions: list[ev.Action]) -> None:
        """Take a server's entry."""
        if self._context.servers.put(record, now) and record.leaving:
            actions.append(notes.server_entry(record.instance, "leaving"))
        self._forget_removed(now, actions)

    def removal(self, instance: str, now: float, actions: list[ev.Action]) -> None:
        """Take that a server's entry is gone."""
        if self._context.servers.remove(instance, now):
            actions.append(notes.server_entry(instance, "removed"))
        self._forget_removed(now, actions)

    def all_servers(self, records: Iterable[ServerRecord], now: float, actions: list[ev.Action]) -> None:
        """Take a whole list of servers."""
        gone = self._context.servers.replace(records, now)
        actions.extend(notes.server_entry(instance, "removed") for instance in gone)
        self._forget_removed(now, actions)

    def _forget_removed(self, now: float, actions: list[ev.Action]) -> None:
        for instance in self._context.servers.forget_removed(now):
            self._context.cold_starts.forget(instance)
            actions.append(ev.ForgetServer(instance))

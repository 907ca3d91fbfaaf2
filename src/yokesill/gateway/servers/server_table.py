"""All servers that a node knows, by instance and by service."""

from collections import Counter
from collections.abc import Collection, Iterable

from yokesill.gateway.documents import ServerRecord
from yokesill.gateway.options import GatewayOptions
from yokesill.gateway.servers.learned_latencies import ConnectingTimes, ZoneDistances
from yokesill.gateway.servers.server_state import ServerState
from yokesill.rollouts.versions import ServiceVersions


class ServerTable:
    """All servers by instance and by service.

    ``versions`` says which versions of a service may be reached.
    """

    def __init__(self, options: GatewayOptions) -> None:
        self.versions = ServiceVersions(options.rollouts is not None, options.removed_grace_s)
        self.distances = ZoneDistances(options.assumed_round_trip)
        self._connecting = ConnectingTimes()
        self._options = options
        self._by_instance: dict[str, ServerState] = {}
        self._by_service: dict[str, dict[str, ServerState]] = {}
        self._evacuated: frozenset[str] = frozenset()

    def __len__(self) -> int:
        """How many servers are known."""
        return len(self._by_instance)

    def get(self, instance: str) -> ServerState | None:
        """Return the server, if it is known."""
        return self._by_instance.get(instance)

    def connected(self, server: ServerState, seconds: float) -> None:
        """Take how long connecting to a server took."""
        self.distances.connected(server.record.zone, seconds)
        self._connecting.record(server.record.service, max(0.0, seconds - server.round_trip))

    def suspect(self, instance: str, for_s: float, now: float) -> bool:
        """Go around a server for a while, unless it is the last one that nobody suspects.

        Returns
        -------
        bool
            Whether it is suspected now and was not before.
        """
        state = self._by_instance.get(instance)
        if state is None or state.leaving:
            return False
        others = (each for each in self._beside(state, now) if each is not state)
        if not any(not each.leaving and not each.probation.suspected(now) for each in others):
            return False
        known = state.probation.suspected(now)
        state.probation.begin(for_s, now)
        return not known

    def records(self) -> list[ServerRecord]:
        """Return the entries of all servers that are still listed."""
        return [each.record for each in self._by_instance.values() if each.removed_at_s is None]

    def of_service(self, service: str) -> Iterable[ServerState]:
        """Return a service's servers."""
        return self._by_service.get(service, {}).values()

    def reachable(self, service: str, now: float, new: bool = False) -> Iterable[ServerState]:
        """Return a service's servers that something new may go to at all.

        They are outside evacuated zones and of a version that may be reached; with ``new`` of the version
        that a roll-out moves to. Whatever chooses a server lists its candidates here.
        """
        servers = self.of_service(service)
        if service in self.versions.gated:
            allowed = self.versions.allowed(service, new, now)
            servers = [each for each in servers if each.record.version in allowed]
        if not self._evacuated:
            return servers
        return [each for each in servers if each.record.zone not in self._evacuated]

    def present(self, service: str, now: float, new: bool = False) -> list[ServerState]:
        """Return a service's servers that may get new work; see ``reachable``."""
        return [each for each in self.reachable(service, now, new) if not each.leaving]

    def _beside(self, server: ServerState, now: float) -> Iterable[ServerState]:
        """Return the servers that may be asked where a server is: those of its service and version."""
        service = server.record.service
        servers = self.reachable(service, now)
        return servers if server in servers else self.reachable(service, now, new=True)

    def version_counts(self, service: str) -> dict[str, int]:
        """Return how many servers of each version are listed and don't leave."""
        return Counter(each.record.version for each in self.of_service(service) if not each.leaving)

    def _tell_versions(self, service: str, now: float) -> None:
        servers = self.of_service(service)
        listed = Counter(each.record.version for each in servers if each.removed_at_s is None)
        self.versions.listed(service, listed, {each.record.version for each in servers}, now)

    @property
    def evacuated(self) -> frozenset[str]:
        """The zones whose servers get nothing new."""
        return self._evacuated

    def evacuate(self, zones: Iterable[str]) -> frozenset[str]:
        """Send nothing new to the servers of these zones, and of no others; return what changed."""
        before, self._evacuated = self._evacuated, frozenset(zones)
        return before ^ self._evacuated

    def put(self, record: ServerRecord, now: float) -> bool:
        """Take a server's entry; return whether anything but its warm-up changed."""
        changed = self._put(record, now)
        if self.versions.active:
            self._tell_versions(record.service, now)
        return changed

    def _put(self, record: ServerRecord, now: float) -> bool:
        state = self._by_instance.get(record.instance)
        if state is None:
            backs_off = self._options.heeds_refusals
            state = ServerState(record, self.distances, self._connecting, backs_off, now)
            self._by_instance[record.instance] = state
            self._by_service.setdefault(record.service, {})[record.instance] = state
            state.update(record, now)
            return True
        before = state.record
        if before == record and state.removed_at_s is None:
            # Told once more, by another node or in a whole list: its warm-up does not begin anew.
            return False
        state.update(record, now)
        return (before.leaving, before.address) != (record.leaving, record.address)

    def remove(self, instance: str, now: float) -> bool:
        """Give a server whose entry is gone no new work; return whether it was known."""
        state = self._by_instance.get(instance)
        if state is None or state.removed_at_s is not None:
            return False
        state.removed_at_s = now
        if self.versions.active:
            self._tell_versions(state.record.service, now)
        return True

    def replace(self, records: Collection[ServerRecord], now: float) -> list[str]:
        """Take a full list; return the instances that are gone."""
        listed = {record.instance for record in records}
        for record in records:
            self._put(record, now)
        # Told whole: the first of several versions is not yet what serves.
        for service in {record.service for record in records} if self.versions.active else ():
            self._tell_versions(service, now)
        gone = [instance for instance in self._by_instance if instance not in listed]
        return [instance for instance in gone if self.remove(instance, now)]

    def forget_removed(self, now: float) -> list[str]:
        """Drop servers that are long gone and have nothing in flight; return their instances."""
        longest = 2 * self._options.removed_grace_s
        gone = [
            instance
            for instance, state in self._by_instance.items()
            if state.removed_at_s is not None and not state.in_flight and now - state.removed_at_s > longest
        ]
        for instance in gone:
            state = self._by_instance.pop(instance)
            del self._by_service[state.record.service][instance]
            if self.versions.active:
                self._tell_versions(state.record.service, now)
        return gone

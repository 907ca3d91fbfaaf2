"""All servers that a node knows, by instance and by service, and the evacuated zones.

Owns the state of each server from its first entry until some time after its last, and keeps `ServiceVersions`
up to date with the listed versions. `eligibility` decides which of the servers may be used.
"""

import dataclasses
from collections import Counter
from collections.abc import Collection, Iterable

from yokesill.gateway.documents import ServerRecord
from yokesill.gateway.options import GatewayOptions
from yokesill.gateway.servers.learned_latencies import ConnectingTimes, ZoneDistances
from yokesill.gateway.servers.server_state import ServerState
from yokesill.rollouts.versions import ServiceVersions

# A removed server is kept for this multiple of the grace period in which it is a last resort, so that its
# state is still there if its entry reappears.
REMOVED_RETENTION_FACTOR = 2


# A service and an address; in some deployments several services share an address.
_ServiceAddress = tuple[str, str]


def _service_address(record: ServerRecord) -> _ServiceAddress:
    return record.service, record.address


class ServerTable:
    """All servers.

    ``versions`` holds which versions of a service may be reached, ``distances`` the distances of zones.
    ``unread_zones`` are reopened zones whose servers are not known as of the reopening.
    """

    def __init__(self, options: GatewayOptions) -> None:
        self.versions = ServiceVersions(options.rollouts is not None, options.removed_grace_s)
        self.distances = ZoneDistances(options.assumed_round_trip)
        self._connecting = ConnectingTimes()
        self._options = options
        self._by_instance: dict[str, ServerState] = {}
        self._by_service: dict[str, dict[str, ServerState]] = {}
        self._evacuated: frozenset[str] = frozenset()
        self.unread_zones: frozenset[str] = frozenset()
        self._instance_at: dict[_ServiceAddress, str] = {}
        self._newly_replaced: list[str] = []

    def __len__(self) -> int:
        """The number of known servers."""
        return len(self._by_instance)

    def get(self, instance: str) -> ServerState | None:
        """Return the server, if it is known."""
        return self._by_instance.get(instance)

    def connected(self, server: ServerState, seconds: float) -> None:
        """Record the time that it took to open a connection to a server, in seconds."""
        self.distances.connected(server.record.zone, seconds)
        self._connecting.record(server.record.service, max(0.0, seconds - server.round_trip))

    def records(self) -> list[ServerRecord]:
        """Return the entries of all servers that are still listed; replaced ones come first.

        A reader of the list regards the last server at an address as the current one.
        """
        listed = [each for each in self._by_instance.values() if each.removed_at_s is None]
        return [each.record for each in sorted(listed, key=lambda each: not each.replaced)]

    def of_service(self, service: str) -> Iterable[ServerState]:
        """Return a service's servers."""
        return self._by_service.get(service, {}).values()

    def version_counts(self, service: str) -> dict[str, int]:
        """Return the number of servers of each version that are listed and not leaving."""
        return Counter(each.record.version for each in self.of_service(service) if not each.leaving)

    def _update_versions(self, service: str, now: float) -> None:
        servers = self.of_service(service)
        listed = Counter(each.record.version for each in servers if each.removed_at_s is None)
        self.versions.set_listed(service, listed, {each.record.version for each in servers}, now)

    @property
    def evacuated(self) -> frozenset[str]:
        """The zones whose servers get no new requests."""
        return self._evacuated

    def evacuate(self, zones: Iterable[str]) -> frozenset[str]:
        """Set the evacuated zones; return those that were added or reopened."""
        before, self._evacuated = self._evacuated, frozenset(zones)
        self.unread_zones |= before - self._evacuated
        return before ^ self._evacuated

    def may_be_cold(self, server: ServerState, now: float) -> bool:
        """Whether a server is cold, or may have turned cold without its entry having been read yet."""
        return server.record.zone in self.unread_zones or server.cold(now)

    def put(self, record: ServerRecord, now: float) -> bool:
        """Add or update a server; return whether anything but its warm-up changed.

        A new server replaces the server that had its address before.
        """
        is_new = record.instance not in self._by_instance
        changed = self._put(record, now)
        if is_new:
            self._take_address(record)
        if self.versions.active:
            self._update_versions(record.service, now)
        return changed

    def _put(self, record: ServerRecord, now: float) -> bool:
        state = self._by_instance.get(record.instance)
        if state is None:
            backoff_enabled = self._options.switches.heeds_refusals
            state = ServerState(record, self.distances, self._connecting, backoff_enabled, now)
            self._by_instance[record.instance] = state
            self._by_service.setdefault(record.service, {})[record.instance] = state
            state.update(record, now)
            return True
        before = state.record
        if before == record and state.removed_at_s is None:
            # The same entry again, from a peer or in a complete list, must not restart the warm-up.
            return False
        state.update(record, now)
        return (before.leaving, before.address) != (record.leaving, record.address)

    def _take_address(self, record: ServerRecord) -> None:
        """Record that a new server replaces the server that had its address before."""
        key = _service_address(record)
        before = self._instance_at.get(key)
        self._instance_at[key] = record.instance
        if before is not None and before != record.instance:
            self._replace(before, record.instance)

    def _replace(self, instance: str, by: str) -> None:
        """Send no more requests to a server because another one was started at its address.

        A crashed server does not deregister, so its entry remains for some heartbeats beside that of the
        server started in its place, and longer if the registry is restored from an older copy meanwhile. The
        new server would turn away requests meant for the old one, and each of them would be charged to the
        budget. A list without the new server changes nothing: it is older, or the new server is gone as well.
        """
        replaced, newer = self._by_instance.get(instance), self._by_instance[by]
        newer.replaced_by = None
        if replaced is None:
            return
        if replaced.replaced_by is None:
            self._newly_replaced.append(instance)
        replaced.replaced_by = newer

    def take_replaced(self) -> list[str]:
        """Return the servers whose addresses were taken over since the last call."""
        replaced, self._newly_replaced = self._newly_replaced, []
        return replaced

    def remove(self, instance: str, now: float) -> bool:
        """Mark a server as removed because its entry is gone; return whether it was listed."""
        state = self._by_instance.get(instance)
        if state is None or state.removed_at_s is not None:
            return False
        state.removed_at_s = now
        if self.versions.active:
            self._update_versions(state.record.service, now)
        return True

    def replace(self, records: Collection[ServerRecord], now: float) -> list[str]:
        """Replace the list of servers; return the instances that are gone."""
        listed = {record.instance for record in records}
        self._put_all(records, now)
        gone = [instance for instance in self._by_instance if instance not in listed]
        return [instance for instance in gone if self.remove(instance, now)]

    def restore(self, records: Collection[ServerRecord], now: float) -> list[str]:
        """Replace the list of servers by one whose entries may be older; return the instances that are gone.

        For an instance, leaving is final; so is being gone until a newer entry arrives.
        """
        known = {record.instance: self._by_instance.get(record.instance) for record in records}
        gone = {name for name, state in known.items() if state is not None and state.removed_at_s is not None}
        leaving = {name for name, state in known.items() if state is not None and state.record.leaving}
        newest = [
            dataclasses.replace(each, leaving=True) if each.instance in leaving else each for each in records
        ]
        return self.replace([each for each in newest if each.instance not in gone], now)

    def _put_all(self, records: Collection[ServerRecord], now: float) -> None:
        """Add or update servers, in order of age; the last one at an address is the current one."""
        for record in records:
            self._put(record, now)
        self._instance_at = {_service_address(record): record.instance for record in records}
        for record in records:
            current = self._instance_at[_service_address(record)]
            if current != record.instance:
                self._replace(record.instance, current)
        # Only after the complete list: the first of several versions is not necessarily the one in service.
        for service in {record.service for record in records} if self.versions.active else ():
            self._update_versions(service, now)

    def forget_removed(self, now: float) -> list[str]:
        """Drop servers that were removed long ago and have no attempts in flight; return their instances."""
        retention_s = REMOVED_RETENTION_FACTOR * self._options.removed_grace_s
        gone = [
            instance
            for instance, state in self._by_instance.items()
            if state.removed_at_s is not None
            and not state.in_flight
            and now - state.removed_at_s > retention_s
        ]
        for instance in gone:
            state = self._by_instance.pop(instance)
            if self._instance_at.get(_service_address(state.record)) == instance:
                del self._instance_at[_service_address(state.record)]
            for each in self.of_service(state.record.service):
                if each.replaced_by is state:
                    each.replaced_by = None
            del self._by_service[state.record.service][instance]
            if self.versions.active:
                self._update_versions(state.record.service, now)
        return gone

"""All servers that a node knows, by instance and by service, and the zones that are evacuated.

Owns the servers' states from their first entry until some time after their last, and keeps
`ServiceVersions` informed of which versions are listed. Which of the servers may get work is decided in
`eligibility`.
"""

import dataclasses
from collections import Counter
from collections.abc import Collection, Iterable

from yokesill.gateway.documents import ServerRecord
from yokesill.gateway.options import GatewayOptions
from yokesill.gateway.servers.learned_latencies import ConnectingTimes, ZoneDistances
from yokesill.gateway.servers.server_state import ServerState
from yokesill.rollouts.versions import ServiceVersions

# A removed server is dropped after so many times the grace in which it is a last resort, so that an entry
# that comes back finds its state. Chosen, not measured.
REMOVED_KEPT_GRACES = 2


class ServerTable:
    """All servers.

    ``versions`` says which versions of a service may be reached, ``distances`` how far zones are.
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
        """Count a connection that was opened to a server, in ``seconds``."""
        self.distances.connected(server.record.zone, seconds)
        self._connecting.record(server.record.service, max(0.0, seconds - server.round_trip))

    def records(self) -> list[ServerRecord]:
        """Return the entries of all servers that are still listed."""
        return [each.record for each in self._by_instance.values() if each.removed_at_s is None]

    def of_service(self, service: str) -> Iterable[ServerState]:
        """Return a service's servers."""
        return self._by_service.get(service, {}).values()

    def version_counts(self, service: str) -> dict[str, int]:
        """Return how many servers of each version are listed and don't leave."""
        return Counter(each.record.version for each in self.of_service(service) if not each.leaving)

    def _update_versions(self, service: str, now: float) -> None:
        servers = self.of_service(service)
        listed = Counter(each.record.version for each in servers if each.removed_at_s is None)
        self.versions.listed(service, listed, {each.record.version for each in servers}, now)

    @property
    def evacuated(self) -> frozenset[str]:
        """The zones whose servers get nothing new."""
        return self._evacuated

    def evacuate(self, zones: Iterable[str]) -> frozenset[str]:
        """Set which zones are evacuated; return those that were added or reopened."""
        before, self._evacuated = self._evacuated, frozenset(zones)
        return before ^ self._evacuated

    def put(self, record: ServerRecord, now: float) -> bool:
        """Add or update a server; return whether anything but its warm-up changed."""
        changed = self._put(record, now)
        if self.versions.active:
            self._update_versions(record.service, now)
        return changed

    def _put(self, record: ServerRecord, now: float) -> bool:
        state = self._by_instance.get(record.instance)
        if state is None:
            backs_off = self._options.switches.heeds_refusals
            state = ServerState(record, self.distances, self._connecting, backs_off, now)
            self._by_instance[record.instance] = state
            self._by_service.setdefault(record.service, {})[record.instance] = state
            state.update(record, now)
            return True
        before = state.record
        if before == record and state.removed_at_s is None:
            # The same entry again, from a peer or in a whole list: its warm-up does not begin anew.
            return False
        state.update(record, now)
        return (before.leaving, before.address) != (record.leaving, record.address)

    def remove(self, instance: str, now: float) -> bool:
        """Mark a server whose entry is gone; return whether it was listed."""
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

        Leaving is final for an instance, and so is being gone as long as nothing newer is heard of it.
        """
        known = {record.instance: self._by_instance.get(record.instance) for record in records}
        gone = {name for name, state in known.items() if state is not None and state.removed_at_s is not None}
        leaving = {name for name, state in known.items() if state is not None and state.record.leaving}
        newest = [
            dataclasses.replace(each, leaving=True) if each.instance in leaving else each for each in records
        ]
        return self.replace([each for each in newest if each.instance not in gone], now)

    def _put_all(self, records: Collection[ServerRecord], now: float) -> None:
        for record in records:
            self._put(record, now)
        # Only after the whole list: the first of several versions is not yet what serves.
        for service in {record.service for record in records} if self.versions.active else ():
            self._update_versions(service, now)

    def forget_removed(self, now: float) -> list[str]:
        """Drop servers that are long gone and have nothing in flight; return their instances."""
        kept_s = REMOVED_KEPT_GRACES * self._options.removed_grace_s
        gone = [
            instance
            for instance, state in self._by_instance.items()
            if state.removed_at_s is not None and not state.in_flight and now - state.removed_at_s > kept_s
        ]
        for instance in gone:
            state = self._by_instance.pop(instance)
            del self._by_service[state.record.service][instance]
            if self.versions.active:
                self._update_versions(state.record.service, now)
        return gone

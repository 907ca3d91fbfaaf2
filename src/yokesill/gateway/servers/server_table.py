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
# that comes back finds its state.
REMOVED_KEPT_GRACES = 2


# A service and an address; some deployments serve several services at one.
_Place = tuple[str, str]


def _place(record: ServerRecord) -> _Place:
    return record.service, record.address


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
        self._at_address: dict[_Place, str] = {}
        self._replaced: list[str] = []

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
        """Return the entries of all servers that are still listed; replaced ones come first.

        Whoever is told the list takes the last one at an address for the one that is there.
        """
        listed = [each for each in self._by_instance.values() if each.removed_at_s is None]
        return [each.record for each in sorted(listed, key=lambda each: not each.replaced)]

    def of_service(self, service: str) -> Iterable[ServerState]:
        """Return a service's servers."""
        return self._by_service.get(service, {}).values()

    def version_counts(self, service: str) -> dict[str, int]:
        """Return how many servers of each version are listed and don't leave."""
        return Counter(each.record.version for each in self.of_service(service) if not each.leaving)

    def _update_versions(self, service: str, now: float) -> None:
        servers = self.of_service(service)
        listed = Counter(each.record.version for each in servers if each.removed_at_s is None)
        self.versions.set_listed(service, listed, {each.record.version for each in servers}, now)

    @property
    def evacuated(self) -> frozenset[str]:
        """The zones whose servers get nothing new."""
        return self._evacuated

    def evacuate(self, zones: Iterable[str]) -> frozenset[str]:
        """Set which zones are evacuated; return those that were added or reopened."""
        before, self._evacuated = self._evacuated, frozenset(zones)
        return before ^ self._evacuated

    def put(self, record: ServerRecord, now: float) -> bool:
        """Add or update a server; return whether anything but its warm-up changed.

        One that was not known before has taken its address over from whoever had it.
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

    def _take_address(self, record: ServerRecord) -> None:
        """Note that a new server has its address from whoever was there before."""
        place = _place(record)
        before = self._at_address.get(place)
        self._at_address[place] = record.instance
        if before is not None and before != record.instance:
            self._replace(before, record.instance)

    def _replace(self, instance: str, by: str) -> None:
        """Give nothing more to a server since another one was started at its address.

        A server that crashed says nothing, so its entry stands for some heartbeats more beside that of the
        server started in its place, longer if the registry comes back from an older copy meanwhile. The new
        one would turn away what is meant for the old one, and each such arrival counts against the budget.
        A list that lacks the new one changes nothing: it is older, or that one is gone as well.
        """
        replaced, newer = self._by_instance.get(instance), self._by_instance[by]
        newer.replaced_by = None
        if replaced is None:
            return
        if replaced.replaced_by is None:
            self._replaced.append(instance)
        replaced.replaced_by = newer

    def take_replaced(self) -> list[str]:
        """Return the servers whose addresses others have taken over since the last call."""
        replaced, self._replaced = self._replaced, []
        return replaced

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
        """Add or update servers, the newest last: of those at one address the last one is there."""
        for record in records:
            self._put(record, now)
        self._at_address = {_place(record): record.instance for record in records}
        for record in records:
            there = self._at_address[_place(record)]
            if there != record.instance:
                self._replace(record.instance, there)
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
            if self._at_address.get(_place(state.record)) == instance:
                del self._at_address[_place(state.record)]
            for each in self.of_service(state.record.service):
                if each.replaced_by is state:
                    each.replaced_by = None
            del self._by_service[state.record.service][instance]
            if self.versions.active:
                self._update_versions(state.record.service, now)
        return gone

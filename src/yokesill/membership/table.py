"""The member table: the newest record of each member, and the unreachable zones."""

from dataclasses import replace

import xxhash

from yokesill.membership.records import MemberRecord, MemberStatus
from yokesill.resources.hashing import rendezvous_weight

# How long a dead member stays in the table, so that old rumors of it are recognised and the end of a
# network partition is detected.
DEAD_RETENTION_S = 600.0


class MemberTable:
    """All known members, including this node."""

    def __init__(self, own: MemberRecord) -> None:
        self.own = own
        self.version = 0
        self.unreachable_zones: set[str] = set()
        self._records: dict[str, MemberRecord] = {own.address: own}
        self._changed_at: dict[str, float] = {}
        self._digest = _record_hash(own)
        self._serving: list[MemberRecord] | None = None

    @property
    def digest(self) -> int:
        """A hash of the table; members with equal tables have equal digests."""
        return self._digest

    def get(self, address: str) -> MemberRecord | None:
        """Return the record of the member at ``address``."""
        return self._records.get(address)

    def all(self) -> list[MemberRecord]:
        """Return every record."""
        return list(self._records.values())

    def serving(self) -> list[MemberRecord]:
        """Return the serving members, including this node; the caller must not modify the list."""
        if self._serving is None:
            self._serving = [each for each in self._records.values() if each.serving]
        return self._serving

    def reachable(self) -> list[MemberRecord]:
        """Return the serving members outside of unreachable zones."""
        return [each for each in self.serving() if each.zone not in self.unreachable_zones]

    def peers(self) -> list[MemberRecord]:
        """Return the serving members other than this node."""
        return [each for each in self.serving() if each.address != self.own.address]

    def dead(self) -> list[MemberRecord]:
        """Return the members that are declared dead."""
        return [each for each in self._records.values() if each.status is MemberStatus.DEAD]

    def merge(self, record: MemberRecord, now: float) -> bool:
        """Store ``record`` if it is newer; return whether it was."""
        known = self._records.get(record.address)
        if known is not None and not record.outranks(known):
            return False
        self._store(record, now)
        return True

    def refute(self, claimed: MemberRecord, now: float) -> bool:
        """Refute a peer's record of this node if it outranks the own one; return whether it did."""
        if not claimed.outranks(self.own):
            return False
        self._store(replace(self.own, incarnation=claimed.incarnation + 1), now)
        return True

    def leave(self, now: float) -> None:
        """Mark this node as leaving."""
        self._store(replace(self.own, status=MemberStatus.LEAVING), now)

    def expire(self, now: float) -> None:
        """Remove members that have been dead for longer than ``DEAD_RETENTION_S``."""
        for record in self.dead():
            if now - self._changed_at.get(record.address, now) > DEAD_RETENTION_S:
                self._digest ^= _record_hash(record)
                del self._records[record.address]
                self._serving = None

    def rank(self, subject: str, members: list[MemberRecord]) -> list[MemberRecord]:
        """Return ``members`` in descending order of their rendezvous weight for ``subject``."""
        return sorted(members, key=lambda each: rendezvous_weight(each.address, subject), reverse=True)

    def _store(self, record: MemberRecord, now: float) -> None:
        known = self._records.get(record.address)
        if known is not None:
            self._digest ^= _record_hash(known)
        self._digest ^= _record_hash(record)
        self._records[record.address] = record
        self._serving = None
        self._changed_at[record.address] = now
        if record.address == self.own.address:
            self.own = record
        if known is None or known.serving != record.serving:
            self.version += 1


def _record_hash(record: MemberRecord) -> int:
    """Hash the fields that all members must agree on.

    Suspicions are left out because they are temporary, and dead members because they are removed.
    """
    if record.status is MemberStatus.DEAD:
        return 0
    status = MemberStatus.LEAVING if record.status is MemberStatus.LEAVING else MemberStatus.ALIVE
    return xxhash.xxh64_intdigest(f"{record.address}\x00{record.incarnation}\x00{status}".encode())

"""Member records and their wire form."""

import enum
from dataclasses import dataclass
from typing import Any


class MemberStatus(enum.IntEnum):
    """A member's status; within one incarnation the higher one wins."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


@dataclass(frozen=True, slots=True)
class MemberRecord:
    """The state of a member.

    ``incarnation`` is set by the member itself: it starts from the wall clock in milliseconds, so that after
    a restart it outranks all earlier records, and increases when the member refutes a suspicion.
    """

    address: str
    zone: str
    region: str
    incarnation: int
    status: MemberStatus

    def outranks(self, other: "MemberRecord") -> bool:
        """Whether this record replaces ``other``."""
        return (self.incarnation, self.status) > (other.incarnation, other.status)

    @property
    def serving(self) -> bool:
        """Whether the member is active: alive or only suspected."""
        return self.status in (MemberStatus.ALIVE, MemberStatus.SUSPECT)

    def to_wire(self) -> list[Any]:
        """Return the wire form of the record."""
        return [self.address, self.zone, self.region, self.incarnation, int(self.status)]


def record_from_wire(item: Any) -> MemberRecord | None:
    """Parse the form that ``to_wire`` returns; ``None`` if it is malformed."""
    if not isinstance(item, list) or len(item) != 5:
        return None
    address, zone, region, incarnation, status = item
    texts_valid = all(isinstance(each, str) for each in (address, zone, region))
    if not texts_valid or not isinstance(incarnation, int) or status not in (0, 1, 2, 3):
        return None
    return MemberRecord(address, zone, region, incarnation, MemberStatus(status))

"""Members and what is said of them."""

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
    """What is known of a member.

    ``incarnation`` is the member's own: it starts from the wall clock in milliseconds, so that a
    restart outranks everything said before, and rises when the member refutes a suspicion.
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
        """Whether the member takes part: alive or only suspected."""
        return self.status in (MemberStatus.ALIVE, MemberStatus.SUSPECT)

    def to_wire(self) -> list[Any]:
        """Return the form in which peers exchange it."""
        return [self.address, self.zone, self.region, self.incarnation, int(self.status)]


def record_from_wire(item: Any) -> MemberRecord | None:
    """Read ``to_wire``'s form; ``None`` when it is malformed."""
    if not isinstance(item, list) or len(item) != 5:
        return None
    address, zone, region, incarnation, status = item
    texts_hold = all(isinstance(each, str) for each in (address, zone, region))
    if not texts_hold or not isinstance(incarnation, int) or status not in (0, 1, 2, 3):
        return None
    return MemberRecord(address, zone, region, incarnation, MemberStatus(status))

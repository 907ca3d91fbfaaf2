"""Roll-out orders, their states and identities, and the contract's limits."""

import enum
from typing import NamedTuple

from yokesill.positions import Position


class RolloutState(enum.StrEnum):
    """State of a roll-out; the registry's record is authoritative.

    ``ORDERED``: no decider has started it, and the new version gets no requests. ``CANARY``: the new version
    gets the share that the deciders announce. ``SWITCHING``: all new requests go to the new version while the
    old servers still run. ``COMPLETED`` and ``ROLLED_BACK`` are final.
    """

    ORDERED = "ordered"
    CANARY = "canary"
    SWITCHING = "switching"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"

    @property
    def final(self) -> bool:
        """Whether the state can no longer change."""
        return self in (RolloutState.COMPLETED, RolloutState.ROLLED_BACK)

    @property
    def rank(self) -> int:
        """Position in the sequence of states; a record never returns to a state of lower rank."""
        return _RANKS[self]


_RANKS = {
    RolloutState.ORDERED: 0,
    RolloutState.CANARY: 1,
    RolloutState.SWITCHING: 2,
    RolloutState.COMPLETED: 3,
    RolloutState.ROLLED_BACK: 3,
}


class OrderId(NamedTuple):
    """Identity of one order, which stays the same while its record changes.

    ``created_revision`` is the registry revision at which the order object was created. Withdrawing an order
    and creating it again, or replacing it with one for another version, gives a different order.
    """

    service: str
    created_revision: int
    target: str


class RolloutOrder(NamedTuple):
    """An order and its record, as the registry holds them at ``revision`` of ``timeline``.

    ``target`` is the version to move to, within ``duration_s`` of the order's creation. ``elapsed_s`` is how
    much of that time had passed when the record was read or written, according to the record; it is 0 for an
    order that no decider has started. ``reason`` explains the state. ``problem`` says why an invalid order
    can't be carried out; it is empty for a valid one. ``numeric_target`` means that the target was written as
    a number, and is stored in the record as one.
    """

    service: str
    target: str
    duration_s: float
    created_revision: int
    revision: int
    state: RolloutState = RolloutState.ORDERED
    elapsed_s: float = 0.0
    reason: str = ""
    problem: str = ""
    numeric_target: bool = False
    timeline: int = 0

    @property
    def position(self) -> Position:
        """Position in the registry's history that this order was read or written at."""
        return Position(self.timeline, self.revision)

    @property
    def id(self) -> OrderId:
        """Identity of the order."""
        return OrderId(self.service, self.created_revision, self.target)

    def restored(self, known: "RolloutOrder") -> "RolloutOrder":
        """Return this order, read from a restored registry, with the state ``known`` had if that is further.

        The restored registry has lost that record; the deciders write it again.
        """
        if self.id != known.id or known.state.rank <= self.state.rank:
            return self
        return self._replace(state=known.state, elapsed_s=known.elapsed_s, reason=known.reason)


class RevisionConflict(NamedTuple):
    """A record was not written because its revision had changed.

    ``order`` is the order as the registry holds it now, or ``None`` if it was deleted.
    """

    order: RolloutOrder | None


class RolloutLimits(NamedTuple):
    """The contract's limits on a bad version.

    It may get ``canary_share`` of a service's requests plus ``canary_slack`` requests, counted over all nodes
    from the order to its deadline, and none later than ``rollback_s`` after its 50th bad answer.
    """

    canary_share: float = 0.1
    canary_slack: float = 50.0
    rollback_s: float = 5.0

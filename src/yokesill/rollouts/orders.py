"""What operators order, and how far it has come."""

import enum
from typing import NamedTuple

from yokesill.positions import Position


class RolloutState(enum.StrEnum):
    """How far a roll-out has come; the registry's record decides.

    ``ORDERED``: nobody has taken it up, the new version gets nothing. ``CANARY``: the new version gets the
    share that the deciders announce. ``SWITCHING``: all new work goes to the new version, the old
    servers still run. The last two are final.
    """

    ORDERED = "ordered"
    CANARY = "canary"
    SWITCHING = "switching"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"

    @property
    def final(self) -> bool:
        """Whether it stays so."""
        return self in (RolloutState.COMPLETED, RolloutState.ROLLED_BACK)

    @property
    def rank(self) -> int:
        """The order of states; a record never goes back to a lower one."""
        return _RANKS[self]


_RANKS = {
    RolloutState.ORDERED: 0,
    RolloutState.CANARY: 1,
    RolloutState.SWITCHING: 2,
    RolloutState.COMPLETED: 3,
    RolloutState.ROLLED_BACK: 3,
}


class OrderId(NamedTuple):
    """Names one order: it stays the same while its record changes.

    ``made`` is the registry's position at which the order's object was made. An order that is withdrawn
    and made again, or replaced by one for another version, is another one.
    """

    service: str
    made: int
    target: str


class RolloutOrder(NamedTuple):
    """An order and its record, as the registry holds them at ``revision`` of ``timeline``.

    ``target`` is the version to move to, within ``duration_s`` from the order. ``elapsed_s`` is how much of
    that had passed when it was read or written, as far as the record tells; for an order that nobody has
    taken up, 0. ``reason`` says why the state is what it is. ``problem``
    says what is wrong with an order that can't be carried out; it is empty for a proper one. ``numbered``:
    its target was written as a number, and so stands in the record.
    """

    service: str
    target: str
    duration_s: float
    made: int
    revision: int
    state: RolloutState = RolloutState.ORDERED
    elapsed_s: float = 0.0
    reason: str = ""
    problem: str = ""
    numbered: bool = False
    timeline: int = 0

    @property
    def position(self) -> Position:
        """Where in the registry's history it stands so."""
        return Position(self.timeline, self.revision)

    @property
    def id(self) -> OrderId:
        """What names it."""
        return OrderId(self.service, self.made, self.target)

    def restored(self, known: "RolloutOrder") -> "RolloutOrder":
        """Return this order of a restored registry with the state that was known of it, if that was further.

        The registry lost the record of it; the deciders write it again.
        """
        if self.id != known.id or known.state.rank <= self.state.rank:
            return self
        return self._replace(state=known.state, elapsed_s=known.elapsed_s, reason=known.reason)


class Overtaken(NamedTuple):
    """A record was not written: somebody changed it before.

    ``order`` is how it stands; ``None`` if it is gone.
    """

    order: RolloutOrder | None


class RolloutLimits(NamedTuple):
    """The contract's figures.

    A bad version may get ``canary_share`` of a service's requests and ``canary_slack`` requests more, over
    all nodes from the order to its deadline; and nothing later than ``rollback_s`` after its 50th bad answer.
    """

    canary_share: float = 0.1
    canary_slack: float = 50.0
    rollback_s: float = 5.0

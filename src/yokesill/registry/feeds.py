"""The registry behind an abstract interface: feeds to follow, a directory of nodes, records to write.

The registry keeps every change under a rising position (``positions``). A feed is followed by listing it once
and then calling for changes after the last known position. ``platform.feeds`` and ``cli.gateway`` implement
the interface.
"""

import abc
from typing import Any, NamedTuple

from yokesill.gateway.events import Event
from yokesill.positions import Position
from yokesill.rollouts.orders import RevisionConflict, RolloutOrder
from yokesill.verdict import Failure


class Problem(NamedTuple):
    """An entry that can't be used, and why; the state before it is kept."""

    place: str
    message: str


class Batch(NamedTuple):
    """Events up to ``position``, in order; ``complete`` when they are all there is at that moment."""

    position: Position
    events: tuple[Event, ...]
    problems: tuple[Problem, ...] = ()


class HistoryLost(NamedTuple):
    """Changes after the asked position are not kept any more: list again, on ``timeline`` (0: not told)."""

    timeline: int = 0


class Feed(abc.ABC):
    """One kind of entries."""

    name: str

    @abc.abstractmethod
    async def list(self, stale: bool = False) -> Batch | Failure:
        """Return everything as of now; a missing entry counts as removed.

        With ``stale`` it is cheap and may be seconds old, and older than its position says.
        """

    @abc.abstractmethod
    async def changes(self, position: Position, wait: float) -> Batch | HistoryLost | Failure:
        """Return the changes after ``position``; with none, wait up to ``wait`` seconds for one.

        A registry that was restored since answers with its changes after the same revision: the batch's
        timeline then differs from that of ``position``, and the batch leads on from nothing known.
        """

    async def peek(self, position: Position) -> Batch | HistoryLost | Failure:
        """Return the changes after ``position`` at once and cheaply; they may be seconds old.

        A feed that can't be asked cheaply knows of none.
        """
        return Batch(position, ())


class NodeContact(NamedTuple):
    """A node and how others reach it.

    Its zone, and ``IP:PORT`` each for datagrams on servers (``datagrams``), datagrams of watchers
    (``reports``), HTTP calls (``peers``) and datagrams on roll-outs (``rollouts``); empty where it can't be
    reached. ``cores`` is how much of a processor it has.
    """

    node: str
    zone: str = ""
    datagrams: str = ""
    reports: str = ""
    peers: str = ""
    cores: float = 1.0
    rollouts: str = ""


def contact_of(name: str, announced: Any) -> NodeContact:
    """Read a node's announcement; fields that are missing, as of an older release, keep their defaults."""
    announced = announced if isinstance(announced, dict) else {}
    zone, datagrams, reports, peers, rollouts = (
        str(announced.get(field, "")) for field in ("zone", "datagrams", "reports", "peers", "rollouts")
    )
    cores = announced.get("cores")
    announced_cores = float(cores) if isinstance(cores, int | float) else 1.0
    return NodeContact(name, zone, datagrams, reports, peers, announced_cores, rollouts)


class NodeEntry(NamedTuple):
    """An announced node and the revision of its last announcement."""

    contact: NodeContact
    revision: int


class NodeDirectory(abc.ABC):
    """The nodes that share budgets, connections and what they see of servers."""

    @abc.abstractmethod
    async def announce(self, contact: NodeContact, beat: int) -> Failure | None:
        """Say that a node is there; ``beat`` rises with each call."""

    @abc.abstractmethod
    async def nodes(self) -> tuple[NodeEntry, ...] | Failure:
        """Return the announced nodes; may be seconds old."""


class RolloutRecords(abc.ABC):
    """Where the state of roll-outs is kept for good."""

    @abc.abstractmethod
    async def record(self, order: RolloutOrder) -> RolloutOrder | RevisionConflict | Failure:
        """Write an order's state, elapsed time and reason, if it is still at ``order.revision``.

        Returns
        -------
        RolloutOrder or RevisionConflict or Failure
            The order as it stands now, at its new revision. A failure with verdict ``MAY_HAVE_RUN`` may
            still take effect later, as long as the revision stays. Nothing is written once the registry
            is on another timeline than the order: its revision may name another change there.
        """


class QuarantineRecords(abc.ABC):
    """Where it is recorded for good which requests are kept from servers, by their fingerprints."""

    @abc.abstractmethod
    async def record(self, fingerprint: str) -> Failure | None:
        """Record a request; one that is recorded already stays as it is."""

    @abc.abstractmethod
    async def lift(self, fingerprint: str) -> Failure | None:
        """Take a request off the record; one that isn't on it is no failure."""

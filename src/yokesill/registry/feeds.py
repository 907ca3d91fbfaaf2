"""Abstract interface of the registry: feeds to follow, a directory of nodes, records to write.

The registry stores every change under an increasing position (``positions``). A feed is followed by listing
it once and then requesting the changes after the last known position. ``platform.feeds`` and ``cli.gateway``
implement the interface.
"""

import abc
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

from yokesill.gateway.events import Event
from yokesill.positions import Position
from yokesill.rollouts.orders import RevisionConflict, RolloutOrder
from yokesill.serving.object_fields import ObjectError, parse_endpoint, parse_number
from yokesill.verdict import Failure


class Problem(NamedTuple):
    """An invalid entry and the reason; the state before it is kept."""

    place: str
    message: str


class Batch(NamedTuple):
    """Events up to ``position``, in order, and the invalid entries among them."""

    position: Position
    events: tuple[Event, ...]
    problems: tuple[Problem, ...] = ()


class HistoryLost(NamedTuple):
    """Changes after the requested position are no longer kept: list again, on ``timeline`` (0: unknown)."""

    timeline: int = 0


# Reads the registry's position within some seconds. With ``stale`` the call is cheap, and the position may be
# that of seconds ago; else it is the position of some moment after the call began.
ReadPosition = Callable[[bool, float], Awaitable[Position | Failure]]


def _learn_nothing(_event: Event) -> None:
    pass


class Feed(abc.ABC):
    """The registry's entries of one kind.

    ``learn`` is called with each event that the node applies, whether this feed or another node sent it.
    """

    name: str
    learn: Callable[[Event], None] = staticmethod(_learn_nothing)

    @abc.abstractmethod
    async def list(self, stale: bool = False) -> Batch | Failure:
        """Return all current entries; an entry that is missing counts as removed.

        With ``stale`` the call is cheap, and its result may be seconds old and older than its position.
        """

    @abc.abstractmethod
    async def changes(self, position: Position, wait: float) -> Batch | HistoryLost | Failure:
        """Return the changes after ``position``; if there are none, wait up to ``wait`` seconds for one.

        A registry that was restored in the meantime answers with its changes after the same revision: the
        batch's timeline then differs from that of ``position``, and the batch can't be applied to a known
        state.
        """

    async def peek(self, position: Position) -> Batch | HistoryLost | Failure:
        """Return the changes after ``position`` without waiting; the call is cheap and may be seconds stale.

        A feed without cheap calls returns no changes.
        """
        return Batch(position, ())


class NodeContact(NamedTuple):
    """A node's name, zone and addresses.

    Each address is an ``IP:PORT``: for datagrams on servers (``datagrams``), watchers' datagrams
    (``reports``), HTTP calls (``peers``) and datagrams on roll-outs (``rollouts``); empty if the node can't
    be reached that way. ``cores`` is the number of CPU cores that it has, which may be a fraction.
    """

    node: str
    zone: str = ""
    datagrams: str = ""
    reports: str = ""
    peers: str = ""
    cores: float = 1.0
    rollouts: str = ""


def contact_of(name: str, announced: Any) -> NodeContact:
    """Decode a node's announcement; fields that an older release doesn't send keep their defaults."""
    announced = announced if isinstance(announced, dict) else {}
    datagrams, reports, peers, rollouts = (
        _endpoint_or_none(announced.get(field)) for field in ("datagrams", "reports", "peers", "rollouts")
    )
    zone = announced.get("zone", "")
    return NodeContact(
        name,
        zone if isinstance(zone, str) and zone.isprintable() else "",
        datagrams,
        reports,
        peers,
        _cores(announced.get("cores")),
        rollouts,
    )


def _endpoint_or_none(value: Any) -> str:
    """Return an ``IP:PORT``; empty if the value is anything else, so that the node isn't reached that way."""
    try:
        parse_endpoint(value)
    except ObjectError:
        return ""
    return str(value)


def _cores(value: Any) -> float:
    try:
        cores = parse_number(value)
    except ObjectError:
        return 1.0
    return cores if cores > 0.0 else 1.0


class NodeEntry(NamedTuple):
    """An announced node and the revision of its last announcement."""

    contact: NodeContact
    revision: int


class NodeDirectory(abc.ABC):
    """The nodes that share budgets, connections and observations of servers."""

    @abc.abstractmethod
    async def announce(self, contact: NodeContact, beat: int) -> Failure | None:
        """Write a node's heartbeat; ``beat`` increases with each call."""

    @abc.abstractmethod
    async def nodes(self) -> tuple[NodeEntry, ...] | Failure:
        """Return the announced nodes; the result may be seconds stale."""


class RolloutRecords(abc.ABC):
    """Persistent storage of the state of roll-outs."""

    @abc.abstractmethod
    async def record(self, order: RolloutOrder) -> RolloutOrder | RevisionConflict | Failure:
        """Write an order's state, elapsed time and reason, if it is still at ``order.revision``.

        Returns
        -------
        RolloutOrder or RevisionConflict or Failure
            The current order at its new revision. A write that failed with the verdict ``MAY_HAVE_RUN`` may
            still take effect later, as long as the revision stays the same. Nothing is written if the
            registry is on another timeline than the order, where its revision may refer to another change.
        """


class StoredVersions(NamedTuple):
    """The record of established versions as stored; ``position`` is ``None`` before the first write."""

    position: Position | None
    value: Any


class VersionRecords(abc.ABC):
    """Persistent storage of which versions of each service serve without an order, in one record."""

    @abc.abstractmethod
    async def read(self, stale: bool) -> StoredVersions | Failure:
        """Return the record; with ``stale`` the call is cheap, and the record may be that of seconds ago."""

    @abc.abstractmethod
    async def write(self, before: StoredVersions, value: Any) -> Failure | None:
        """Write the record if it is still ``before``.

        Whether another node was first is not told: read it again.
        """


class QuarantineRecords(abc.ABC):
    """Persistent storage of the fingerprints of quarantined requests, which are not sent to servers."""

    @abc.abstractmethod
    async def record(self, fingerprint: str) -> Failure | None:
        """Add a request's fingerprint; one that is already recorded stays unchanged."""

    @abc.abstractmethod
    async def lift(self, fingerprint: str) -> Failure | None:
        """Remove a request's fingerprint; one that isn't recorded is not a failure."""

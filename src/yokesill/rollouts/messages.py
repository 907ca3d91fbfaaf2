"""What nodes and deciders tell one another of roll-outs, as CBOR datagrams of at most ``DATAGRAM_BYTES``.

Nothing hangs on the arrival of one datagram: counts are totals, words are repeated, and a lost report costs
some samples.
"""

from collections.abc import Iterable, Iterator
from functools import singledispatch
from typing import Any, NamedTuple, TypeVar

import cbor2

from yokesill.rollouts.orders import OrderId, RolloutState

DATAGRAM_BYTES = 1200
# Samples that an entry of a report carries, the latest ones: twelve in half a second are 24 requests a
# second of one service through one node.
SAMPLES_PER_ENTRY = 12
# Kind, node's name (253 bytes at most, as names of hosts), incarnation and the heads of the lists.
FRAME_BYTES = 290
# More is no count of anything; times in milliseconds stay below it for 285,000 years.
LARGEST_COUNT = 2**53
_REPORT, _WORD = 11, 12


class Sample(NamedTuple):
    """How one attempt ended.

    ``latency_s`` is the server's own time, without the way there; ``None`` where it says nothing: after a
    failure, and of a cold server.
    """

    route: str
    instance: str
    new: bool
    succeeded: bool
    latency_s: float | None = None


class OrderReport(NamedTuple):
    """What one node did and saw under one order since it learnt of it.

    ``state`` is what the node obeys. ``sent_old`` and ``sent_new`` are totals of requests sent to servers
    of the old and of the new version, and ``old_in_flight`` how many are under way at old ones.
    """

    order: OrderId
    state: RolloutState
    sent_old: int
    sent_new: int
    old_in_flight: int
    samples: tuple[Sample, ...] = ()


class RolloutReport(NamedTuple):
    """A node's sign of life to the deciders; ``incarnation`` tells its starts apart."""

    node: str
    incarnation: int
    orders: tuple[OrderReport, ...]


class OrderDecision(NamedTuple):
    """What holds for one order.

    ``share`` (0 to 1) of the service's requests goes to the new version while ``state`` is ``CANARY``.
    ``state`` was recorded in the registry before it is told, but for ``ROLLED_BACK``: nothing more goes
    to the new version from the moment at which anybody says so. ``elapsed_s`` has passed since the order.
    """

    order: OrderId
    state: RolloutState
    share: float
    elapsed_s: float


class RolloutDecisions(NamedTuple):
    """A decider's word, which holds for ``valid_s`` from its arrival.

    ``able``: it can reach the registry, so that others may leave deciding to it.
    """

    node: str
    able: bool
    valid_s: float
    orders: tuple[OrderDecision, ...]


Message = RolloutReport | RolloutDecisions


@singledispatch
def encode(message: Any) -> bytes:
    """Return a message's datagram."""
    raise TypeError(f"no datagram for {type(message).__name__}")


@encode.register
def _(message: RolloutReport) -> bytes:
    entries = [_entry(each) for each in message.orders]
    return cbor2.dumps([_REPORT, message.node, message.incarnation, entries])


@encode.register
def _(message: RolloutDecisions) -> bytes:
    entries = [_entry(each) for each in message.orders]
    return cbor2.dumps([_WORD, message.node, message.able, round(message.valid_s * 1000), entries])


def decode(data: bytes) -> Message:
    """Read a datagram.

    Raises
    ------
    ValueError
        It is no message of this version.
    """
    try:
        kind, node, *rest = cbor2.loads(data)
        if kind == _REPORT:
            incarnation, entries = rest
            return RolloutReport(_text(node), _count(incarnation), tuple(_report(*each) for each in entries))
        if kind == _WORD:
            able, valid_ms, entries = rest
            words = tuple(_word(*each) for each in entries)
            return RolloutDecisions(_text(node), bool(able), _count(valid_ms) / 1000, words)
    except (TypeError, ValueError, OverflowError, cbor2.CBORDecodeError) as error:
        raise ValueError(f"a malformed datagram: {error!r}") from error
    raise ValueError(f"a datagram of kind {kind!r}")


_Entry = TypeVar("_Entry", OrderReport, OrderDecision)


def in_datagrams(entries: Iterable[_Entry]) -> Iterator[tuple[_Entry, ...]]:
    """Split the entries of a message into tuples that fit into one datagram each.

    An entry with many samples is told in pieces with the same counts, which are totals: twice told is once.
    Samples that don't fit beside their entry's counts are left out, the oldest first; counts never. Names
    of up to 253 bytes are allowed for: a node's, a service's and a version's.
    """
    room = DATAGRAM_BYTES - FRAME_BYTES
    batch: list[_Entry] = []
    taken = 0
    for entry in (piece for each in entries for piece in _pieces(each)):
        fitting = _shortened(entry, room)
        size = _size(fitting)
        if batch and taken + size > room:
            yield tuple(batch)
            batch, taken = [], 0
        batch.append(fitting)
        taken += size
    if batch:
        yield tuple(batch)


@singledispatch
def _pieces(entry: Any) -> Iterator[Any]:
    """Return an entry in pieces of as many samples as one may have."""
    yield entry


@_pieces.register
def _(entry: OrderReport) -> Iterator[Any]:
    for start in range(0, max(1, len(entry.samples)), SAMPLES_PER_ENTRY):
        yield entry._replace(samples=entry.samples[start : start + SAMPLES_PER_ENTRY])


@singledispatch
def _shortened(entry: Any, room: int) -> Any:
    """Return an entry without what may be left out beyond ``room`` bytes."""
    return entry


@_shortened.register
def _(entry: OrderReport, room: int) -> Any:
    entry = entry._replace(samples=entry.samples[-SAMPLES_PER_ENTRY:])
    while entry.samples and _size(entry) > room:
        entry = entry._replace(samples=entry.samples[1:])
    return entry


def _size(entry: Any) -> int:
    return len(cbor2.dumps(_entry(entry)))


@singledispatch
def _entry(entry: Any) -> list[Any]:
    raise TypeError(f"no entry of a datagram: {type(entry).__name__}")


@_entry.register
def _(entry: OrderReport) -> list[Any]:
    counts = [entry.sent_old, entry.sent_new, entry.old_in_flight]
    samples = [_sample_to_wire(sample) for sample in entry.samples]
    return [list(entry.order), entry.state.value, *counts, samples]


@_entry.register
def _(entry: OrderDecision) -> list[Any]:
    return [list(entry.order), entry.state.value, entry.share, round(entry.elapsed_s * 1000)]


def _sample_to_wire(sample: Sample) -> list[Any]:
    latency_ms = None if sample.latency_s is None else round(sample.latency_s * 1000, 1)
    return [sample.route, sample.instance, sample.new, sample.succeeded, latency_ms]


def _report(
    order: Any, state: Any, sent_old: Any, sent_new: Any, in_flight: Any, samples: Any
) -> OrderReport:
    counts = (_count(sent_old), _count(sent_new), _count(in_flight))
    return OrderReport(_order(order), RolloutState(state), *counts, tuple(_sample(*each) for each in samples))


def _sample(route: Any, instance: Any, new: Any, succeeded: Any, latency_ms: Any) -> Sample:
    latency_s = None if latency_ms is None else float(latency_ms) / 1000
    return Sample(_text(route), _text(instance), bool(new), bool(succeeded), latency_s)


def _word(order: Any, state: Any, share: Any, elapsed_ms: Any) -> OrderDecision:
    if not 0.0 <= float(share) <= 1.0:
        raise ValueError(f"a share of {share!r}")
    return OrderDecision(_order(order), RolloutState(state), float(share), _count(elapsed_ms) / 1000)


def _order(item: Any) -> OrderId:
    service, made, target = item
    return OrderId(_text(service), _count(made), _text(target))


def _text(value: Any) -> str:
    if not isinstance(value, str):
        raise ValueError("a text is needed")
    return value


def _count(value: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int) or not 0 <= value <= LARGEST_COUNT:
        raise ValueError("a count is needed")
    return value

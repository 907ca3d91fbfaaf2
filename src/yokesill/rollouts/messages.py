"""Messages of roll-outs: reports from nodes to deciders, and decisions from deciders to nodes.

No single datagram has to arrive: counts are totals, decisions are repeated, and a lost report costs only some
samples. ``rollouts/datagrams`` splits messages into datagrams. Whether each order's time was measured follows
the decisions as an extension, which older releases skip.
"""

from collections.abc import Callable
from functools import singledispatch
from typing import Any, NamedTuple

from yokesill.peers.frame import (
    Kind,
    decode_frame,
    encode_frame,
    parse_count,
    parse_text,
    split_extension,
    with_extension,
)
from yokesill.rollouts.orders import OrderId, RolloutState


class Sample(NamedTuple):
    """Outcome of one attempt.

    ``latency_s`` is the server's processing time, without the network; it is ``None`` where it is not
    meaningful, after a failure or from a cold server.
    """

    route: str
    instance: str
    new: bool
    succeeded: bool
    latency_s: float | None = None


class OrderReport(NamedTuple):
    """One node's requests and samples under one order since it received the order.

    ``state`` is the order's effective state at the node. ``sent_old`` and ``sent_new`` are the total requests
    sent to servers of the old and the new version, and ``old_in_flight`` the requests in flight at old
    servers.
    """

    order: OrderId
    state: RolloutState
    sent_old: int
    sent_new: int
    old_in_flight: int
    samples: tuple[Sample, ...] = ()


class RolloutReport(NamedTuple):
    """A node's periodic report to the deciders; ``incarnation`` distinguishes the node's starts."""

    node: str
    incarnation: int
    orders: tuple[OrderReport, ...]


class OrderDecision(NamedTuple):
    """A decider's decision on one order.

    ``share`` (0 to 1) of the service's requests goes to the new version while ``state`` is ``CANARY``.
    ``state`` is recorded in the registry before it is announced, except for ``ROLLED_BACK``: as soon as any
    decider announces that, no more requests go to the new version. ``elapsed_s`` is the time since the order;
    ``time_measured`` means that it comes from the monotonic clock of the sender or of another decider, not
    from the record.
    """

    order: OrderId
    state: RolloutState
    share: float
    elapsed_s: float
    time_measured: bool = True


class RolloutDecisions(NamedTuple):
    """A decider's decisions on orders, valid for ``valid_s`` from their arrival.

    ``reaches_registry`` means that the decider can reach the registry, so that others may leave deciding to
    it.
    """

    node: str
    reaches_registry: bool
    valid_s: float
    orders: tuple[OrderDecision, ...]


Message = RolloutReport | RolloutDecisions


@singledispatch
def encode(message: Any) -> bytes:
    """Return a message as a datagram."""
    raise TypeError(f"cannot encode a {type(message).__name__}: expected a RolloutReport or RolloutDecisions")


@encode.register
def _(message: RolloutReport) -> bytes:
    entries = [entry_to_wire(each) for each in message.orders]
    return encode_frame(Kind.ROLLOUT_REPORT, message.node, message.incarnation, entries)


@encode.register
def _(message: RolloutDecisions) -> bytes:
    entries = [entry_to_wire(each) for each in message.orders]
    valid_ms = round(message.valid_s * 1000)
    data = encode_frame(Kind.ROLLOUT_DECISIONS, message.node, message.reaches_registry, valid_ms, entries)
    measured = [each.time_measured for each in message.orders]
    return data if all(measured) else with_extension(data, measured)


@singledispatch
def entry_to_wire(entry: Any) -> list[Any]:
    """Return one order's entry in wire format."""
    raise TypeError(f"cannot encode a {type(entry).__name__}: expected an OrderReport or OrderDecision")


@entry_to_wire.register
def _(entry: OrderReport) -> list[Any]:
    counts = [entry.sent_old, entry.sent_new, entry.old_in_flight]
    samples = [_sample_to_wire(sample) for sample in entry.samples]
    return [list(entry.order), entry.state.value, *counts, samples]


@entry_to_wire.register
def _(entry: OrderDecision) -> list[Any]:
    return [list(entry.order), entry.state.value, entry.share, round(entry.elapsed_s * 1000)]


def decode(data: bytes) -> Message:
    """Decode a datagram.

    Raises
    ------
    ValueError
        The datagram is not a valid message of this protocol version.
    """
    message = decode_frame(data, _READERS)
    if not isinstance(message, RolloutDecisions):
        return message
    _, measured = split_extension(data)
    return message if measured is None else _with_times(message, measured)


def _with_times(message: RolloutDecisions, measured: Any) -> RolloutDecisions:
    if not isinstance(measured, list) or len(measured) != len(message.orders):
        raise ValueError(f"time_measured is {measured!r}, expected a list of {len(message.orders)} items")
    orders = zip(message.orders, measured, strict=True)
    return message._replace(orders=tuple(each._replace(time_measured=bool(known)) for each, known in orders))


def _sample_to_wire(sample: Sample) -> list[Any]:
    latency_ms = None if sample.latency_s is None else round(sample.latency_s * 1000, 1)
    return [sample.route, sample.instance, sample.new, sample.succeeded, latency_ms]


def _report(node: Any, incarnation: Any, entries: Any) -> RolloutReport:
    orders = tuple(_order_report(*each) for each in entries)
    return RolloutReport(parse_text(node), parse_count(incarnation), orders)


def _order_report(
    order: Any, state: Any, sent_old: Any, sent_new: Any, in_flight: Any, samples: Any
) -> OrderReport:
    counts = (parse_count(sent_old), parse_count(sent_new), parse_count(in_flight))
    return OrderReport(_order(order), RolloutState(state), *counts, tuple(_sample(*each) for each in samples))


def _sample(route: Any, instance: Any, new: Any, succeeded: Any, latency_ms: Any) -> Sample:
    latency_s = None if latency_ms is None else float(latency_ms) / 1000
    return Sample(parse_text(route), parse_text(instance), bool(new), bool(succeeded), latency_s)


def _decisions(node: Any, reaches_registry: Any, valid_ms: Any, entries: Any) -> RolloutDecisions:
    orders = tuple(_decision(*each) for each in entries)
    return RolloutDecisions(parse_text(node), bool(reaches_registry), parse_count(valid_ms) / 1000, orders)


def _decision(order: Any, state: Any, share: Any, elapsed_ms: Any) -> OrderDecision:
    if not 0.0 <= float(share) <= 1.0:
        raise ValueError(f"share is {share!r}, expected a number from 0 to 1")
    return OrderDecision(_order(order), RolloutState(state), float(share), parse_count(elapsed_ms) / 1000)


def _order(item: Any) -> OrderId:
    service, made, target = item
    return OrderId(parse_text(service), parse_count(made), parse_text(target))


_READERS: dict[int, Callable[..., Message]] = {
    Kind.ROLLOUT_REPORT: _report,
    Kind.ROLLOUT_DECISIONS: _decisions,
}

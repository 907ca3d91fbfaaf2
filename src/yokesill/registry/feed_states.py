"""Encoding of the registry's feeds between nodes: changes in datagrams, whole feeds in CBOR replies.

Nodes of different releases exchange them during a rolling restart, so ``tests/forms`` pins their encoding.
Single entries are encoded by ``snapshots``. The registry's timeline follows a whole feed as an extension, so
that releases without timelines can still decode the feed.
"""

from collections.abc import Iterable
from functools import singledispatch
from typing import Any

import cbor2

from yokesill.gateway.events import (
    ConfigurationReceived,
    EvacuationsReplaced,
    Event,
    QuarantineLifted,
    QuarantineReplaced,
    RequestQuarantined,
    RolloutOrdered,
    RolloutsReplaced,
    RolloutWithdrawn,
    ServerListed,
    ServerRemoved,
    ServersReplaced,
    ZoneEvacuated,
    ZoneReopened,
)
from yokesill.peers.frame import parse_count, split_extension, with_extension
from yokesill.positions import Position
from yokesill.registry.feeds import Batch
from yokesill.registry.snapshots import (
    configuration_from_wire,
    configuration_to_wire,
    order_from_wire,
    order_to_wire,
    server_from_wire,
    server_to_wire,
)

CONFIGURATION, SERVERS, EVACUATIONS = "configuration", "servers", "evacuations"
ROLLOUTS, QUARANTINE = "rollouts", "quarantine"
# Tags of changes, each encoded as a pair: with a zone's name for an evacuation, with the order or its
# service's name for a roll-out, with a request's fingerprint for the quarantine.
EVACUATED, REOPENED = "evacuated", "reopened"
ORDERED, WITHDRAWN = "ordered", "withdrawn"
QUARANTINED, LIFTED = "quarantined", "lifted"

WholeFeed = (
    ConfigurationReceived | ServersReplaced | EvacuationsReplaced | RolloutsReplaced | QuarantineReplaced
)


def changes_to_wire(events: Iterable[Event]) -> list[Any] | None:
    """Encode changes for a datagram; ``None`` if one of them can only be sent as a whole feed."""
    items = [_change_to_wire(event) for event in events]
    return None if None in items else items


@singledispatch
def _change_to_wire(_event: Any) -> Any:
    return None


@_change_to_wire.register
def _(event: ServerListed) -> Any:
    return server_to_wire(event.record)


@_change_to_wire.register
def _(event: ServerRemoved) -> Any:
    return event.instance


@_change_to_wire.register
def _(event: ZoneEvacuated) -> Any:
    return [EVACUATED, event.zone]


@_change_to_wire.register
def _(event: ZoneReopened) -> Any:
    return [REOPENED, event.zone]


@_change_to_wire.register
def _(event: RolloutOrdered) -> Any:
    return [ORDERED, order_to_wire(event.order)]


@_change_to_wire.register
def _(event: RolloutWithdrawn) -> Any:
    return [WITHDRAWN, event.service]


@_change_to_wire.register
def _(event: RequestQuarantined) -> Any:
    return [QUARANTINED, event.fingerprint]


@_change_to_wire.register
def _(event: QuarantineLifted) -> Any:
    return [LIFTED, event.fingerprint]


def changes_from_wire(items: Iterable[Any], timeline: int = 0) -> tuple[Event, ...]:
    """Decode changes of one timeline.

    Raises
    ------
    ValueError
        An item is none of the known changes: a tagged pair, a server's entry, or a removed server's name.
    """
    try:
        return tuple(_change_from_wire(item, timeline) for item in items)
    except TypeError as error:
        raise ValueError(f"malformed change: {error!r}") from error


def _change_from_wire(item: Any, timeline: int) -> Event:
    if isinstance(item, str):
        return ServerRemoved(item)
    match item:
        case [str() as tag, str() as zone] if tag in (EVACUATED, REOPENED):
            return ZoneEvacuated(zone) if tag == EVACUATED else ZoneReopened(zone)
        case [str() as tag, content] if tag == ORDERED:
            return RolloutOrdered(order_from_wire(content, timeline))
        case [str() as tag, str() as service] if tag == WITHDRAWN:
            return RolloutWithdrawn(service)
        case [str() as tag, str() as name] if tag in (QUARANTINED, LIFTED):
            return RequestQuarantined(name) if tag == QUARANTINED else QuarantineLifted(name)
    return ServerListed(server_from_wire(item))


def encode_state(event: WholeFeed, position: Position) -> bytes:
    """Encode a whole feed as of ``position``."""
    feed, content = _feed_to_wire(event, position.timeline)
    data = cbor2.dumps([feed, position.revision, content])
    return with_extension(data, position.timeline) if position.timeline else data


@singledispatch
def _feed_to_wire(event: Any, timeline: int) -> tuple[str, Any]:
    """Return a whole feed's name and its encoded content on a timeline."""
    raise TypeError(f"not the event of a whole feed: {event!r}")


@_feed_to_wire.register
def _(event: ConfigurationReceived, _timeline: int) -> tuple[str, Any]:
    return CONFIGURATION, configuration_to_wire(event.configuration)


@_feed_to_wire.register
def _(event: ServersReplaced, _timeline: int) -> tuple[str, Any]:
    return SERVERS, [server_to_wire(record) for record in event.records]


@_feed_to_wire.register
def _(event: EvacuationsReplaced, _timeline: int) -> tuple[str, Any]:
    return EVACUATIONS, sorted(event.zones)


@_feed_to_wire.register
def _(event: RolloutsReplaced, timeline: int) -> tuple[str, Any]:
    # The registry may have lost an order that was read on an earlier timeline: on this one its revision may
    # refer to another change.
    return ROLLOUTS, [order_to_wire(order) for order in event.orders if order.timeline == timeline]


@_feed_to_wire.register
def _(event: QuarantineReplaced, _timeline: int) -> tuple[str, Any]:
    return QUARANTINE, sorted(event.fingerprints)


def decode_state(data: bytes) -> Batch:
    """Decode a whole feed.

    Raises
    ------
    ValueError
        The data is malformed.
    """
    try:
        (feed, revision, content), extension = split_extension(data)
        if type(revision) is not int:
            raise ValueError(f"revision is {revision!r}, expected an integer")
        timeline = 0 if extension is None else parse_count(extension)
        event: Event
        if feed == CONFIGURATION:
            event = ConfigurationReceived(configuration_from_wire(content))
        elif feed == SERVERS:
            event = ServersReplaced(tuple(server_from_wire(each) for each in content))
        elif feed == EVACUATIONS:
            event = EvacuationsReplaced(frozenset(str(zone) for zone in content))
        elif feed == ROLLOUTS:
            event = RolloutsReplaced(tuple(order_from_wire(each, timeline) for each in content))
        elif feed == QUARANTINE:
            event = QuarantineReplaced(frozenset(str(name) for name in content))
        else:
            raise ValueError(f"unknown feed {feed!r}")
    except (KeyError, TypeError, AttributeError, cbor2.CBORDecodeError) as error:
        raise ValueError(f"malformed feed: {error!r}") from error
    return Batch(Position(timeline, revision), (event,))

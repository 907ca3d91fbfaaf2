"""The forms in which nodes exchange the registry's feeds: changes in datagrams, whole feeds in CBOR replies.

Nodes of different releases exchange them during a rolling restart: the forms are pinned by ``tests/forms``.
Single entries have the forms of ``snapshots``. The registry's timeline stands behind a whole feed, so that
releases without it read the feed as before.
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
from yokesill.peers.frame import count, split_extension, with_extension
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
# A change of one zone is a pair of this word and the zone's name; one of an order a pair of its word and the
# order, or its service's name; one of the quarantine a pair of its word and a request's fingerprint.
EVACUATED, REOPENED = "evacuated", "reopened"
ORDERED, WITHDRAWN = "ordered", "withdrawn"
QUARANTINED, LIFTED = "quarantined", "lifted"

WholeFeed = (
    ConfigurationReceived | ServersReplaced | EvacuationsReplaced | RolloutsReplaced | QuarantineReplaced
)


def changes_to_wire(events: Iterable[Event]) -> list[Any] | None:
    """Return changes for a datagram; ``None`` when only the whole feed tells them."""
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
    """Read changes of one timeline.

    Raises
    ------
    ValueError
        An item is neither a zone, nor an order, nor a server's entry, nor the name of one that is gone.
    """
    try:
        return tuple(_change_from_wire(item, timeline) for item in items)
    except TypeError as error:
        raise ValueError(f"a malformed change: {error!r}") from error


def _change_from_wire(item: Any, timeline: int) -> Event:
    if isinstance(item, str):
        return ServerRemoved(item)
    match item:
        case [str() as word, str() as zone] if word in (EVACUATED, REOPENED):
            return ZoneEvacuated(zone) if word == EVACUATED else ZoneReopened(zone)
        case [str() as word, content] if word == ORDERED:
            return RolloutOrdered(order_from_wire(content, timeline))
        case [str() as word, str() as service] if word == WITHDRAWN:
            return RolloutWithdrawn(service)
        case [str() as word, str() as name] if word in (QUARANTINED, LIFTED):
            return RequestQuarantined(name) if word == QUARANTINED else QuarantineLifted(name)
    return ServerListed(server_from_wire(item))


def encode_state(event: WholeFeed, position: Position) -> bytes:
    """Return a whole feed as known at ``position``."""
    feed, content = _whole_to_wire(event, position.timeline)
    data = cbor2.dumps([feed, position.revision, content])
    return with_extension(data, position.timeline) if position.timeline else data


@singledispatch
def _whole_to_wire(event: Any, timeline: int) -> tuple[str, Any]:
    """Return a whole feed's name and content as told on a timeline."""
    raise TypeError(f"no feed: {event!r}")


@_whole_to_wire.register
def _(event: ConfigurationReceived, _timeline: int) -> tuple[str, Any]:
    return CONFIGURATION, configuration_to_wire(event.configuration)


@_whole_to_wire.register
def _(event: ServersReplaced, _timeline: int) -> tuple[str, Any]:
    return SERVERS, [server_to_wire(record) for record in event.records]


@_whole_to_wire.register
def _(event: EvacuationsReplaced, _timeline: int) -> tuple[str, Any]:
    return EVACUATIONS, sorted(event.zones)


@_whole_to_wire.register
def _(event: RolloutsReplaced, timeline: int) -> tuple[str, Any]:
    # An order that was read on an earlier timeline may be lost: its revision would name another change.
    return ROLLOUTS, [order_to_wire(order) for order in event.orders if order.timeline == timeline]


@_whole_to_wire.register
def _(event: QuarantineReplaced, _timeline: int) -> tuple[str, Any]:
    return QUARANTINE, sorted(event.fingerprints)


def decode_state(data: bytes) -> Batch:
    """Read a whole feed.

    Raises
    ------
    ValueError
        It is malformed.
    """
    try:
        (feed, revision, content), extension = split_extension(data)
        if type(revision) is not int:
            raise ValueError(f"a revision {revision!r}")
        timeline = 0 if extension is None else count(extension)
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
            raise ValueError(f"a feed {feed!r}")
    except (KeyError, TypeError, AttributeError, cbor2.CBORDecodeError) as error:
        raise ValueError(f"a malformed feed: {error!r}") from error
    return Batch(Position(timeline, revision), (event,))

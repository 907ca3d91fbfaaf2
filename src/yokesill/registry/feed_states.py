"""The forms in which nodes exchange the registry's feeds: changes in datagrams, whole feeds in CBOR replies.

Nodes of different releases exchange them during a rolling restart: the forms are pinned by ``tests/forms``.
Single entries have the forms of ``snapshots``.
"""

from collections.abc import Iterable
from functools import singledispatch
from typing import Any

import cbor2

from yokesill.gateway.events import (
    ConfigurationLearnt,
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
    ConfigurationLearnt | ServersReplaced | EvacuationsReplaced | RolloutsReplaced | QuarantineReplaced
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


def changes_from_wire(items: Iterable[Any]) -> tuple[Event, ...]:
    """Read changes.

    Raises
    ------
    ValueError
        An item is neither a zone, nor an order, nor a server's entry, nor the name of one that is gone.
    """
    try:
        return tuple(_change_from_wire(item) for item in items)
    except TypeError as error:
        raise ValueError(f"a malformed change: {error!r}") from error


def _change_from_wire(item: Any) -> Event:
    if isinstance(item, str):
        return ServerRemoved(item)
    match item:
        case [str() as word, str() as zone] if word in (EVACUATED, REOPENED):
            return ZoneEvacuated(zone) if word == EVACUATED else ZoneReopened(zone)
        case [str() as word, content] if word == ORDERED:
            return RolloutOrdered(order_from_wire(content))
        case [str() as word, str() as service] if word == WITHDRAWN:
            return RolloutWithdrawn(service)
        case [str() as word, str() as name] if word in (QUARANTINED, LIFTED):
            return RequestQuarantined(name) if word == QUARANTINED else QuarantineLifted(name)
    return ServerListed(server_from_wire(item))


@singledispatch
def encode_state(event: WholeFeed, position: int) -> bytes:
    """Return a whole feed as known at ``position``."""
    raise TypeError(f"no feed: {event!r}")


@encode_state.register
def _(event: ConfigurationLearnt, position: int) -> bytes:
    return cbor2.dumps([CONFIGURATION, position, configuration_to_wire(event.configuration)])


@encode_state.register
def _(event: ServersReplaced, position: int) -> bytes:
    return cbor2.dumps([SERVERS, position, [server_to_wire(record) for record in event.records]])


@encode_state.register
def _(event: EvacuationsReplaced, position: int) -> bytes:
    return cbor2.dumps([EVACUATIONS, position, sorted(event.zones)])


@encode_state.register
def _(event: RolloutsReplaced, position: int) -> bytes:
    return cbor2.dumps([ROLLOUTS, position, [order_to_wire(order) for order in event.orders]])


@encode_state.register
def _(event: QuarantineReplaced, position: int) -> bytes:
    return cbor2.dumps([QUARANTINE, position, sorted(event.fingerprints)])


def decode_state(data: bytes) -> Batch:
    """Read a whole feed.

    Raises
    ------
    ValueError
        It is malformed.
    """
    try:
        feed, position, content = cbor2.loads(data)
        if type(position) is not int:
            raise ValueError(f"a position {position!r}")
        event: Event
        if feed == CONFIGURATION:
            event = ConfigurationLearnt(configuration_from_wire(content))
        elif feed == SERVERS:
            event = ServersReplaced(tuple(server_from_wire(each) for each in content))
        elif feed == EVACUATIONS:
            event = EvacuationsReplaced(frozenset(str(zone) for zone in content))
        elif feed == ROLLOUTS:
            event = RolloutsReplaced(tuple(order_from_wire(each) for each in content))
        elif feed == QUARANTINE:
            event = QuarantineReplaced(frozenset(str(name) for name in content))
        else:
            raise ValueError(f"a feed {feed!r}")
    except (KeyError, TypeError, AttributeError, cbor2.CBORDecodeError) as error:
        raise ValueError(f"a malformed feed: {error!r}") from error
    return Batch(position, (event,))

"""What nodes tell one another of the registry's feeds: changes in datagrams, whole feeds in CBOR replies."""

from collections.abc import Iterable
from functools import singledispatch
from typing import Any

import cbor2

from yokesill.gateway.events import ConfigurationLearnt, Event, ServerListed, ServerRemoved, ServersReplaced
from yokesill.serving.registry import Batch
from yokesill.serving.snapshots import (
    configuration_from_wire,
    configuration_to_wire,
    server_from_wire,
    server_to_wire,
)

CONFIGURATION, SERVERS = "configuration", "servers"


def changes_to_wire(events: Iterable[Event]) -> list[Any] | None:
    """Return changes of servers for a datagram; ``None`` when only the whole feed tells them."""
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


def changes_from_wire(items: Iterable[Any]) -> tuple[Event, ...]:
    """Read changes.

    Raises
    ------
    ValueError
        An item is neither a server's entry nor the name of one that is gone.
    """
    try:
        return tuple(
            ServerRemoved(item) if isinstance(item, str) else ServerListed(server_from_wire(item))
            for item in items
        )
    except TypeError as error:
        raise ValueError(f"a malformed change: {error!r}") from error


def encode_state(position: int, event: ConfigurationLearnt | ServersReplaced) -> bytes:
    """Return a whole feed as known at ``position``."""
    if isinstance(event, ConfigurationLearnt):
        return cbor2.dumps([CONFIGURATION, position, configuration_to_wire(event.configuration)])
    return cbor2.dumps([SERVERS, position, [server_to_wire(record) for record in event.records]])


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
        else:
            raise ValueError(f"a feed {feed!r}")
    except (KeyError, TypeError, AttributeError, cbor2.CBORDecodeError) as error:
        raise ValueError(f"a malformed feed: {error!r}") from error
    return Batch(position, (event,))

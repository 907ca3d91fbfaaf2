"""Interprets the first lists after the registry was restored from an older copy.

The copy lacks recent entries until their writers have written them again: operators and servers do so on
their own, nodes when notified (``RegistryFollowing.on_restored``). For ``SETTLING_S`` lists of entries that
operators and nodes write therefore only add to the known state; a missing entry counts as removed when a
later list still lacks it. A server whose entry is missing counts as removed immediately, since it remains
usable as a last resort.
"""

from functools import singledispatch
from typing import Any

from yokesill.gateway.events import (
    EvacuationsReplaced,
    Event,
    QuarantineReplaced,
    RequestQuarantined,
    RolloutOrdered,
    RolloutsReplaced,
    ServersReplaced,
    ServersRestored,
    ZoneEvacuated,
)

# The platform's own figure for how long entries take to reappear after an outage. Entries that were removed
# while they were lost stay in force for this time: a reopened zone gets no new requests yet, and a request
# whose quarantine was lifted is still refused.
SETTLING_S = 2.0


@singledispatch
def additions(event: Any) -> tuple[Event, ...]:
    """Return the events that only add to the known state what an event lists."""
    return (event,)


@additions.register
def _(event: ServersReplaced) -> tuple[Event, ...]:
    return (ServersRestored(event.records),)


@additions.register
def _(event: EvacuationsReplaced) -> tuple[Event, ...]:
    return tuple(ZoneEvacuated(zone) for zone in sorted(event.zones))


@additions.register
def _(event: QuarantineReplaced) -> tuple[Event, ...]:
    return tuple(RequestQuarantined(name) for name in sorted(event.fingerprints))


@additions.register
def _(event: RolloutsReplaced) -> tuple[Event, ...]:
    return tuple(RolloutOrdered(order) for order in event.orders)

"""What the first lists after the registry's return from an older copy say, and what they don't.

The copy lacks what was written since, until its writers have written it again: operators and servers on
their own, nodes because they are told (``RegistryFollowing.on_restored``). So for ``SETTLING_S`` lists of
what operators and nodes write only add to what is known; what is missing counts as gone when a list after
that still lacks it. A server whose entry is missing stays a last resort anyway: it counts as gone at once.
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

# The platform's own figure for entries to be back after an outage. What was taken away in the gap stays in
# force for so long: a zone that was reopened gets nothing new yet, a lifted request is refused.
SETTLING_S = 2.0


@singledispatch
def additions(event: Any) -> tuple[Event, ...]:
    """Return what an event adds to what is known."""
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

"""The CBOR state snapshot that a node sends to a starting node while the registry can't be reached.

One message holds the whole state; ``feed_states`` also uses the encodings of single entries. An old snapshot
is harmless: the receiver applies only the feeds for which the registry hasn't answered yet, and the
registry's lists replace them.
"""

from collections.abc import Iterable, Mapping
from typing import Any

import cbor2

from yokesill.gateway.documents import (
    Configuration,
    Gather,
    RequestLimits,
    Route,
    ServerRecord,
    ServiceLimits,
    Split,
    WeightedService,
)
from yokesill.gateway.events import (
    ConfigurationReceived,
    EvacuationsReplaced,
    Event,
    QuarantineReplaced,
    RolloutsReplaced,
    ServersReplaced,
    VersionsEstablished,
)
from yokesill.peers.frame import parse_count
from yokesill.rollouts.orders import RolloutOrder, RolloutState

# Version of the encoding; a node rejects snapshots of any other version.
FORMAT = 4


def encode_snapshot(
    configuration: Configuration,
    servers: list[ServerRecord],
    evacuated: frozenset[str],
    orders: Iterable[RolloutOrder] = (),
    established: Mapping[str, tuple[str, ...]] | None = None,
    quarantined: frozenset[str] = frozenset(),
) -> bytes:
    """Encode a node's state."""
    orders = tuple(orders)
    timeline = max((each.timeline for each in orders), default=0)
    return cbor2.dumps(
        {
            "format": FORMAT,
            **configuration_to_wire(configuration),
            "servers": [server_to_wire(record) for record in servers],
            "evacuated": sorted(evacuated),
            "rollouts": [order_to_wire(order) for order in orders],
            "quarantined": sorted(quarantined),
            "established": {name: list(versions) for name, versions in (established or {}).items()},
            # The timeline of the orders' revisions; left out if the registry names none.
            **({"timeline": timeline} if timeline else {}),
        }
    )


def decode_snapshot(data: bytes) -> tuple[Event, ...]:
    """Decode a snapshot into events; raises ``ValueError`` if it is malformed."""
    try:
        item: dict[str, Any] = cbor2.loads(data)
        if item["format"] != FORMAT:
            raise ValueError(f"snapshot has format {item['format']}, expected {FORMAT}")
        configuration = configuration_from_wire(item)
        records = tuple(server_from_wire(each) for each in item["servers"])
        evacuated = frozenset(str(zone) for zone in item["evacuated"])
        timeline = parse_count(item.get("timeline", 0))
        orders = tuple(order_from_wire(each, timeline) for each in item["rollouts"])
        quarantined = frozenset(str(name) for name in item["quarantined"])
        established = {str(name): tuple(map(str, each)) for name, each in item["established"].items()}
    except (KeyError, TypeError, AttributeError, cbor2.CBORDecodeError) as error:
        raise ValueError(f"malformed snapshot: {error!r}") from error
    # Events that limit which requests may be sent come before the servers to send them to.
    rollouts = (VersionsEstablished(established), RolloutsReplaced(orders), QuarantineReplaced(quarantined))
    whole = (ServersReplaced(records), EvacuationsReplaced(evacuated))
    return (ConfigurationReceived(configuration), *rollouts, *whole)


def configuration_to_wire(configuration: Configuration) -> dict[str, Any]:
    """Encode a configuration for other nodes."""
    limits = configuration.limits
    return {
        "version": configuration.version,
        "routes": [_route_to_wire(route) for route in configuration.routes],
        "services": {
            name: [each.connections, each.cold_requests_per_s]
            for name, each in configuration.services.items()
        },
        "limits": [limits.header_bytes, limits.body_bytes, limits.header_timeout_s, limits.idle_timeout_s],
    }


def configuration_from_wire(item: Any) -> Configuration:
    """Decode the output of ``configuration_to_wire``; raises ``KeyError`` or ``TypeError`` if malformed."""
    return Configuration(
        version=item["version"],
        routes=tuple(_route_from_wire(each) for each in item["routes"]),
        services={name: ServiceLimits(*bounds) for name, bounds in item["services"].items()},
        limits=RequestLimits(*item["limits"]),
    )


def _route_to_wire(route: Route) -> list[Any]:
    destination = route.destination
    if isinstance(destination, Gather):
        encoded = ["gather", list(destination.services), destination.greatest, destination.minimum_coverage]
    else:
        encoded = ["split", [[part.service, part.weight] for part in destination.parts]]
    fields = [route.name, route.host, route.prefix, route.repeatable, route.timeout_s, route.objective_s]
    return [*fields, route.max_attempts, route.priority, encoded, list(route.regions)]


def _route_from_wire(item: list[Any]) -> Route:
    name, host, prefix, repeatable, timeout, objective, attempts, priority, encoded, regions = item
    destination: Gather | Split
    if encoded[0] == "gather":
        destination = Gather(tuple(encoded[1]), encoded[2], encoded[3])
    else:
        destination = Split(tuple(WeightedService(*part) for part in encoded[1]))
    times = (timeout, objective)
    return Route(name, host, prefix, repeatable, *times, attempts, priority, destination, tuple(regions))


def server_to_wire(record: ServerRecord) -> list[Any]:
    """Encode a server's entry for other nodes."""
    identity = [record.instance, record.service, record.host, record.port, record.zone]
    return [*identity, record.slots, record.leaving, record.warmup_left_s, record.version]


def server_from_wire(item: Any) -> ServerRecord:
    """Decode the output of ``server_to_wire``; raises ``TypeError`` if malformed."""
    return ServerRecord(*item)


def order_to_wire(order: RolloutOrder) -> list[Any]:
    """Encode a roll-out's order and its record for other nodes."""
    ordered = [order.service, order.target, order.duration_s, order.created_revision, order.revision]
    return [*ordered, order.state.value, order.elapsed_s, order.reason, order.problem, order.numeric_target]


def order_from_wire(item: Any, timeline: int = 0) -> RolloutOrder:
    """Decode the output of ``order_to_wire`` on a timeline; raises ``ValueError`` if malformed."""
    try:
        service, target, duration_s, made, revision, state, elapsed_s, reason, problem, numbered = item
        ordered = (_expect_str(service), _expect_str(target), float(duration_s), int(made), int(revision))
        record = (RolloutState(state), float(elapsed_s), _expect_str(reason), _expect_str(problem))
    except (TypeError, ValueError) as error:
        raise ValueError(f"malformed order: {error!r}") from error
    return RolloutOrder(*ordered, *record, bool(numbered), timeline)


def _expect_str(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError(f"expected a string, received {value!r}")
    return value

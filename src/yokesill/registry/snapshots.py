"""The state snapshot that a node sends to a starting one while the registry can't be reached, in CBOR.

The whole state in one message; also the forms of single entries, which ``feed_states`` uses. An old snapshot
does no harm: the receiver applies only what the registry has not answered yet, and the registry's lists
replace it.
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
from yokesill.peers.frame import count
from yokesill.rollouts.orders import RolloutOrder, RolloutState

# A node ignores snapshots of any other format.
FORMAT = 4


def encode_snapshot(
    configuration: Configuration,
    servers: list[ServerRecord],
    evacuated: frozenset[str],
    orders: Iterable[RolloutOrder] = (),
    established: Mapping[str, tuple[str, ...]] | None = None,
    quarantined: frozenset[str] = frozenset(),
) -> bytes:
    """Return a node's state as bytes."""
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
            # The orders' positions count on it; left out where the registry names none.
            **({"timeline": timeline} if timeline else {}),
        }
    )


def decode_snapshot(data: bytes) -> tuple[Event, ...]:
    """Read a snapshot into events; raises ``ValueError`` when it is malformed."""
    try:
        item: dict[str, Any] = cbor2.loads(data)
        if item["format"] != FORMAT:
            raise ValueError(f"a snapshot of format {item['format']}")
        configuration = configuration_from_wire(item)
        records = tuple(server_from_wire(each) for each in item["servers"])
        evacuated = frozenset(str(zone) for zone in item["evacuated"])
        timeline = count(item.get("timeline", 0))
        orders = tuple(order_from_wire(each, timeline) for each in item["rollouts"])
        quarantined = frozenset(str(name) for name in item["quarantined"])
        established = {str(name): tuple(map(str, each)) for name, each in item["established"].items()}
    except (KeyError, TypeError, AttributeError, cbor2.CBORDecodeError) as error:
        raise ValueError(f"a malformed snapshot: {error!r}") from error
    # Limits on what may be sent come before the servers to send to.
    rollouts = (VersionsEstablished(established), RolloutsReplaced(orders), QuarantineReplaced(quarantined))
    whole = (ServersReplaced(records), EvacuationsReplaced(evacuated))
    return (ConfigurationReceived(configuration), *rollouts, *whole)


def configuration_to_wire(configuration: Configuration) -> dict[str, Any]:
    """Return the form in which nodes exchange a configuration."""
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
    """Read ``configuration_to_wire``'s form; a malformed one raises ``KeyError`` or ``TypeError``."""
    return Configuration(
        version=item["version"],
        routes=tuple(_route_from_wire(each) for each in item["routes"]),
        services={name: ServiceLimits(*bounds) for name, bounds in item["services"].items()},
        limits=RequestLimits(*item["limits"]),
    )


def _route_to_wire(route: Route) -> list[Any]:
    destination = route.destination
    if isinstance(destination, Gather):
        where = ["gather", list(destination.services), destination.greatest, destination.minimum_coverage]
    else:
        where = ["split", [[part.service, part.weight] for part in destination.parts]]
    fields = [route.name, route.host, route.prefix, route.repeatable, route.timeout_s, route.objective_s]
    return [*fields, route.max_attempts, route.priority, where, list(route.regions)]


def _route_from_wire(item: list[Any]) -> Route:
    name, host, prefix, repeatable, timeout, target, attempts, priority, where, regions = item
    destination: Gather | Split
    if where[0] == "gather":
        destination = Gather(tuple(where[1]), where[2], where[3])
    else:
        destination = Split(tuple(WeightedService(*part) for part in where[1]))
    times = (timeout, target)
    return Route(name, host, prefix, repeatable, *times, attempts, priority, destination, tuple(regions))


def server_to_wire(record: ServerRecord) -> list[Any]:
    """Return the form in which nodes exchange a server's entry."""
    where = [record.instance, record.service, record.host, record.port, record.zone]
    return [*where, record.slots, record.leaving, record.warmup_left_s, record.version]


def server_from_wire(item: Any) -> ServerRecord:
    """Read ``server_to_wire``'s form; a malformed one raises ``TypeError``."""
    return ServerRecord(*item)


def order_to_wire(order: RolloutOrder) -> list[Any]:
    """Return the form in which nodes exchange a roll-out's order and its record."""
    ordered = [order.service, order.target, order.duration_s, order.created_revision, order.revision]
    return [*ordered, order.state.value, order.elapsed_s, order.reason, order.problem, order.numeric_target]


def order_from_wire(item: Any, timeline: int = 0) -> RolloutOrder:
    """Read ``order_to_wire``'s form, told on a timeline; a malformed one raises ``ValueError``."""
    try:
        service, target, duration_s, made, revision, state, elapsed_s, reason, problem, numbered = item
        ordered = (_text(service), _text(target), float(duration_s), int(made), int(revision))
        record = (RolloutState(state), float(elapsed_s), _text(reason), _text(problem))
    except (TypeError, ValueError) as error:
        raise ValueError(f"a malformed order: {error!r}") from error
    return RolloutOrder(*ordered, *record, bool(numbered), timeline)


def _text(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError(f"a text is needed, not {value!r}")
    return value

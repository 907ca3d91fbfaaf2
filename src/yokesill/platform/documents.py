"""Converts the platform's objects to the gateway's documents; raises ``ObjectError`` with the place.

The platform's field names are used only up to here. Comments explain fields with misleading names.
"""

from typing import Any

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
from yokesill.serving.object_fields import (
    ObjectError,
    items,
    name,
    number,
    seconds,
    table,
    take,
    text,
    version,
    whole,
)

# The platform's defaults for routes without these fields.
DEFAULT_MAX_ATTEMPTS = 1
DEFAULT_PRIORITY = 9  # the lowest


def read_configuration(spec: Any) -> Configuration:
    """Parse the operator's configuration."""
    limits = take(spec, "limits", table, "config")
    services = take(spec, "services", items, "config")
    return Configuration(
        version=take(spec, "configVersion", whole, "config"),
        routes=tuple(_read_route(item) for item in take(spec, "routes", items, "config")),
        services={
            take(item, "name", name, "services"): ServiceLimits(
                # The total of all nodes, for each server of the service.
                take(item, "maxConnections", whole, f"services.{item['name']}"),
                # Requests per second to a cold server, in total of all nodes; 0 means no limit.
                number(item.get("warmupPerS", 0.0)),
            )
            for item in services
        },
        limits=RequestLimits(
            header_bytes=take(limits, "maxHeaderBytes", whole, "limits"),
            body_bytes=take(limits, "maxBodyBytes", whole, "limits"),
            header_timeout_s=take(limits, "headerTimeoutMs", seconds, "limits"),
            idle_timeout_s=take(limits, "idleTimeoutMs", seconds, "limits"),
        ),
    )


def _read_route(item: Any) -> Route:
    route = take(item, "name", text, "routes")
    place = f"routes.{route}"
    timeout = take(item, "timeoutMs", seconds, place)
    return Route(
        name=route,
        host=name(take(item, "host", text, place).lower()),
        prefix=take(item, "pathPrefix", text, place),
        # Not the kind of destination, despite its name: idempotent requests may run more than once.
        repeatable=take(item, "routeType", text, place) == "idempotent",
        timeout_s=timeout,
        objective_s=seconds(item["targetLatencyMs"]) if "targetLatencyMs" in item else timeout,
        max_attempts=whole(item.get("maxAttempts", DEFAULT_MAX_ATTEMPTS)),
        priority=whole(item.get("priority", DEFAULT_PRIORITY)),
        destination=_read_destination(item, place),
        regions=tuple(text(each) for each in items(item.get("allowedRegions") or [])),
    )


def _read_destination(item: Any, place: str) -> Gather | Split:
    if item.get("gather"):
        return Gather(
            services=tuple(name(each) for each in item["gather"]),
            greatest=take(item, "topK", whole, place),
            minimum_coverage=take(item, "minCoverage", number, place),
        )
    if item.get("backends"):
        parts = (
            WeightedService(take(each, "service", name, place), take(each, "weight", number, place))
            for each in items(item["backends"])
        )
        return Split(tuple(parts))
    return Split((WeightedService(take(item, "service", name, place), 1.0),))


def read_server(instance: str, spec: Any) -> ServerRecord:
    """Parse a server's entry."""
    place = f"servers.{instance}"
    host, _, port = take(spec, "address", text, place).rpartition(":")
    if not host or not port.isdigit():
        raise ObjectError(f"{place}.address: HOST:PORT is needed")
    return ServerRecord(
        instance=instance,
        service=take(spec, "service", name, place),
        host=host,
        port=int(port),
        zone=name(spec.get("zone", "")),
        # The number of requests that it runs concurrently.
        slots=whole(spec.get("capacity", 1)),
        leaving=spec.get("state") == "draining",
        warmup_left_s=seconds(spec.get("warmupLeftMs", 0)),
        # The version of the server's software; the gateway's configuration has a field of the same name.
        version=version(spec.get("configVersion", "")),
    )

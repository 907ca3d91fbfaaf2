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
    parse_endpoint,
    parse_header_value,
    parse_integer,
    parse_list,
    parse_milliseconds,
    parse_name,
    parse_number,
    parse_table,
    parse_text,
    parse_version,
    read_field,
)

# The platform's defaults for routes without these fields.
DEFAULT_MAX_ATTEMPTS = 1
DEFAULT_PRIORITY = 9  # the lowest


def read_configuration(spec: Any) -> Configuration:
    """Parse the operator's configuration."""
    limits = read_field(spec, "limits", parse_table, "config")
    services = read_field(spec, "services", parse_list, "config")
    return Configuration(
        version=read_field(spec, "configVersion", parse_integer, "config"),
        routes=tuple(_read_route(item) for item in read_field(spec, "routes", parse_list, "config")),
        services={
            read_field(item, "name", parse_name, "services"): ServiceLimits(
                # The total of all nodes, for each server of the service.
                read_field(item, "maxConnections", parse_integer, f"services.{item['name']}"),
                # Requests per second to a cold server, in total of all nodes; 0 means no limit.
                parse_number(item.get("warmupPerS", 0.0)),
            )
            for item in services
        },
        limits=RequestLimits(
            header_bytes=read_field(limits, "maxHeaderBytes", parse_integer, "limits"),
            body_bytes=read_field(limits, "maxBodyBytes", parse_integer, "limits"),
            header_timeout_s=read_field(limits, "headerTimeoutMs", parse_milliseconds, "limits"),
            idle_timeout_s=read_field(limits, "idleTimeoutMs", parse_milliseconds, "limits"),
        ),
    )


def _read_route(item: Any) -> Route:
    route = read_field(item, "name", parse_text, "routes")
    place = f"routes.{route}"
    timeout = read_field(item, "timeoutMs", parse_milliseconds, place)
    return Route(
        name=route,
        host=parse_name(read_field(item, "host", parse_text, place).lower()),
        prefix=read_field(item, "pathPrefix", parse_text, place),
        # Not the kind of destination, despite its name: idempotent requests may run more than once.
        repeatable=read_field(item, "routeType", parse_text, place) == "idempotent",
        timeout_s=timeout,
        objective_s=parse_milliseconds(item["targetLatencyMs"]) if "targetLatencyMs" in item else timeout,
        max_attempts=parse_integer(item.get("maxAttempts", DEFAULT_MAX_ATTEMPTS)),
        priority=parse_integer(item.get("priority", DEFAULT_PRIORITY)),
        destination=_read_destination(item, place),
        regions=tuple(parse_text(each) for each in parse_list(item.get("allowedRegions") or [])),
    )


def _read_destination(item: Any, place: str) -> Gather | Split:
    if item.get("gather"):
        return Gather(
            services=tuple(parse_name(each) for each in item["gather"]),
            greatest=read_field(item, "topK", parse_integer, place),
            minimum_coverage=read_field(item, "minCoverage", parse_number, place),
        )
    if item.get("backends"):
        parts = (
            WeightedService(
                read_field(each, "service", parse_name, place),
                read_field(each, "weight", parse_number, place),
            )
            for each in parse_list(item["backends"])
        )
        return Split(tuple(parts))
    return Split((WeightedService(read_field(item, "service", parse_name, place), 1.0),))


def read_server(instance: str, spec: Any) -> ServerRecord:
    """Parse a server's entry."""
    place = f"servers.{instance}"
    host, port = read_field(spec, "address", parse_endpoint, place)
    slots = parse_integer(spec.get("capacity", 1))
    if slots < 1:
        raise ObjectError(f"{place}.capacity: a number of at least 1 is needed")
    return ServerRecord(
        instance=parse_header_value(instance),
        service=read_field(spec, "service", parse_name, place),
        host=host,
        port=port,
        zone=parse_name(spec.get("zone", "")),
        # The number of requests that it runs concurrently.
        slots=slots,
        leaving=spec.get("state") == "draining",
        warmup_left_s=parse_milliseconds(spec.get("warmupLeftMs", 0)),
        # The version of the server's software; the gateway's configuration has a field of the same name.
        version=parse_version(spec.get("configVersion", "")),
    )

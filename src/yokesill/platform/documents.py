"""Converts the platform's objects to the gateway's documents; raises ``ObjectError`` with the place.

The platform's field names are used only up to here. Comments explain fields with misleading names.
"""

from functools import partial
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
from yokesill.serving import object_fields as fields
from yokesill.serving.object_fields import ObjectError, OptionalReader, read_field

# The platform's defaults for routes without these fields.
DEFAULT_MAX_ATTEMPTS = 1
DEFAULT_PRIORITY = 9  # the lowest
# Servers of every deployment so far accept at least as many, from all nodes together.
DEFAULT_CONNECTIONS = 16


def read_configuration(
    spec: Any, former: Configuration | None = None, problems: list[str] | None = None
) -> Configuration:
    """Parse the operator's configuration.

    An optional field that can't be read keeps its value of the ``former`` configuration, else it takes its
    default; a service without a name is left out; either is added to ``problems``. A route whose needed
    fields can't be read makes the whole configuration invalid: without it, its requests could go to the
    servers of a shorter prefix.
    """
    problems = [] if problems is None else problems
    routes = read_field(spec, "routes", fields.parse_list, "config")
    services = read_field(spec, "services", fields.parse_list, "config")
    former_routes = {} if former is None else {each.name: each for each in former.routes}
    former_services = {} if former is None else former.services
    optional = OptionalReader(spec, "config", problems, former)
    read_limits = partial(_read_limits, problems, None if former is None else former.limits)
    return Configuration(
        version=read_field(spec, "configVersion", fields.parse_integer, "config"),
        routes=tuple(_read_route(item, problems, former_routes) for item in routes),
        services=dict(read for item in services for read in _read_service(item, problems, former_services)),
        limits=optional.read("limits", read_limits, RequestLimits(), "limits"),
    )


def _read_service(
    item: Any, problems: list[str], former: dict[str, ServiceLimits]
) -> list[tuple[str, ServiceLimits]]:
    """Return a service's name and its limits; nothing if it has no name."""
    try:
        name = read_field(item, "name", fields.parse_name, "services")
    except ObjectError as error:
        problems.append(f"{error}; the service is left out")
        return []
    optional = OptionalReader(item, f"services.{name}", problems, former.get(name))
    # The total of all nodes, for each server of the service.
    connections = optional.read("maxConnections", fields.parse_count, DEFAULT_CONNECTIONS, "connections")
    # Requests per second to a cold server, in total of all nodes; 0 means no limit.
    cold_requests_per_s = optional.read("warmupPerS", fields.parse_rate, 0.0, "cold_requests_per_s")
    return [(name, ServiceLimits(connections, cold_requests_per_s))]


def _read_limits(problems: list[str], former: RequestLimits | None, limits: Any) -> RequestLimits:
    default = RequestLimits()
    optional = OptionalReader(fields.parse_table(limits), "limits", problems, former)
    return RequestLimits(
        optional.read("maxHeaderBytes", fields.parse_count, default.header_bytes, "header_bytes"),
        optional.read("maxBodyBytes", fields.parse_size, default.body_bytes, "body_bytes"),
        optional.read("headerTimeoutMs", fields.parse_duration, default.header_timeout_s, "header_timeout_s"),
        optional.read("idleTimeoutMs", fields.parse_duration, default.idle_timeout_s, "idle_timeout_s"),
    )


def _read_route(item: Any, problems: list[str], former: dict[str, Route]) -> Route:
    route = read_field(item, "name", fields.parse_text, "routes")
    place = f"routes.{route}"
    timeout = read_field(item, "timeoutMs", fields.parse_milliseconds, place)
    optional = OptionalReader(item, place, problems, former.get(route))
    return Route(
        name=route,
        host=fields.parse_name(read_field(item, "host", fields.parse_text, place).lower()),
        prefix=read_field(item, "pathPrefix", fields.parse_text, place),
        # Not the kind of destination, despite its name: idempotent requests may run more than once.
        repeatable=read_field(item, "routeType", fields.parse_text, place) == "idempotent",
        timeout_s=timeout,
        objective_s=optional.read("targetLatencyMs", fields.parse_duration, timeout, "objective_s"),
        max_attempts=optional.read("maxAttempts", fields.parse_count, DEFAULT_MAX_ATTEMPTS, "max_attempts"),
        priority=optional.read("priority", fields.parse_size, DEFAULT_PRIORITY, "priority"),
        destination=_read_destination(item, place),
        # A restriction that can't be read is not taken for none.
        regions=tuple(map(fields.parse_text, fields.parse_list(item.get("allowedRegions") or []))),
    )


def _read_destination(item: Any, place: str) -> Gather | Split:
    if item.get("gather"):
        return Gather(
            services=tuple(fields.parse_name(each) for each in item["gather"]),
            greatest=read_field(item, "topK", fields.parse_integer, place),
            minimum_coverage=read_field(item, "minCoverage", fields.parse_number, place),
        )
    if item.get("backends"):
        return Split(tuple(_read_part(each, place) for each in fields.parse_list(item["backends"])))
    return Split((WeightedService(read_field(item, "service", fields.parse_name, place), 1.0),))


def _read_part(item: Any, place: str) -> WeightedService:
    service = read_field(item, "service", fields.parse_name, place)
    return WeightedService(service, read_field(item, "weight", fields.parse_number, place))


def read_server(instance: str, spec: Any) -> ServerRecord:
    """Parse a server's entry."""
    place = f"servers.{instance}"
    host, port = read_field(spec, "address", fields.parse_endpoint, place)
    slots = fields.parse_integer(spec.get("capacity", 1))
    if slots < 1:
        raise ObjectError(f"{place}.capacity: a number of at least 1 is needed")
    return ServerRecord(
        instance=fields.parse_header_value(instance),
        service=read_field(spec, "service", fields.parse_name, place),
        host=host,
        port=port,
        zone=fields.parse_name(spec.get("zone", "")),
        # The number of requests that it runs concurrently.
        slots=slots,
        leaving=spec.get("state") == "draining",
        warmup_left_s=fields.parse_milliseconds(spec.get("warmupLeftMs", 0)),
        # The version of the server's software; the gateway's configuration has a field of the same name.
        version=fields.parse_version(spec.get("configVersion", "")),
    )

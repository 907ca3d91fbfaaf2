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
from yokesill.serving.object_fields import (
    ObjectError,
    OptionalReader,
    parse_count,
    parse_duration,
    parse_endpoint,
    parse_header_value,
    parse_integer,
    parse_list,
    parse_milliseconds,
    parse_name,
    parse_number,
    parse_rate,
    parse_size,
    parse_table,
    parse_text,
    parse_version,
    read_field,
)

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
    routes, services = (read_field(spec, name, parse_list, "config") for name in ("routes", "services"))
    former_routes = {} if former is None else {each.name: each for each in former.routes}
    former_services = {} if former is None else former.services
    optional = OptionalReader(spec, "config", problems, former)
    read_limits = partial(_read_limits, problems, None if former is None else former.limits)
    return Configuration(
        version=read_field(spec, "configVersion", parse_integer, "config"),
        routes=tuple(_read_route(item, problems, former_routes) for item in routes),
        services=dict(read for item in services for read in _read_service(item, problems, former_services)),
        limits=optional.read("limits", read_limits, RequestLimits(), "limits"),
    )


def _read_service(
    item: Any, problems: list[str], former: dict[str, ServiceLimits]
) -> list[tuple[str, ServiceLimits]]:
    """Return a service's name and its limits; nothing if it has no name."""
    try:
        name = read_field(item, "name", parse_name, "services")
    except ObjectError as error:
        problems.append(f"{error}; the service is left out")
        return []
    optional = OptionalReader(item, f"services.{name}", problems, former.get(name))
    # The total of all nodes, for each server of the service.
    connections = optional.read("maxConnections", parse_count, DEFAULT_CONNECTIONS, "connections")
    # Requests per second to a cold server, in total of all nodes; 0 means no limit.
    cold_requests_per_s = optional.read("warmupPerS", parse_rate, 0.0, "cold_requests_per_s")
    return [(name, ServiceLimits(connections, cold_requests_per_s))]


def _read_limits(problems: list[str], former: RequestLimits | None, limits: Any) -> RequestLimits:
    default, optional = RequestLimits(), OptionalReader(parse_table(limits), "limits", problems, former)
    return RequestLimits(
        optional.read("maxHeaderBytes", parse_count, default.header_bytes, "header_bytes"),
        optional.read("maxBodyBytes", parse_size, default.body_bytes, "body_bytes"),
        optional.read("headerTimeoutMs", parse_duration, default.header_timeout_s, "header_timeout_s"),
        optional.read("idleTimeoutMs", parse_duration, default.idle_timeout_s, "idle_timeout_s"),
    )


def _read_route(item: Any, problems: list[str], former: dict[str, Route]) -> Route:
    route = read_field(item, "name", parse_text, "routes")
    place = f"routes.{route}"
    timeout = read_field(item, "timeoutMs", parse_milliseconds, place)
    optional = OptionalReader(item, place, problems, former.get(route))
    return Route(
        name=route,
        host=parse_name(read_field(item, "host", parse_text, place).lower()),
        prefix=read_field(item, "pathPrefix", parse_text, place),
        # Not the kind of destination, despite its name: idempotent requests may run more than once.
        repeatable=read_field(item, "routeType", parse_text, place) == "idempotent",
        timeout_s=timeout,
        objective_s=optional.read("targetLatencyMs", parse_duration, timeout, "objective_s"),
        max_attempts=optional.read("maxAttempts", parse_count, DEFAULT_MAX_ATTEMPTS, "max_attempts"),
        priority=optional.read("priority", parse_size, DEFAULT_PRIORITY, "priority"),
        destination=_read_destination(item, place),
        # A restriction that can't be read is not taken for none.
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

"""Reads the platform's objects into the gateway's documents; raises ``ObjectError`` naming the place."""

from collections.abc import Callable
from typing import Any, TypeVar

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

Value = TypeVar("Value")
DEFAULT_ATTEMPTS = 1
LOWEST_PRIORITY = 9


class ObjectError(ValueError):
    """An object lacks a field or has one of a wrong kind."""


def read_configuration(spec: Any) -> Configuration:
    """Read the operator's configuration."""
    limits = _field(spec, "limits", _table, "config")
    services = _field(spec, "services", _items, "config")
    return Configuration(
        version=_field(spec, "configVersion", _whole, "config"),
        routes=tuple(_read_route(item) for item in _field(spec, "routes", _items, "config")),
        services={
            _field(item, "name", _text, "services"): ServiceLimits(
                _field(item, "maxConnections", _whole, f"services.{item['name']}")
            )
            for item in services
        },
        limits=RequestLimits(
            header_bytes=_field(limits, "maxHeaderBytes", _whole, "limits"),
            body_bytes=_field(limits, "maxBodyBytes", _whole, "limits"),
            header_timeout=_field(limits, "headerTimeoutMs", _seconds, "limits"),
            idle_timeout=_field(limits, "idleTimeoutMs", _seconds, "limits"),
        ),
    )


def _read_route(item: Any) -> Route:
    name = _field(item, "name", _text, "routes")
    place = f"routes.{name}"
    timeout = _field(item, "timeoutMs", _seconds, place)
    return Route(
        name=name,
        host=_field(item, "host", _text, place).lower(),
        prefix=_field(item, "pathPrefix", _text, place),
        repeatable=_field(item, "routeType", _text, place) == "idempotent",
        timeout=timeout,
        target=_seconds(item["targetLatencyMs"]) if "targetLatencyMs" in item else timeout,
        attempts=_whole(item.get("maxAttempts", DEFAULT_ATTEMPTS)),
        priority=_whole(item.get("priority", LOWEST_PRIORITY)),
        destination=_read_destination(item, place),
    )


def _read_destination(item: Any, place: str) -> Gather | Split:
    if item.get("gather"):
        return Gather(
            services=tuple(_text(each) for each in item["gather"]),
            greatest=_field(item, "topK", _whole, place),
            minimum_coverage=_field(item, "minCoverage", _number, place),
        )
    if item.get("backends"):
        parts = (
            WeightedService(_field(each, "service", _text, place), _field(each, "weight", _number, place))
            for each in _items(item["backends"])
        )
        return Split(tuple(parts))
    return Split((WeightedService(_field(item, "service", _text, place), 1.0),))


def read_server(instance: str, spec: Any) -> ServerRecord:
    """Read a server's entry."""
    place = f"servers.{instance}"
    host, _, port = _field(spec, "address", _text, place).rpartition(":")
    if not host or not port.isdigit():
        raise ObjectError(f"{place}.address: HOST:PORT is needed")
    return ServerRecord(
        instance=instance,
        service=_field(spec, "service", _text, place),
        host=host,
        port=int(port),
        zone=_text(spec.get("zone", "")),
        slots=_whole(spec.get("capacity", 1)),
        leaving=spec.get("state") == "draining",
        warmup=_seconds(spec.get("warmupLeftMs", 0)),
    )


def _field(table: Any, name: str, read: Callable[[Any], Value], place: str) -> Value:
    if not isinstance(table, dict):
        raise ObjectError(f"{place}: a table is needed")
    if name not in table:
        raise ObjectError(f"{place}.{name}: is missing")
    try:
        return read(table[name])
    except ObjectError as error:
        raise ObjectError(f"{place}.{name}: {error}") from error


def _text(value: Any) -> str:
    if not isinstance(value, str):
        raise ObjectError("a text is needed")
    return value


def _number(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ObjectError("a number is needed")
    return float(value)


def _whole(value: Any) -> int:
    return int(_number(value))


def _seconds(value: Any) -> float:
    return _number(value) / 1000


def _table(value: Any) -> dict[str, Any]:
    if not isinstance(value, dict):
        raise ObjectError("a table is needed")
    return value


def _items(value: Any) -> list[Any]:
    if not isinstance(value, list):
        raise ObjectError("a list is needed")
    return value

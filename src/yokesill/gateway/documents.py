"""Configuration of the gateway by operators, and server records as the registry lists them.

Routes, services and limits are versioned as a whole: a request keeps the version of its arrival. All values
are immutable; ``registry`` and the platform's adapter produce them.
"""

import bisect
from dataclasses import dataclass, field
from typing import NamedTuple


class Gather(NamedTuple):
    """A route to one server of each of ``services``; their records are merged.

    The answer holds the ``greatest`` highest records. It needs at least the share ``minimum_coverage``
    (0 to 1) of the services.
    """

    services: tuple[str, ...]
    greatest: int
    minimum_coverage: float


class WeightedService(NamedTuple):
    """One service of a split; its share is its weight over the sum of all weights."""

    service: str
    weight: float


class Split(NamedTuple):
    """A route to one server of one service, chosen in proportion to the weights."""

    parts: tuple[WeightedService, ...]


@dataclass(frozen=True, slots=True)
class Route:
    """How one class of requests is answered.

    Only servers in ``regions`` may get its requests; without regions, any server may. ``repeatable`` requests
    are idempotent and may run more than once. ``timeout_s`` is the longest time that a request is held and
    ``objective_s`` its latency objective, both in seconds. ``max_attempts`` limits the servers that one
    request may run on (for each service of a gather). ``priority`` 0 is the most urgent.
    """

    name: str
    host: str
    prefix: str
    repeatable: bool
    timeout_s: float
    objective_s: float
    max_attempts: int
    priority: int
    destination: Gather | Split
    regions: tuple[str, ...] = ()

    @property
    def services(self) -> tuple[str, ...]:
        """Every service that the route may reach."""
        if isinstance(self.destination, Gather):
            return self.destination.services
        return tuple(part.service for part in self.destination.parts)


class RequestLimits(NamedTuple):
    """Limits on what a caller may send: sizes in bytes, times in seconds."""

    header_bytes: int = 16_384
    body_bytes: int = 1_048_576
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class ServiceLimits(NamedTuple):
    """How much load each server of one service accepts from all nodes together.

    ``connections`` limits the open connections, ``cold_requests_per_s`` the requests while a server is cold;
    0 means no limit.
    """

    connections: int
    cold_requests_per_s: float = 0.0


class HostRoutes(NamedTuple):
    """One host's routes by prefix, and the ``lengths`` of these prefixes in ascending order.

    There are few distinct lengths even with many routes, and a lookup takes one step per length.
    """

    lengths: list[int]
    by_prefix: dict[str, Route]


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the operators' whole configuration; it is only ever replaced as a whole."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceLimits]
    limits: RequestLimits = RequestLimits()  # noqa: RUF009 (immutable)
    _by_host: dict[str, HostRoutes] = field(init=False, repr=False, compare=False, default_factory=dict)

    def __post_init__(self) -> None:
        """Index the routes by host and prefix; the first of two routes with the same host and prefix wins."""
        for route in self.routes:
            routes = self._by_host.get(route.host)
            if routes is None:
                routes = self._by_host[route.host] = HostRoutes([], {})
            if len(route.prefix) not in routes.lengths:
                bisect.insort(routes.lengths, len(route.prefix))
            routes.by_prefix.setdefault(route.prefix, route)

    def find(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest prefix that matches ``path``; ``None`` if none does."""
        routes = self._by_host.get(host)
        if routes is None:
            return None
        by_prefix = routes.by_prefix
        for length in reversed(routes.lengths):
            route = by_prefix.get(path[:length])
            if route is not None:
                return route
        return None


@dataclass(frozen=True, slots=True)
class ServerRecord:
    """One incarnation of a server, as the registry lists it.

    ``warmup_left_s`` is how much longer it is slow after its start, in seconds. ``version`` is its software
    version; empty if it does not state one.
    """

    instance: str
    service: str
    host: str
    port: int
    zone: str
    slots: int
    leaving: bool = False
    warmup_left_s: float = 0.0
    version: str = ""

    @property
    def address(self) -> str:
        """``HOST:PORT``."""
        return f"{self.host}:{self.port}"

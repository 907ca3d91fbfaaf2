"""What operators configure for the gateway, and servers as the registry lists them.

Routes, services and limits are versioned as a whole: a request keeps to the version of its arrival. Immutable
values; where they come from is the business of ``registry`` and of the platform's adapter.
"""

import bisect
from dataclasses import dataclass, field
from typing import NamedTuple


class Gather(NamedTuple):
    """A route to one server of each of ``services``; their records are merged.

    The answer holds the greatest ``greatest`` records; it needs the share ``minimum_coverage``
    (0 to 1) of the services at least.
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

    Only servers in ``regions`` may get its requests; any may when there are none. ``repeatable``: its
    requests are idempotent and may run more than once. ``timeout_s`` is the longest that a request is held
    and ``objective_s`` its latency objective, both in seconds. ``max_attempts`` bounds the servers that one
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
    """What a caller may send: sizes in bytes, times in seconds."""

    header_bytes: int = 16_384
    body_bytes: int = 1_048_576
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class ServiceLimits(NamedTuple):
    """How much each server of one service can take from all nodes together.

    ``connections`` at a time, and while a server is cold ``cold_requests_per_s``; 0 is no bound.
    """

    connections: int
    cold_requests_per_s: float = 0.0


class HostRoutes(NamedTuple):
    """One host's routes by prefix, and the ``lengths`` of these prefixes, rising.

    There are few lengths, however many routes: a path is looked up once for each.
    """

    lengths: list[int]
    by_prefix: dict[str, Route]


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of everything that operators configure, compiled whole and swapped whole."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceLimits]
    limits: RequestLimits = RequestLimits()  # noqa: RUF009 (immutable)
    _by_host: dict[str, HostRoutes] = field(init=False, repr=False, compare=False, default_factory=dict)

    def __post_init__(self) -> None:
        """Index the routes by host and prefix; of two with the same ones the first counts."""
        for route in self.routes:
            routes = self._by_host.get(route.host)
            if routes is None:
                routes = self._by_host[route.host] = HostRoutes([], {})
            if len(route.prefix) not in routes.lengths:
                bisect.insort(routes.lengths, len(route.prefix))
            routes.by_prefix.setdefault(route.prefix, route)

    def find(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest prefix of ``path``."""
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

    ``warmup_left_s`` is how much longer it is slow after its start, in seconds. ``version`` is that of its
    software; empty where it doesn't say.
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

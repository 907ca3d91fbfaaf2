"""Test harness that drives a GatewayRouter with a simulated clock; timers fire in order as time advances."""

import heapq
import itertools
import random
import zlib
from collections import defaultdict

from yokesill.gateway import events as ev
from yokesill.gateway.documents import (
    Configuration,
    Gather,
    Route,
    ServerRecord,
    ServiceLimits,
    Split,
    WeightedService,
)
from yokesill.gateway.limits.budget import BudgetLimits
from yokesill.gateway.messages import Attempt, GatewayRequest, ServerReply
from yokesill.gateway.options import GatewayOptions
from yokesill.gateway.router import GatewayRouter
from yokesill.verdict import Failure, Reason, Verdict

HOST = "shop.example"
SHARDS = ("s1", "s2", "s3", "s4")
BUDGET = BudgetLimits(ratio=0.2, allowance=50.0, window_s=10.0)


def gather_route(coverage: float = 0.75, services: tuple[str, ...] = SHARDS, attempts: int = 2) -> Route:
    destination = Gather(services, greatest=3, minimum_coverage=coverage)
    return Route("wide", HOST, "/wide/", True, 1.5, 0.118, attempts, 1, destination)


def single_route(repeatable: bool = True, split: Split | None = None, attempts: int = 2) -> Route:
    destination = split or Split((WeightedService("desk", 1.0),))
    return Route("one", HOST, "/one/", repeatable, 6.0, 0.45, attempts, 2, destination)


def configuration(version: int, *routes: Route, connections: int = 100) -> Configuration:
    services = {name: ServiceLimits(connections) for route in routes for name in route.services}
    return Configuration(version, routes, services)


def server(
    instance: str, service: str, zone: str = "z1", slots: int = 2, leaving: bool = False, version: str = ""
) -> ServerRecord:
    port = 1024 + zlib.crc32(instance.encode()) % 60_000
    return ServerRecord(instance, service, "10.0.0.1", port, zone, slots, leaving, version=version)


def reply(records: bytes = b"", status: int = 200, signature: bytes | None = b"sig") -> ServerReply:
    return ServerReply(status, (), records, signature)


def failure(reason: Reason = Reason.CONNECTION_LOST, verdict: Verdict = Verdict.MAY_HAVE_RUN) -> Failure:
    return Failure(reason, verdict)


class RouterHarness:
    """One router with a simulated clock (``now``, in seconds) and a record of all actions it returned."""

    def __init__(
        self,
        *routes: Route,
        servers: tuple[ServerRecord, ...] = (),
        options: GatewayOptions | None = None,
        nodes: int = 1,
        started: float = 1000.0,
    ) -> None:
        self.now = started
        self.router = GatewayRouter(
            options or GatewayOptions(zone="z1", budget=BUDGET), random.Random(7), started - 100.0
        )
        self.sent: list[Attempt] = []
        self.cancelled: list[int] = []
        self.logged: list[ev.LogEvent] = []
        self.observed: list[ev.ServerObserved] = []
        self.finals: dict[str, ev.FinalAnswer] = {}
        self._timers: list[tuple[float, int, ev.TimerFired]] = []
        self._numbers = itertools.count(1)
        self.feed(ev.NodeCountUpdated(nodes))
        if routes:
            self.feed(ev.ConfigurationReceived(configuration(1, *routes)))
        for record in servers or default_servers(routes):
            self.feed(ev.ServerListed(record))

    def feed(self, event: ev.Event) -> list[ev.Action]:
        actions = self.router.on_event(event, self.now)
        for action in actions:
            match action:
                case ev.SendAttempt(attempt):
                    self.sent.append(attempt)
                case ev.CancelAttempt(number):
                    self.cancelled.append(number)
                case ev.SetTimer(key, kind, at_s):
                    entry = (at_s, next(self._numbers), ev.TimerFired(key, kind))
                    heapq.heappush(self._timers, entry)
                case ev.LogEvent():
                    self.logged.append(action)
                case ev.ServerObserved():
                    self.observed.append(action)
                case ev.PassOn(key) | ev.Gathered(key) | ev.Refuse(key):
                    assert key not in self.finals, "a request got a second final answer"
                    self.finals[key] = action
        return actions

    def advance(self, seconds: float) -> None:
        end = self.now + seconds
        while self._timers and self._timers[0][0] <= end:
            at_s, _, event = heapq.heappop(self._timers)
            self.now = max(self.now, at_s)
            self.feed(event)
        self.now = end

    def arrive(
        self,
        path: str = "/wide/x",
        timeout_s: float | None = 1.5,
        host: str = HOST,
        fresh: bool = True,
        possibly_sent: bool = False,
    ) -> str:
        key = f"k{next(self._numbers)}"
        request = GatewayRequest(
            key,
            f"id-{key}",
            b"GET",
            host,
            path,
            path.encode(),
            (),
            b"",
            self.now,
            timeout_s,
            fresh,
            possibly_sent,
        )
        self.feed(ev.RequestArrived(request))
        return key

    def attempts(self, key: str) -> list[Attempt]:
        return [each for each in self.sent if each.request.key == key]

    def answer(
        self, attempt: Attempt, answer: ServerReply | None = None, connected_in: float | None = None
    ) -> None:
        self.feed(ev.AttemptAnswered(attempt.number, answer or reply(), connected_in))

    def fail(self, attempt: Attempt, reason: Failure | None = None) -> None:
        self.feed(ev.AttemptFailed(attempt.number, reason or failure()))

    def warm_up(self, path: str = "/wide/x", latency: float = 0.02, requests: int = 12) -> None:
        """Answer some requests after ``latency`` seconds to establish the route's typical latency."""
        for _ in range(requests):
            key = self.arrive(path)
            self.advance(latency)
            for attempt in self.attempts(key):
                self.answer(attempt)
            self.advance(0.1)

    def counts(self) -> dict[str, int]:
        by_instance: dict[str, int] = defaultdict(int)
        for attempt in self.sent:
            by_instance[attempt.server.instance] += 1
        return by_instance


def default_servers(routes: tuple[Route, ...]) -> tuple[ServerRecord, ...]:
    """Return two servers for each service, one per zone."""
    names = {service for route in routes for service in route.services}
    return tuple(server(f"{name}-{zone}", name, zone) for name in sorted(names) for zone in ("z1", "z2"))

"""What the requests of one node share: servers, attempts under way, budgets, what was learned of routes.

Owns the node's state behind the router; the rules of ``requests`` and ``servers`` read and change it. Which
servers a request may go to at all (``candidates``), and how many of them and how many connections this node
uses (``subset``, ``connection_limit``), is decided here, too. Relies on ``servers`` and ``limits``.
"""

import itertools
import random
from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any

from yokesill.gateway.crash_tracker import CrashTracker
from yokesill.gateway.documents import Configuration, Route, ServiceLimits
from yokesill.gateway.limits.budget import BudgetLimits, ExtraAttemptBudget
from yokesill.gateway.limits.node_shares import NodeShares
from yokesill.gateway.options import GatewayOptions
from yokesill.gateway.requests.pacing_queue import PacingQueue
from yokesill.gateway.rollouts import Rollouts
from yokesill.gateway.servers.cold_starts import ColdStarts
from yokesill.gateway.servers.learned_latencies import TypicalLatency
from yokesill.gateway.servers.server_state import ServerState
from yokesill.gateway.servers.server_table import ServerTable
from yokesill.rendezvous import name_hash, weight

# The weight of the newest timer in the node's lateness: it follows a node that turns busy within some five
# timers. Chosen, not measured.
LATENESS_WEIGHT = 0.2
# More than this is a pause rather than a busy node, and counts as this much. Chosen, not measured.
LATENESS_CEILING_S = 0.05
# A hedge needs a second server.
LEAST_SUBSET = 2
# Servers whose round trips differ by less are equally near, and are spread over the nodes by hash. Chosen,
# not measured.
SAME_DISTANCE_S = 0.001


@dataclass(slots=True)
class LiveAttempt:
    """An attempt under way; ``extra`` when the budget paid for it.

    ``silence_reported`` once the other nodes know that its server is silent. ``probe`` when its request is
    suspected of crashing servers and was sent to this one alone.
    """

    number: int
    request_id: str
    server: ServerState
    sent_at_s: float
    extra: bool
    silence_reported: bool = False
    probe: bool = False


@dataclass(slots=True)
class GatewayContext:
    """Servers, budgets and estimates of a node; ``live`` are all attempts under way, by number.

    ``numbers`` names attempts. ``lateness_s`` is how late this node's own timers come, in seconds: a machine
    that is slow or busy must begin to answer earlier.
    """

    options: GatewayOptions
    random_source: random.Random
    servers: ServerTable
    started_at: float
    configuration: Configuration | None = None
    lateness_s: float = 0.0
    live: dict[int, LiveAttempt] = field(default_factory=dict)
    numbers: Iterator[int] = field(default_factory=lambda: itertools.count(1))
    pacing_queue: PacingQueue[Any] = field(default_factory=PacingQueue)
    crashes: CrashTracker = field(default_factory=CrashTracker)
    cold_starts: ColdStarts = field(init=False)
    node_shares: NodeShares = field(init=False)
    rollouts: Rollouts = field(init=False)
    _node_hash: int = field(init=False, default=0)
    _budget_limits: BudgetLimits | None = None
    _budgets: dict[str, ExtraAttemptBudget] = field(default_factory=dict)
    _typical: dict[str, TypicalLatency] = field(default_factory=dict)
    _longest_timeout_s: dict[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Hash this node's name once, and share nothing yet with unknown nodes."""
        self._node_hash = name_hash(self.options.node)
        self.node_shares = NodeShares(self.options.node, self.options.assumed_nodes)
        self.rollouts = Rollouts(self.servers.versions)
        self.cold_starts = ColdStarts(self.options.node, self.options.cold_starts)

    @property
    def configuration_version(self) -> int:
        """The configuration's version; 0 before there is one."""
        return self.configuration.version if self.configuration is not None else 0

    def budget(self, service: str) -> ExtraAttemptBudget:
        """Return the service's budget of extra attempts."""
        budget = self._budgets.get(service)
        if budget is None:
            limits = self._budget_limits or self.options.budget
            budget = self._budgets[service] = ExtraAttemptBudget(limits, self.started_at)
        return budget

    def extra_attempts_left(self, service: str, now: float) -> float:
        """Return how many extra attempts this node may make at the service now."""
        return self.budget(service).left(self.node_shares.active_nodes(service), now)

    def take_extra_attempt(self, service: str, now: float) -> bool:
        """Pay for one extra attempt; ``False`` when the budget does not allow it."""
        return self.budget(service).take(self.node_shares.active_nodes(service), now)

    def set_budget(self, limits: BudgetLimits) -> None:
        """Keep every service to other limits; windows of another length are counted anew."""
        for service, budget in list(self._budgets.items()):
            if budget.terms.window_s == limits.window_s:
                budget.terms = limits
            else:
                self._budgets[service] = ExtraAttemptBudget(limits, self.started_at)
        self._budget_limits = limits

    def typical(self, route: Route) -> TypicalLatency:
        """Return what the route's attempts usually take."""
        typical = self._typical.get(route.name)
        if typical is None:
            typical = self._typical[route.name] = TypicalLatency(route.objective_s)
        return typical

    def known_typical(self, route: Route) -> TypicalLatency | None:
        """Return what is known of the route, which may be gone; see ``typical``."""
        return self._typical.get(route.name)

    def earlier_wait_s(self, route: Route, caller_timeout_s: float) -> float:
        """Return how long the caller has waited on an earlier try of its request, in seconds.

        Callers of one route have the same timeout; one that names less than the longest seen has spent the
        difference on an earlier try.
        """
        longest_s = max(caller_timeout_s, self._longest_timeout_s.get(route.name, 0.0))
        self._longest_timeout_s[route.name] = longest_s
        return longest_s - caller_timeout_s

    def forget_unused(self, before: Configuration | None) -> None:
        """Drop what was learned of routes and services that neither this nor the last version names.

        Requests that began under the last version may still be under way.
        """
        versions = [each for each in (before, self.configuration) if each is not None]
        routes = {route.name for each in versions for route in each.routes}
        named = {name for each in versions for route in each.routes for name in route.services}
        services = named.union(*(each.services for each in versions))
        self._typical = {name: kept for name, kept in self._typical.items() if name in routes}
        self._longest_timeout_s = {
            name: kept for name, kept in self._longest_timeout_s.items() if name in routes
        }
        self._budgets = {name: kept for name, kept in self._budgets.items() if name in services}
        self.servers.versions.keep(services)

    def kept_estimates(self) -> int:
        """How many routes and services something learned is kept."""
        return len(self._typical) + len(self._longest_timeout_s) + len(self._budgets)

    def observe_lateness(self, late_s: float) -> None:
        """Count how late one timer came, in seconds."""
        self.lateness_s += LATENESS_WEIGHT * (min(late_s, LATENESS_CEILING_S) - self.lateness_s)

    def limits(self, service: str) -> ServiceLimits | None:
        """Return what the service's servers bear; ``None`` if the configuration doesn't say."""
        return self.configuration.services.get(service) if self.configuration else None

    def candidates(self, service: str, route: Route, now: float, new: bool = False) -> Iterable[ServerState]:
        """Return the servers that a route's request may go to at all.

        Not those of evacuated zones, of versions that may not be reached or of regions that the route
        doesn't allow, and not cold ones beyond this node's part of what they bear. With ``new`` only those
        of the version that a roll-out moves to.
        """
        servers = self.servers.reachable(service, now, new)
        if route.regions:
            regions = self.options.regions
            servers = [each for each in servers if regions.get(each.record.zone) in route.regions]
        bears, cold_starts = self._cold_bound(service), self.cold_starts
        if bears is None:
            return servers
        return [each for each in servers if not each.cold(now) or cold_starts.allows(each.record, bears, now)]

    def sent(self, server: ServerState, now: float) -> None:
        """Count a request that is sent to a server, which may be cold or of a new version."""
        if self.rollouts.effective:
            self.rollouts.sent(server)
        if self._cold_bound(server.record.service) is not None and server.cold(now):
            self.cold_starts.sent(server.record, now)

    def _cold_bound(self, service: str) -> float | None:
        """Return how many requests a second a cold server of the service bears; ``None`` if unbounded."""
        limits = self.limits(service)
        return limits.cold_requests_per_s if limits is not None and limits.cold_requests_per_s > 0.0 else None

    def connection_limit(self, service: str) -> int:
        """Return how many connections this node may hold to each of the service's servers."""
        limits = self.limits(service)
        if limits is None:
            return 1
        return max(
            1,
            int(self.options.connection_share * limits.connections / self.node_shares.active_nodes(service)),
        )

    def subset(self, service: str, now: float, new: bool = False) -> Collection[str]:
        """Return the servers of a service that this node connects to as long as they are sound.

        Where the nodes together could open more connections than a server bears, each node keeps to
        some of the servers: as many as their connections allow, the nearest first, then by
        rendezvous hash, so that every server gets its share of the nodes.
        """
        servers = self.servers.present(service, now, new)
        limits = self.limits(service)
        if limits is None or not servers:
            return [each.record.instance for each in servers]
        bearable = self.options.connection_share * limits.connections * len(servers)
        size = max(LEAST_SUBSET, int(bearable / self.node_shares.active_nodes(service)))
        if size < len(servers):
            servers = sorted(servers, key=self._preference)[:size]
        return [each.record.instance for each in servers]

    def _preference(self, server: ServerState) -> tuple[float, int]:
        distance = round(server.round_trip / SAME_DISTANCE_S)
        return distance, weight(self._node_hash, server.name_hash)

    def release(self, number: int) -> LiveAttempt | None:
        """Take an attempt off its server; ``None`` when it has ended before."""
        attempt = self.live.pop(number, None)
        if attempt is not None:
            attempt.server.end(number)
        return attempt

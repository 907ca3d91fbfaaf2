"""State that all requests of one node share: servers, attempts in flight, budgets and learned latencies.

Owns the node's state behind the router; the rules in ``requests`` and ``servers`` read and change it. Which
servers a request may be sent to is decided in ``servers.eligibility``, what an extra attempt costs in
``limits``.
"""

import itertools
import random
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

from yokesill.gateway.crash_tracker import CrashTracker
from yokesill.gateway.documents import Configuration, Route
from yokesill.gateway.limits.budget import BudgetLimits, ExtraAttemptBudget
from yokesill.gateway.limits.node_shares import NodeShares
from yokesill.gateway.options import GatewayOptions
from yokesill.gateway.requests.pacing_queue import PacingQueue
from yokesill.gateway.rollouts import Rollouts
from yokesill.gateway.servers.eligibility import Eligibility
from yokesill.gateway.servers.learned_latencies import TypicalLatency
from yokesill.gateway.servers.server_state import ServerState
from yokesill.gateway.servers.server_table import ServerTable

# The weight of the newest timer in the smoothed lateness, which follows a node that becomes busy within about
# five timers.
LATENESS_WEIGHT = 0.2
# A longer delay is a pause rather than a busy node, and counts as this much.
MAX_LATENESS_S = 0.05


@dataclass(slots=True)
class LiveAttempt:
    """An attempt in flight; ``extra`` if it was charged to the budget of extra attempts.

    ``silence_reported`` is set once its server was reported to the other nodes as silent. ``probe`` is set if
    its request is suspected of crashing servers and was sent to this server alone.
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
    """Servers, budgets and estimates of a node; ``live`` are all attempts in flight, by number.

    ``numbers`` yields the numbers of attempts. ``lateness_s`` is the smoothed delay of this node's own
    timers, in seconds: a machine that is slow or busy must start to answer earlier; ``longest_lateness_s`` is
    the longest one. ``answers_by_s`` is when
    every request must have its final answer because the node ends then.
    """

    options: GatewayOptions
    random_source: random.Random
    servers: ServerTable
    started_at: float
    configuration: Configuration | None = None
    lateness_s: float = 0.0
    longest_lateness_s: float = 0.0
    answers_by_s: float = float("inf")
    live: dict[int, LiveAttempt] = field(default_factory=dict)
    numbers: Iterator[int] = field(default_factory=lambda: itertools.count(1))
    pacing_queue: PacingQueue[Any] = field(default_factory=PacingQueue)
    crashes: CrashTracker = field(default_factory=CrashTracker)
    eligibility: Eligibility = field(init=False)
    node_shares: NodeShares = field(init=False)
    rollouts: Rollouts = field(init=False)
    _budget_limits: BudgetLimits | None = None
    _budgets: dict[str, ExtraAttemptBudget] = field(default_factory=dict)
    _typical_latencies: dict[str, TypicalLatency] = field(default_factory=dict)
    _longest_timeout_s: dict[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Start without configuration, servers or other nodes."""
        self.node_shares = NodeShares(self.options.node, self.options.assumed_nodes)
        self.rollouts = Rollouts(self.servers.versions)
        self.eligibility = Eligibility(self.options, self.servers, self.node_shares)

    @property
    def configuration_version(self) -> int:
        """The configuration's version; 0 if there is no configuration."""
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
        """Charge one extra attempt to the budget; return ``False`` if the budget does not allow it."""
        return self.budget(service).take(self.node_shares.active_nodes(service), now)

    def set_budget(self, limits: BudgetLimits) -> None:
        """Apply other limits to every service; a window of another length starts with empty counts."""
        for service, budget in list(self._budgets.items()):
            if budget.limits.window_s == limits.window_s:
                budget.limits = limits
            else:
                self._budgets[service] = ExtraAttemptBudget(limits, self.started_at)
        self._budget_limits = limits

    def typical_latency(self, route: Route) -> TypicalLatency:
        """Return the typical latency of the route's attempts."""
        latency = self._typical_latencies.get(route.name)
        if latency is None:
            latency = self._typical_latencies[route.name] = TypicalLatency(route.objective_s)
        return latency

    def find_typical_latency(self, route: Route) -> TypicalLatency | None:
        """Return the route's typical latency if one is kept; the route itself may have been removed."""
        return self._typical_latencies.get(route.name)

    def earlier_wait_s(self, route: Route, caller_timeout_s: float) -> float:
        """Return how long the caller has waited for an earlier try of its request, in seconds.

        Callers of one route have the same timeout. A caller that sends less than the longest one seen has
        spent the difference on an earlier try.
        """
        longest_s = max(caller_timeout_s, self._longest_timeout_s.get(route.name, 0.0))
        self._longest_timeout_s[route.name] = longest_s
        return longest_s - caller_timeout_s

    def forget_unused(self, previous: Configuration | None) -> None:
        """Drop estimates of routes and services that neither the current nor the previous version contains.

        Requests that started under the previous version may still be in progress.
        """
        versions = [each for each in (previous, self.configuration) if each is not None]
        routes = {route.name for each in versions for route in each.routes}
        service_names = {name for each in versions for route in each.routes for name in route.services}
        services = service_names.union(*(each.services for each in versions))
        self._typical_latencies = {
            name: kept for name, kept in self._typical_latencies.items() if name in routes
        }
        self._longest_timeout_s = {
            name: kept for name, kept in self._longest_timeout_s.items() if name in routes
        }
        self._budgets = {name: kept for name, kept in self._budgets.items() if name in services}
        self.servers.versions.retain(services)

    def estimate_count(self) -> int:
        """Return the number of estimates and budgets that are kept for routes and services."""
        return len(self._typical_latencies) + len(self._longest_timeout_s) + len(self._budgets)

    def observe_lateness(self, late_s: float) -> None:
        """Record the delay with which one timer fired, in seconds."""
        self.longest_lateness_s = max(self.longest_lateness_s, late_s)
        self.lateness_s += LATENESS_WEIGHT * (min(late_s, MAX_LATENESS_S) - self.lateness_s)

    def sent(self, server: ServerState, now: float) -> None:
        """Count a request that is sent to a server, for cold-start limits and roll-outs."""
        if self.rollouts.effective:
            self.rollouts.record_sent(server)
        self.eligibility.count_sent(server, now)

    def release(self, number: int) -> LiveAttempt | None:
        """Remove an attempt from its server and return it; ``None`` if it has already ended."""
        attempt = self.live.pop(number, None)
        if attempt is not None:
            attempt.server.end(number)
        return attempt

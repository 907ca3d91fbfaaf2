"""What the requests of one node share: servers, attempts under way, budgets, what was learned of routes.

Owns the node's state behind the router; the rules of ``requests`` and ``servers`` read and change it. Which
servers a request may go to is decided in ``servers.eligibility``, what an extra attempt costs in ``limits``.
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

# The weight of the newest timer in the node's lateness: it follows a node that turns busy within some five
# timers.
LATENESS_WEIGHT = 0.2
# More than this is a pause rather than a busy node, and counts as this much.
LATENESS_CEILING_S = 0.05


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
    eligibility: Eligibility = field(init=False)
    node_shares: NodeShares = field(init=False)
    rollouts: Rollouts = field(init=False)
    _budget_limits: BudgetLimits | None = None
    _budgets: dict[str, ExtraAttemptBudget] = field(default_factory=dict)
    _typical: dict[str, TypicalLatency] = field(default_factory=dict)
    _longest_timeout_s: dict[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Start without configuration, servers and other nodes."""
        self.node_shares = NodeShares(self.options.node, self.options.assumed_nodes)
        self.rollouts = Rollouts(self.servers.versions)
        self.eligibility = Eligibility(self.options, self.servers, self.node_shares)

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
            if budget.limits.window_s == limits.window_s:
                budget.limits = limits
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
        self.servers.versions.retain(services)

    def kept_estimates(self) -> int:
        """How many routes and services something learned is kept."""
        return len(self._typical) + len(self._longest_timeout_s) + len(self._budgets)

    def observe_lateness(self, late_s: float) -> None:
        """Count how late one timer came, in seconds."""
        self.lateness_s += LATENESS_WEIGHT * (min(late_s, LATENESS_CEILING_S) - self.lateness_s)

    def sent(self, server: ServerState, now: float) -> None:
        """Count a request that is sent to a server, which may be cold or of a new version."""
        if self.rollouts.effective:
            self.rollouts.sent(server)
        self.eligibility.count_sent(server, now)

    def release(self, number: int) -> LiveAttempt | None:
        """Take an attempt off its server; ``None`` when it has ended before."""
        attempt = self.live.pop(number, None)
        if attempt is not None:
            attempt.server.end(number)
        return attempt

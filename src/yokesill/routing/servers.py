"""What one node knows of each server: limit, latency, load, holdings and life-cycle state.

The concurrency limit grows by 1/limit with each answer that used it and shrinks when the server sheds or
reports a queue as long as its slots: the node's queue is ordered by priority, share and deadline, the
server's is not. Goodput at 1.5 times the capacity with this rule and without: docs/design/limits.md. States
follow the chart ``charts/server.yaml``. Times are in seconds of the node's clock.
"""

from collections.abc import Iterable

from yokesill.charts.flat import transition_table
from yokesill.resources.documents import Replica
from yokesill.resources.keys import ServiceName
from yokesill.routing.messages import LoadReport, ServerReport, Snapshot
from yokesill.routing.options import RoutingOptions

# The weight of the newest answer in a server's latency.
LATENCY_WEIGHT = 0.2
# The limit shrinks by this factor, once an interval at most: all answers of one overload come from the same
# queue.
LIMIT_DECREASE_FACTOR = 0.7
DECREASE_INTERVAL_S = 0.1
# Until a server has answered: that of a fast server, so a new one is tried.
INITIAL_LATENCY_S = 0.005
# A cold server costs up to this much more than its latency, less as it warms up.
COLD_PENALTY = 3.0
# After so many answers a server is warm.
WARM_ANSWERS = 20

COLD, ACTIVE, EJECTED, LEAVING = "cold", "active", "ejected", "leaving"


class ServerState:
    """One server, as this node sees it."""

    def __init__(self, replica: Replica, options: RoutingOptions) -> None:
        self.address = replica.address
        self.zone = replica.zone
        self.state = COLD
        self.incarnation = ""
        self.holdings: frozenset[Snapshot] = frozenset()
        self.in_flight = 0
        self.limit = options.initial_limit
        self.latency_s = INITIAL_LATENCY_S
        self.heard_at_s = float("-inf")
        self.shards: set[tuple[ServiceName, str]] = set()
        self._options = options
        self._table = transition_table("server")
        self._load: LoadReport | None = None
        self._load_at = 0.0
        self._since = 0.0
        self._answers = 0
        self._failures = 0
        self._ejections = 0
        self._ejected_until = 0.0
        self._decreased_at = 0.0
        self._leaving_as = ""
        self._report_asked_at = float("-inf")

    def handle(self, event: str, now: float) -> bool:
        """Step the life-cycle chart; return whether the state changed."""
        target = self._table.get((self.state, event))
        if target is None:
            return False
        self.state = target
        self._since = now
        self._answers = 0
        return True

    @property
    def usable(self) -> bool:
        """Whether the server counts for choosing a snapshot: neither leaving nor ejected."""
        return self.state in (COLD, ACTIVE)

    def may_take(self, now: float) -> bool:
        """Whether one more request may be sent now."""
        if self.state == LEAVING:
            return False
        if not self._options.limits:
            return True
        if self.state == EJECTED:
            return self.in_flight == 0 and now >= self._ejected_until
        return self.in_flight < max(1, int(self.limit))

    def cost(self, now: float, prefer_near: bool) -> float:
        """Return the expected cost of one more request, in seconds; lower is better."""
        waiting = self.in_flight + self._reported_wait(now)
        cost = self.latency_s * (1.0 + waiting)
        if self.state == COLD:
            age = min(1.0, (now - self._since) / self._options.slow_start_s)
            cost *= 1.0 + COLD_PENALTY * (1.0 - age)
        if prefer_near and self.zone != self._options.zone:
            cost += self._options.remote_zone_penalty_s
        return cost

    def _reported_wait(self, now: float) -> float:
        """Return the reported requests a slot, halved every half-life since reports age."""
        if self._load is None or self._load.slots < 1:
            return 0.0
        age = now - self._load_at
        faded = 0.5 ** (age / self._options.load_report_half_life_s)
        return float((self._load.queued + self._load.active) / self._load.slots * faded)

    def answered(self, latency: float, now: float) -> bool:
        """Count an answer; return whether the state changed."""
        self._failures = 0
        self._ejections = max(0, self._ejections - 1) if self.state == ACTIVE else self._ejections
        self.latency_s += LATENCY_WEIGHT * (latency - self.latency_s)
        if self._reports_queue():
            self.back_off(now)
        elif self.in_flight + 1 >= int(self.limit):
            self.limit = min(self._options.maximum_limit, self.limit + 1.0 / self.limit)
        changed = self.handle("answered", now)
        self._answers += 1
        if self.state == COLD and self._answers >= WARM_ANSWERS:
            changed |= self.handle("warmed", now)
        return changed

    def outrun(self, elapsed: float) -> None:
        """Count an attempt that lost to its hedge after ``elapsed`` seconds: it is at least that slow."""
        if elapsed > self.latency_s:
            self.latency_s += LATENCY_WEIGHT * (elapsed - self.latency_s)

    def leave(self, incarnation: str, now: float) -> bool:
        """Record that ``incarnation`` (empty: the present one) leaves; return whether that is new."""
        if incarnation and self.incarnation and incarnation != self.incarnation:
            return False
        self._leaving_as = incarnation or self.incarnation
        return self.handle("leaving", now)

    def _is_back(self) -> bool:
        """Whether the newest incarnation is not the one that leaves."""
        if not self._leaving_as:
            self._leaving_as = self.incarnation
        return self._leaving_as != self.incarnation

    def servable(self) -> set[tuple[ServiceName, str, Snapshot]]:
        """Return what waiters the server can be offered: its shards under each snapshot it holds."""
        return {(name, shard, snapshot) for name, shard in self.shards for snapshot in self.holdings}

    def _reports_queue(self) -> bool:
        """Whether the server's last report shows a queue of at least its slots."""
        return self._load is not None and self._load.queued >= max(1, self._load.slots)

    def back_off(self, now: float) -> None:
        """Lower the limit, at most once an interval."""
        if now - self._decreased_at < DECREASE_INTERVAL_S:
            return
        self._decreased_at = now
        self.limit = max(1.0, self.limit * LIMIT_DECREASE_FACTOR)

    def failed(self, now: float) -> bool:
        """Count a failure of the server itself; return whether the state changed."""
        self._failures += 1
        if self.state == EJECTED:
            self._eject(now)
            return False
        if not self._options.ejection or self._failures < self._options.ejection_failures:
            return False
        if not self.handle("failing", now):
            return False
        self._eject(now)
        return True

    def _eject(self, now: float) -> None:
        pause = self._options.ejection_base_s * 2.0**self._ejections
        self._ejected_until = now + min(self._options.ejection_ceiling_s, pause)
        self._ejections = min(self._ejections + 1, 10)

    def observe(self, report: ServerReport, asked_at: float, now: float) -> bool:
        """Update from the server's own report; return whether routing must decide anew.

        Replies overtake each other: a report is ignored if a request that was sent later has been answered
        already.
        """
        if asked_at < self._report_asked_at:
            return False
        self._report_asked_at = asked_at
        changed = False
        self.heard_at_s = now
        if report.incarnation != self.incarnation:
            self.incarnation = report.incarnation
            changed = self._is_back() and self.handle("returned", now)
        if report.leaving:
            changed |= self.leave(report.incarnation, now)
        if report.load is not None:
            self._load, self._load_at = report.load, now
        if report.holdings is not None and report.holdings != self.holdings:
            self.holdings = report.holdings
            changed = True
        return changed


class ServerTable:
    """All servers by address; ``generation`` rises with every change that routing must see."""

    def __init__(self, options: RoutingOptions) -> None:
        self.generation = 0
        self._options = options
        self._servers: dict[str, ServerState] = {}

    def get(self, address: str) -> ServerState | None:
        """Return the server at ``address``, if a service names it."""
        return self._servers.get(address)

    def all(self) -> Iterable[ServerState]:
        """Return every server."""
        return self._servers.values()

    def require(self, replica: Replica) -> ServerState:
        """Return the replica's server, adding it cold when it is new."""
        server = self._servers.get(replica.address)
        if server is None:
            server = ServerState(replica, self._options)
            self._servers[replica.address] = server
        return server

    def discard_unused(self) -> None:
        """Drop servers that no shard names any more and that have nothing in flight."""
        unused = [each for each in self._servers.values() if not each.shards and each.in_flight == 0]
        for server in unused:
            del self._servers[server.address]

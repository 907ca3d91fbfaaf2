"""A node's view of each server: limit, latency, load, holdings and life-cycle state.

The concurrency limit grows by 1/limit with each answer that used the whole limit. It shrinks when the server
sheds, or reports a queue at least as long as its slots: requests should wait at the node, whose queue is
ordered by priority, share and deadline, unlike the server's. docs/design/limits.md compares goodput at 1.5
times the capacity with and without this rule. States follow the chart ``charts/server.yaml``. Times are in
seconds of the node's clock.
"""

from collections.abc import Iterable

from yokesill.charts.flat import transition_table
from yokesill.resources.documents import Replica
from yokesill.resources.keys import ServiceName
from yokesill.routing.messages import LoadReport, ServerReport, Snapshot
from yokesill.routing.options import RoutingOptions

# Weight of the newest answer in the moving average of a server's latency.
LATENCY_WEIGHT = 0.2
# The limit shrinks by this factor, at most once per interval, since all answers during one overload come from
# the same queue.
LIMIT_DECREASE_FACTOR = 0.7
DECREASE_INTERVAL_S = 0.1
# The assumed latency before the first answer; low, so that new servers are tried.
INITIAL_LATENCY_S = 0.005
# The cost of a cold server is raised by up to this multiple; the penalty shrinks as the server warms up.
COLD_PENALTY = 3.0
# A server is warm after this many answers.
WARM_ANSWERS = 20

COLD, ACTIVE, EJECTED, LEAVING = "cold", "active", "ejected", "leaving"


class ServerState:
    """The state of one server, as this node sees it."""

    def __init__(self, replica: Replica, options: RoutingOptions) -> None:
        self.address = replica.address
        self.zone = replica.zone
        self.state = COLD
        self.incarnation = ""
        self.holdings: frozenset[Snapshot] = frozenset()
        self.in_flight = 0
        self.limit = options.initial_limit
        self.latency_s = INITIAL_LATENCY_S
        self.reported_at_s = float("-inf")
        self.shards: set[tuple[ServiceName, str]] = set()
        self._options = options
        self._table = transition_table("server")
        self._load: LoadReport | None = None
        self._load_at = 0.0
        self._state_since = 0.0
        self._answers = 0
        self._failures = 0
        self._ejections = 0
        self._ejected_until = 0.0
        self._decreased_at = 0.0
        self._leaving_incarnation = ""
        self._report_asked_at = float("-inf")

    def apply_event(self, event: str, now: float) -> bool:
        """Apply an event of the life-cycle chart; return whether it led to a transition."""
        target = self._table.get((self.state, event))
        if target is None:
            return False
        self.state = target
        self._state_since = now
        self._answers = 0
        return True

    @property
    def usable(self) -> bool:
        """Whether the server is neither leaving nor ejected."""
        return self.state in (COLD, ACTIVE)

    def can_accept(self, now: float) -> bool:
        """Whether one more request may be sent to the server now."""
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
            age = min(1.0, (now - self._state_since) / self._options.slow_start_s)
            cost *= 1.0 + COLD_PENALTY * (1.0 - age)
        if prefer_near and self.zone != self._options.zone:
            cost += self._options.remote_zone_penalty_s
        return cost

    def _reported_wait(self, now: float) -> float:
        """Return the reported requests per slot; the value decays, since reports become stale."""
        if self._load is None or self._load.slots < 1:
            return 0.0
        age = now - self._load_at
        decay = 0.5 ** (age / self._options.load_report_half_life_s)
        return float((self._load.queued + self._load.active) / self._load.slots * decay)

    def record_answer(self, latency: float, now: float) -> bool:
        """Count an answer; return whether the state changed."""
        self._failures = 0
        self._ejections = max(0, self._ejections - 1) if self.state == ACTIVE else self._ejections
        self.latency_s += LATENCY_WEIGHT * (latency - self.latency_s)
        if self._reports_queue():
            self.back_off(now)
        elif self.in_flight + 1 >= int(self.limit):
            self.limit = min(self._options.maximum_limit, self.limit + 1.0 / self.limit)
        changed = self.apply_event("answered", now)
        self._answers += 1
        if self.state == COLD and self._answers >= WARM_ANSWERS:
            changed |= self.apply_event("warmed", now)
        return changed

    def record_cancelled(self, elapsed: float) -> None:
        """Raise the latency after an attempt was cancelled: it took at least ``elapsed`` seconds."""
        if elapsed > self.latency_s:
            self.latency_s += LATENCY_WEIGHT * (elapsed - self.latency_s)

    def mark_leaving(self, incarnation: str, now: float) -> bool:
        """Record that ``incarnation`` (empty: the current one) leaves; return whether the state changed."""
        if incarnation and self.incarnation and incarnation != self.incarnation:
            return False
        self._leaving_incarnation = incarnation or self.incarnation
        return self.apply_event("leaving", now)

    def _has_returned(self) -> bool:
        """Whether the current incarnation differs from the one that is leaving."""
        if not self._leaving_incarnation:
            self._leaving_incarnation = self.incarnation
        return self._leaving_incarnation != self.incarnation

    def servable(self) -> set[tuple[ServiceName, str, Snapshot]]:
        """Return the keys of waiters that the server can serve: its shards under each held snapshot."""
        return {(name, shard, snapshot) for name, shard in self.shards for snapshot in self.holdings}

    def _reports_queue(self) -> bool:
        """Whether the last report shows a queue at least as long as the server's slots."""
        return self._load is not None and self._load.queued >= max(1, self._load.slots)

    def back_off(self, now: float) -> None:
        """Lower the limit, at most once per interval."""
        if now - self._decreased_at < DECREASE_INTERVAL_S:
            return
        self._decreased_at = now
        self.limit = max(1.0, self.limit * LIMIT_DECREASE_FACTOR)

    def record_failure(self, now: float) -> bool:
        """Count a failure caused by the server; return whether the state changed."""
        self._failures += 1
        if self.state == EJECTED:
            self._eject(now)
            return False
        if not self._options.ejection or self._failures < self._options.ejection_failures:
            return False
        if not self.apply_event("failing", now):
            return False
        self._eject(now)
        return True

    def _eject(self, now: float) -> None:
        pause = self._options.ejection_base_s * 2.0**self._ejections
        self._ejected_until = now + min(self._options.ejection_ceiling_s, pause)
        self._ejections = min(self._ejections + 1, 10)

    def apply_report(self, report: ServerReport, asked_at: float, now: float) -> bool:
        """Update from a report of the server; return whether routing decisions must be made again.

        Replies can arrive out of order: a report is ignored if a request that was sent later has been
        answered already.
        """
        if asked_at < self._report_asked_at:
            return False
        self._report_asked_at = asked_at
        changed = False
        self.reported_at_s = now
        if report.incarnation != self.incarnation:
            self.incarnation = report.incarnation
            changed = self._has_returned() and self.apply_event("returned", now)
        if report.leaving:
            changed |= self.mark_leaving(report.incarnation, now)
        if report.load is not None:
            self._load, self._load_at = report.load, now
        if report.holdings is not None and report.holdings != self.holdings:
            self.holdings = report.holdings
            changed = True
        return changed


class ServerTable:
    """All servers by address; ``generation`` rises with every change that affects routing."""

    def __init__(self, options: RoutingOptions) -> None:
        self.generation = 0
        self._options = options
        self._servers: dict[str, ServerState] = {}

    def get(self, address: str) -> ServerState | None:
        """Return the server at ``address``, or ``None`` if no service lists it."""
        return self._servers.get(address)

    def all(self) -> Iterable[ServerState]:
        """Return every server."""
        return self._servers.values()

    def require(self, replica: Replica) -> ServerState:
        """Return the replica's server; a new one is added in the cold state."""
        server = self._servers.get(replica.address)
        if server is None:
            server = ServerState(replica, self._options)
            self._servers[replica.address] = server
        return server

    def discard_unused(self) -> None:
        """Remove servers that no shard lists any more and that have no request in flight."""
        unused = [each for each in self._servers.values() if not each.shards and each.in_flight == 0]
        for server in unused:
            del self._servers[server.address]

"""The state of one server at a node: its entry, its attempts in flight, and whether it may get the next one.

Owns the state of one incarnation in the state chart ``server``, and passes each outcome of an attempt to the
parts that use it: `Ejection`, `ConnectionBackoff`, `Probation`, `ServerLatency`. `eligibility` decides which
servers may be used at all, `selection` which of them is chosen. Times are in seconds of the node's clock.
"""

from typing import NamedTuple

from yokesill.charts.flat import transition_table
from yokesill.gateway.documents import ServerRecord
from yokesill.gateway.messages import Load
from yokesill.gateway.servers.connection_backoff import ConnectionBackoff
from yokesill.gateway.servers.ejection import SLOW_RATIO, Ejection
from yokesill.gateway.servers.learned_latencies import ConnectingTimes, ZoneDistances
from yokesill.gateway.servers.probation import Probation
from yokesill.gateway.servers.recent_outcomes import RecentSuccesses
from yokesill.gateway.servers.server_latency import ServerLatency
from yokesill.rendezvous import name_hash

COLD, ACTIVE, EJECTED, LEAVING = "cold", "active", "ejected", "leaving"
# How long other servers are preferred after a server rejected a request because it is full; some of its
# requests are finished by then.
SHED_PAUSE_S = 0.05


class SentAttempt(NamedTuple):
    """When an attempt was sent, and the typical latency of its route's attempts."""

    sent_at_s: float
    typical_s: float


class ServerState:
    """One incarnation of a server.

    ``removed_at_s`` is when its entry vanished. ``last_sent_at_s`` is when it was last sent an attempt,
    ``last_typical_s`` the typical latency of such attempts. ``replaced_by`` is the server that was started
    later at its address.
    """

    __slots__ = (
        "_absent", "_distances", "_ejection", "_has_evidence", "_latest_answered_sent_at_s", "_sent",
        "_shed_until_s", "_stalled", "_state", "_successes", "_transitions", "_warm_at_s", "connections",
        "last_sent_at_s", "last_typical_s", "latency", "name_hash", "probation", "record", "removed_at_s",
        "replaced_by",
    )  # fmt: skip

    def __init__(
        self,
        record: ServerRecord,
        distances: ZoneDistances,
        connecting: ConnectingTimes,
        backoff_enabled: bool,
        now: float,
    ) -> None:
        self.record = record
        self.name_hash = name_hash(record.instance)
        self.removed_at_s: float | None = None
        self.replaced_by: ServerState | None = None
        self._absent = False
        self.last_sent_at_s = float("-inf")
        self.last_typical_s = 0.0
        self.connections = ConnectionBackoff(backoff_enabled)
        self.latency = ServerLatency(distances, connecting)
        self.probation = Probation()
        self._ejection = Ejection()
        self._distances = distances
        self._transitions = transition_table("server")
        self._state = COLD
        self._warm_at_s = now + record.warmup_left_s
        self._shed_until_s = 0.0
        self._has_evidence = False
        self._successes = RecentSuccesses()
        self._sent: dict[int, SentAttempt] = {}
        self._stalled: set[int] = set()
        self._latest_answered_sent_at_s = float("-inf")

    # --- entry and life cycle ---

    @property
    def state(self) -> str:
        """The state in the chart ``server``."""
        return self._state

    @property
    def leaving(self) -> bool:
        """Whether it gets no new requests."""
        return self._state == LEAVING or self.removed_at_s is not None or self.replaced

    @property
    def replaced(self) -> bool:
        """Whether another server took over its address and has not turned out to be absent there."""
        return self.replaced_by is not None and not self.replaced_by._absent

    @property
    def round_trip(self) -> float:
        """How much longer its round trip is than that of servers in the nearest zone, in seconds."""
        return self._distances.extra_round_trip(self.record.zone)

    def update(self, record: ServerRecord, now: float) -> None:
        """Apply a newer entry of the same incarnation."""
        self.record = record
        self.removed_at_s = None
        self._warm_at_s = now + record.warmup_left_s
        if record.leaving:
            self._handle("leaving")

    def leave(self) -> None:
        """Give it no new requests: an answer from its address said that it is not there."""
        self._absent = True
        self._handle("leaving")

    def cold(self, now: float) -> bool:
        """Whether it is still slow after its start and has little capacity."""
        return now < self._warm_at_s

    def _handle(self, event: str) -> bool:
        target = self._transitions.get((self._state, event))
        if target is None or target == self._state:
            return False
        self._state = target
        return True

    # --- availability for the next attempt ---

    def usable(self, now: float) -> bool:
        """Whether it is healthy: not refusing connections, suspected, stalled or ejected.

        On probation, and after an ejection, it is healthy for one attempt at a time.
        """
        if now < self.connections.refused_until_s:
            return False
        probation = self.probation
        if probation.active and (self._sent or probation.suspected(now)):
            return False
        if self._state != EJECTED:
            return not self.stalled
        return now >= self._ejection.until_s and not self._sent

    def pausing(self, now: float) -> bool:
        """Whether it has just rejected a request."""
        return now < self._shed_until_s

    @property
    def failing(self) -> bool:
        """Whether its last outcome was a failure."""
        return self._ejection.failing

    @property
    def stalled(self) -> bool:
        """Whether an attempt is late for its route and no attempt sent after it was answered."""
        return any(self._is_evidence(self._sent[number]) for number in self._stalled)

    def available_at_s(self, now: float) -> float:
        """Return when its ejection, backoff and pause are over; infinite if it is leaving."""
        if self.leaving:
            return float("inf")
        ejected_until_s = self._ejection.until_s if self._state == EJECTED and self.failing else now
        return max(now, ejected_until_s, self._shed_until_s, self.connections.refused_until_s)

    # --- latency ---

    @property
    def in_flight(self) -> int:
        """The number of this node's attempts in flight."""
        return len(self._sent)

    def slowness(self, now: float) -> float:
        """Return how many times slower than usual it is.

        Measured by its last answers or by the attempt that has been in flight longest, whichever is higher.
        """
        oldest = next((each for each in self._sent.values() if self._is_evidence(each)), None)
        if oldest is None:
            return self.latency.slowness
        return self.latency.slowness_with(now - oldest.sent_at_s - self.round_trip, oldest.typical_s)

    def expected(self, typical_s: float, now: float) -> float:
        """Return the expected latency of one more request with this typical latency, in seconds."""
        in_flight, cold = len(self._sent), now < self._warm_at_s
        return self.latency.expected_s(typical_s, in_flight, self.connections.open, cold, self.record, now)

    def _is_evidence(self, attempt: SentAttempt) -> bool:
        """Whether an attempt is evidence; once a later one was answered, its own answer counts as lost."""
        return attempt.sent_at_s > self._latest_answered_sent_at_s

    # --- outcomes of attempts ---

    def begin(self, number: int, typical_s: float, now: float) -> None:
        """Record an attempt that is sent now."""
        self._sent[number] = SentAttempt(now, typical_s)
        self.last_sent_at_s, self.last_typical_s = now, typical_s

    def end(self, number: int) -> None:
        """Record the end of an attempt."""
        self._sent.pop(number, None)
        self._stalled.discard(number)

    def stall(self, number: int) -> None:
        """Mark an attempt as late for its route: the server may be paused or dark."""
        self._stalled.add(number)

    def answered(
        self, sent_at_s: float, typical_s: float, load: Load | None, now: float, node_late_s: float = 0.0
    ) -> str | None:
        """Record an answer; return the new state if it changed.

        ``node_late_s`` is the lateness of this node itself, which does not count against the server.
        """
        before = self._state
        self.latency.rejections.count(False, now)
        self._latest_answered_sent_at_s = max(self._latest_answered_sent_at_s, sent_at_s)
        self._ejection.answered()
        self.connections.answered()
        latency_s = now - sent_at_s - self.round_trip - node_late_s
        ratio = self.latency.answered(latency_s, typical_s, load, now)
        if ratio <= SLOW_RATIO:
            self._answered_in_time(sent_at_s, now)
        elif self._ejection.counts(sent_at_s, now):
            self._has_evidence = True
            if self._ejection.answered_slowly(now):
                self._handle("failing")
        return self._state if self._state != before else None

    def _answered_in_time(self, sent_at_s: float, now: float) -> None:
        self._ejection.answered_in_time()
        self._successes.count(now)
        self.probation.answered_in_time(sent_at_s)
        self._handle("answered")
        self._handle("warmed")

    def failed(self, sent_at_s: float, now: float) -> str | None:
        """Record a failure of the server itself; return the new state if it changed."""
        before = self._state
        if self._ejection.counts(sent_at_s, now):
            self._has_evidence = True
            self._ejection.failed(now)
            self._handle("failing")
        return self._state if self._state != before else None

    def shed(self, now: float) -> None:
        """Record a rejection: the server is full at this moment."""
        self._shed_until_s = now + SHED_PAUSE_S
        self.latency.rejections.count(True, now)

    # --- reports to peers ---

    def take_evidence(self) -> bool:
        """Return and clear whether the last answer or failure was evidence against it."""
        had_evidence, self._has_evidence = self._has_evidence, False
        return had_evidence

    def take_successes(self, now: float) -> int:
        """Return and clear the number of its good answers in about the last second."""
        return self._successes.take(now)

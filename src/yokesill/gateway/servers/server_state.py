"""Servers as one node sees them: state, work in flight, speed, and what is known of their load."""

from typing import NamedTuple

from yokesill.charts.flat import transition_table
from yokesill.gateway.documents import ServerRecord
from yokesill.gateway.messages import Load
from yokesill.gateway.servers.connecting_times import ConnectingTimes
from yokesill.gateway.servers.recent_successes import RecentSuccesses
from yokesill.gateway.servers.rejections import RecentRejections
from yokesill.gateway.servers.zone_distances import ZoneDistances
from yokesill.rendezvous import name_hash

COLD, ACTIVE, EJECTED, LEAVING = "cold", "active", "ejected", "leaving"
SLOW_RATIO, SLOW_STREAK_TO_EJECT = 2.2, 2
SLOW_EJECTION, SLOW_EJECTION_CEILING = 0.5, 4.0
FAILING_EJECTION, FAILING_EJECTION_CEILING = 0.5, 2.0
LOAD_LIFETIME = 0.25
SHED_PAUSE = 0.05
COLD_SLOWNESS = 1.6
LEAST_TYPICAL = 0.001
SLOWNESS_WEIGHT = 0.5
REFUSAL_PAUSE_S, REFUSAL_PAUSE_CEILING_S = 0.03, 0.24
FIRST_CONNECTIONS, MOST_CONNECTIONS = 1, 256


class SentAttempt(NamedTuple):
    """When an attempt was sent, in seconds of the node's clock, and what its route's usually take."""

    sent_at_s: float
    usual_s: float


class ServerState:
    """One incarnation of a server; times in seconds of the node's clock.

    ``connections`` are those that this node holds open to it, ``connection_window`` how many it seems to
    bear from it; until ``refused_until_s`` it gets nothing new since it refused one. ``last_sent_at_s`` is
    when it was last sent an attempt, ``last_usual_s`` what those usually take.
    """

    __slots__ = (
        "_connecting", "_distances", "_ejected_until", "_evidence", "_failures", "_good_answers",
        "_judged_at", "_load", "_load_at", "_on_trial", "_overtaken_s", "_refusals", "_rejections", "_sent",
        "_shed_until", "_slow_streak", "_slowness", "_stalled", "_state", "_suspected_at", "_suspected_until",
        "_table", "_warm_at", "connection_window", "connections", "failing", "last_sent_at_s", "last_usual_s",
        "name_hash", "record", "refused_until_s", "removed_at",
    )  # fmt: skip

    def __init__(
        self, record: ServerRecord, distances: ZoneDistances, connecting: ConnectingTimes, now: float
    ) -> None:
        self.record = record
        self.name_hash = name_hash(record.instance)
        self.connections = 0
        self.last_sent_at_s = float("-inf")
        self.last_usual_s = 0.0
        self.failing = False
        self.removed_at: float | None = None
        self._table = transition_table("server")
        self._state = COLD
        self._distances = distances
        self._connecting = connecting
        self._slow_streak = 0
        self._failures = 0
        self._judged_at = 0.0
        self._ejected_until = 0.0
        self._shed_until = 0.0
        self._rejections = RecentRejections()
        self._refusals = 0
        self.refused_until_s = 0.0
        self.connection_window = FIRST_CONNECTIONS
        self._on_trial = False
        self._suspected_at = 0.0
        self._suspected_until = 0.0
        self._evidence = False
        self._good_answers = RecentSuccesses()
        self._sent: dict[int, SentAttempt] = {}
        self._stalled: set[int] = set()
        self._overtaken_s = float("-inf")
        self._slowness = 1.0
        self._warm_at = now + record.warmup_left_s
        self._load: Load | None = None
        self._load_at = 0.0

    @property
    def state(self) -> str:
        """The state of the chart ``server``."""
        return self._state

    @property
    def in_flight(self) -> int:
        """How many attempts of this node are under way."""
        return len(self._sent)

    @property
    def round_trip(self) -> float:
        """How much further it is than servers of the nearest zone, in seconds."""
        return self._distances.extra_round_trip(self.record.zone)

    @property
    def leaving(self) -> bool:
        """Whether it gets no new work."""
        return self._state == LEAVING or self.removed_at is not None

    def update(self, record: ServerRecord, now: float) -> None:
        """Take a newer entry of the same incarnation."""
        self.record = record
        self.removed_at = None
        self._warm_at = now + record.warmup_left_s
        if record.leaving:
            self._handle("leaving")

    def connection_limit(self, limit: int, heeds_refusals: bool) -> int:
        """Return how many connections this node may hold to it.

        ``limit`` is this node's share of what the server bears by its configuration; with
        ``heeds_refusals`` what it was seen to bear counts too.
        """
        return min(limit, self.connection_window) if heeds_refusals else limit

    def leave(self) -> None:
        """Give it no new work: its own answer said so."""
        self._handle("leaving")

    def _handle(self, event: str) -> bool:
        target = self._table.get((self._state, event))
        if target is None or target == self._state:
            return False
        self._state = target
        return True

    # --- what choosing asks ---

    def usable(self, now: float) -> bool:
        """Whether it may get first attempts: not ejected, or its ejection is over and nobody tries it."""
        if now < self.refused_until_s:
            return False
        if self._on_trial and (self.in_flight or now < self._suspected_until):
            return False
        if self._state != EJECTED:
            return not self.stalled
        return now >= self._ejected_until and self.in_flight == 0

    def available_at_s(self, now: float) -> float:
        """Return from when on it may be asked, as far as that is known: its ejection or pause ends then."""
        if self.leaving:
            return float("inf")
        ejected_until_s = self._ejected_until if self._state == EJECTED and self.failing else now
        return max(now, ejected_until_s, self._shed_until, self.refused_until_s)

    def suspected(self, now: float) -> bool:
        """Whether the nodes together found it slow or failing lately."""
        return now < self._suspected_until

    def suspect(self, for_s: float, now: float) -> None:
        """Go around it for a while, then try it one request at a time until it answers as usual."""
        self._on_trial = True
        self._suspected_at = now
        self._suspected_until = max(self._suspected_until, now + for_s)

    def take_evidence(self) -> bool:
        """Whether the last answer or failure spoke against it; asking clears it."""
        evidence, self._evidence = self._evidence, False
        return evidence

    def take_good_answers(self, now: float) -> int:
        """Return how many good answers came in the last second or so; asking clears it."""
        return self._good_answers.take(now)

    def cold(self, now: float) -> bool:
        """Whether it is still slow, and bears little, after its start."""
        return now < self._warm_at

    def pausing(self, now: float) -> bool:
        """Whether it rejected work just now."""
        return now < self._shed_until

    def slowness(self, now: float) -> float:
        """Return how many times longer than usual it takes.

        By its last answers, or by the attempt that has been out for longest, whichever says more.
        """
        oldest = next((each for each in self._sent.values() if self._awaited(each)), None)
        if oldest is None:
            return self._slowness
        waited = now - oldest.sent_at_s - self.round_trip
        return max(self._slowness, waited / max(oldest.usual_s, LEAST_TYPICAL))

    @property
    def stalled(self) -> bool:
        """Whether an attempt is late by its route's measure and nothing sent after it was answered."""
        return any(self._awaited(self._sent[number]) for number in self._stalled)

    def _awaited(self, attempt: SentAttempt) -> bool:
        """Whether an attempt still tells of the server; one that others overtook has lost its answer."""
        return attempt.sent_at_s > self._overtaken_s

    def expected(self, typical: float, now: float) -> float:
        """Return the expected latency of one more request that usually takes ``typical`` seconds."""
        slots = max(1, self.record.slots)
        busy = self.in_flight
        pace = COLD_SLOWNESS if self.cold(now) else 1.0
        if self._load is not None and now - self._load_at < LOAD_LIFETIME:
            # The report counts the request that it came with.
            busy = max(busy, self._load.running + self._load.waiting - 1)
            pace = max(pace, self._load.work_percent / 100.0)
        queued = max(0, busy + 1 - slots)
        work = typical * pace * self._rejections.factor(now)
        return self.round_trip + self._connecting_time() + work * (1.0 + queued / slots)

    def _connecting_time(self) -> float:
        """Return what one more request must wait for a connection, in seconds."""
        if self.in_flight < self.connections:
            return 0.0
        return self.round_trip + self._connecting.usual(self.record.service)

    # --- what attempts teach ---

    def begin(self, number: int, usual_s: float, now: float) -> None:
        """Count an attempt that is sent now and usually takes ``usual_s`` seconds."""
        self._sent[number] = SentAttempt(now, usual_s)
        self.last_sent_at_s, self.last_usual_s = now, usual_s

    def end(self, number: int) -> None:
        """Take an ended attempt off."""
        self._sent.pop(number, None)
        self._stalled.discard(number)

    def stall(self, number: int) -> None:
        """Take that an attempt is late by its route's measure: the server may be paused or dark."""
        self._stalled.add(number)

    def answered(
        self, sent_at: float, typical: float, load: Load | None, now: float, node_late: float = 0.0
    ) -> str | None:
        """Take an answer to an attempt sent at ``sent_at``; return the new state if it changed.

        ``node_late`` is how late this node itself is, in seconds: that is not the server's doing.
        """
        before = self._state
        self._rejections.count(False, now)
        self._overtaken_s = max(self._overtaken_s, sent_at)
        self.failing, self._failures, self._refusals = False, 0, 0
        self.connection_window = min(MOST_CONNECTIONS, max(self.connection_window, self.connections) + 1)
        if load is not None:
            self._load, self._load_at = load, now
        ratio = (now - sent_at - self.round_trip - node_late) / max(typical, LEAST_TYPICAL)
        self._slowness += SLOWNESS_WEIGHT * (ratio - self._slowness)
        if ratio <= SLOW_RATIO:
            self._slow_streak = 0
            self._good_answers.count(now)
            if sent_at >= self._suspected_at:
                self._on_trial = False
                self._suspected_until = 0.0
            self._handle("answered")
            self._handle("warmed")
        elif sent_at >= self._judged_at:
            # What waited in the same pause is one observation, not several.
            self._judged_at = now
            self._evidence = True
            self._count_slow(now)
        return self._state if self._state != before else None

    def _count_slow(self, now: float) -> None:
        self._slow_streak += 1
        over = self._slow_streak - SLOW_STREAK_TO_EJECT
        if over >= 0:
            self._eject(min(SLOW_EJECTION * 2.0**over, SLOW_EJECTION_CEILING), now)

    def failed(self, sent_at: float, now: float) -> str | None:
        """Take a failure of the server itself; return the new state if it changed."""
        before = self._state
        if sent_at >= self._judged_at:
            self._judged_at = now
            self._evidence = True
            self.failing = True
            pause = FAILING_EJECTION * 2.0 ** min(self._failures, 8)
            self._failures += 1
            self._eject(min(pause, FAILING_EJECTION_CEILING), now)
        return self._state if self._state != before else None

    def shed(self, now: float) -> None:
        """Take a rejection: it is full at this moment."""
        self._shed_until = now + SHED_PAUSE
        self._rejections.count(True, now)

    def refused(self, now: float) -> None:
        """Take that it reset a new connection at once: it holds as many as it bears.

        It is not failing, but more connections would only be reset as well.
        """
        self.connection_window = max(FIRST_CONNECTIONS, self.connections)
        pause_s = REFUSAL_PAUSE_S * 2.0 ** min(self._refusals, 8)
        self._refusals += 1
        self.refused_until_s = now + min(pause_s, REFUSAL_PAUSE_CEILING_S)

    def _eject(self, seconds: float, now: float) -> None:
        self._ejected_until = now + seconds
        self._handle("failing")

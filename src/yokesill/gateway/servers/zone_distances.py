"""How far zones are, learnt from how long connecting takes.

Connecting to a server takes the round trip and whatever the server itself needs for a new
connection, and longer while it is busy. The least over all servers of a zone, less the least over
all zones, is how much further that zone is.
"""

from collections.abc import Callable


class ZoneDistances:
    """Extra round trips to zones in seconds; ``assumed`` stands in for zones never connected to."""

    def __init__(self, assumed: Callable[[str], float]) -> None:
        self._assumed = assumed
        self._least: dict[str, float] = {}

    def connected(self, zone: str, seconds: float) -> None:
        """Take the time that one connection took."""
        self._least[zone] = min(seconds, self._least.get(zone, seconds))

    def extra_round_trip(self, zone: str) -> float:
        """Return how much longer a round trip takes than to the nearest zone."""
        if zone not in self._least:
            return self._assumed(zone)
        return self._least[zone] - min(self._least.values())

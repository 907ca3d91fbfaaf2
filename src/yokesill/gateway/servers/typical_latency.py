"""What a route's attempts usually take, learnt from answers."""

from collections import deque

SAMPLES = 128
MINIMUM_SAMPLES = 8
REFRESH_EVERY = 8
FIRST_GUESS = 0.2


class TypicalLatency:
    """The median of a route's recent answers, in seconds.

    A median holds while up to half of the servers are slow. Before there are answers, a share of the
    route's target stands in.
    """

    def __init__(self, target: float) -> None:
        self._guess = target * FIRST_GUESS
        self._samples: deque[float] = deque(maxlen=SAMPLES)
        self._since_refresh = 0
        self._median = self._guess

    def record(self, latency: float) -> None:
        """Count one answer's latency."""
        self._samples.append(latency)
        self._since_refresh += 1
        if len(self._samples) < MINIMUM_SAMPLES:
            return
        if self._since_refresh >= REFRESH_EVERY:
            self._since_refresh = 0
            self._median = sorted(self._samples)[len(self._samples) // 2]

    @property
    def median(self) -> float:
        """The usual latency of an answer, in seconds."""
        return self._median

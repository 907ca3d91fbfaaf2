"""What a new connection costs, learnt from those that were opened."""

CONNECTING_WEIGHT = 0.2


class ConnectingTimes:
    """What a new connection to a service's servers usually costs beyond the way, in seconds.

    Connecting takes a round trip and a slot of the server for a moment, so that an open connection
    to a server a little further away is the faster way.
    """

    def __init__(self) -> None:
        self._usual: dict[str, float] = {}

    def observe(self, service: str, seconds: float) -> None:
        """Take the time that one connection took."""
        before = self._usual.get(service, seconds)
        self._usual[service] = before + CONNECTING_WEIGHT * (seconds - before)

    def usual(self, service: str) -> float:
        """Return the usual time; nothing until a connection has shown it."""
        return self._usual.get(service, 0.0)

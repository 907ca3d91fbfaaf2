"""How a node treats a server that its peers together detected as slow or failing.

While the suspicion lasts, the server gets no first attempts. Then it is on probation, with one attempt at a
time, until it answers in the usual time; otherwise every node would return all its requests to the server at
the same moment. The detector decides how long a suspicion lasts (``outliers/detector``, 0.7 to 3 s);
`eligibility` decides which servers may be suspected at all. Times are in seconds of the node's clock.
"""


class Probation:
    """The suspicion of one server by peers; ``active`` from the suspicion until a good answer."""

    __slots__ = ("_since_s", "_until_s", "active")

    def __init__(self) -> None:
        self.active = False
        self._since_s = 0.0
        self._until_s = 0.0

    def suspected(self, now: float) -> bool:
        """Return whether the suspicion still lasts."""
        return now < self._until_s

    def begin(self, for_s: float, now: float) -> None:
        """Suspect the server for ``for_s`` seconds, or until an earlier suspicion ends if that is later."""
        self.active = True
        self._since_s = now
        self._until_s = max(self._until_s, now + for_s)

    def answered_in_time(self, sent_at_s: float) -> None:
        """End the probation, unless the attempt was sent before the suspicion began."""
        if sent_at_s >= self._since_s:
            self.active = False
            self._until_s = 0.0

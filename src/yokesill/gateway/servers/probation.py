"""How a node treats a server that its peers together found slow or failing.

While the suspicion lasts the server gets no first attempts. Then it is on probation, one attempt at a time,
until it answers as usual: otherwise every node would send everything back at the same moment. How long a
suspicion lasts is the detector's decision (``outliers/detector``, 0.7 to 3 s); which servers may be suspected
at all is in `eligibility`. Times in seconds of the node's clock.
"""


class Probation:
    """One server's suspicion by peers; ``active`` from the suspicion to a good answer."""

    __slots__ = ("_since_s", "_until_s", "active")

    def __init__(self) -> None:
        self.active = False
        self._since_s = 0.0
        self._until_s = 0.0

    def suspected(self, now: float) -> bool:
        """Return whether the suspicion lasts."""
        return now < self._until_s

    def begin(self, for_s: float, now: float) -> None:
        """Suspect the server for a while."""
        self.active = True
        self._since_s = now
        self._until_s = max(self._until_s, now + for_s)

    def answered_in_time(self, sent_at_s: float) -> None:
        """End it, unless the attempt was sent before the suspicion began."""
        if sent_at_s >= self._since_s:
            self.active = False
            self._until_s = 0.0

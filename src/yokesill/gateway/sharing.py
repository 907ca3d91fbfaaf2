"""How many nodes seem to share a slow server, by how long its queue is found.

A node can't see who else asks a server, and most nodes of a large fleet ask it rarely or never: with
an equal share for each of them it would stand idle while requests wait for it. So each node
begins with a guess and moves it by what it finds, as congestion control does: it lowers the guess
while the queue is short, and doubles it when the queue is long or the server rejects work.
"""

from yokesill.gateway.messages import Load

FIRST_GUESS, MOST_SHARERS = 8.0, 1024.0
# Slowly down and quickly up: a queue that is too long makes everybody late, one too short only some.
DOWN, UP = 0.7, 2.0
# Requests a slot that wait at the server; between the two the guess stays.
SHORT_QUEUE, LONG_QUEUE = 0.34, 1.0
# A latency against the least one lately, where a server doesn't tell its queue.
SHORT_WAIT, LONG_WAIT = 1.3, 2.0


class SharerEstimate:
    """The guess for one server; times in seconds."""

    __slots__ = ("_least_s", "sharers")

    def __init__(self) -> None:
        self.sharers = FIRST_GUESS
        self._least_s = float("inf")

    def answered(self, latency_s: float, load: Load | None) -> None:
        """Take an answer of a slow server, and its queue if it told that."""
        self._least_s = min(self._least_s, latency_s)
        if load is not None:
            crowd, short, long = load.waiting / max(1, load.slots), SHORT_QUEUE, LONG_QUEUE
        else:
            crowd, short, long = latency_s / max(self._least_s, 1e-6), SHORT_WAIT, LONG_WAIT
        if crowd < short:
            self.sharers = max(1.0, self.sharers * DOWN)
        elif crowd > long:
            self.rejected()

    def rejected(self) -> None:
        """Take that the server had no place in its queue."""
        self.sharers = min(MOST_SHARERS, self.sharers * UP)

    def recovered(self) -> None:
        """Take that the server answers as usual: what was learnt of its slow time is over."""
        self.sharers = FIRST_GUESS
        self._least_s = float("inf")

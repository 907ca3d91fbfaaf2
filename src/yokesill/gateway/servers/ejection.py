"""When a server is ejected, for how long, and how it comes back.

Decides by this node's own attempts alone; what peers report is `probation`. Inputs: an answer's latency as
a multiple of its route's typical one, and failures of the server itself. Times in seconds of the node's
clock.

- Two slow answers in a row eject the server; each further one doubles the time.
- Every failure ejects it; each further one without an answer in between doubles the time.
- What was sent before the last such outcome is no new one: all that waited in one pause is late together.
- Once the time is over, one attempt at a time tries it (`ServerState.usable`). A good answer ends
  the ejection at once.

A mean of answers in place of streaks kept work away from a server for good after one pause: without work it
had no answers to lower the mean (``test_a_pause_does_not_keep_work_away_once_it_is_over``).
"""

# An answer that takes this multiple of its route's typical latency is slow: above the spread of busy servers,
# below servers that are several times slower.
SLOW_RATIO = 2.2
# One slow answer is a pause as often as a slow server; two in a row are not.
SLOW_STREAK = 2
# How long slow answers eject, doubling up to the ceiling: short against the seconds for which servers are
# slow, and a ceiling that lets a server back within seconds of its recovery.
SLOW_EJECTION_S, SLOW_EJECTION_CEILING_S = 0.5, 4.0
# How long a failure ejects, doubling up to the ceiling: a crashed server's replacement has another instance
# name, so little is gained by staying away longer.
INITIAL_FAILURE_EJECTION_S, FAILING_EJECTION_CEILING_S = 0.5, 2.0
# Keeps the doubling finite; the ceiling is reached long before.
MAX_DOUBLINGS = 8


class Ejection:
    """One server's ejection.

    ``failing`` is true from a failure to the next answer; ``until_s`` is when an ejection is over.
    """

    __slots__ = ("_failures", "_judged_at_s", "_slow_streak", "failing", "until_s")

    def __init__(self) -> None:
        self.failing = False
        self.until_s = 0.0
        self._failures = 0
        self._judged_at_s = 0.0
        self._slow_streak = 0

    def counts(self, sent_at_s: float, now: float) -> bool:
        """Return whether a slow answer or failure is new; what was sent before ``now`` no longer is."""
        if sent_at_s < self._judged_at_s:
            return False
        self._judged_at_s = now
        return True

    def answered(self) -> None:
        """Count any answer: the server is not failing."""
        self.failing = False
        self._failures = 0

    def answered_in_time(self) -> None:
        """End a streak of slow answers."""
        self._slow_streak = 0

    def answered_slowly(self, now: float) -> bool:
        """Count a slow answer; return whether the server is ejected for it."""
        self._slow_streak += 1
        doublings = self._slow_streak - SLOW_STREAK
        if doublings < 0:
            return False
        self.until_s = now + min(SLOW_EJECTION_S * 2.0**doublings, SLOW_EJECTION_CEILING_S)
        return True

    def failed(self, now: float) -> None:
        """Eject the server for a failure."""
        self.failing = True
        ejection_s = INITIAL_FAILURE_EJECTION_S * 2.0 ** min(self._failures, MAX_DOUBLINGS)
        self._failures += 1
        self.until_s = now + min(ejection_s, FAILING_EJECTION_CEILING_S)

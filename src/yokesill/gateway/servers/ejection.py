"""Decides when a server is ejected, for how long, and how it returns.

Uses only this node's own attempts; reports from peers are handled by `probation`. Inputs: an answer's latency
as a multiple of its route's typical latency, and failures of the server itself. Times are in seconds of the
node's clock.

- Two slow answers in a row eject the server; each further one doubles the time.
- Every failure ejects it; each further one without an answer in between doubles the time.
- The outcome of an attempt sent before the last counted outcome is not counted: all attempts that wait during
  one pause are late together.
- After the ejection, one attempt at a time probes the server (`ServerState.usable`). A good answer ends the
  ejection at once.

A mean over answers instead of streaks kept requests away from a server for good after one pause: without
requests it had no answers to lower the mean (``test_one_pause_does_not_divert_requests_once_it_is_over``).
"""

# An answer above this multiple of its route's typical latency is slow: above the spread of busy servers,
# below that of servers that are several times slower.
SLOW_RATIO = 2.2
# One slow answer is caused by a pause as often as by a slow server; two in a row are not.
SLOW_STREAK = 2
# The ejection after slow answers, which doubles up to the maximum. It is short compared to the seconds for
# which servers are slow, and the maximum lets a server return within seconds of its recovery.
INITIAL_SLOW_EJECTION_S, MAX_SLOW_EJECTION_S = 0.5, 4.0
# The ejection after a failure, which doubles up to the maximum. The replacement of a crashed server has
# another instance name, so a longer ejection gains little.
INITIAL_FAILURE_EJECTION_S, MAX_FAILURE_EJECTION_S = 0.5, 2.0
# Keeps the power of two finite; the maximum ejection is reached much earlier.
MAX_DOUBLINGS = 8


class Ejection:
    """One server's ejection.

    ``failing`` is true from a failure to the next answer; ``until_s`` is the end of the ejection.
    """

    __slots__ = ("_counted_at_s", "_failures", "_slow_streak", "failing", "until_s")

    def __init__(self) -> None:
        self.failing = False
        self.until_s = 0.0
        self._failures = 0
        self._counted_at_s = 0.0
        self._slow_streak = 0

    def counts(self, sent_at_s: float, now: float) -> bool:
        """Return whether a slow answer or failure counts.

        If it does, outcomes of attempts that were sent before ``now`` no longer count.
        """
        if sent_at_s < self._counted_at_s:
            return False
        self._counted_at_s = now
        return True

    def answered(self) -> None:
        """Record any answer: the server is not failing."""
        self.failing = False
        self._failures = 0

    def answered_in_time(self) -> None:
        """End a streak of slow answers."""
        self._slow_streak = 0

    def answered_slowly(self, now: float) -> bool:
        """Record a slow answer; return whether it ejects the server."""
        self._slow_streak += 1
        doublings = self._slow_streak - SLOW_STREAK
        if doublings < 0:
            return False
        self.until_s = now + min(INITIAL_SLOW_EJECTION_S * 2.0**doublings, MAX_SLOW_EJECTION_S)
        return True

    def failed(self, now: float) -> None:
        """Eject the server after a failure."""
        self.failing = True
        ejection_s = INITIAL_FAILURE_EJECTION_S * 2.0 ** min(self._failures, MAX_DOUBLINGS)
        self._failures += 1
        self.until_s = now + min(ejection_s, MAX_FAILURE_EJECTION_S)

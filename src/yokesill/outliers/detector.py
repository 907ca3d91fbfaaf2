"""Decides when a server is suspected of being slow or failing, and for how long.

Inputs: observations from all nodes. Each reports a late, failed or silent attempt, together with the number
of good answers that the same node got from that server. Output: a suspicion, which every node applies
(``gateway/servers/probation``). Two nodes, chosen by rendezvous hash, keep each server's record; times are in
seconds of their own clocks. ``docs/design/outliers.md`` has the alternatives and measurements.
"""

from typing import NamedTuple

from yokesill.outliers.messages import Observation, Suspicion

# Observations within this time count as one: a pause of a server delays all requests waiting there, and their
# late answers arrive together.
COALESCE_WINDOW_S = 0.1
# Number of observations within the window that raise a suspicion: a pause causes one, a slow server several.
WINDOW_S, OBSERVATIONS_NEEDED = 1.5, 3
# A suspicion also needs at most this many good answers per observation. One answer in a hundred takes several
# times as long as usual, so a busy server has three late ones within a window by chance. Without this rule
# and probation, a day with six slow servers caused 2,567 suspicions; with them, 152.
MAX_GOOD_PER_LATE = 1.0
# Duration of the first suspicion, and its growth while the server is suspected repeatedly: servers are slow
# for seconds, and a server that has recovered stays idle until its suspicion ends.
INITIAL_SUSPICION_S, SUSPICION_GROWTH, MAX_SUSPICION_S = 0.7, 2.0, 3.0
# For this time after a suspicion, fewer observations raise the next one.
PROBATION_S, OBSERVATIONS_NEEDED_ON_PROBATION = 2.0, 2
# Bounds memory, since any sender of datagrams can make up instance names: five times the target of 3,900
# servers.
MAX_SERVERS = 20_000


class _TimedObservation(NamedTuple):
    at_s: float
    good_answers: int


class _Record(NamedTuple):
    observations: tuple[_TimedObservation, ...]
    suspected_until_s: float
    duration_s: float


_EMPTY_RECORD = _Record((), 0.0, 0.0)


class OutlierDetector:
    """Turns observations of servers into suspicions, with one record per server."""

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}

    def observe(self, observation: Observation, now: float) -> Suspicion | None:
        """Record an observation.

        Parameters
        ----------
        observation
            The server that was late, failed or silent, and how many good answers it gave.
        now
            The time by this node's clock, in seconds.

        Returns
        -------
        Suspicion or None
            ``None`` if there are too few observations or the server is already suspected.
        """
        instance, good_answers = observation
        record = self._records.get(instance, _EMPTY_RECORD)
        if now < record.suspected_until_s:
            return None
        recent = tuple(each for each in record.observations if now - each.at_s < WINDOW_S)
        if recent and now - recent[-1].at_s < COALESCE_WINDOW_S:
            merged = _TimedObservation(recent[-1].at_s, recent[-1].good_answers + good_answers)
            self._store(instance, record._replace(observations=(*recent[:-1], merged)))
            return None
        recent = (*recent, _TimedObservation(now, good_answers))
        on_probation = record.duration_s > 0 and now - record.suspected_until_s < PROBATION_S
        needed = OBSERVATIONS_NEEDED_ON_PROBATION if on_probation else OBSERVATIONS_NEEDED
        good_answer_count = sum(each.good_answers for each in recent)
        if len(recent) < needed or good_answer_count > MAX_GOOD_PER_LATE * len(recent):
            self._store(instance, record._replace(observations=recent))
            return None
        duration_s = INITIAL_SUSPICION_S
        if on_probation:
            duration_s = min(record.duration_s * SUSPICION_GROWTH, MAX_SUSPICION_S)
        self._store(instance, _Record((), now + duration_s, duration_s))
        return Suspicion(instance, duration_s)

    def _store(self, instance: str, record: _Record) -> None:
        """Store a record, and evict the least recently updated one above ``MAX_SERVERS``."""
        self._records.pop(instance, None)
        self._records[instance] = record
        if len(self._records) > MAX_SERVERS:
            self._records.pop(next(iter(self._records)))

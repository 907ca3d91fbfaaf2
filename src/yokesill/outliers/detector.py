"""Judges servers by what all nodes saw of them lately."""

from typing import NamedTuple

from yokesill.outliers.messages import Observation, Suspicion

# Every server pauses now and then, and all that waited in one pause is late at its end: what comes
# within SPACING_S is one observation. A slow server shows several within WINDOW_S.
SPACING_S = 0.1
WINDOW_S = 1.5
NEEDED = 3
# One answer in a hundred takes several times as long as usual. A slow server has few good ones.
GOOD_PER_LATE = 1.0
FIRST_S, GROWTH, CEILING_S = 0.7, 2.0, 3.0
# A server that was suspected a moment ago needs less to be suspected again.
PROBATION_S, NEEDED_ON_PROBATION = 2.0, 2
MOST_SERVERS = 20_000


class _Seen(NamedTuple):
    at: float
    good_answers: int


class _Record(NamedTuple):
    seen: tuple[_Seen, ...]
    suspected_until: float
    for_s: float


_NEVER = _Record((), 0.0, 0.0)


class OutlierDetector:
    """Turns observations of servers into suspicions."""

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}

    def observe(self, observation: Observation, now: float) -> Suspicion | None:
        """Take one observation.

        Parameters
        ----------
        observation
            The server that was late, failed or silent, and the good answers beside it.
        now
            The time of this node's clock, in seconds.

        Returns
        -------
        Suspicion or None
            ``None`` while there are too few observations, or the server is suspected already.
        """
        instance, good_answers = observation
        record = self._records.get(instance, _NEVER)
        if now < record.suspected_until:
            return None
        recent = tuple(each for each in record.seen if now - each.at < WINDOW_S)
        if recent and now - recent[-1].at < SPACING_S:
            merged = _Seen(recent[-1].at, recent[-1].good_answers + good_answers)
            self._keep(instance, record._replace(seen=(*recent[:-1], merged)))
            return None
        recent = (*recent, _Seen(now, good_answers))
        on_probation = record.for_s > 0 and now - record.suspected_until < PROBATION_S
        needed = NEEDED_ON_PROBATION if on_probation else NEEDED
        good = sum(each.good_answers for each in recent)
        if len(recent) < needed or good > GOOD_PER_LATE * len(recent):
            self._keep(instance, record._replace(seen=recent))
            return None
        for_s = min(record.for_s * GROWTH, CEILING_S) if on_probation else FIRST_S
        self._keep(instance, _Record((), now + for_s, for_s))
        return Suspicion(instance, for_s)

    def _keep(self, instance: str, record: _Record) -> None:
        """Remember a record; the oldest goes when there are too many."""
        self._records.pop(instance, None)
        self._records[instance] = record
        if len(self._records) > MOST_SERVERS:
            self._records.pop(next(iter(self._records)))

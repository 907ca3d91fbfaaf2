"""When the nodes together suspect a server of being slow or failing, and for how long.

Inputs: observations from all nodes, each of a late, failed or silent attempt with the good answers that the
same node got from the server beside it. Output: a suspicion, which every node applies
(``gateway/servers/probation``). Two nodes keep a server's record, by rendezvous hash; times in seconds of
their own clock. Alternatives and runs: ``docs/design/outliers.md``.
"""

from typing import NamedTuple

from yokesill.outliers.messages import Observation, Suspicion

# What comes within this time is one observation: all that waited in one pause of a server is late at its end.
SPACING_S = 0.1
# A suspicion needs so many observations within the window: a pause gives one, a slow server several.
WINDOW_S, OBSERVATIONS_NEEDED = 1.5, 3
# And no more good answers than this for each observation. One answer in a hundred takes several times as
# long as usual, so a busy server has three late ones in a window by chance: before this rule and
# probation a day with six slow servers gave 2,567 suspicions, after it 152.
GOOD_PER_LATE = 1.0
# How long the first suspicion lasts, and how it grows while the server is suspected again and again: servers
# are slow for seconds, and a server that has recovered is idle until a suspicion ends.
FIRST_SUSPICION_S, SUSPICION_GROWTH, SUSPICION_CEILING_S = 0.7, 2.0, 3.0
# For so long after a suspicion fewer observations are enough for the next.
PROBATION_S, OBSERVATIONS_NEEDED_ON_PROBATION = 2.0, 2
# Bounds the memory against instance names made up by whoever can send datagrams: five times the target's
# 3,900 servers.
MOST_SERVERS = 20_000


class _Seen(NamedTuple):
    at_s: float
    good_answers: int


class _Record(NamedTuple):
    seen: tuple[_Seen, ...]
    suspected_until_s: float
    for_s: float


_NEVER = _Record((), 0.0, 0.0)


class OutlierDetector:
    """Turns observations of servers into suspicions."""

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}

    def observe(self, observation: Observation, now: float) -> Suspicion | None:
        """Count one observation.

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
        if now < record.suspected_until_s:
            return None
        recent = tuple(each for each in record.seen if now - each.at_s < WINDOW_S)
        if recent and now - recent[-1].at_s < SPACING_S:
            merged = _Seen(recent[-1].at_s, recent[-1].good_answers + good_answers)
            self._keep(instance, record._replace(seen=(*recent[:-1], merged)))
            return None
        recent = (*recent, _Seen(now, good_answers))
        on_probation = record.for_s > 0 and now - record.suspected_until_s < PROBATION_S
        needed = OBSERVATIONS_NEEDED_ON_PROBATION if on_probation else OBSERVATIONS_NEEDED
        good = sum(each.good_answers for each in recent)
        if len(recent) < needed or good > GOOD_PER_LATE * len(recent):
            self._keep(instance, record._replace(seen=recent))
            return None
        for_s = FIRST_SUSPICION_S
        if on_probation:
            for_s = min(record.for_s * SUSPICION_GROWTH, SUSPICION_CEILING_S)
        self._keep(instance, _Record((), now + for_s, for_s))
        return Suspicion(instance, for_s)

    def _keep(self, instance: str, record: _Record) -> None:
        """Keep a record; drop the oldest when there are too many."""
        self._records.pop(instance, None)
        self._records[instance] = record
        if len(self._records) > MOST_SERVERS:
            self._records.pop(next(iter(self._records)))

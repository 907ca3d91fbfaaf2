"""What both versions of a service answered lately, and what that makes the new one's answers worth."""

from collections import defaultdict, deque
from collections.abc import Iterable, Iterator, Mapping
from typing import NamedTuple

from yokesill.rollouts.assessment import LATEST_TURNS, Cell, Kind, VersionAssessment, assess
from yokesill.rollouts.messages import Sample

# Answers are compared with the old version's of the same two seconds: what hits both (a zone cut off, a
# burst) says nothing of a version. Shorter slices hold too few: 20 requests a second make 40.
SLICE_S = 2.0
# Older answers say nothing of today's version or load.
KEPT_SLICES = 30
# Slices before the latest ones are taken together: nothing is asked of them apart.
SLICES_APART = LATEST_TURNS
# Good answers speak against a bad version, so what was found needs renewing for their sake only now and
# then; a bad one is weighed at once. At 2 ms each, 90 roll-outs of good versions then cost 0.09 of a core.
RENEW_S = 2.0
# A slice's own share of bad answers counts as much as the whole time's from this many answers on.
SLICE_PRIOR = 10.0
# Before the old version has answered: one failure in 100 requests, as good as this many answers seen.
FAILING_PRIOR, FAILING_PRIOR_ANSWERS = 0.01, 100.0
# Nor is less expected of any version, however sound the old one was: lost answers, connections that a
# server forgot. With less a single failure would be proof.
LEAST_FAILING = 0.005
# One answer in ten is beyond the bound by its definition where latencies spread widely.
SLOW_PRIOR, SLOW_PRIOR_ANSWERS = 0.1, 10.0
# A sound server's own work takes twice its median now and then, whatever few answers showed.
LEAST_SLOW = 0.05
# Slow is beyond twice the old version's median, and beyond its 90th centile where they spread widely: the
# mildest fault to be found doubles latencies, which puts half of the answers there.
SLOW_FACTOR, SLOW_CENTILE = 2.0, 0.9
# A median of fewer is not trusted; at a tenth of the requests the old version has them first.
LEAST_LATENCIES = 8
# Bounds of memory for one roll-out: samples of each version and route, and routes.
OLD_KEPT, NEW_KEPT, ROUTES_KEPT = 600, 2000, 32


class _Seen(NamedTuple):
    slice: int
    instance: str
    succeeded: bool
    latency_s: float | None


class VersionAnswers:
    """The answers of a service's two versions during one roll-out."""

    def __init__(self) -> None:
        self._old: dict[str, deque[_Seen]] = {}
        self._new: dict[str, deque[_Seen]] = {}
        self._assessment = VersionAssessment()
        self._assessed_at_s = float("-inf")
        self._added = self._suspect = False
        self._bounds_s: dict[str, float | None] = {}
        self._now_slice = 0
        self.old_answers = 0
        self.new_answers = 0
        self.new_failures = 0

    def add(self, samples: Iterable[Sample], now: float) -> None:
        """Take answers that were reported at ``now``."""
        self._now_slice = int(now / SLICE_S)
        for sample in samples:
            self._add(sample)

    def assessment(self, now: float) -> VersionAssessment:
        """Return what all answers so far say of the new version."""
        suspect = self._suspect or (self._added and self._assessment.leaning_bad)
        if suspect or (self._added and now - self._assessed_at_s >= RENEW_S):
            self._bounds_s = {route: _slow_bound_s(answers) for route, answers in self._old.items()}
            self._assessment = assess(list(self._cells()))
            self._assessed_at_s = now
            self._added = self._suspect = False
        return self._assessment

    def kept(self) -> dict[str, int]:
        """Return how many answers are kept, by route."""
        routes = {*self._old, *self._new}
        return {route: len(self._old.get(route, ())) + len(self._new.get(route, ())) for route in routes}

    def _add(self, sample: Sample) -> None:
        side, kept = (self._new, NEW_KEPT) if sample.new else (self._old, OLD_KEPT)
        if sample.route not in side:
            if len(side) >= ROUTES_KEPT:
                return
            side[sample.route] = deque(maxlen=kept)
        latency_s = sample.latency_s if sample.succeeded else None
        side[sample.route].append(_Seen(self._now_slice, sample.instance, sample.succeeded, latency_s))
        self._added = True
        if sample.new:
            self.new_answers += 1
            self.new_failures += not sample.succeeded
            bound_s = self._bounds_s.get(sample.route)
            slow = latency_s is not None and bound_s is not None and latency_s > bound_s
            self._suspect |= slow or not sample.succeeded
        else:
            self.old_answers += 1

    def _cells(self) -> Iterator[Cell]:
        oldest = self._now_slice - KEPT_SLICES
        old = [(route, each) for route, answers in self._old.items() for each in answers]
        new = [(route, each) for route, answers in self._new.items() for each in answers]
        new = [(route, each) for route, each in new if each.slice >= oldest]
        apart = self._now_slice - SLICES_APART
        failing = _Baseline(
            ((route, each.slice, not each.succeeded) for route, each in old),
            FAILING_PRIOR,
            FAILING_PRIOR_ANSWERS,
            LEAST_FAILING,
        )
        yield from _count(
            Kind.FAILING, apart, failing, ((route, each, not each.succeeded) for route, each in new)
        )
        slow = _Baseline(
            ((route, each.slice, late) for route, each, late in _timed(old, self._bounds_s)),
            SLOW_PRIOR,
            SLOW_PRIOR_ANSWERS,
            LEAST_SLOW,
        )
        yield from _count(Kind.SLOW, apart, slow, _timed(new, self._bounds_s))


class _Baseline:
    """How often the old version's answers are bad, by route and slice of time."""

    def __init__(
        self, answers: Iterable[tuple[str, int, bool]], prior: float, weight: float, least: float
    ) -> None:
        self._least = least
        self._prior, self._weight = prior, weight
        self._counts: dict[tuple[str | None, int | None], list[int]] = defaultdict(lambda: [0, 0])
        for route, number, bad in answers:
            for key in ((None, None), (route, None), (None, number), (route, number)):
                entry = self._counts[key]
                entry[0] += 1
                entry[1] += bad

    def at(self, route: str, number: int) -> float:
        """Return the chance of a bad answer on a route in a slice.

        Few answers there count beside those of the whole slice, or of the route's whole time where that
        is worse: what hits a zone hits all routes, and some routes always fail more often.
        """
        always = self._chance(None, None, self._prior, self._weight)
        of_slice = self._chance(None, number, always, SLICE_PRIOR)
        of_route = self._chance(route, None, always, self._weight)
        return max(self._least, self._chance(route, number, max(of_slice, of_route), SLICE_PRIOR))

    def _chance(self, route: str | None, number: int | None, prior: float, weight: float) -> float:
        answers, bad = self._counts.get((route, number), (0, 0))
        return (bad + prior * weight) / (answers + weight)


def _timed(
    answers: Iterable[tuple[str, _Seen]], bounds_s: Mapping[str, float | None]
) -> Iterator[tuple[str, _Seen, bool]]:
    """Return the answers whose time is known and can be judged, and whether they are slow."""
    for route, each in answers:
        bound_s = bounds_s.get(route)
        if bound_s is not None and each.latency_s is not None:
            yield route, each, each.latency_s > bound_s


def _slow_bound_s(answers: Iterable[_Seen]) -> float | None:
    ordered = sorted(each.latency_s for each in answers if each.latency_s is not None)
    if len(ordered) < LEAST_LATENCIES:
        return None
    return max(SLOW_FACTOR * ordered[len(ordered) // 2], ordered[int(SLOW_CENTILE * len(ordered))])


def _count(
    kind: Kind, apart: int, baseline: _Baseline, answers: Iterable[tuple[str, _Seen, bool]]
) -> Iterator[Cell]:
    counts: dict[tuple[int, str, str], list[float]] = defaultdict(lambda: [0, 0, 0.0])
    chances: dict[tuple[str, int], float] = {}
    for route, seen, bad in answers:
        if (route, seen.slice) not in chances:
            chances[route, seen.slice] = baseline.at(route, seen.slice)
        entry = counts[max(seen.slice, apart), route, seen.instance]
        entry[0] += 1
        entry[1] += bad
        entry[2] += chances[route, seen.slice]
    for (number, route, instance), (total, bad_total, expected) in counts.items():
        yield Cell(kind, number, route, instance, int(total), int(bad_total), expected / total)

"""Keeps recent answers of both versions of a service, and assesses the new version by them."""

from collections import defaultdict, deque
from collections.abc import Iterable, Iterator, Mapping
from typing import NamedTuple

from yokesill.rollouts.assessment import CHANGE_POINTS, Cell, FaultKind, VersionAssessment, assess
from yokesill.rollouts.messages import Sample

# Answers are compared with the old version's within the same slice, since what affects both versions (a
# partitioned zone, a burst) says nothing about either. Shorter slices hold too few answers: 20 requests a
# second make 40.
SLICE_DURATION_S = 2.0
# Older answers don't reflect the current version or load.
MAX_SLICES = 30
# Older slices than these are merged, since they are no change points of the test.
SEPARATE_SLICES = CHANGE_POINTS
# Good answers only weaken the evidence, so that after them the assessment is renewed only at this interval,
# but immediately after a bad one. At 2 ms each, 90 roll-outs of good versions then cost 0.09 of a core.
REASSESS_INTERVAL_S = 2.0
# With this many answers, a slice's own share of bad answers counts as much as that of the whole time.
SLICE_PRIOR_ANSWERS = 10.0
# Prior before the old version has answered: 1 failure in 100 requests, weighted like this many answers.
FAILING_PRIOR, FAILING_PRIOR_ANSWERS = 0.01, 100.0
# Lower bound on the expected share of failures, however healthy the old version: answers get lost, and
# servers drop connections. With a lower one a single failure would be proof.
MIN_EXPECTED_FAILING = 0.005
# Where latencies vary widely, 1 answer in 10 is slow by the definition of the bound.
SLOW_PRIOR, SLOW_PRIOR_ANSWERS = 0.1, 10.0
# Lower bound on the expected share of slow answers: a healthy server's processing time occasionally reaches
# twice its median, even if the few answers seen don't show it.
MIN_EXPECTED_SLOW = 0.05
# An answer is slow above twice the old version's median, and above its 90th percentile where latencies vary
# widely. The mildest fault to detect doubles latencies, which makes half of the answers slow.
SLOW_FACTOR, SLOW_QUANTILE = 2.0, 0.9
# A median of fewer latencies is not reliable; with a canary share of a tenth, the old version reaches this
# first.
MIN_LATENCIES = 8
# Memory limits for one roll-out: samples per version and route, and the number of routes.
OLD_ANSWERS_PER_ROUTE, NEW_ANSWERS_PER_ROUTE, MAX_ROUTES = 600, 2000, 32


class _Answer(NamedTuple):
    slice: int
    instance: str
    succeeded: bool
    latency_s: float | None


class VersionAnswers:
    """Recent answers of a service's two versions during one roll-out."""

    def __init__(self) -> None:
        self._old: dict[str, deque[_Answer]] = {}
        self._new: dict[str, deque[_Answer]] = {}
        self._assessment = VersionAssessment()
        self._assessed_at_s = float("-inf")
        self._answer_added = self._bad_answer_added = False
        self._bounds_s: dict[str, float | None] = {}
        self._current_slice = 0
        self.old_answers = 0
        self.new_answers = 0
        self.new_failures = 0

    def add(self, samples: Iterable[Sample], now: float) -> None:
        """Add answers that were reported at ``now``."""
        self._current_slice = int(now / SLICE_DURATION_S)
        for sample in samples:
            self._add(sample)

    def assessment(self, now: float) -> VersionAssessment:
        """Return the assessment of the new version by the answers so far."""
        reassess_now = self._bad_answer_added or (self._answer_added and self._assessment.probably_bad)
        if reassess_now or (self._answer_added and now - self._assessed_at_s >= REASSESS_INTERVAL_S):
            self._bounds_s = {route: _slow_bound_s(answers) for route, answers in self._old.items()}
            self._assessment = assess(list(self._cells()))
            self._assessed_at_s = now
            self._answer_added = self._bad_answer_added = False
        return self._assessment

    def stored_answers(self) -> dict[str, int]:
        """Return the number of stored answers by route."""
        routes = {*self._old, *self._new}
        return {route: len(self._old.get(route, ())) + len(self._new.get(route, ())) for route in routes}

    def _add(self, sample: Sample) -> None:
        side, max_answers = (
            (self._new, NEW_ANSWERS_PER_ROUTE) if sample.new else (self._old, OLD_ANSWERS_PER_ROUTE)
        )
        if sample.route not in side:
            if len(side) >= MAX_ROUTES:
                return
            side[sample.route] = deque(maxlen=max_answers)
        latency_s = sample.latency_s if sample.succeeded else None
        side[sample.route].append(_Answer(self._current_slice, sample.instance, sample.succeeded, latency_s))
        self._answer_added = True
        if sample.new:
            self.new_answers += 1
            self.new_failures += not sample.succeeded
            bound_s = self._bounds_s.get(sample.route)
            slow = latency_s is not None and bound_s is not None and latency_s > bound_s
            self._bad_answer_added |= slow or not sample.succeeded
        else:
            self.old_answers += 1

    def _cells(self) -> Iterator[Cell]:
        oldest = self._current_slice - MAX_SLICES
        old = [(route, each) for route, answers in self._old.items() for each in answers]
        new = [(route, each) for route, answers in self._new.items() for each in answers]
        new = [(route, each) for route, each in new if each.slice >= oldest]
        oldest_separate = self._current_slice - SEPARATE_SLICES
        failing = _Baseline(
            ((route, each.slice, not each.succeeded) for route, each in old),
            FAILING_PRIOR,
            FAILING_PRIOR_ANSWERS,
            MIN_EXPECTED_FAILING,
        )
        yield from _count(
            FaultKind.FAILING,
            oldest_separate,
            failing,
            ((route, each, not each.succeeded) for route, each in new),
        )
        slow = _Baseline(
            ((route, each.slice, late) for route, each, late in _timed(old, self._bounds_s)),
            SLOW_PRIOR,
            SLOW_PRIOR_ANSWERS,
            MIN_EXPECTED_SLOW,
        )
        yield from _count(FaultKind.SLOW, oldest_separate, slow, _timed(new, self._bounds_s))


class _Baseline:
    """Share of bad answers of the old version, by route and time slice."""

    def __init__(
        self, answers: Iterable[tuple[str, int, bool]], prior: float, weight: float, floor: float
    ) -> None:
        self._floor = floor
        self._prior, self._weight = prior, weight
        self._counts: dict[tuple[str | None, int | None], list[int]] = defaultdict(lambda: [0, 0])
        for route, number, bad in answers:
            for key in ((None, None), (route, None), (None, number), (route, number)):
                entry = self._counts[key]
                entry[0] += 1
                entry[1] += bad

    def at(self, route: str, number: int) -> float:
        """Return the probability of a bad answer on a route in a slice.

        The prior is the share of the whole slice, or of the route over the whole time if that is higher: a
        zone's failure affects all routes, and some routes always fail more often.
        """
        overall = self._chance(None, None, self._prior, self._weight)
        of_slice = self._chance(None, number, overall, SLICE_PRIOR_ANSWERS)
        of_route = self._chance(route, None, overall, self._weight)
        return max(self._floor, self._chance(route, number, max(of_slice, of_route), SLICE_PRIOR_ANSWERS))

    def _chance(self, route: str | None, number: int | None, prior: float, weight: float) -> float:
        answers, bad = self._counts.get((route, number), (0, 0))
        return (bad + prior * weight) / (answers + weight)


def _timed(
    answers: Iterable[tuple[str, _Answer]], bounds_s: Mapping[str, float | None]
) -> Iterator[tuple[str, _Answer, bool]]:
    """Yield the answers with a latency on routes with a bound, and whether each is slow."""
    for route, each in answers:
        bound_s = bounds_s.get(route)
        if bound_s is not None and each.latency_s is not None:
            yield route, each, each.latency_s > bound_s


def _slow_bound_s(answers: Iterable[_Answer]) -> float | None:
    ordered = sorted(each.latency_s for each in answers if each.latency_s is not None)
    if len(ordered) < MIN_LATENCIES:
        return None
    return max(SLOW_FACTOR * ordered[len(ordered) // 2], ordered[int(SLOW_QUANTILE * len(ordered))])


def _count(
    kind: FaultKind, oldest_separate: int, baseline: _Baseline, answers: Iterable[tuple[str, _Answer, bool]]
) -> Iterator[Cell]:
    counts: dict[tuple[int, str, str], list[float]] = defaultdict(lambda: [0, 0, 0.0])
    chances: dict[tuple[str, int], float] = {}
    for route, seen, bad in answers:
        if (route, seen.slice) not in chances:
            chances[route, seen.slice] = baseline.at(route, seen.slice)
        entry = counts[max(seen.slice, oldest_separate), route, seen.instance]
        entry[0] += 1
        entry[1] += bad
        entry[2] += chances[route, seen.slice]
    for (number, route, instance), (total, bad_total, expected) in counts.items():
        yield Cell(kind, number, route, instance, int(total), int(bad_total), expected / total)

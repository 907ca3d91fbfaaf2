"""Sequential test that compares a new version's answers with the old version's over the same period.

The null hypothesis is "as good as the old version". Each alternative is "from some time on, a given share of
the answers that would have been good is bad", for one kind of fault, on one route or on all, and for several
shares. The evidence is the weighted mean of the likelihood ratios of all alternatives. For a good version,
the probability that it ever reaches ``1 / a`` is at most ``a`` (Ville's inequality; Wald's upper bound for a
single alternative), so the test can be evaluated after every report.
"""

import enum
import itertools
import math
from collections.abc import Collection, Iterator, Sequence
from typing import Any, NamedTuple

# A good version is rolled back in at most 1 of 100 roll-outs.
FALSE_POSITIVE_RATE = 0.01
# A bad version is found good in at most 1 of 20 roll-outs (Wald's lower bound).
FALSE_NEGATIVE_RATE = 0.05
# The deadline forces a decision: a version that is more likely bad than good, assuming equal prior odds, is
# rolled back. At half this evidence, 2 of 100 good versions with one slow server are rolled back.
MIN_EVIDENCE_AT_DEADLINE = 1.0
# Shares of bad answers that the alternatives assume, and the smallest share that a "good" finding rules out.
FAILING_SHARES, MIN_FAILING_SHARE = (0.05, 0.1, 0.3, 0.6), 0.1
SLOW_SHARES, MIN_SLOW_SHARE = (0.2, 0.5, 0.8), 0.2
# Weights of the alternatives: most faults show on all routes and from the start. The remaining weight is
# spread evenly over the single routes, and over the latest time slices as possible change points.
ALL_ROUTES_WEIGHT, FROM_START_WEIGHT = 0.6, 0.6
CHANGE_POINTS = 6
# While a single server has answered, a bad version can't be distinguished from a bad server. With several
# servers to choose from, this many requests reach the same one by chance in less than 1 of 60 roll-outs.
MIN_SINGLE_SERVER_ANSWERS = 6
ALL_ROUTES = ""


class FaultKind(enum.StrEnum):
    """The ways in which an answer can be bad."""

    FAILING = "failing"
    SLOW = "slow"


class Finding(enum.StrEnum):
    """Outcome of the test for a version."""

    OPEN = "open"
    GOOD = "good"
    BAD = "bad"


class Cell(NamedTuple):
    """Answers of one server of the new version on one route within one time slice.

    ``expected`` is the probability (above 0, below 1) of a bad answer from the old version on the same route
    in the same slice.
    """

    kind: FaultKind
    slice: int
    route: str
    instance: str
    answers: int
    bad: int
    expected: float


class VersionAssessment(NamedTuple):
    """The finding and the data behind it.

    ``evidence`` is how much more likely the answers are under a bad version than under a good one; from
    ``needed`` on the version is found bad. ``kind`` and ``route`` (empty for all routes together) have the
    strongest evidence: there, ``bad`` of ``answers`` were bad where ``expected`` were expected from the old
    version, and ``servers`` servers of the new version answered.
    """

    finding: Finding = Finding.OPEN
    kind: FaultKind = FaultKind.FAILING
    route: str = ALL_ROUTES
    answers: int = 0
    bad: int = 0
    expected: float = 0.0
    servers: int = 0
    evidence: float = 0.0
    needed: float = 1.0 / FALSE_POSITIVE_RATE

    @property
    def probably_bad(self) -> bool:
        """Whether the version is more likely bad than good, even without enough evidence to find it bad."""
        return self.finding is Finding.BAD or self.evidence > MIN_EVIDENCE_AT_DEADLINE

    @property
    def reason(self) -> str:
        """One-line explanation for the order's record."""
        where = f"on route {self.route}" if self.route else "on all routes"
        return f"{self.bad} of {self.answers} answers {self.kind} {where}, {self.expected:.1f} expected"

    @property
    def details(self) -> dict[str, Any]:
        """Fields for a log event."""
        evidence = float(f"{self.evidence:.3g}")
        return {**self._asdict(), "expected": round(self.expected, 2), "evidence": evidence}


def assess(cells: Sequence[Cell]) -> VersionAssessment:
    """Assess a new version by its answers, for both kinds of fault."""
    servers = {cell.instance for cell in cells}
    tests = [
        (weight * _evidence(kind, each, servers), kind, route, each)
        for kind, route, weight, each in _weighted_tests(cells)
    ]
    if not tests:
        return VersionAssessment()
    _, kind, route, strongest = max(tests, key=lambda item: item[0])
    evidence = sum(item[0] for item in tests)
    finding = Finding.OPEN
    if evidence >= 1.0 / FALSE_POSITIVE_RATE:
        finding = Finding.BAD
    elif all(_rules_out(each, [cell for cell in cells if cell.kind is each]) for each in FaultKind):
        finding = Finding.GOOD
    return VersionAssessment(
        finding,
        kind,
        route,
        sum(cell.answers for cell in strongest),
        sum(cell.bad for cell in strongest),
        sum(cell.answers * cell.expected for cell in strongest),
        len({cell.instance for cell in strongest}),
        evidence,
    )


def _weighted_tests(cells: Sequence[Cell]) -> Iterator[tuple[FaultKind, str, float, list[Cell]]]:
    """Yield each kind of fault on all routes together and on each route; the weights add up to 1."""
    routes = sorted({cell.route for cell in cells})
    for kind in FaultKind:
        of_kind = [cell for cell in cells if cell.kind is kind]
        weight = 1.0 / len(FaultKind)
        if len(routes) > 1:
            weight *= ALL_ROUTES_WEIGHT
            for route in routes:
                share = (1.0 - ALL_ROUTES_WEIGHT) / len(FaultKind) / len(routes)
                yield kind, route, share, [cell for cell in of_kind if cell.route == route]
        yield kind, ALL_ROUTES, weight, of_kind


def _evidence(kind: FaultKind, cells: Sequence[Cell], servers: Collection[str]) -> float:
    """Return the mean likelihood ratio for a bad version, leaving out the server that contributes most to it.

    Without its one bad server a good version looks good, so the error rate holds in that case too.
    """
    mean = 0.0
    alternatives = FAILING_SHARES if kind is FaultKind.FAILING else SLOW_SHARES
    by_left_out: dict[str, float] = dict.fromkeys(servers, 0.0)
    for share in alternatives:
        table = _log_ratios(cells, share)
        whole = [sum(column) for column in zip(*table.values(), strict=True)]
        mean += _mean_over_change_points(whole) / len(alternatives)
        for server in servers:
            rest = (
                [total - own for total, own in zip(whole, table[server], strict=True)]
                if server in table
                else whole
            )
            by_left_out[server] += _mean_over_change_points(rest) / len(alternatives)
    if len(servers) > 1:
        return min(by_left_out.values())
    return mean if sum(cell.answers for cell in cells) >= MIN_SINGLE_SERVER_ANSWERS else min(1.0, mean)


def _log_ratios(cells: Sequence[Cell], share: float) -> dict[str, list[float]]:
    """Return each server's log-likelihood ratio by time slice, latest first."""
    slices = sorted({cell.slice for cell in cells}, reverse=True)
    position_of = {number: idx for idx, number in enumerate(slices)}
    table = {cell.instance: [0.0] * len(slices) for cell in cells}
    for cell in cells:
        table[cell.instance][position_of[cell.slice]] += _log_ratio(cell, share)
    return table


def _mean_over_change_points(by_slice: Sequence[float]) -> float:
    """Return the mean likelihood ratio over the change points; ``by_slice`` has the latest slice first."""
    if not by_slice:
        return 1.0
    # Values above e^700 overflow a float, and are far beyond any threshold.
    ratios = [math.exp(min(since, 700.0)) for since in itertools.accumulate(by_slice)]
    latest = ratios[:CHANGE_POINTS]
    return FROM_START_WEIGHT * ratios[-1] + (1.0 - FROM_START_WEIGHT) * sum(latest) / len(latest)


def _rules_out(kind: FaultKind, cells: Sequence[Cell]) -> bool:
    """Whether the answers rule out even the smallest share of bad ones."""
    min_share = MIN_FAILING_SHARE if kind is FaultKind.FAILING else MIN_SLOW_SHARE
    return bool(cells) and sum(_log_ratio(cell, min_share) for cell in cells) <= math.log(FALSE_NEGATIVE_RATE)


def _log_ratio(cell: Cell, share: float) -> float:
    """Return the log-likelihood ratio of "``share`` of the good answers turns bad" against "none does"."""
    ratio = (cell.answers - cell.bad) * math.log1p(-share)
    if cell.bad:
        ratio += cell.bad * math.log((cell.expected + (1.0 - cell.expected) * share) / cell.expected)
    return ratio

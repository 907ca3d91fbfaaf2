"""Whether a version is bad: a sequential test of its answers against the old version's at the same time.

"As good as the old version" is tested against "from some time on, a share of the answers that would have
been good is bad": of a kind, on one route or on all, for some shares at once. The evidence is the
weighed mean of the likelihood ratios of all these alternatives. Under a good version it reaches ``1 / a``
at any time at all with a chance of ``a`` at most (Ville's inequality; Wald's upper bound where
there is a single alternative), so the test may look as often as it likes.
"""

import enum
import itertools
import math
from collections.abc import Collection, Iterator, Sequence
from typing import Any, NamedTuple

# A good version is taken back in at most one of a hundred roll-outs.
GOOD_TAKEN_BACK = 0.01
# A bad version is called good in at most one of twenty (Wald's lower bound).
BAD_CALLED_GOOD = 0.05
# At the deadline something has to be decided: a version that is more likely bad than good, if as many
# are bad as good, is taken back. At half of it, good ones go back in 2 of 100 beside a slow server.
LEANING_EVIDENCE = 1.0
# The shares of bad answers that bad versions are expected to have, and the least one that "good" rules out.
FAILING_SHARES, LEAST_FAILING = (0.05, 0.1, 0.3, 0.6), 0.1
SLOW_SHARES, LEAST_SLOW = (0.2, 0.5, 0.8), 0.2
# How the alternatives are weighed: most faults show at once and everywhere. The rest is spread evenly over
# the routes, and over the slices of time in which the version may have turned bad, the latest few.
EVERYWHERE, AT_ONCE = 0.6, 0.6
LATEST_TURNS = 6
# A version of which one server alone has answered can't be told from that server. Requests that choose
# among several find the same one so often by chance in less than one of sixty roll-outs.
LEAST_ALONE = 6
POOLED = ""


class Kind(enum.StrEnum):
    """What is wrong with an answer."""

    FAILING = "failing"
    SLOW = "slow"


class Finding(enum.StrEnum):
    """What the evidence says of a version."""

    OPEN = "open"
    GOOD = "good"
    BAD = "bad"


class Cell(NamedTuple):
    """Answers of one new server on one route within one slice of time.

    ``expected`` is the chance (above 0, below 1) of a bad answer of the old version there and then.
    """

    kind: Kind
    slice: int
    route: str
    instance: str
    answers: int
    bad: int
    expected: float


class VersionAssessment(NamedTuple):
    """What was found and the inputs that decided.

    ``evidence`` is how much likelier the answers are under a bad version than under a good one, ``needed``
    what makes it bad. ``kind`` and ``route`` (empty for all together) are those that speak loudest: there
    ``bad`` of ``answers`` were bad where ``expected`` would have been at the old version; ``servers`` new
    ones answered.
    """

    finding: Finding = Finding.OPEN
    kind: Kind = Kind.FAILING
    route: str = POOLED
    answers: int = 0
    bad: int = 0
    expected: float = 0.0
    servers: int = 0
    evidence: float = 0.0
    needed: float = 1.0 / GOOD_TAKEN_BACK

    @property
    def leaning_bad(self) -> bool:
        """Whether a version is more likely bad than good, for want of better evidence."""
        return self.finding is Finding.BAD or self.evidence > LEANING_EVIDENCE

    @property
    def reason(self) -> str:
        """One line for the record."""
        where = f"on route {self.route}" if self.route else "on all routes"
        return f"{self.bad} of {self.answers} answers {self.kind} {where}, {self.expected:.1f} expected"

    @property
    def details(self) -> dict[str, Any]:
        """The fields of a log line."""
        evidence = float(f"{self.evidence:.3g}")
        return {**self._asdict(), "expected": round(self.expected, 2), "evidence": evidence}


def assess(cells: Sequence[Cell]) -> VersionAssessment:
    """Return what the answers of a new version, of both kinds, say."""
    servers = {cell.instance for cell in cells}
    tests = [
        (weight * _evidence(kind, each, servers), kind, route, each)
        for kind, route, weight, each in _tests(cells)
    ]
    if not tests:
        return VersionAssessment()
    _, kind, route, loudest = max(tests, key=lambda item: item[0])
    evidence = sum(item[0] for item in tests)
    finding = Finding.OPEN
    if evidence >= 1.0 / GOOD_TAKEN_BACK:
        finding = Finding.BAD
    elif all(_clears(each, [cell for cell in cells if cell.kind is each]) for each in Kind):
        finding = Finding.GOOD
    return VersionAssessment(
        finding,
        kind,
        route,
        sum(cell.answers for cell in loudest),
        sum(cell.bad for cell in loudest),
        sum(cell.answers * cell.expected for cell in loudest),
        len({cell.instance for cell in loudest}),
        evidence,
    )


def _tests(cells: Sequence[Cell]) -> Iterator[tuple[Kind, str, float, list[Cell]]]:
    """Return each kind, on all routes together and on each, with its weight; they add up to one."""
    routes = sorted({cell.route for cell in cells})
    for kind in Kind:
        of_kind = [cell for cell in cells if cell.kind is kind]
        weight = 1.0 / len(Kind)
        if len(routes) > 1:
            weight *= EVERYWHERE
            for route in routes:
                share = (1.0 - EVERYWHERE) / len(Kind) / len(routes)
                yield kind, route, share, [cell for cell in of_kind if cell.route == route]
        yield kind, POOLED, weight, of_kind


def _evidence(kind: Kind, cells: Sequence[Cell], servers: Collection[str]) -> float:
    """Return the mean likelihood ratio for bad, without the server that speaks most for it.

    With one bad server in a good version what is left is good, so the error rate holds then too.
    """
    mean = 0.0
    alternatives = FAILING_SHARES if kind is Kind.FAILING else SLOW_SHARES
    by_left_out: dict[str, float] = dict.fromkeys(servers, 0.0)
    for share in alternatives:
        table = _log_ratios(cells, share)
        whole = [sum(column) for column in zip(*table.values(), strict=True)]
        mean += _mean_over_turns(whole) / len(alternatives)
        for one in servers:
            rest = (
                [all_ - own for all_, own in zip(whole, table[one], strict=True)] if one in table else whole
            )
            by_left_out[one] += _mean_over_turns(rest) / len(alternatives)
    if len(servers) > 1:
        return min(by_left_out.values())
    return mean if sum(cell.answers for cell in cells) >= LEAST_ALONE else min(1.0, mean)


def _log_ratios(cells: Sequence[Cell], share: float) -> dict[str, list[float]]:
    """Return each server's log-likelihood ratio by slice of time, the latest first."""
    slices = sorted({cell.slice for cell in cells}, reverse=True)
    place = {number: idx for idx, number in enumerate(slices)}
    table = {cell.instance: [0.0] * len(slices) for cell in cells}
    for cell in cells:
        table[cell.instance][place[cell.slice]] += _log_ratio(cell, share)
    return table


def _mean_over_turns(by_slice: Sequence[float]) -> float:
    """Return the mean likelihood ratio over the slices, latest first, from which on a version may be bad."""
    if not by_slice:
        return 1.0
    # More than e^700 overflows a float; nobody asks how much more.
    ratios = [math.exp(min(since, 700.0)) for since in itertools.accumulate(by_slice)]
    turned = ratios[:LATEST_TURNS]
    return AT_ONCE * ratios[-1] + (1.0 - AT_ONCE) * sum(turned) / len(turned)


def _clears(kind: Kind, cells: Sequence[Cell]) -> bool:
    """Whether even the least share of bad answers is unlikely."""
    least = LEAST_FAILING if kind is Kind.FAILING else LEAST_SLOW
    return bool(cells) and sum(_log_ratio(cell, least) for cell in cells) <= math.log(BAD_CALLED_GOOD)


def _log_ratio(cell: Cell, share: float) -> float:
    """Return the log-likelihood ratio of ``share`` of the good answers being bad against none."""
    ratio = (cell.answers - cell.bad) * math.log1p(-share)
    if cell.bad:
        ratio += cell.bad * math.log((cell.expected + (1.0 - cell.expected) * share) / cell.expected)
    return ratio

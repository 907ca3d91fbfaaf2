"""What a checker is and what it finds."""

from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from soak.record import Record

# Statuses that promise that a request has not run and never will.
PROMISES_NOT_RUN = (408, 421, 429, 503)


class Violation(NamedTuple):
    """A promise that did not hold, when, and what shows it."""

    promise: str
    at_s: float
    detail: str


class Checked(NamedTuple):
    """What a checker found, and when each case that it could judge took place."""

    violations: list[Violation]
    cases_s: list[float]


Checker = Callable[[Record], Checked]
Case = tuple[float, str]


def judge(promise: str, cases: Iterator[Case]) -> Checked:
    """Gather cases: the time of each, and what is wrong with it (nothing: an empty text)."""
    checked = Checked([], [])
    for at_s, problem in cases:
        checked.cases_s.append(at_s)
        if problem:
            checked.violations.append(Violation(promise, at_s, problem))
    return checked


def gathered_shards(configuration: Any) -> list[str]:
    """Return the shards that a configuration's wide route names."""
    return next(route["gather"] for route in configuration["routes"] if "gather" in route)

"""Types of the checkers and of their results."""

from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from soak.record import Record

# Statuses that guarantee that a request has not run and never will.
PROMISES_NOT_RUN = (408, 421, 429, 503)


class Violation(NamedTuple):
    """A broken promise, its time, and the evidence."""

    promise: str
    at_s: float
    detail: str


class Checked(NamedTuple):
    """The violations that a checker found, and the times of all cases that it checked."""

    violations: list[Violation]
    cases_s: list[float]


Checker = Callable[[Record], Checked]
Case = tuple[float, str]


def judge(promise: str, cases: Iterator[Case]) -> Checked:
    """Collect cases, each with its time and its problem; an empty problem means that the promise held."""
    checked = Checked([], [])
    for at_s, problem in cases:
        checked.cases_s.append(at_s)
        if problem:
            checked.violations.append(Violation(promise, at_s, problem))
    return checked


def gathered_shards(configuration: Any) -> list[str]:
    """Return the shards that the wide route of a configuration gathers from."""
    return next(route["gather"] for route in configuration["routes"] if "gather" in route)

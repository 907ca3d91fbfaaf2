"""Checks the guarantees: compares the outcomes at callers with the executions logged by back ends."""

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from yokesill.emulator.records import entries_in
from yokesill.emulator.server_model import Execution
from yokesill.loadgen.outcomes import Outcome
from yokesill.resources.hashing import KEY_SPACE

LEAVING_GRACE_S = 3.0


@dataclass(frozen=True, slots=True)
class Violation:
    """One violated guarantee; ``promise`` is its short name."""

    promise: str
    query_id: str
    detail: str


def check_outcomes(
    outcomes: Iterable[Outcome], executions: Iterable[Execution], namespace: str, records: dict[str, int]
) -> list[Violation]:
    """Return all violations; ``records`` is the number of records by service."""
    outcomes = list(outcomes)
    runs = list(executions)
    return [
        *_check_answers(outcomes, namespace, records),
        *_check_not_run(outcomes, runs),
        *_check_at_most_once(outcomes, runs),
        *_check_leaving(runs),
        *(
            Violation("planned_stop", each.query_id, "the connection was cut")
            for each in outcomes
            if each.cut
        ),
    ]


def _check_answers(
    outcomes: Sequence[Outcome], namespace: str, records: dict[str, int]
) -> Iterable[Violation]:
    for each in outcomes:
        if not each.answered or not each.repeatable:
            continue
        versions = {entry["version"] for entry in each.entries}
        if versions - {each.snapshot[1]}:
            yield Violation("one_snapshot", each.query_id, f"versions {sorted(versions)}")
        if each.keyed:
            continue
        yield from _check_entries(each, namespace, records)


def _check_entries(each: Outcome, namespace: str, records: dict[str, int]) -> Iterable[Violation]:
    """Compare the entries of a wide answer with those expected for its reported coverage."""
    width = sum(end - start for start, end in each.missing)
    if abs(each.coverage - (1 - width / KEY_SPACE)) > 1e-9:
        yield Violation("true_coverage", each.query_id, f"{each.coverage} with {width} missing")
    service, count, version = f"{namespace}/{each.service}", records[each.service], each.snapshot[1]
    expected = {entry["id"] for entry in entries_in(service, count, 0, KEY_SPACE, version)}
    for start, end in each.missing:
        expected -= {entry["id"] for entry in entries_in(service, count, start, end, version)}
    got = Counter(entry["id"] for entry in each.entries)
    if any(number > 1 for number in got.values()):
        yield Violation("own_answer", each.query_id, "an entry is doubled")
    if set(got) - expected:
        yield Violation("own_answer", each.query_id, f"{len(set(got) - expected)} foreign entries")
    if expected - set(got):
        yield Violation("true_coverage", each.query_id, f"{len(expected - set(got))} entries are missing")


def _check_not_run(outcomes: Sequence[Outcome], runs: Sequence[Execution]) -> Iterable[Violation]:
    ran = {each.query_id for each in runs}
    for each in outcomes:
        if each.verdict == "not_run" and each.query_id in ran:
            yield Violation("not_run", each.query_id, "it ran")


def _check_at_most_once(outcomes: Sequence[Outcome], runs: Sequence[Execution]) -> Iterable[Violation]:
    counts = Counter((each.query_id, each.shard) for each in runs if not each.repeatable)
    for (query_id, shard), number in counts.items():
        if number > 1:
            yield Violation("at_most_once", query_id, f"ran {number} times on {shard}")


def _check_leaving(runs: Sequence[Execution]) -> Iterable[Violation]:
    for each in runs:
        if each.leaving_for is not None and each.leaving_for > LEAVING_GRACE_S:
            detail = f"{each.address} had been leaving for {each.leaving_for:.1f} s"
            yield Violation("leaving", each.query_id, detail)

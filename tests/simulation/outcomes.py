"""Converts an in-process final answer to the record that the checkers read."""

from yokesill.loadgen.outcomes import Outcome
from yokesill.routing.events import Answer, Refuse


def fill_from_final(outcome: Outcome, final: Answer | Refuse) -> None:
    """Fill ``outcome`` from an in-process final answer."""
    outcome.query_id = final.query_id
    if isinstance(final, Answer):
        outcome.answered, outcome.verdict = True, "ran"
        outcome.coverage = final.coverage.fraction
        outcome.missing = [[each.start, each.end] for each in final.coverage.missing]
        outcome.snapshot = (final.snapshot.epoch, final.snapshot.version)
        outcome.entries = final.results
        return
    failure = final.failure
    outcome.verdict, outcome.reason = failure.verdict.label, failure.reason.value
    outcome.retry_after_ms = failure.retry_after_ms

"""Outcomes of queries at their callers, read by the checkers and summaries."""

from dataclasses import dataclass, field
from typing import Any


@dataclass(slots=True)
class Outcome:
    """Outcome of one query; ``sent_at`` is the intended time and ``latency`` counts from it (seconds).

    ``verdict`` is ``ran`` for an answer; ``cut`` means that the connection ended without a reply.
    """

    service: str
    request_class: str
    repeatable: bool
    keyed: bool
    sent_at: float
    latency: float
    verdict: str
    reason: str = ""
    answered: bool = False
    query_id: str = ""
    coverage: float = 0.0
    missing: list[list[int]] = field(default_factory=list)
    snapshot: tuple[int, int] = (0, 0)
    entries: list[Any] = field(default_factory=list)
    retry_after_ms: int = 0
    cut: bool = False


def fill_from_reply(outcome: Outcome, status: int, body: dict[str, Any]) -> None:
    """Fill the outcome from an HTTP reply."""
    outcome.query_id = body.get("request_id", "")
    outcome.verdict = body.get("verdict", "unknown")
    outcome.reason = ""
    if status == 200:
        outcome.answered = True
        outcome.coverage = body["coverage"]["fraction"]
        outcome.missing = body["coverage"]["missing"]
        outcome.snapshot = (body["snapshot"]["epoch"], body["snapshot"]["version"])
        outcome.entries = body["results"]
        return
    outcome.reason = body.get("reason", str(status))
    outcome.retry_after_ms = body.get("retry_after_ms", 0)

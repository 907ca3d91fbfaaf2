"""Summary of a run: latency, coverage, extra load and violations, per class and in total."""

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from yokesill.loadgen.checkers import Violation
from yokesill.loadgen.outcomes import Outcome

MAX_LATENCY_US = 3_600_000_000
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


@dataclass(slots=True)
class ClassSummary:
    """Summary of one class; latencies in milliseconds, of answers only."""

    sent: int = 0
    answered: int = 0
    refused: dict[str, int] = field(default_factory=dict)
    latency_ms: dict[str, float] = field(default_factory=dict)
    mean_coverage: float = 0.0
    whole: int = 0


@dataclass(slots=True)
class RunSummary:
    """Summary of a run; ``extra_load`` is attempts per needed sub-request, minus one."""

    name: str
    seconds: float
    classes: dict[str, ClassSummary]
    total: ClassSummary
    goodput: float
    extra_load: float
    violations: dict[str, int]
    refusal_ms: dict[str, float]


def summarise(
    name: str,
    seconds: float,
    outcomes: Sequence[Outcome],
    attempts: int,
    needed: int,
    violations: Sequence[Violation],
) -> RunSummary:
    """Summarise a run of ``attempts`` executed or sent attempts for ``needed`` sub-requests."""
    classes = sorted({(each.service, each.request_class) for each in outcomes})
    by_class = {
        f"{service}/{name_}": _class_summary(
            [each for each in outcomes if (each.service, each.request_class) == (service, name_)]
        )
        for service, name_ in classes
    }
    refusals = [each.latency for each in outcomes if not each.answered and not each.cut]
    return RunSummary(
        name=name,
        seconds=seconds,
        classes=by_class,
        total=_class_summary(list(outcomes)),
        goodput=sum(1 for each in outcomes if each.answered) / seconds,
        extra_load=attempts / needed - 1 if needed else 0.0,
        violations=dict(Counter(each.promise for each in violations)),
        refusal_ms=percentiles(refusals),
    )


def percentiles(latencies: Sequence[float]) -> dict[str, float]:
    """Return the latencies' percentiles in milliseconds."""
    if not latencies:
        return {}
    histogram = HdrHistogram(1, MAX_LATENCY_US, 3)
    for latency in latencies:
        histogram.record_value(max(1, int(latency * 1e6)))
    return {f"p{each:g}": histogram.get_value_at_percentile(each) / 1000 for each in PERCENTILES}


def _class_summary(outcomes: list[Outcome]) -> ClassSummary:
    answers = [each for each in outcomes if each.answered]
    return ClassSummary(
        sent=len(outcomes),
        answered=len(answers),
        refused=dict(Counter(each.reason or "cut" for each in outcomes if not each.answered)),
        latency_ms=percentiles([each.latency for each in answers]),
        mean_coverage=sum(each.coverage for each in answers) / len(answers) if answers else 0.0,
        whole=sum(1 for each in answers if each.coverage >= 1.0),
    )

"""Writes a run's results as JSON, and as a page with a chart of faults, answers and violations over time."""

import html
import json
from collections import Counter
from pathlib import Path
from typing import Any

from soak.judging import PROMISES_NOT_RUN, Checked, Violation
from soak.record import Record

WIDTH, LEFT, ROW, TOP, ANSWERS_HEIGHT = 1100, 190, 14, 20, 80
COLOURS = {"served": "#4a9a5b", "refused": "#d9a33c", "failed": "#b8412f"}


def outcome_of(status: int, ending: str) -> str:
    """Return ``served``, ``refused`` (guaranteed not to have run) or ``failed``."""
    if ending == "answered" and 200 <= status < 300:
        return "served"
    return "refused" if status in PROMISES_NOT_RUN else "failed"


def injected_by_promise(record: Record, checked: dict[str, Checked]) -> dict[str, dict[str, list[int]]]:
    """Return, by kind of fault and promise, how many faults overlapped a checked case, and these cases.

    A case counts for a fault if it occurs while the fault lasts or up to ``contact_s`` afterwards.
    """
    after_s = record.bounds.contact_s
    table: dict[str, dict[str, list[int]]] = {}
    for kind in sorted({span.kind for span in record.spans}):
        row = table[kind] = {}
        for name, each in checked.items():
            case_counts = [
                sum(1 for at_s in each.cases_s if span.begin_s <= at_s <= span.end_s + after_s)
                for span in record.spans
                if span.kind == kind
            ]
            row[name] = [sum(1 for count in case_counts if count), sum(case_counts)]
    return table


def summary(record: Record, checked: dict[str, Checked], run_info: dict[str, Any]) -> dict[str, Any]:
    """Return the results of a run as JSON values; times count from the first request."""
    start_s = min((ask.asked_s for ask in record.asks), default=0.0)
    outcomes: dict[str, Counter[str]] = {}
    for ask in record.asks:
        if not ask.route.startswith("probe"):
            outcomes.setdefault(ask.route, Counter())[outcome_of(ask.status, ask.ending)] += 1
    violations = [each for checks in checked.values() for each in checks.violations]
    return run_info | {
        "requests": {route: dict(counts) for route, counts in sorted(outcomes.items())},
        "probes": sum(ask.route.startswith("probe") for ask in record.asks),
        "arrivals": len(record.arrivals),
        "faults": dict(sorted(Counter(span.kind for span in record.spans).items())),
        "cases": {name: len(each.cases_s) for name, each in checked.items()},
        "violations": [
            {"promise": each.promise, "at_s": round(each.at_s - start_s, 3), "detail": each.detail}
            for each in sorted(violations, key=lambda each: each.at_s)
        ],
        "injected": injected_by_promise(record, checked),
    }


def write_report(folder: Path, record: Record, checked: dict[str, Checked], run_info: dict[str, Any]) -> None:
    """Write ``report.json`` and ``report.html`` into the folder of a run."""
    results = summary(record, checked, run_info)
    (folder / "report.json").write_text(json.dumps(results, indent=1) + "\n")
    rows = "".join(
        f"<tr><td>{each['at_s']}</td><td>{each['promise']}</td><td>{html.escape(each['detail'])}</td></tr>"
        for each in results["violations"]
    )
    facts = {name: value for name, value in results.items() if name not in ("violations", "injected")}
    violations = [each for checks in checked.values() for each in checks.violations]
    (folder / "report.html").write_text(
        "<!doctype html><meta charset=utf-8><title>soak</title>"
        f"<h1>Soak, seed {results.get('seed')}</h1>{draw(record, violations)}"
        f"<h2>{len(violations)} violations</h2><table border=1>{rows}</table>"
        f"<h2>Figures</h2><pre>{html.escape(json.dumps(facts, indent=1))}</pre>"
    )


def draw(record: Record, violations: list[Violation]) -> str:
    """Return an SVG: answers per second on top, a row of bars per kind of fault, violations as lines."""
    if not record.asks:
        return "<p>no requests</p>"
    start_s = min(ask.asked_s for ask in record.asks)
    end_s = max(ask.ended_s for ask in record.asks)
    scale = (WIDTH - LEFT) / max(1.0, end_s - start_s)
    kinds = sorted({span.kind for span in record.spans})
    baseline = TOP + ANSWERS_HEIGHT
    height = baseline + ROW * (len(kinds) + 2)

    def x(at_s: float) -> float:
        return LEFT + (min(at_s, end_s) - start_s) * scale

    shapes = _answer_bars(record, start_s, scale, baseline)
    for row, kind in enumerate(kinds):
        y = baseline + ROW * (row + 1)
        shapes.append(f'<text x="4" y="{y + 10}">{kind}</text>')
        for span in record.spans:
            if span.kind == kind:
                width = max(2.0, x(span.end_s) - x(span.begin_s))
                place = f'x="{x(span.begin_s):.1f}" y="{y}" width="{width:.1f}" height="{ROW - 3}"'
                shapes.append(f'<rect {place} fill="#5b7fa6"><title>{kind} {span.targets}</title></rect>')
    for each in violations:
        place = f'x1="{x(each.at_s):.1f}" x2="{x(each.at_s):.1f}" y1="{TOP}" y2="{height}"'
        title = html.escape(f"{each.promise}: {each.detail}")
        shapes.append(f'<line {place} stroke="red" stroke-width="1.5"><title>{title}</title></line>')
    legend = "".join(
        f'<text x="{LEFT + 90 * index}" y="12" fill="{colour}">{name}</text>'
        for index, (name, colour) in enumerate(COLOURS.items())
    )
    style = 'font-family="sans-serif" font-size="11"'
    return f'<svg width="{WIDTH}" height="{height}" {style}>{legend}{"".join(shapes)}</svg>'


def _answer_bars(record: Record, start_s: float, scale: float, baseline: int) -> list[str]:
    seconds: dict[int, Counter[str]] = {}
    for ask in record.asks:
        if ask.route.startswith("probe"):
            continue
        counts = seconds.setdefault(int(ask.asked_s - start_s), Counter())
        counts[outcome_of(ask.status, ask.ending)] += 1
    max_count = max((sum(counts.values()) for counts in seconds.values()), default=1)
    shapes = []
    for second, counts in seconds.items():
        top = float(baseline)
        for name, colour in COLOURS.items():
            height = counts[name] / max_count * ANSWERS_HEIGHT
            top -= height
            place = f'x="{LEFT + second * scale:.1f}" y="{top:.1f}" width="{scale:.1f}" height="{height:.1f}"'
            shapes.append(f'<rect {place} fill="{colour}"/>')
    return shapes

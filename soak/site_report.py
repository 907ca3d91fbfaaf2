"""Reports days of users' sheets: a line and a JSON file for each, and a table by sheet for many.

``python -m soak.site_report FOLDER...`` prints the table of all days below some folders.
"""

import json
import sys
from collections import Counter, defaultdict
from collections.abc import Iterable
from pathlib import Path
from typing import Any, TypedDict

from soak.fault_checkers import (
    check_faults,
    describe_end,
    ended_by_early_signal,
    longest_hold_ms,
    peak_memory,
    rule_fault,
    spells,
)
from soak.site_layout import SiteLayout
from soak.site_plan import DayPlan, support_of
from soak.site_record import NodeLimits, SiteRecord, read_site_record

DAY_FILE = "day.json"
STARTED = "started"
START_STEPS = ("signals_held_ms", "settings_read_ms", "listening_ms", "ready_ms")


class DayReport(TypedDict):
    """What one day showed; times count from the start of traffic."""

    sheet: str
    name: str
    seed: int
    seconds: float
    nodes: int
    troubles: list[dict[str, Any]]
    final: str
    left_out: dict[str, str]
    processes: int
    starts: list[dict[str, Any]]
    slowest_start_s: float
    latest_hold_of_signals_ms: float
    signals_before_held: int
    unasked_ends: list[str]
    early_signal_ends: list[str]
    peak_memory_mb: float
    memory_limit_mb: float
    longest_hold_ms: float
    requests: int
    served: int
    cases: dict[str, int]
    violations: list[dict[str, Any]]
    rule_fault: list[str]


def limits_of(layout: SiteLayout) -> dict[int, NodeLimits]:
    """Return what each machine gives its node."""
    return {node.number: NodeLimits(node.memory_mb, node.descriptors) for node in layout.nodes()}


def report_day(folder: Path, layout: SiteLayout, plan: DayPlan) -> DayReport:
    """Judge a day from its logs, and write the result into its folder."""
    record = read_site_record(folder, layout.site.bounds, limits_of(layout))
    report = make_report(record, layout.site.name, plan)
    (folder / DAY_FILE).write_text(json.dumps(report, indent=1) + "\n")
    return report


def read_reports(folder: Path) -> list[DayReport]:
    """Return the reports of all days below a folder."""
    return [json.loads(path.read_text()) for path in sorted(folder.rglob(DAY_FILE))]


def make_report(record: SiteRecord, sheet: str, plan: DayPlan) -> DayReport:
    """Return what a day showed."""
    checked = check_faults(record)
    violations = [each for checks in checked.values() for each in checks.violations]
    early = [each for each in record.ends if ended_by_early_signal(each)]
    others = [each for each in record.ends if not ended_by_early_signal(each)]
    peaks_mb = [peak_mb for _, peak_mb in peak_memory(record).values()]
    ready_after_s = [each.ready_s - each.start_s for each in spells(record) if each.ready_s < float("inf")]
    return DayReport(
        sheet=sheet,
        name=plan.name,
        seed=plan.seed,
        seconds=plan.seconds,
        nodes=len(record.limits),
        troubles=_troubles_played(record),
        final=plan.final.kind if plan.final else "",
        left_out=dict(plan.left_out),
        processes=len(record.starts),
        starts=_starts(record),
        slowest_start_s=round(max(ready_after_s, default=0.0), 3),
        latest_hold_of_signals_ms=_latest_hold_of_signals_ms(record),
        signals_before_held=record.early_signals,
        unasked_ends=[describe_end(each) for each in others],
        early_signal_ends=[describe_end(each) for each in early],
        peak_memory_mb=round(max(peaks_mb, default=0.0), 1),
        memory_limit_mb=min((each.memory_mb for each in record.limits.values()), default=0.0),
        longest_hold_ms=longest_hold_ms(record),
        requests=len(record.answers),
        served=sum(each.served for each in record.answers),
        cases={name: len(each.cases_s) for name, each in checked.items()},
        violations=[
            {"promise": each.promise, "at_s": round(each.at_s - record.begin_s, 3), "detail": each.detail}
            for each in sorted(violations, key=lambda each: each.at_s)
        ],
        rule_fault=rule_fault(record),
    )


def _troubles_played(record: SiteRecord) -> list[dict[str, Any]]:
    return [
        {
            "kind": each.kind,
            "how": " ".join(each.how),
            "begin_s": round(each.begin_s - record.begin_s, 3),
            # JSON knows no infinity: a trouble that the day's end broke off has no end.
            "end_s": None if each.end_s == float("inf") else round(each.end_s - record.begin_s, 3),
            "nodes": list(each.nodes),
            "slots": list(each.slots),
            "played": support_of(each.kind).support.value,
        }
        for each in record.troubles
    ]


def _starts(record: SiteRecord) -> list[dict[str, Any]]:
    """Return the steps of each start that a node finished, as it logged them."""
    return [
        {"node": each.node} | {step: each.fields.get(step) for step in START_STEPS}
        for each in record.lines
        if each.event == STARTED
    ]


def _latest_hold_of_signals_ms(record: SiteRecord) -> float:
    times = (each.fields.get("signals_held_ms") or 0.0 for each in record.lines if each.event == STARTED)
    return max((float(each) for each in times), default=0.0)


def day_line(report: DayReport) -> str:
    """Return a day's line for the terminal."""
    share = report["served"] / report["requests"] if report["requests"] else 0.0
    facts = (
        f"{report['sheet']} {report['name']}",
        f"{len(report['troubles'])} troubles",
        f"{len(report['violations'])} violations",
        f"{len(report['unasked_ends'])} unasked ends",
        f"{len(report['early_signal_ends'])} by {report['signals_before_held']} early signals",
        f"slowest start {report['slowest_start_s']:.1f} s",
        f"peak {report['peak_memory_mb']:.0f} of {report['memory_limit_mb']:.0f} MB",
        f"longest hold {report['longest_hold_ms']:.0f} ms",
        f"{share:.3f} of {report['requests']} tries served",
    )
    return "; ".join((*facts, *(["FAULT"] if report["rule_fault"] else [])))


def markdown_table(reports: Iterable[DayReport]) -> str:
    """Return a table by sheet, and below it the kinds of troubles played and left out."""
    by_sheet: dict[str, list[DayReport]] = defaultdict(list)
    for each in reports:
        by_sheet[each["sheet"]].append(each)
    rows = [_table_row(sheet, days) for sheet, days in sorted(by_sheet.items())]
    head = (
        "| sheet | days | troubles | starts | slowest start | not ready | unasked ends | by early signals "
        "| over memory | nothing served | peak memory | longest hold | tries served | FAULT |"
    )
    rule = "|" + " --- |" * 14
    all_days = [day for days in by_sheet.values() for day in days]
    return "\n".join((head, rule, *rows, "", _kinds_text(all_days))) + "\n"


def _table_row(sheet: str, days: list[DayReport]) -> str:
    broken = Counter(each["promise"] for day in days for each in day["violations"])
    tries = sum(day["requests"] for day in days)
    served = sum(day["served"] for day in days)
    early_ends = sum(len(day["early_signal_ends"]) for day in days)
    cells = (
        sheet,
        len(days),
        sum(len(day["troubles"]) for day in days),
        sum(day["processes"] for day in days),
        f"{max(day['slowest_start_s'] for day in days):.1f} s",
        broken["every_node_becomes_ready"],
        sum(len(day["unasked_ends"]) for day in days),
        f"{early_ends} of {sum(day['signals_before_held'] for day in days)}",
        broken["memory_within_limit"],
        broken["requests_served"],
        f"{max(day['peak_memory_mb'] for day in days):.0f} MB",
        f"{max(day['longest_hold_ms'] for day in days):.0f} ms",
        f"{served / tries:.3f}" if tries else "none",
        sum(bool(day["rule_fault"]) for day in days),
    )
    return "| " + " | ".join(str(each) for each in cells) + " |"


def _kinds_text(days: list[DayReport]) -> str:
    played = Counter(each["kind"] for day in days for each in day["troubles"])
    left_out = {kind: note for day in days for kind, note in day["left_out"].items()}
    played_text = ", ".join(f"{kind} {count}" for kind, count in sorted(played.items()))
    left_text = ", ".join(f"{kind} ({note})" for kind, note in sorted(left_out.items()))
    return f"Played: {played_text or 'none'}.\n\nLeft out: {left_text or 'none'}."


if __name__ == "__main__":
    print(markdown_table(day for each in sys.argv[1:] for day in read_reports(Path(each))), end="")

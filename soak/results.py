"""``python -m soak.results RUN...``: merges the reports of several runs, with a table of faults by promise.

The merged report goes to standard output as JSON, the table to standard error as Markdown.
"""

import json
import sys
from collections import Counter
from pathlib import Path
from typing import Any

Table = dict[str, dict[str, list[int]]]


def merge_tables(tables: list[Table]) -> Table:
    """Sum, by kind of fault and promise, the faults that overlapped a checked case, and these cases."""
    merged: Table = {}
    for table in tables:
        for kind, row in table.items():
            for promise, (faults, cases) in row.items():
                sums = merged.setdefault(kind, {}).setdefault(promise, [0, 0])
                sums[0] += faults
                sums[1] += cases
    return dict(sorted(merged.items()))


def merge(reports: list[dict[str, Any]]) -> dict[str, Any]:
    """Return the main fields of each run and the totals of all runs."""
    names = ("seed", "minutes", "nodes", "peak", "requests", "probes", "arrivals", "cases", "violations")
    fault_counts: Counter[str] = Counter()
    for report in reports:
        fault_counts.update(report["faults"])
    return {
        "runs": [{name: report[name] for name in names} for report in reports],
        "minutes": sum(report["minutes"] for report in reports),
        "faults": dict(sorted(fault_counts.items())),
        "faults_by_promise": merge_tables([report["injected"] for report in reports]),
    }


def markdown(merged: dict[str, Any]) -> str:
    """Return a Markdown table: by kind, the faults injected and those that overlapped a checked case."""
    table: Table = merged["faults_by_promise"]
    promises = [name for name in next(iter(table.values())) if any(row[name][1] for row in table.values())]
    lines = [f"| fault | injected | {' | '.join(f'`{name}`' for name in promises)} |"]
    lines.append("| --- " * (len(promises) + 2) + "|")
    for kind, row in table.items():
        cells = [str(row[name][0]) for name in promises]
        lines.append(f"| {kind} | {merged['faults'][kind]} | {' | '.join(cells)} |")
    return "\n".join(lines)


def main(arguments: list[str]) -> int:
    """Merge the reports in the given folders of runs and print the result."""
    reports = [json.loads((Path(folder) / "report.json").read_text()) for folder in arguments]
    merged = merge(reports)
    print(json.dumps(merged, indent=1))
    print(markdown(merged), file=sys.stderr)
    return 0


if __name__ == "__main__":
    raise SystemExit(main(sys.argv[1:]))

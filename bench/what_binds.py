"""Reports why requests were late or failed: by time, service and cause.

Reads the logs of nodes (JSON lines; of the text before the brace, the first word is the time in seconds and
the second the node) and prints a row per two seconds, the services missing most often, and the results of a
node's first wide requests next to those of later ones. Only requests in flight are kept in memory, so that
the logs of hundreds of nodes can be read.

    python bench/what_binds.py LOG... [--report REPORT.json] [--width 2]

With the users' bench: ``run SITE DAY --log all --report REPORT.json > LOG``.
"""

import argparse
import json
import statistics
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from datetime import datetime
from pathlib import Path
from typing import Any, NamedTuple

# Causes by the failure reasons of attempts; the first match counts.
CAUSES = (
    ("full servers", frozenset({"shed"})),
    ("no connection", frozenset({"connect_failed", "connection_refused", "overloaded"})),
    ("lost connection", frozenset({"connection_lost", "connection_forgotten", "malformed_reply"})),
    ("silent servers", frozenset({"timed_out"})),
    ("leaving servers", frozenset({"backend_leaving"})),
)


NOT_FOUND = 404
# A request to at least 8 services is wide; a node that has ended 4 wide requests counts as experienced.
MIN_WIDE_SERVICES, MIN_EXPERIENCE = 8, 4


class Line(NamedTuple):
    """One log line: its time (s), its fields, and the node, if named before the brace."""

    at_s: float
    fields: dict[str, Any]
    node: str = ""


class Window(NamedTuple):
    """Requests that ended within one window: counts by result and by cause."""

    ended: Counter[str]
    causes: Counter[str]


def read(text: Iterable[str]) -> Iterator[Line]:
    """Parse the lines of a log; other than JSON lines are skipped."""
    for raw in text:
        prefix, brace, rest = raw.partition("{")
        try:
            fields = json.loads(brace + rest)
            words = prefix.split()
            at_s = float(words[0]) if words else datetime.fromisoformat(fields["timestamp"]).timestamp()
        except (ValueError, KeyError):
            continue
        yield Line(at_s, fields, words[1] if len(words) > 1 else "")


class Experience(NamedTuple):
    """Results of wide requests at nodes with the same number of earlier ones: ms, share covered, in time."""

    milliseconds: list[float]
    covered: list[float]
    in_time: list[bool]


def cause_of(ended: dict[str, Any], others: list[dict[str, Any]]) -> str:
    """Return why a request was late or failed, from its last line and its earlier ones."""
    if ended.get("outcome") == "not_ready":
        return "node just started"
    if ended.get("waited_ms", 0.0) > 0.0:
        return "waited for room at slow servers"
    reasons = {line.get("reason") for line in others if line.get("event") == "attempt_failed"}
    for cause, of_cause in CAUSES:
        if reasons & of_cause:
            return cause
    if any(line.get("event") == "budget_spent" for line in others):
        return "budget of extra attempts"
    if ended.get("missing"):
        return "parts missing"
    return "slow answers"


def ended_requests(lines: Iterable[Line]) -> Iterator[tuple[Line, list[dict[str, Any]]]]:
    """Yield the last line of each request with the earlier lines of the same request."""
    by_request: dict[str, list[dict[str, Any]]] = defaultdict(list)
    for line in lines:
        request = line.fields.get("request")
        if request is None:
            continue
        if line.fields.get("event") != "request_ended":
            by_request[request].append(line.fields)
        elif line.fields.get("status") != NOT_FOUND:
            yield line, by_request.pop(request, [])


def count_by_window(lines: Iterable[Line], width_s: float) -> tuple[dict[float, Window], Counter[str]]:
    """Count the results per window, and how often each service was missing."""
    found: dict[float, Window] = {}
    missing: Counter[str] = Counter()
    for (at_s, fields, _), others in ended_requests(lines):
        window = found.setdefault(at_s // width_s * width_s, Window(Counter(), Counter()))
        failed = fields.get("status", 0) >= 400
        kind = "failed" if failed else "late" if fields.get("late") else "in time"
        window.ended[kind] += 1
        if kind != "in time":
            window.causes[f"{kind}: {cause_of(fields, others)}"] += 1
            missing.update(fields.get("missing", ()))
    return found, missing


def group_by_experience(lines: Iterable[Line]) -> dict[int, Experience]:
    """Group the results of wide requests by the number that the node had ended before, up to a limit."""
    before: Counter[str] = Counter()
    found: dict[int, Experience] = {}
    for line in lines:
        fields = line.fields
        if fields.get("event") != "request_ended" or fields.get("asked", 0) < MIN_WIDE_SERVICES:
            continue
        count = min(MIN_EXPERIENCE, before[line.node])
        before[line.node] += 1
        seen = found.setdefault(count, Experience([], [], []))
        seen.milliseconds.append(fields["ms"])
        seen.covered.append(fields["covered"] / fields["asked"])
        seen.in_time.append(fields.get("status", 0) < 400 and not fields.get("late"))
    return found


def experience_rows(found: dict[int, Experience]) -> list[str]:
    """Return the rows of the table by experience."""
    rows = [f"{'before':>8} {'wide':>6} {'in time':>8} {'middle ms':>10} {'covered':>8}"]
    for count, seen in sorted(found.items()):
        share, covered = statistics.mean(seen.in_time), statistics.mean(seen.covered)
        middle = statistics.median(seen.milliseconds)
        rows.append(f"{count:8} {len(seen.in_time):6} {share:8.2f} {middle:10.1f} {covered:8.3f}")
    return rows


def report_lines(report: dict[str, Any]) -> list[str]:
    """Return the rows on unserved requests and on events from the bench's report."""
    never = [f"never served, last try {how!r}: {count}" for how, count, _ in report["unserved_by"]]
    events = [f"{each['at_s']:8.2f} to {each['to_s']:8.2f} s  {each['kind']}" for each in report["events"]]
    return [*never, *events]


def table(lines: Iterable[Line], width_s: float) -> list[str]:
    """Return the rows of the table by window."""
    found, missing = count_by_window(lines, width_s)
    rows = [f"{'from s':>8} {'in time':>8} {'late':>6} {'failed':>7}  causes"]
    for start_s, window in sorted(found.items()):
        counts = window.ended
        causes = "; ".join(f"{cause} {count}" for cause, count in window.causes.most_common(5))
        rows.append(f"{start_s:8.0f} {counts['in time']:8} {counts['late']:6} {counts['failed']:7}  {causes}")
    services = ", ".join(f"{name} {count}" for name, count in missing.most_common(8))
    return [*rows, f"missing most in late and failed answers: {services or 'none'}"]


def read_files(names: Iterable[str]) -> Iterator[Line]:
    """Read log files line by line."""
    for name in names:
        with Path(name).open(errors="replace") as log:
            yield from read(log)


def main() -> None:
    """Print the tables."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("logs", nargs="+")
    parser.add_argument("--report", help="the bench's report of the same run")
    parser.add_argument("--width", type=float, default=2.0, help="seconds per row")
    given = parser.parse_args()
    print("\n".join(table(read_files(given.logs), given.width)))
    print("\n".join(experience_rows(group_by_experience(read_files(given.logs)))))
    if given.report:
        print("\n".join(report_lines(json.loads(Path(given.report).read_text()))))


if __name__ == "__main__":
    main()

"""Tells what made requests late or left them unanswered: when, at which services, for what reason.

Reads nodes' logs (JSON lines; whatever stands before the brace is passed over, a leading number is the
time in seconds) and prints a line for every two seconds, the services that were missing most, and how
well a node's first wide requests went against its later ones. Only what is under way is kept, so that
the logs of hundreds of nodes fit.

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

# Which reason of an attempt's end stands for which cause; the first that fits is taken.
CAUSES = (
    ("full servers", frozenset({"shed"})),
    ("no connection", frozenset({"connect_failed", "connection_refused", "overloaded"})),
    ("lost connection", frozenset({"connection_lost", "connection_forgotten", "malformed_reply"})),
    ("silent servers", frozenset({"timed_out"})),
    ("leaving servers", frozenset({"backend_leaving"})),
)


NOT_FOUND = 404
# A request that asks so many services is a wide one; so many before it and a node is not new to them.
WIDE, EXPERIENCED = 8, 4


class Line(NamedTuple):
    """One line of a log: when (s), what it says, and whose it is, where that stands before the brace."""

    at_s: float
    fields: dict[str, Any]
    node: str = ""


class Window(NamedTuple):
    """What ended within some seconds."""

    ended: Counter[str]
    causes: Counter[str]


def read(text: Iterable[str]) -> Iterator[Line]:
    """Read a log's lines; what is no JSON line is passed over."""
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
    """How the wide requests went that came to nodes with as many before: in ms and share covered."""

    milliseconds: list[float]
    covered: list[float]
    in_time: list[bool]


def cause_of(ended: dict[str, Any], others: list[dict[str, Any]]) -> str:
    """Return why a request was late or failed, by its own line and those before that name it."""
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


def endings(lines: Iterable[Line]) -> Iterator[tuple[Line, list[dict[str, Any]]]]:
    """Return each request's end, and the lines before it that name the request."""
    by_request: dict[str, list[dict[str, Any]]] = defaultdict(list)
    for line in lines:
        request = line.fields.get("request")
        if request is None:
            continue
        if line.fields.get("event") != "request_ended":
            by_request[request].append(line.fields)
        elif line.fields.get("status") != NOT_FOUND:
            yield line, by_request.pop(request, [])


def windows(lines: Iterable[Line], width_s: float) -> tuple[dict[float, Window], Counter[str]]:
    """Return what ended in each window, and how often each service was missing."""
    found: dict[float, Window] = {}
    missing: Counter[str] = Counter()
    for (at_s, fields, _), others in endings(lines):
        window = found.setdefault(at_s // width_s * width_s, Window(Counter(), Counter()))
        failed = fields.get("status", 0) >= 400
        kind = "failed" if failed else "late" if fields.get("late") else "in time"
        window.ended[kind] += 1
        if kind != "in time":
            window.causes[f"{kind}: {cause_of(fields, others)}"] += 1
            missing.update(fields.get("missing", ()))
    return found, missing


def experience(lines: Iterable[Line]) -> dict[int, Experience]:
    """Return how wide requests went, by how many the node had ended before (up to ``EXPERIENCED``)."""
    before: Counter[str] = Counter()
    found: dict[int, Experience] = {}
    for line in lines:
        fields = line.fields
        if fields.get("event") != "request_ended" or fields.get("asked", 0) < WIDE:
            continue
        count = min(EXPERIENCED, before[line.node])
        before[line.node] += 1
        seen = found.setdefault(count, Experience([], [], []))
        seen.milliseconds.append(fields["ms"])
        seen.covered.append(fields["covered"] / fields["asked"])
        seen.in_time.append(fields.get("status", 0) < 400 and not fields.get("late"))
    return found


def experience_rows(found: dict[int, Experience]) -> list[str]:
    """Return the table of ``experience``."""
    rows = [f"{'before':>8} {'wide':>6} {'in time':>8} {'middle ms':>10} {'covered':>8}"]
    for count, seen in sorted(found.items()):
        share, covered = statistics.mean(seen.in_time), statistics.mean(seen.covered)
        middle = statistics.median(seen.milliseconds)
        rows.append(f"{count:8} {len(seen.in_time):6} {share:8.2f} {middle:10.1f} {covered:8.3f}")
    return rows


def report_lines(report: dict[str, Any]) -> list[str]:
    """Return what the bench says of requests that were never served, and of what happened when."""
    never = [f"never served, last try {how!r}: {count}" for how, count, _ in report["unserved_by"]]
    events = [f"{each['at_s']:8.2f} to {each['to_s']:8.2f} s  {each['kind']}" for each in report["events"]]
    return [*never, *events]


def table(lines: Iterable[Line], width_s: float) -> list[str]:
    """Return the table's lines."""
    found, missing = windows(lines, width_s)
    rows = [f"{'from s':>8} {'in time':>8} {'late':>6} {'failed':>7}  causes"]
    for start_s, window in sorted(found.items()):
        counts = window.ended
        causes = "; ".join(f"{cause} {count}" for cause, count in window.causes.most_common(5))
        rows.append(f"{start_s:8.0f} {counts['in time']:8} {counts['late']:6} {counts['failed']:7}  {causes}")
    services = ", ".join(f"{name} {count}" for name, count in missing.most_common(8))
    return [*rows, f"missing most in late and failed answers: {services or 'none'}"]


def read_files(names: Iterable[str]) -> Iterator[Line]:
    """Read logs one line after the other."""
    for name in names:
        with Path(name).open(errors="replace") as log:
            yield from read(log)


def main() -> None:
    """Print the tables."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("logs", nargs="+")
    parser.add_argument("--report", help="the bench's report of the same run")
    parser.add_argument("--width", type=float, default=2.0, help="seconds a line")
    given = parser.parse_args()
    print("\n".join(table(read_files(given.logs), given.width)))
    print("\n".join(experience_rows(experience(read_files(given.logs)))))
    if given.report:
        print("\n".join(report_lines(json.loads(Path(given.report).read_text()))))


if __name__ == "__main__":
    main()

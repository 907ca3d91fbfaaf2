"""A site's day is reported with all that its troubles, starts and ends left behind."""

import json

from site_values import BOUNDS, SECONDS

from soak.record import UnaskedEnd
from soak.site import FinalFault
from soak.site_plan import DayPlan
from soak.site_record import (
    Answer,
    NodeEvent,
    NodeLimits,
    NodeLine,
    NodeUsage,
    SiteEnd,
    SiteRecord,
    TroubleSpan,
)
from soak.site_report import DayReport, day_line, make_report, markdown_table

PLAN = DayPlan("seed-7", 7, SECONDS, (), FinalFault("kill_all", 1.0), (("clock_step", "no clock"),))
STEPS = {"signals_held_ms": 12.9, "settings_read_ms": 100.0, "listening_ms": 120.0, "ready_ms": 900.0}


def end(status: int, *early_signals: str) -> SiteEnd:
    return SiteEnd(UnaskedEnd(30.0, 0, status, "signal", ["last line"]), 123.0, 45, early_signals)


def report() -> DayReport:
    record = SiteRecord(
        bounds=BOUNDS._replace(recovery_s=12.0),
        limits={0: NodeLimits(300.0, 4100)},
        begin_s=10.0,
        end_s=50.0,
        starts=(NodeEvent(0.0, 0),),
        readies=(NodeEvent(2.0, 0),),
        ends=(end(-11), end(-1, "SIGHUP")),
        usages=(NodeUsage(5.0, 0, 150.0, 2.0),),
        troubles=(TroubleSpan(1, "node_cut", ("all",), 12.0, float("inf"), (0,)),),
        answers=(Answer(20.0, True), Answer(30.0, False)),
        lines=(NodeLine(0, "started", STEPS), NodeLine(0, "usage", {"longest_hold_ms": 33.0})),
        early_signals=1,
    )
    return make_report(record, "some-sheet", PLAN)


# Guards against: a report that can't be written, or that leaves out what a finding needs.
def test_a_report_has_the_ends_apart_the_starts_and_what_was_left_out() -> None:
    found = json.loads(json.dumps(report(), allow_nan=False))
    assert (len(found["unasked_ends"]), len(found["early_signal_ends"])) == (1, 1)
    assert "signal 11" in found["unasked_ends"][0]
    assert "signal 1," in found["early_signal_ends"][0]
    assert found["starts"] == [{"node": 0} | STEPS]
    assert found["left_out"] == {"clock_step": "no clock"}
    assert found["troubles"][0]["end_s"] is None
    assert (found["seed"], found["final"], found["processes"]) == (7, "kill_all", 1)
    assert [each["promise"] for each in found["violations"]] == ["no_unasked_end"]


# Guards against: a line without the seed by which the day can be played again.
def test_a_days_line_names_its_seed_and_its_figures() -> None:
    line = day_line(report())
    for words in ("some-sheet seed-7", "1 unasked ends", "slowest start 2.0 s", "peak 152 of 300 MB"):
        assert words in line
    assert "0.500 of 2 tries served" in line


# Guards against: days of several sheets in one row, or rows that do not fit their head.
def test_the_table_has_a_row_for_each_sheet() -> None:
    other = DayReport(**(report() | {"sheet": "another"}))  # type: ignore[typeddict-item]
    table = markdown_table([report(), report(), other])
    rows = [line for line in table.splitlines() if line.startswith("|")]
    assert len({row.count("|") for row in rows}) == 1
    assert [row.split(" | ")[:2] for row in rows[2:]] == [["| another", "1"], ["| some-sheet", "2"]]
    assert "node_cut 3" in table
    assert "clock_step (no clock)" in table

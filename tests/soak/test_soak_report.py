"""Reports of a run: the chart is well-formed, and the reports of several runs add up."""

from pathlib import Path
from typing import Any
from xml.etree import ElementTree

from run_record import good, with_fault

from soak.checkers import check
from soak.judging import Violation
from soak.record import read_record
from soak.report import draw, summary, write_report
from soak.results import markdown, merge


def results() -> dict[str, Any]:
    record = with_fault(good(), "node_pause", 9.0, 10.0, 0)
    return summary(record, check(record), {"seed": 1, "minutes": 1.0, "nodes": 2, "peak": {}})


def test_the_picture_is_well_formed_and_shows_faults_and_violations() -> None:
    record = with_fault(good(), "node_pause", 9.0, 10.0, 0)
    picture = ElementTree.fromstring(draw(record, [Violation("at_most_once", 10.0, "<x> & y")]))
    titles = {each.text for each in picture.iter("title")}
    assert titles == {"node_pause (0,)", "at_most_once: <x> & y"}


def test_fault_counts_cases_during_it_and_within_contact_time() -> None:
    assert results()["injected"]["node_pause"]["at_most_once"] == [1, 1]
    assert results()["injected"]["node_pause"]["never_older"] == [0, 0]


def test_merge_adds_up_runs() -> None:
    merged = merge([results(), results()])
    assert (merged["minutes"], merged["faults"]) == (2.0, {"node_pause": 2})
    assert merged["faults_by_promise"]["node_pause"]["at_most_once"] == [2, 2]
    assert "| node_pause | 2 |" in markdown(merged)


def test_run_without_requests_still_has_a_report(tmp_path: Path) -> None:
    empty = read_record(tmp_path, good().layout, good().bounds)
    write_report(tmp_path, empty, check(empty), {"seed": 1})
    assert "no requests" in (tmp_path / "report.html").read_text()

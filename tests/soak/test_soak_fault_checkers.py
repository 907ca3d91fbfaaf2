"""The checkers of the rule FAULT find each broken promise in a written day, and nothing in a good one."""

import json
from pathlib import Path
from typing import Any

import pytest

from soak.fault_checkers import (
    check_faults,
    ended_by_early_signal,
    every_node_becomes_ready,
    longest_hold_ms,
    memory_within_limit,
    no_unasked_end,
    requests_served,
    rule_fault,
)
from soak.record import UnaskedEnd
from soak.site import SiteBounds
from soak.site_record import (
    Answer,
    NodeEvent,
    NodeLimits,
    NodeLine,
    NodeUsage,
    SiteEnd,
    SiteRecord,
    TroubleSpan,
    read_site_record,
)

RECOVERY_S = 12.0
BOUNDS = SiteBounds(**dict.fromkeys(SiteBounds._fields, 1.0))._replace(recovery_s=RECOVERY_S)
LIMITS = {0: NodeLimits(300.0, 4100), 1: NodeLimits(300.0, 4100)}


def good() -> SiteRecord:
    """Return a day of two nodes that become ready, serve, are killed and serve again."""
    return SiteRecord(
        bounds=BOUNDS,
        limits=LIMITS,
        begin_s=10.0,
        end_s=70.0,
        recovery_s=45.0,
        starts=(NodeEvent(0.0, 0), NodeEvent(0.0, 1), NodeEvent(45.0, 0), NodeEvent(45.0, 1)),
        readies=(NodeEvent(2.0, 0), NodeEvent(2.5, 1), NodeEvent(46.0, 0), NodeEvent(46.5, 1)),
        asked_ends=(NodeEvent(44.0, 0), NodeEvent(44.0, 1)),
        usages=(NodeUsage(5.0, 0, 150.0, 2.0), NodeUsage(5.0, 1, 160.0, 2.0)),
        answers=(Answer(20.0, True), Answer(30.0, False), Answer(60.0, True)),
    )


def end(status: int = -9, reason: str = "signal", node: int = 0, **more: Any) -> SiteEnd:
    return SiteEnd(UnaskedEnd(30.0, node, status, reason, ["last line"]), 123.0, 45, **more)


def details(record: SiteRecord, promise: str) -> list[str]:
    return [each.detail for each in check_faults(record)[promise].violations]


def without_second_ready(record: SiteRecord, node: int) -> SiteRecord:
    readies = tuple(each for each in record.readies if (each.node, each.at_s > 40) != (node, True))
    return record._replace(readies=readies)


# Guards against: a judge that finds faults in a day without any, or that checks nothing.
def test_a_day_without_faults_breaks_nothing_and_every_promise_is_checked() -> None:
    checked = check_faults(good())
    assert {name: len(each.cases_s) for name, each in checked.items()} == {
        "every_node_becomes_ready": 4,
        "no_unasked_end": 4,
        "memory_within_limit": 2,
        "requests_served": 2,
    }
    assert not [each for checks in checked.values() for each in checks.violations]
    assert rule_fault(good()) == []


# Guards against: a node that never becomes ready and is overlooked.
def test_a_node_that_never_becomes_ready_is_found() -> None:
    record = without_second_ready(good(), 1)
    assert details(record, "every_node_becomes_ready") == ["node 1 not ready 12.0 s on"]
    assert rule_fault(record) == ["node 1 not ready 12.0 s on"]


# Guards against: a start that is late only by a little and is overlooked, or counted while in time.
@pytest.mark.parametrize(("after_s", "found"), [(RECOVERY_S - 0.1, 0), (RECOVERY_S + 0.1, 1)])
def test_a_node_is_late_from_the_bound_on(after_s: float, found: int) -> None:
    record = without_second_ready(good(), 1)
    record = record._replace(readies=(*record.readies, NodeEvent(45.0 + after_s, 1)))
    assert len(every_node_becomes_ready(record).violations) == found


# Guards against: a start blamed on the node while the store or the node itself was disturbed.
@pytest.mark.parametrize(
    ("kind", "nodes", "excused"),
    [
        ("platform_down", (), True),
        ("platform_down", (1,), True),
        ("platform_down", (0,), False),
        ("node_freeze", (1,), True),
        ("node_freeze", (0,), False),
        ("srv_crash", (), False),
    ],
)
def test_a_late_start_is_excused_only_by_what_was_in_its_way(
    kind: str, nodes: tuple[int, ...], excused: bool
) -> None:
    trouble = TroubleSpan(1, kind, (), 44.0, 60.0, nodes)
    record = without_second_ready(good(), 1)._replace(troubles=(trouble,))
    assert len(every_node_becomes_ready(record).violations) == (0 if excused else 1)


# Guards against: a trouble that ended long ago and excuses a start for good.
def test_a_node_is_due_again_once_its_trouble_is_over() -> None:
    trouble = TroubleSpan(1, "platform_down", (), 46.0, 50.0)
    record = without_second_ready(good(), 1)._replace(troubles=(trouble,))
    assert details(record, "every_node_becomes_ready") == ["node 1 not ready 17.0 s on"]


# Guards against: a process killed on purpose before it was due and counted as not ready.
def test_a_process_that_was_killed_before_it_was_due_is_not_judged() -> None:
    record = without_second_ready(good(), 1)
    record = record._replace(asked_ends=(*record.asked_ends, NodeEvent(46.0, 1)))
    checked = every_node_becomes_ready(record)
    assert (len(checked.violations), len(checked.cases_s)) == (0, 3)


# Guards against: the end of a process told without what is known of it.
def test_an_unasked_end_tells_all_that_is_known() -> None:
    found = details(good()._replace(ends=(end(),)), "no_unasked_end")
    assert len(found) == 1
    for word in ("node 0", "signal 9", "123 MB", "45 descriptors", "last line"):
        assert word in found[0]


# Guards against: an end by a signal that met the interpreter's own start, mixed with the product's ends.
@pytest.mark.parametrize(
    ("status", "signals", "apart"),
    [(-1, ("SIGHUP",), True), (-15, ("SIGHUP",), False), (-1, (), False), (1, ("SIGHUP",), False)],
)
def test_only_an_end_by_a_signal_before_signals_were_held_is_counted_apart(
    status: int, signals: tuple[str, ...], apart: bool
) -> None:
    ended = end(status, early_signals=signals)
    assert ended_by_early_signal(ended) is apart
    assert len(no_unasked_end(good()._replace(ends=(ended,))).violations) == (0 if apart else 1)


# Guards against: memory of the kernel for a node's sockets that is left out of its limit.
def test_memory_over_the_limit_is_found_with_the_kernels_share() -> None:
    record = good()._replace(usages=(NodeUsage(5.0, 0, 290.0, 11.0), NodeUsage(6.0, 1, 290.0, 2.0)))
    assert details(record, "memory_within_limit") == ["node 0 used 301 MB of 300"]


# Guards against: a node killed over its limit between two samples.
def test_an_end_over_the_memory_limit_is_found() -> None:
    assert len(memory_within_limit(good()._replace(ends=(end(reason="memory"),))).violations) == 1


# Guards against: a day or a recovery in which nothing was served.
@pytest.mark.parametrize(("kept_s", "name"), [(60.0, "day"), (20.0, "recovery")])
def test_a_time_in_which_nothing_was_served_is_found(kept_s: float, name: str) -> None:
    answers = tuple(each._replace(served=each.asked_s == kept_s) for each in good().answers)
    found = requests_served(good()._replace(answers=answers)).violations
    assert [name in each.detail for each in found] == [True]


# Guards against: a rule that counts single ends, or overlooks machines that end again and again.
@pytest.mark.parametrize(("ends", "nodes", "found"), [(3, (0, 1), 1), (2, (0, 1), 0), (3, (0,), 0)])
def test_the_rule_counts_machines_that_ended_three_times(
    ends: int, nodes: tuple[int, ...], found: int
) -> None:
    record = good()._replace(ends=tuple(end(node=node) for node in nodes for _ in range(ends)))
    assert len(rule_fault(record)) == found


# Guards against: ends by early signals that are counted apart and so are missing where the rule counts all.
def test_the_rule_counts_ends_by_early_signals_too() -> None:
    ends = tuple(end(-1, node=node, early_signals=("SIGHUP",)) for node in (0, 1) for _ in range(3))
    record = good()._replace(ends=ends)
    assert no_unasked_end(record).violations == []
    assert len(rule_fault(record)) == 1


# Guards against: a stopped process whose pause is laid to its event loop.
def test_a_hold_counts_only_at_nodes_that_no_trouble_stopped() -> None:
    lines = tuple(NodeLine(node, "usage", {"longest_hold_ms": 100.0 * (node + 1)}) for node in (0, 1))
    record = good()._replace(lines=lines)
    assert longest_hold_ms(record) == 200.0
    frozen = record._replace(troubles=(TroubleSpan(1, "node_freeze", (), 20.0, 23.0, (1,)),))
    assert longest_hold_ms(frozen) == 100.0


# Guards against: logs of a day that are read wrongly, or a line cut off by a kill that ends the reading.
def test_a_days_logs_are_read(tmp_path: Path) -> None:
    events = [
        {"t": 1.0, "what": "node_started", "node": 0, "pid": 7, "first": True},
        {"t": 2.0, "what": "node_ready", "node": 0, "after_s": 1.0},
        {"t": 3.0, "what": "day_begin"},
        {"t": 3.5, "what": "node_usage", "node": 0, "memory_mb": 90.0, "kernel_mb": 1.0, "descriptors": 30},
        {"t": 4.0, "what": "fault", "number": 1, "kind": "node_slow", "how": []},
        {"t": 4.0, "what": "fault_targets", "number": 1, "nodes": [0]},
        {"t": 5.0, "what": "fault_end", "number": 1},
        {
            "t": 6.0,
            "what": "node_ended_unasked",
            "node": 0,
            "status": -1,
            "reason": "signal",
            "log": ["last"],
            "signals_in_start": ["SIGHUP"],
            "memory_mb": 80.0,
            "descriptors": 20,
        },
        {"t": 7.0, "what": "node_exited", "node": 0, "code": 0, "asked": True},
        {"t": 7.5, "what": "node_signal", "node": 0, "signal": "SIGHUP", "held": False},
        {"t": 7.6, "what": "node_signal", "node": 0, "signal": "SIGHUP", "held": True},
        {"t": 8.0, "what": "final_return"},
        {"t": 9.0, "what": "day_end"},
    ]
    lines = "".join(json.dumps(each) + "\n" for each in events)
    (tmp_path / "events-soak.jsonl").write_text(lines + '{"t": 10.0, "wh')
    answer = {"t": 5.1, "what": "answer", "asked_s": 5.0, "ending": "answered", "status": 200}
    probe = answer | {"route": "probe-3", "status": 404}
    (tmp_path / "events-callers.jsonl").write_text(f"{json.dumps(answer)}\n{json.dumps(probe)}\n")
    node_log = '{"event": "usage", "longest_hold_ms": 17.5}\n{"event": "usage", "longest'
    (tmp_path / "node-0.log").write_text(node_log)
    record = read_site_record(tmp_path, BOUNDS, LIMITS)
    assert (record.begin_s, record.recovery_s, record.end_s) == (3.0, 8.0, 9.0)
    assert (record.starts, record.readies) == ((NodeEvent(1.0, 0),), (NodeEvent(2.0, 0),))
    assert record.asked_ends == (NodeEvent(7.0, 0),)
    assert record.usages == (NodeUsage(3.5, 0, 90.0, 1.0, 30),)
    assert record.troubles == (TroubleSpan(1, "node_slow", (), 4.0, 5.0, (0,)),)
    assert record.answers == (Answer(5.0, True),)
    expected = SiteEnd(UnaskedEnd(6.0, 0, -1, "signal", ["last"]), 80.0, 20, ("SIGHUP",))
    assert record.ends == (expected,)
    assert record.early_signals == 1
    # The only line of a node is of one that was slowed down.
    assert [each.fields for each in record.lines] == [{"event": "usage", "longest_hold_ms": 17.5}]

"""Tests of ``bench/what_binds.py`` on an excerpt of node logs."""

from what_binds import count_by_window, experience_rows, group_by_experience, read, table

EXCERPT = """
starting the day
   4.1000 n1 {"request": "r1", "status": 200, "outcome": "answered", "event": "request_ended"}
   4.2000 n1 {"request": "r2", "instance": "i-1", "reason": "shed", "event": "attempt_failed"}
   4.3000 n1 {"request": "r2", "status": 502, "missing": ["s1", "s2"], "event": "request_ended"}
   5.0 n2 {"request": "r3", "late": true, "waited_ms": 4.0, "missing": ["s1"], "event": "request_ended"}
   5.1000 n2 {"request": "r4", "service": "s1", "cause": "hedge", "event": "budget_spent"}
   5.2000 n2 {"request": "r4", "status": 200, "late": true, "event": "request_ended"}
   6.5000 n2 {"request": "r5", "status": 503, "outcome": "not_ready", "event": "request_ended"}
   6.6000 n2 {"request": "r6", "status": 404, "outcome": "unknown_service", "event": "request_ended"}
   6.7000 n2 {"truncated": "li
""".splitlines()


def test_late_and_failed_requests_are_counted_by_window_and_cause() -> None:
    found, missing = count_by_window(list(read(EXCERPT)), 2.0)
    assert dict(found[4.0].ended) == {"in time": 1, "failed": 1, "late": 2}
    assert dict(found[4.0].causes) == {
        "failed: full servers": 1,
        "late: waited for room at slow servers": 1,
        "late: budget of extra attempts": 1,
    }
    assert dict(found[6.0].causes) == {"failed: node just started": 1}
    assert dict(missing) == {"s1": 2, "s2": 1}


def test_table_has_one_row_per_window() -> None:
    rows = table(list(read(EXCERPT)), 2.0)
    assert [row.split()[0] for row in rows[1:3]] == ["4", "6"]
    assert rows[-1].endswith("s1 2, s2 1")


def test_line_without_a_leading_time_is_placed_by_its_timestamp() -> None:
    line = '{"request": "r1", "status": 200, "event": "request_ended", "timestamp": "2026-01-01T00:00:05Z"}'
    (start_s,) = count_by_window(list(read([line])), 10.0)[0]
    assert start_s % 10 == 0


def test_first_wide_request_of_a_node_is_grouped_apart_from_later_ones() -> None:
    wide = '{"request": "r", "status": 200, "ms": %s, "covered": %s, "asked": 10, "event": "request_ended"}'
    lines = [
        "1.0 n1 " + wide % (120, 8),
        "2.0 n2 " + wide % (100, 10),
        "3.0 n1 " + wide % (70, 10),
        '4.0 n1 {"request": "x", "status": 200, "ms": 9, "covered": 1, "asked": 1, "event": "request_ended"}',
    ]
    found = group_by_experience(read(lines))
    assert found[0].milliseconds == [120, 100]
    assert found[1].milliseconds == [70]
    assert [row.split() for row in experience_rows(found)[1:]] == [
        ["0", "2", "1.00", "110.0", "0.900"],
        ["1", "1", "1.00", "70.0", "1.000"],
    ]

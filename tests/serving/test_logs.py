"""Logging never blocks: lines that do not fit are dropped, counted and reported."""

import json
import os

from yokesill import logs


def read_all(descriptor: int) -> list[dict[str, object]]:
    data = b""
    while True:
        try:
            chunk = os.read(descriptor, 65536)
        except BlockingIOError:
            break
        if not chunk:
            break
        data += chunk
    return [json.loads(line) for line in data.splitlines()]


def test_log_flood_is_bounded_and_dropped_lines_are_reported() -> None:
    read_end, write_end = os.pipe()
    os.set_blocking(read_end, False)
    os.set_blocking(write_end, False)
    output = logs.LogOutput(write_end, limit_bytes=100_000)
    for number in range(20_000):
        output.write(json.dumps({"event": "flood", "number": number}))
    assert output.dropped > 0
    lines: list[dict[str, object]] = []
    for _ in range(100):
        lines += read_all(read_end)
        output.flush()
    reported = sum(int(str(line["count"])) for line in lines if line["event"] == "log_lines_dropped")
    written = [line["number"] for line in lines if line["event"] == "flood"]
    assert reported == output.dropped
    assert len(written) + reported == 20_000
    assert written == sorted(written)  # type: ignore[type-var]
    os.close(read_end)
    os.close(write_end)


def test_write_to_a_closed_reader_raises_no_error() -> None:
    read_end, write_end = os.pipe()
    os.close(read_end)
    output = logs.LogOutput(write_end)
    output.write("{}")
    os.close(write_end)


def test_lines_for_a_closed_reader_count_as_dropped() -> None:
    read_end, write_end = os.pipe()
    os.close(read_end)
    output = logs.LogOutput(write_end)
    for _ in range(3):
        output.write("{}")
    os.close(write_end)
    assert output.dropped == 3


def test_lines_are_json_objects_with_component_level_and_time() -> None:
    read_end, write_end = os.pipe()
    os.set_blocking(read_end, False)
    logs.configure("info", logs.LogOutput(write_end))
    logs.get_logger("requests").info("request_ended", request="r1", ms=1.5)
    logs.get_logger("requests").debug("not_shown")
    (line,) = read_all(read_end)
    assert {name: line[name] for name in ("event", "component", "level", "request", "ms")} == {
        "event": "request_ended",
        "component": "requests",
        "level": "info",
        "request": "r1",
        "ms": 1.5,
    }
    os.close(read_end)
    os.close(write_end)

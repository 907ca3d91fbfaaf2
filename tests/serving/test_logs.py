"""Logs never hold anybody up: what does not fit is dropped, counted and told."""

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


def test_a_flood_is_bounded_and_the_dropped_lines_are_told() -> None:
    reading, writing = os.pipe()
    os.set_blocking(reading, False)
    os.set_blocking(writing, False)
    output = logs.LogOutput(writing, limit_bytes=100_000)
    for number in range(20_000):
        output.write(json.dumps({"event": "flood", "number": number}))
    assert output.dropped > 0
    lines: list[dict[str, object]] = []
    for _ in range(100):
        lines += read_all(reading)
        output.flush()
    told = sum(int(str(line["count"])) for line in lines if line["event"] == "log_lines_dropped")
    written = [line["number"] for line in lines if line["event"] == "flood"]
    assert told == output.dropped
    assert len(written) + told == 20_000
    assert written == sorted(written)  # type: ignore[type-var]
    os.close(reading)
    os.close(writing)


def test_a_reader_that_went_away_is_no_error() -> None:
    reading, writing = os.pipe()
    os.close(reading)
    output = logs.LogOutput(writing)
    output.write("{}")
    os.close(writing)


def test_what_a_reader_that_went_away_never_got_counts_as_dropped() -> None:
    reading, writing = os.pipe()
    os.close(reading)
    output = logs.LogOutput(writing)
    for _ in range(3):
        output.write("{}")
    os.close(writing)
    assert output.dropped == 3


def test_lines_are_json_objects_with_component_level_and_time() -> None:
    reading, writing = os.pipe()
    os.set_blocking(reading, False)
    logs.configure("info", logs.LogOutput(writing))
    logs.get_logger("requests").info("request_ended", request="r1", ms=1.5)
    logs.get_logger("requests").debug("not_shown")
    (line,) = read_all(reading)
    assert {name: line[name] for name in ("event", "component", "level", "request", "ms")} == {
        "event": "request_ended",
        "component": "requests",
        "level": "info",
        "request": "r1",
        "ms": 1.5,
    }
    os.close(reading)
    os.close(writing)

"""What a node's log tells afterwards of a start that waits, and of what it took before its end."""

import json
import time

from conftest import Surroundings
from node_process import Node

STEPS = ("signals_held_ms", "settings_read_ms", "listening_ms", "ready_ms")


def lines(node: Node, event: str) -> list[dict[str, object]]:
    """Return the node's log lines of one event."""
    text = (node.folder / "node.out").read_text()
    return [line for line in map(json.loads, text.splitlines()) if line["event"] == event]


def wait_for_lines(node: Node, event: str, count: int, timeout_s: float = 15.0) -> list[dict[str, object]]:
    """Return the lines of an event once there are ``count``."""
    end_s = time.monotonic() + timeout_s
    while len(found := lines(node, event)) < count:
        assert time.monotonic() < end_s, node.output()
        time.sleep(0.05)
    return found


def test_start_that_waits_tells_what_for(node: Node, around: Surroundings) -> None:
    # Guards against: a node that never becomes ready leaves one line and then nothing.
    configuration = around.store.items.pop(("config", "main"))
    node.start()
    waits = wait_for_lines(node, "start_waits", 2)
    assert [each["waits_for"] for each in waits[:2]] == [["configuration"], ["configuration"]]
    around.store.put("config", "main", configuration["spec"])
    node.wait_until_ready()


def test_start_tells_when_each_step_was_reached(node: Node) -> None:
    # Guards against: nobody can tell afterwards how long a start was open to signals, or where it was slow.
    node.start().wait_until_ready()
    (started,) = wait_for_lines(node, "started", 1)
    times_ms = [started[step] for step in STEPS]
    assert times_ms == sorted(times_ms)  # type: ignore[type-var]
    assert times_ms[0] > 0  # type: ignore[operator]


def test_last_lines_tell_memory_descriptors_and_longest_hold(node: Node) -> None:
    # Guards against: a kill by the machine for its memory looks like any other end.
    node.start().wait_until_ready()
    (usage, *_) = wait_for_lines(node, "usage", 1)
    assert node.stop() == 0
    (stopped,) = lines(node, "stopped")
    for line in (usage, stopped):
        assert 10_000_000 < line["memory_bytes"] < line["memory_limit_bytes"] == 200_000_000  # type: ignore[operator]
        assert 5 < line["descriptors"] < line["descriptors_limit"] == 4100  # type: ignore[operator]
        assert line["longest_hold_ms"] >= 0  # type: ignore[operator]

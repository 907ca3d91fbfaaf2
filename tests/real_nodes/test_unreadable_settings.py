"""An optional field of the settings that can't be read costs that field alone, at a start and in a reload."""

import re
import signal
import time

import pytest
from node_process import HOST, Node, call

OPTIONAL_NUMBERS = (
    "limits.cpuShare", "limits.cpuCores", "limits.memoryMb", "limits.maxFds", "bounds.retryBudgetRatio",
    "bounds.retrySlack", "bounds.retryWindowS", "bounds.configApplyMs", "bounds.drainMs", "bounds.contactMs",
    "bounds.evacuateMs", "bounds.warmupOvershoot", "bounds.warmupSlack", "bounds.canaryShare",
    "bounds.canarySlack", "bounds.rollbackMs", "bounds.graceS",
)  # fmt: skip
WRONG_VALUES = ('""', "true", "false", "-1", "[]", '"text"', "nan")
# Readable, but less than a process takes before its first request, or no time to answer anybody in.
TOO_SMALL = [
    ("limits.memoryMb", "0"),
    ("limits.memoryMb", "1"),
    ("limits.maxFds", "0"),
    ("bounds.graceS", "0"),
]
GAUGE = "yokesill_settings_not_understood"


def settings_with(node: Node, fields: dict[str, str]) -> str:
    """Return the node's settings with the TOML of some fields, which are given by their places."""
    text = node.settings_text().replace('"platform"]', '"platform", "places", "rollout"]')
    for place, value in fields.items():
        table, _, name = place.rpartition(".")
        text = re.sub(rf"^{name} = .*\n", "", text, flags=re.MULTILINE)
        line = f"{name} = {value}\n"
        text = text.replace(f"[{table}]\n", f"[{table}]\n{line}") if table else line + text
    return text


def gauge(node: Node) -> float:
    """Return the number of fields that the node tells it didn't understand."""
    text = call(node.ready_port, "GET", "/metrics", {}, 2.0).body.decode()
    return float(next(line.split()[1] for line in text.splitlines() if line.startswith(f"{GAUGE} ")))


def told_places(node: Node) -> set[str]:
    """Return the places that the node's last line about them names."""
    return {each.partition(": ")[0] for each in node.events("settings_not_understood")[-1]["problems"]}


def reload_settings(node: Node, fields: dict[str, str]) -> None:
    """Write the settings with some fields, and return once the node has read them."""
    before = len(node.events("settings_reloaded"))
    node.write_settings(settings_with(node, fields))
    node.send_signal(signal.SIGHUP)
    end_s = time.monotonic() + 5.0
    while len(node.events("settings_reloaded")) == before:
        assert time.monotonic() < end_s, node.output()
        time.sleep(0.05)


@pytest.mark.parametrize("value", WRONG_VALUES)
def test_node_starts_and_serves_whatever_its_optional_fields_hold(value: str, node: Node) -> None:
    # Guards against: one optional field that can't be read ends each start, on every node that gets these
    # settings, with code 3 after 10 s.
    fields = dict.fromkeys(OPTIONAL_NUMBERS, value)
    fields |= {"seedNodes": f'[{value}, "{HOST}:{node.control}", 5]'}
    node.write_settings(settings_with(node, fields))
    node.start().wait_until_ready()
    assert node.ask().status == 200
    assert told_places(node) == {*OPTIONAL_NUMBERS, "seedNodes.0", "seedNodes.2"}
    assert gauge(node) == len(OPTIONAL_NUMBERS) + 2
    assert node.stop() == 0


@pytest.mark.parametrize("value", ["5", '"text"', "[5]"])
def test_node_starts_and_serves_whatever_its_optional_lists_tables_and_addresses_hold(
    value: str, node: Node
) -> None:
    # Guards against: the same for fields that are no numbers; without them a node runs, if with less.
    places = ["seedNodes", "portRange", "zones", "ip", "listenAddrs.control"]
    text = re.sub(r"\[zones\]\n.*\n", "", settings_with(node, dict.fromkeys(places, value)))
    node.write_settings(text)
    node.start().wait_until_ready()
    assert node.ask().status == 200
    assert told_places(node) >= {"portRange", "zones", "listenAddrs.control"}
    assert node.stop() == 0


@pytest.mark.parametrize(("place", "value"), TOO_SMALL)
def test_limit_that_no_process_could_keep_is_not_taken(place: str, value: str, node: Node) -> None:
    # Guards against: memoryMb = 0 closes every connection, so that no probe finds the node ready; with one
    # MB, or no descriptors, a few callers at once are closed; graceS = 0 cuts off what is in flight.
    node.write_settings(settings_with(node, {place: value}))
    node.start().wait_until_ready()
    assert node.ask().status == 200
    assert told_places(node) == {place}
    assert node.stop() == 0


def test_reload_keeps_what_an_unreadable_field_held_before(node: Node) -> None:
    # Guards against: a reload with one unreadable field is rejected as a whole, or sets the field to its
    # default while the node runs.
    node.write_settings(settings_with(node, {"bounds.retrySlack": "7", "bounds.drainMs": "2500"}))
    node.start().wait_until_ready()
    assert gauge(node) == 0
    seed = f'"{HOST}:{node.front}"'
    reload_settings(
        node, {"bounds.retrySlack": '"x"', "bounds.drainMs": "[]", "seedNodes": f'[{seed}, "nowhere"]'}
    )
    # The seed that can be read is taken; the budget and the bound stay.
    assert node.events("settings_reloaded")[-1]["changed"] == ["seeds"]
    assert told_places(node) == {"bounds.retrySlack", "bounds.drainMs", "seedNodes.1"}
    assert gauge(node) == 3
    reload_settings(node, {"bounds.retrySlack": "7", "bounds.drainMs": "2500", "seedNodes": f"[{seed}]"})
    assert node.events("settings_reloaded")[-1]["changed"] == []
    assert gauge(node) == 0
    assert node.ask().status == 200
    assert node.stop() == 0


def test_line_about_fields_that_are_not_understood_is_bounded(node: Node) -> None:
    # Guards against: a long list of seeds that can't be read fills the log, and its buffer.
    node.write_settings(settings_with(node, {"seedNodes": "[" + '"x", ' * 20_000 + "]"}))
    node.start().wait_until_ready()
    (line,) = node.events("settings_not_understood")
    assert line["count"] == gauge(node) == 20_000
    assert len(str(line)) < 10_000

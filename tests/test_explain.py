"""Tests of ``yokesill explain``: the log lines of one request, from the logs of several nodes."""

import json
from pathlib import Path

from cleo.testers.command_tester import CommandTester

from yokesill.cli.explain import ExplainCommand, lines_about, read_lines


def line(time: str, event: str, **fields: object) -> str:
    return json.dumps({"event": event, "timestamp": f"2026-01-01T00:00:{time}Z", **fields})


NODE_1 = [
    line("01", "server_state", instance="i-1", service="s1", state="ejected"),
    line("02", "server_state", instance="i-2", service="s2", state="ejected"),
    line("04", "attempt_added", request="r1", instance="i-3", cause="hedge"),
    line("05", "request_ended", request="r1", outcome="partial", missing=["s1"]),
    line("06", "server_state", instance="i-1", service="s1", state="cold"),
]
NODE_2 = [f" 12.5 node-2 {line('03', 'request_ended', request='r0', outcome='answered')}", "not JSON"]


def test_lines_of_a_request_include_the_last_states_of_its_servers() -> None:
    lines = [*read_lines("node-1", NODE_1), *read_lines("x", NODE_2)]
    assert [each.event for each in lines_about(lines, "r1")] == [
        "server_state",
        "attempt_added",
        "request_ended",
    ]
    assert lines_about(lines, "r1")[0].fields["instance"] == "i-1"
    assert [each.source for each in lines_about(lines, "r0")] == ["node-2"]


def test_lines_of_a_canary_request_include_the_roll_out_state_of_its_node() -> None:
    lines = [
        line("01", "rollout_obeyed", service="s4", target="v2", state="canary"),
        line(
            "02",
            "attempt_added",
            request="r4",
            instance="i-4",
            service="s4",
            cause="canary",
            server_version="v2",
        ),
        line("03", "request_ended", request="r4", outcome="answered"),
    ]
    found = lines_about(read_lines("node-1", lines), "r4")
    assert [each.event for each in found] == ["rollout_obeyed", "attempt_added", "request_ended"]


def test_command_prints_the_lines_or_an_error(tmp_path: Path) -> None:
    file = tmp_path / "node-1.log"
    file.write_text("\n".join(NODE_1))
    tester = CommandTester(ExplainCommand())
    assert tester.execute(f"r1 {file}") == 0
    assert "outcome=partial" in tester.io.fetch_output()
    assert tester.execute(f"r9 {file}") != 0
    assert "r9" in tester.io.fetch_error()
    assert tester.execute(f"r1 {tmp_path / 'none'}") != 0


def test_lines_of_a_partial_answer_include_the_states_of_left_out_services() -> None:
    ended = line("07", "request_ended", request="r2", outcome="partial", left_out=["s2"], waited_ms=80.0)
    found = lines_about(read_lines("node-1", [*NODE_1, ended]), "r2")
    assert [each.fields.get("instance") for each in found] == ["i-2", None]

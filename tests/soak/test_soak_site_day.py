"""A short day of a small sheet, played with real processes."""

import asyncio
import json
import signal
import subprocess
import sys
import time
import tomllib
from collections import Counter
from pathlib import Path
from typing import Any

import pytest

from soak.processes import ROOT
from soak.sheet import read_sheet
from soak.site import Trouble
from soak.site_day import SiteDay
from soak.site_layout import SiteLayout
from soak.site_nodes import NodeProcess
from soak.site_plan import DayPlan, PlannedTrouble
from soak.site_run import DayTerms, day_of, play_day, problems_of

SHEET = Path(__file__).with_name("small_site.toml")
SECONDS, LIMIT_S, END_LIMIT_S = 5.0, 60.0, 5.0
KILLED, STOPPED, SPARE = 0, 1, 3
MIN_SERVED_SHARE = 0.7


async def strike(day: SiteDay, planned: PlannedTrouble) -> None:
    """Bring about what the kind names, by the methods that the day offers to its troubles."""
    match planned.trouble.kind:
        case "kill":
            await day.kill_node(KILLED)
            await day.start_node(KILLED)
        case "stop":
            await day.stop_node(STOPPED)
            await day.start_node(STOPPED)
        case "join":
            assert day.spare_nodes() == [SPARE]
            await day.start_node(SPARE)
        case "reload":
            day.rewrite_settings(KILLED, cpuShare=0.45)
            day.signal_node(KILLED, signal.SIGHUP)
        case "reshard":
            await day.reshard(0.5)
        case "fail":
            raise RuntimeError("a trouble that fails")


def events_of(folder: Path, name: str) -> list[dict[str, Any]]:
    return [json.loads(line) for line in (folder / f"events-{name}.jsonl").read_text().splitlines()]


async def play(folder: Path) -> None:
    site = read_sheet(SHEET)
    kinds = {"reshard": 0.2, "kill": 0.5, "join": 1.0, "reload": 1.5, "fail": 1.6, "stop": 2.0}
    troubles = tuple(
        PlannedTrouble(number, at_s, number, Trouble(kind))
        for number, (kind, at_s) in enumerate(kinds.items())
    )
    day = SiteDay(SiteLayout(site), SHEET, day_of(site, 1, "busy-1"), 1, folder)
    try:
        await day.start()
        await day.play(DayPlan("test", 1, SECONDS, troubles, None), strike)
    finally:
        await day.end()


@pytest.fixture(scope="module")
def played(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """Return the folder of the logs of the day."""
    folder = tmp_path_factory.mktemp("day")
    asyncio.run(asyncio.wait_for(play(folder), LIMIT_S))
    return folder


# Guards against: nodes that the day does not start, or starts without knowing whether they became ready.
def test_all_nodes_start_and_become_ready_and_so_does_the_spare_one(
    played: Path,
) -> None:
    events = events_of(played, "soak")
    started = Counter((each["node"], each["first"]) for each in events if each["what"] == "node_started")
    assert started == {
        (0, True): 1,
        (1, True): 1,
        (2, True): 1,
        (KILLED, False): 1,
        (STOPPED, False): 1,
        (SPARE, False): 1,
    }
    ready = Counter(each["node"] for each in events if each["what"] == "node_ready")
    assert ready == {KILLED: 2, STOPPED: 2, 2: 1, SPARE: 1}


# Guards against: an end that the day brought about and takes for the node's own, or the other way round.
def test_ends_that_the_day_brought_about_are_recorded_as_asked(
    played: Path,
) -> None:
    events = events_of(played, "soak")
    assert [each for each in events if each["what"] == "node_ended_unasked"] == []
    end_s = next(each["t"] for each in events if each["what"] == "day_end")
    ends = [each for each in events if each["what"] == "node_exited" and each["t"] < end_s]
    assert sorted((each["node"], each["code"]) for each in ends) == [(KILLED, -9), (STOPPED, 0)]


# Guards against: days without late seeds, and machines that found the system anew at a later start.
def test_settings_come_with_late_seeds_and_one_bootstrap(played: Path) -> None:
    never_ended = tomllib.loads((played / "node-2.toml").read_text())
    last = tomllib.loads((played / f"node-{KILLED}.toml").read_text())
    assert never_ended["bootstrap"] is True
    assert last["bootstrap"] is False
    assert last["seedNodes"] == list(SiteLayout(read_sheet(SHEET), int(last["ip"].split(".")[1])).seeds())
    assert last["limits"]["cpuShare"] == 0.45


# Guards against: a day whose clients, servers and operator don't reach the nodes.
def test_traffic_is_served_by_both_cuts_of_the_index(played: Path) -> None:
    answers = [each for each in events_of(played, "callers") if each["what"] == "answer"]
    searches = [each for each in answers if each["route"] == "search"]
    served = [each for each in searches if each["status"] == 200]
    assert len(served) >= MIN_SERVED_SHARE * len(searches) > 10
    arrived = Counter(
        each["service"].split("~")[0] for each in events_of(played, "servers") if each["what"] == "arrived"
    )
    assert arrived["catalogue"] > 0
    assert arrived["catalogue-new"] > 0


# Guards against: memory and descriptors that nobody sees.
def test_usage_of_each_node_is_recorded(played: Path) -> None:
    usage = [each for each in events_of(played, "soak") if each["what"] == "node_usage"]
    assert {each["node"] for each in usage} == {0, 1, 2, SPARE}
    assert all(0 < each["memory_mb"] < 300 and each["descriptors"] > 0 for each in usage)


# Guards against: a trouble that fails unseen, or that ends the day.
def test_failed_trouble_is_a_problem_of_the_soak(played: Path) -> None:
    assert problems_of(played) == ("RuntimeError('a trouble that fails')",)


# Guards against: many days that end with the first one that can't be played.
def test_day_that_breaks_off_is_reported_and_does_not_raise(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def fail(day: SiteDay) -> None:
        raise RuntimeError("no stand-in")

    monkeypatch.setattr(SiteDay, "start", fail)
    outcome = asyncio.run(play_day(SHEET, 1, tmp_path, DayTerms()))
    assert outcome.problems == ("broken off: RuntimeError('no stand-in')",)
    assert outcome.failed


# Guards against: nodes that run on, with their ports and memory, after the soak was killed.
def test_nodes_end_with_the_soak() -> None:
    program = (
        "import os, subprocess\n"
        "from soak.site_nodes import prepare\n"
        "sleep = ['sleep', '100']\n"
        "child = subprocess.Popen(sleep, preexec_fn=lambda: prepare(100), stdout=subprocess.DEVNULL)\n"
        "print(child.pid, flush=True)\n"
        "os.kill(os.getpid(), 9)\n"
    )
    ended = subprocess.run([sys.executable, "-c", program], stdout=subprocess.PIPE, cwd=ROOT, check=False)
    path = Path(f"/proc/{int(ended.stdout)}/cmdline")
    deadline_s = time.monotonic() + END_LIMIT_S
    while path.exists() and path.read_bytes():
        assert time.monotonic() < deadline_s
        time.sleep(0.01)


def test_signal_to_a_process_that_has_ended_does_not_take_its_status() -> None:
    # Guards against: a node that was killed, and then sent a signal, is taken for one that ended by itself.
    async def end_and_signal() -> int:
        command = (sys.executable, "-S", "-c", "import time; time.sleep(9)")
        node = NodeProcess(await asyncio.create_subprocess_exec(*command))
        node.send(signal.SIGKILL)
        end_s = time.monotonic() + 0.1
        while time.monotonic() < end_s:
            node.send(signal.SIGHUP)
        return await node.wait()

    statuses = [asyncio.run(end_and_signal()) for _ in range(10)]
    assert statuses == [-signal.SIGKILL] * 10

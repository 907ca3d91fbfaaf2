"""Each trouble of a plan reaches the processes and stand-ins that it strikes, and is over when it ends."""

import asyncio
import itertools
import signal
from pathlib import Path
from typing import Any, cast

import pytest
from site_values import BOUNDS, site

from soak.site import Trouble
from soak.site_day import SiteDay
from soak.site_faults import TroublePlayer
from soak.site_layout import SiteNode, SiteServer
from soak.site_plan import KINDS, REWRITTEN, PlannedTrouble, Support
from soak.site_record import NodeLimits, read_site_record
from soak.standin import EventLog

NODES, SERVERS = 4, 6
NUMBERS = itertools.count(1)


class Layout:
    """The places of a small deployment: nodes of two zones, and servers of one group of three copies."""

    site = site()

    def nodes(self) -> tuple[SiteNode, ...]:
        zones = ("east", "west")
        return tuple(
            SiteNode(n, f"n{n}", zones[n % 2], "r", "127.0.0.1", 300, 100, 1, 1.0, 1.0, spare=n == NODES - 1)
            for n in range(NODES)
        )

    def servers(self) -> tuple[SiteServer, ...]:
        return tuple(
            SiteServer(slot, f"g~{slot // 2}", "g", "east", "127.0.0.1", later=False)
            for slot in range(SERVERS)
        )


class Day:
    """Takes the calls of a trouble down; nodes start and end at once."""

    def __init__(self, folder: Path) -> None:
        self.layout = Layout()
        self.log = EventLog(folder / "events-soak.jsonl")
        self.calls: list[tuple[Any, ...]] = []
        self.running = set(range(NODES - 1))

    def running_nodes(self) -> list[int]:
        return sorted(self.running)

    def spare_nodes(self) -> list[int]:
        return [NODES - 1]

    async def start_node(self, node: int) -> None:
        self.calls.append(("start", node))
        self.running.add(node)

    async def kill_node(self, node: int) -> None:
        self.calls.append(("kill", node))
        self.running.discard(node)

    async def stop_node(self, node: int) -> None:
        self.calls.append(("stop", node))
        self.running.discard(node)

    def signal_node(self, node: int, number: signal.Signals) -> None:
        self.calls.append((number.name, node))

    def rewrite_settings(self, node: int, **changes: Any) -> None:
        self.calls.append(("rewrite", node))

    async def change_configuration(self, how: str, extra_routes: int = 0) -> None:
        self.calls.append(("change", how, extra_routes))

    async def reshard(self, delay_s: float) -> None:
        self.calls.append(("reshard", delay_s))

    def servers_command(self, **command: Any) -> None:
        self.calls.append(("servers", command))

    def store_command(self, **command: Any) -> None:
        self.calls.append(("store", command))

    def callers_command(self, **command: Any) -> None:
        self.calls.append(("callers", command))

    def network(self, link: str, mode: str) -> None:
        self.calls.append(("network", link, mode))

    def kinds(self) -> list[Any]:
        return [each[0] for each in self.calls]


def planned(kind: str, **fields: Any) -> PlannedTrouble:
    return PlannedTrouble(next(NUMBERS), 0.0, 5, Trouble(kind, **fields))


def play(day: Day, *troubles: PlannedTrouble, gap_s: float = 0.0) -> Day:
    """Bring troubles about, each ``gap_s`` after the one before, and wait for their ends."""
    player = TroublePlayer()

    async def bring_about(index: int, each: PlannedTrouble) -> None:
        await asyncio.sleep(index * gap_s)
        await player.bring_about(cast("SiteDay", day), each)

    async def scenario() -> None:
        async with asyncio.timeout(20):
            await asyncio.gather(*(bring_about(index, each) for index, each in enumerate(troubles)))

    asyncio.run(scenario())
    return day


# Guards against: a kind that is planned as playable and that nothing plays.
def test_every_playable_kind_has_a_play_and_no_other_has_one() -> None:
    playable = {kind for kind, each in KINDS.items() if each.support is not Support.LEFT_OUT}
    assert set(TroublePlayer()._plays()) == playable


# Guards against: nodes that a trouble leaves dead, stopped or cut off when it is over.
@pytest.mark.parametrize("kind", ["node_kill", "herd_kill", "roll_term", "after_ack_kill"])
def test_nodes_that_a_trouble_ended_run_again_afterwards(kind: str, tmp_path: Path) -> None:
    day = play(Day(tmp_path), planned(kind, share=1.0, for_s=0.05, gap_s=0.01))
    ended = [node for what, node, *_ in day.calls if what in ("kill", "stop")]
    assert ended
    assert day.running == set(range(NODES - 1))


# Guards against: a node that one trouble starts while another one holds it down.
def test_a_node_comes_back_only_when_the_last_trouble_that_holds_it_is_over(tmp_path: Path) -> None:
    troubles = (planned("node_kill", share=1.0, for_s=0.4), planned("herd_kill", share=1.0, for_s=0.1))
    day = play(Day(tmp_path), *troubles, gap_s=0.1)
    assert day.kinds().count("start") == NODES - 1


# Guards against: a node that is to be killed again and again and gets the time to become ready.
def test_a_node_is_killed_again_while_it_starts(tmp_path: Path) -> None:
    class SlowDay(Day):
        async def start_node(self, node: int) -> None:
            await super().start_node(node)
            await asyncio.sleep(3.0)

    day = play(SlowDay(tmp_path), planned("node_kill", how=("hard",), targets=1, for_s=0.05))
    assert [what for what in day.kinds() if what in ("kill", "start")] == ["kill", "start"] * 3


# Guards against: processes that stay stopped after a freeze or slowness.
@pytest.mark.parametrize("kind", ["node_freeze", "node_slow"])
def test_stopped_processes_go_on(kind: str, tmp_path: Path) -> None:
    day = play(Day(tmp_path), planned(kind, targets=1, for_s=0.1, factor=2.0))
    assert day.kinds()[0] == "SIGSTOP"
    assert day.kinds()[-1] == "SIGCONT"


# Guards against: a reload without the settings rewritten before it.
def test_settings_are_rewritten_before_the_reload(tmp_path: Path) -> None:
    day = play(Day(tmp_path), planned("hup", how=(REWRITTEN,), targets=1, gap_s=0.01))
    assert day.kinds() == ["rewrite", "SIGHUP"]


# Guards against: a store, link or server that stays in a fault, or is out of it while a later one lasts.
@pytest.mark.parametrize(
    ("kind", "how", "what"),
    [
        ("platform_down", ("silent",), "store"),
        ("platform_slow", (), "store"),
        ("platform_lost", (), "store"),
        ("node_cut", (), "network"),
        ("srv_slow", ("all", "across"), "servers"),
        ("answer_lost", ("all", "across"), "servers"),
    ],
)
def test_the_later_of_two_troubles_decides_and_its_end_is_the_end(
    kind: str, how: tuple[str, ...], what: str, tmp_path: Path
) -> None:
    troubles = [planned(kind, how=how, share=1.0, for_s=0.2) for _ in range(2)]
    day = play(Day(tmp_path), *troubles, gap_s=0.1)
    modes = [each[2] if what == "network" else each[1]["mode"] for each in day.calls if each[0] == what]
    faults = [mode for mode in modes if mode != "sound"]
    sound = [mode for mode in modes if mode == "sound"]
    assert modes[-1] == "sound"
    assert modes[: len(faults)] == faults
    assert len(faults) >= len(sound)


# Guards against: clients that go on giving up, moving or repeating when the trouble is over.
@pytest.mark.parametrize(
    ("kind", "word", "sound"),
    [("burst", "factor", 1.0), ("give_up", "give_up", 0.0), ("retry_abuse", "abuse", 0.0)],
)
def test_clients_are_as_before_when_their_trouble_is_over(
    kind: str, word: str, sound: float, tmp_path: Path
) -> None:
    day = play(Day(tmp_path), planned(kind, share=0.4, factor=2.0, for_s=0.05))
    assert [what for what, _ in day.calls] == ["callers", "callers"]
    assert day.calls[0][1][word] > sound
    assert day.calls[1][1] == {word: sound}


# Guards against: traffic that moves to the zone that it comes from, or does not come back.
def test_shifted_traffic_goes_to_another_zone_and_comes_back(tmp_path: Path) -> None:
    day = Day(tmp_path)
    day.layout.site = site()._replace(zones={"east": "r", "west": "r"})
    begin, end = (command for _, command in play(day, planned("shift", share=0.5, for_s=0.05)).calls)
    assert {begin["from"], begin["to"]} == {"east", "west"}
    assert (begin["shift"], end["shift"]) == (0.5, 0.0)


# Guards against: a fault of the store for some nodes that strikes all.
def test_a_store_fault_of_some_nodes_names_them(tmp_path: Path) -> None:
    day = play(Day(tmp_path), planned("platform_down", how=("nodes", "busy"), targets=2, for_s=0.05))
    command = next(each[1] for each in day.calls if each[0] == "store")
    assert command["mode"] == "throttled"
    assert len(command["nodes"]) == 2


# Guards against: a trouble of a share of servers that leaves none of them, unless all are to be struck.
@pytest.mark.parametrize(("how", "struck"), [(("across",), SERVERS - 1), (("across", "all"), SERVERS)])
def test_one_server_is_spared_unless_all_are_named(how: tuple[str, ...], struck: int, tmp_path: Path) -> None:
    day = play(Day(tmp_path), planned("srv_crash", how=how, share=1.0, for_s=0.05))
    assert len(day.calls[0][1]["vanish"]) == struck
    assert day.calls[-1] == ("servers", {"restart": day.calls[0][1]["vanish"]})


# Guards against: a copy of a service that is named and another that is struck.
def test_a_named_copy_is_the_one_that_is_struck(tmp_path: Path) -> None:
    day = play(Day(tmp_path), planned("srv_crash", service="g~1", how=("dark", "all"), for_s=0.05))
    assert day.calls[0] == ("servers", {"slots": [2, 3], "mode": "dark"})


# Guards against: a record without what a trouble struck, from which nothing can be excused.
def test_a_trouble_is_recorded_with_its_targets_and_its_end(tmp_path: Path) -> None:
    play(Day(tmp_path), planned("node_kill", targets=1, for_s=0.05))
    limits = {node: NodeLimits(300.0, 100) for node in range(NODES)}
    span = read_site_record(tmp_path, BOUNDS, limits).troubles[0]
    assert (span.kind, len(span.nodes)) == ("node_kill", 1)
    assert span.end_s - span.begin_s >= 0.05

"""A node whose view of the servers has a hole finds it, and is set right, whoever has it too."""

import random

import anyio
import pytest
from conftest import run_virtual
from test_following_the_store import CONFIG as WITH_A_ROUTE
from zone import Zone, ZoneNode, in_a_zone

from yokesill.watchers.digests import INITIAL_PAUSE_S, MAX_PAUSE_S, RepairBackoff, digest_of

LOST = ("i-3", "i-5")


def make_hole(node: ZoneNode) -> None:
    for name in LOST:
        del node.servers[name]


def test_a_follower_with_a_hole_takes_the_whole_from_a_watcher() -> None:
    async def main(zone: Zone) -> None:
        follower = next(node for node in zone.nodes if not node.watching)
        before = zone.full_calls()
        make_hole(follower)
        await anyio.sleep(2.0)
        assert zone.behind() == []
        assert zone.full_calls() == before

    in_a_zone(main)


def test_a_watcher_with_a_hole_lists_the_registry_again() -> None:
    async def main(zone: Zone) -> None:
        watchers = zone.watchers()
        make_hole(watchers[0])
        for node in watchers:
            node.fetched.clear()
        await anyio.sleep(4.0)
        assert zone.behind() == []
        assert [node.fetched for node in watchers] == [[], []]

    in_a_zone(main)


def test_a_new_hole_is_found_while_changes_go_on() -> None:
    async def main(zone: Zone) -> None:
        for node in (zone.watchers()[0], next(each for each in zone.nodes if not each.watching)):
            make_hole(node)
            for number in range(10):
                zone.list_server(f"k-{node.contact.node}-{number}")
                await anyio.sleep(1.0)
            assert zone.behind() == []

    in_a_zone(main)


def test_a_hole_that_all_share_is_found_by_what_the_configuration_names() -> None:
    async def main(zone: Zone) -> None:
        zone.routes = WITH_A_ROUTE["routes"]
        zone.configure()
        await anyio.sleep(2.0)
        for node in zone.nodes:
            node.servers.clear()
        await anyio.sleep(6.0)
        assert zone.behind() == []

    in_a_zone(main)


def test_a_service_that_has_no_servers_costs_a_few_lists() -> None:
    async def main(zone: Zone) -> None:
        zone.routes = [{**WITH_A_ROUTE["routes"][0], "service": "nobody"}]
        zone.configure()
        await anyio.sleep(2.0)
        before = zone.full_calls()
        await anyio.sleep(60.0)
        # Two watchers, four lists each: three pages and the wait that each list breaks off.
        assert zone.full_calls() - before <= 2 * 4 * (3 + 1) + 14

    in_a_zone(main)


@pytest.mark.parametrize("mode", ["busy", "silent"])
def test_while_the_registry_is_away_no_watcher_takes_anothers_hole(mode: str) -> None:
    async def main(zone: Zone) -> None:
        reporter = zone.watchers()[0]
        zone.standin.mode = mode
        await anyio.sleep(4.0)
        make_hole(reporter)
        for _ in range(20):
            await anyio.sleep(0.5)
            assert set(zone.behind()) <= {reporter.contact.node}

    in_a_zone(main)


def start_in_numbers(
    count: int, loss: float, answer_s: float, page: int, seed: int
) -> tuple[list[str], Zone]:
    """Start a zone's nodes while servers' entries come and go; return who knows it wrong 4 s later."""

    async def run() -> tuple[list[str], Zone]:
        source = random.Random(seed)
        async with anyio.create_task_group() as tasks:
            zone = Zone(tasks, 0, frozenset())
            zone.loss, zone.standin.answer_s, zone.standin.page = loss, answer_s, page
            zone.join([ZoneNode(zone, number, 2.0 if number < 2 else 0.5) for number in range(count)])
            for number in range(150):
                zone.list_server(f"{source.randrange(1 << 32):08x}-{number}")
                if number % 5 == 0:
                    zone.standin.remove("servers", source.choice(zone.listed()))
                await anyio.sleep(0.04 * source.random())
            await anyio.sleep(4.0)
            wrong = zone.behind()
            tasks.cancel_scope.cancel()
        return wrong, zone

    return run_virtual(run)  # type: ignore[no-any-return]


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize(
    ("count", "loss", "answer_s", "page"),
    [
        (18, 0.0, 0.004, 50),
        (18, 0.0015, 0.3, 20),
        (18, 0.05, 0.1, 50),
        (64, 0.0015, 0.1, 50),
        (90, 0.01, 0.3, 50),
    ],
)
def test_nodes_that_start_in_numbers_all_know_what_the_registry_says(
    count: int, loss: float, answer_s: float, page: int, seed: int
) -> None:
    wrong, _ = start_in_numbers(count, loss, answer_s, page, seed)
    assert wrong == []


def test_a_digest_tells_which_entries_there_are_in_any_order() -> None:
    assert digest_of(["a", "b", "c"]) == digest_of(["c", "a", "b"])
    assert len({digest_of(each) for each in ([], ["a"], ["b"], ["a", "b"], ["a", "a"])}) == 5
    assert digest_of([]) > 0 and digest_of(map(str, range(100_000))) < 1 << 48


def test_a_difference_that_stays_is_looked_into_less_and_less() -> None:
    repairs = RepairBackoff()
    now, times = 0.0, []
    while now < 600.0:
        if repairs.due(now):
            times.append(now)
        now += 0.1
    assert len(times) < 16
    assert repairs.due(now + MAX_PAUSE_S * 3)
    assert not repairs.due(now + MAX_PAUSE_S * 3 + INITIAL_PAUSE_S - 0.1)
    assert repairs.due(now + MAX_PAUSE_S * 3 + INITIAL_PAUSE_S + 0.1)

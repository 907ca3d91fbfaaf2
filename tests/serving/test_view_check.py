"""A node that lacks entries of the servers detects and repairs it, whichever other nodes lack them too."""

import random

import anyio
import pytest
from conftest import run_virtual
from test_following_the_store import CONFIG as CONFIG_WITH_A_ROUTE
from zone import Zone, ZoneNode, run_in_zone

from yokesill.watchers.digests import INITIAL_PAUSE_S, MAX_PAUSE_S, RepairBackoff, digest_of

MISSING = ("i-3", "i-5")


def remove_entries(node: ZoneNode) -> None:
    for name in MISSING:
        del node.servers[name]


def test_a_follower_with_missing_entries_fetches_the_feed_from_a_watcher() -> None:
    async def main(zone: Zone) -> None:
        follower = next(node for node in zone.nodes if not node.watching)
        before, checks = zone.calls_for_feeds(), zone.exact_checks()
        remove_entries(follower)
        await anyio.sleep(2.0)
        assert zone.stale_nodes() == []
        assert zone.calls_for_feeds() == before
        zone.assert_few_checks(checks, 2.0)

    run_in_zone(main)


def test_a_watcher_with_missing_entries_lists_the_registry_again() -> None:
    async def main(zone: Zone) -> None:
        watchers = zone.watchers()
        remove_entries(watchers[0])
        for node in watchers:
            node.fetched.clear()
        await anyio.sleep(4.0)
        assert zone.stale_nodes() == []
        assert [node.fetched for node in watchers] == [[], []]

    run_in_zone(main)


def test_missing_entries_are_repaired_while_changes_continue() -> None:
    async def main(zone: Zone) -> None:
        for node in (zone.watchers()[0], next(each for each in zone.nodes if not each.watching)):
            remove_entries(node)
            for number in range(10):
                zone.list_server(f"k-{node.contact.node}-{number}")
                await anyio.sleep(1.0)
            assert zone.stale_nodes() == []

    run_in_zone(main)


def test_entries_missing_on_all_nodes_are_detected_by_the_configured_services() -> None:
    async def main(zone: Zone) -> None:
        zone.routes = CONFIG_WITH_A_ROUTE["routes"]
        zone.configure()
        await anyio.sleep(2.0)
        for node in zone.nodes:
            node.servers.clear()
        await anyio.sleep(6.0)
        assert zone.stale_nodes() == []

    run_in_zone(main)


def test_a_service_without_servers_costs_only_a_few_lists() -> None:
    async def main(zone: Zone) -> None:
        zone.routes = [{**CONFIG_WITH_A_ROUTE["routes"][0], "service": "nobody"}]
        zone.configure()
        await anyio.sleep(2.0)
        before, checks = zone.calls_for_feeds(), zone.exact_checks()
        await anyio.sleep(60.0)
        # Two watchers with four lists each: three pages per list, and the long poll that each list cancels.
        assert zone.calls_for_feeds() - before <= 2 * 4 * (3 + 1) + 14
        zone.assert_few_checks(checks, 60.0)

    run_in_zone(main)


@pytest.mark.parametrize("mode", ["busy", "silent"])
def test_missing_entries_do_not_spread_between_watchers_during_a_registry_outage(mode: str) -> None:
    async def main(zone: Zone) -> None:
        reporter = zone.watchers()[0]
        zone.standin.mode = mode
        await anyio.sleep(4.0)
        remove_entries(reporter)
        for _ in range(20):
            await anyio.sleep(0.5)
            assert set(zone.stale_nodes()) <= {reporter.contact.node}

    run_in_zone(main)


def start_together(count: int, loss: float, answer_s: float, page: int, seed: int) -> tuple[list[str], Zone]:
    """Start a zone's nodes while servers are added and removed; return the nodes that are stale 4 s later."""

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
            stale = zone.stale_nodes()
            tasks.cancel_scope.cancel()
        return stale, zone

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
def test_many_nodes_that_start_together_all_reach_the_registrys_state(
    count: int, loss: float, answer_s: float, page: int, seed: int
) -> None:
    stale, _ = start_together(count, loss, answer_s, page, seed)
    assert stale == []


def test_digest_depends_on_the_entries_but_not_on_their_order() -> None:
    assert digest_of(["a", "b", "c"]) == digest_of(["c", "a", "b"])
    assert len({digest_of(each) for each in ([], ["a"], ["b"], ["a", "b"], ["a", "a"])}) == 5
    assert digest_of([]) > 0 and digest_of(map(str, range(100_000))) < 1 << 48


def test_repairs_of_a_persistent_difference_back_off() -> None:
    backoff = RepairBackoff()
    now, times = 0.0, []
    while now < 600.0:
        if backoff.due(now):
            times.append(now)
        now += 0.1
    assert len(times) < 16
    assert backoff.due(now + MAX_PAUSE_S * 3)
    assert not backoff.due(now + MAX_PAUSE_S * 3 + INITIAL_PAUSE_S - 0.1)
    assert backoff.due(now + MAX_PAUSE_S * 3 + INITIAL_PAUSE_S + 0.1)

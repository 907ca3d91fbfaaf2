"""A view counts as current only by exact answers of the registry, whatever its waits and stale reads show."""

from collections.abc import Awaitable, Callable

import anyio
import pytest
from zone import CHANGE_BOUND_S, Zone, run_in_zone

from yokesill.registry.feed_states import CONFIGURATION, EVACUATIONS, QUARANTINE, ROLLOUTS, SERVERS
from yokesill.watchers.timing import WatchTiming

FEEDS = (CONFIGURATION, SERVERS, EVACUATIONS, ROLLOUTS, QUARANTINE)
KINDS = {
    CONFIGURATION: "config",
    SERVERS: "servers",
    EVACUATIONS: "evacuations",
    ROLLOUTS: "rollouts",
    QUARANTINE: "yokesill-quarantine",
}
NODES = 6
# The rest of the bound is left for a request's network delay.
ARRIVAL_LIMIT_S = 0.95 * CHANGE_BOUND_S
CHECK_INTERVAL_S = WatchTiming.within(CHANGE_BOUND_S).check_interval_s
MOMENTS = 20
# Longer than the waits that are lost take to be noticed by anything else than their loss.
QUIET_S = 6.0


def run_with_all_feeds(main: Callable[[Zone], Awaitable[None]]) -> None:
    run_in_zone(main, NODES, with_rollouts=True, with_quarantine=True)


async def late_nodes(zone: Zone, moment: int, *feeds: str) -> list[tuple[int, str]]:
    """Change some feeds; return the moment with each node that does not know the changes in time."""
    for feed in feeds:
        zone.change_feed(feed)
    await anyio.sleep(ARRIVAL_LIMIT_S)
    return [(moment, node) for node in zone.stale_nodes()]


@pytest.mark.parametrize("quiet_s", [0.0, QUIET_S])
@pytest.mark.parametrize("stale_s", [0.0, 3.0, 5.5, 10.0])
@pytest.mark.parametrize("feed", FEEDS)
def test_change_after_a_lost_wait_is_known_in_time(feed: str, stale_s: float, quiet_s: float) -> None:
    # Guards against: a wait that the registry lost without a sign was relied on, since stale reads that
    # showed nothing new counted as proof that the view was current.
    async def main(zone: Zone) -> None:
        zone.standin.stale_s = stale_s
        late = []
        for moment in range(MOMENTS):
            await anyio.sleep(5.0 + CHECK_INTERVAL_S * moment / MOMENTS)
            zone.standin.lose_waits(KINDS[feed])
            await anyio.sleep(quiet_s)
            late += await late_nodes(zone, moment, feed)
        assert late == []

    run_with_all_feeds(main)


@pytest.mark.parametrize("stale_s", [0.0, 3.0, 5.5, 10.0])
def test_changes_after_all_waits_were_lost_again_and_again_are_known_in_time(stale_s: float) -> None:
    # Guards against: each loss puts the next proof off, so that a series of them is noticed too late.
    async def main(zone: Zone) -> None:
        zone.standin.stale_s = stale_s
        late = []
        for moment in range(MOMENTS):
            for _ in range(10):
                await anyio.sleep(0.7 + CHECK_INTERVAL_S * moment / MOMENTS / 10)
                for kind in KINDS.values():
                    zone.standin.lose_waits(kind)
            late += await late_nodes(zone, moment, *FEEDS)
        assert late == []

    run_with_all_feeds(main)


@pytest.mark.parametrize("silence_s", [0.2, 0.5, 1.0])
@pytest.mark.parametrize("quiet_s", [0.0, QUIET_S])
def test_change_after_a_short_silence_is_known_in_time(quiet_s: float, silence_s: float) -> None:
    # Guards against: a silence between two checks loses waits, and no call fails that would tell of it.
    async def main(zone: Zone) -> None:
        zone.standin.stale_s = 5.5
        late = []
        for moment in range(MOMENTS):
            await anyio.sleep(5.0 + CHECK_INTERVAL_S * moment / MOMENTS)
            await zone.standin.silence(silence_s)
            await anyio.sleep(quiet_s)
            late += await late_nodes(zone, moment, *FEEDS)
        assert late == []

    run_with_all_feeds(main)


@pytest.mark.parametrize("feed", FEEDS)
def test_watcher_with_one_feed_that_is_not_read_is_not_relied_on(feed: str) -> None:
    # Guards against: the answers for one feed made a watcher current in all of them.
    async def main(zone: Zone) -> None:
        late = []
        for moment in range(MOMENTS):
            await anyio.sleep(10.0 + CHECK_INTERVAL_S * moment / MOMENTS)
            watchers = zone.watchers()
            for node in watchers:
                node.silent_kind = KINDS[feed]
            zone.standin.lose_waits(KINDS[feed])
            await anyio.sleep(QUIET_S)
            late += await late_nodes(zone, moment, feed)
            for node in watchers:
                node.silent_kind = ""
        assert late == []

    run_with_all_feeds(main)

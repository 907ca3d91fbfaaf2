"""A reopened zone's servers count as cold until a node knows what they had said before the reopening."""

import anyio
import pytest
from zone import CHANGE_BOUND_S, Zone, run_in_zone

ZONE, POLL_S, WARMUP_MS = "z2", 0.005, 3000
SERVERS = tuple(f"i-{number}" for number in range(4))


def turn_cold(zone: Zone, name: str) -> None:
    zone.standin.put(
        "servers", name, zone.standin.objects["servers", name]["spec"] | {"warmupLeftMs": WARMUP_MS}
    )


async def watch_reopening(zone: Zone, within_s: float) -> dict[str, set[str]]:
    """Return, for each node that reopened the zone, the servers that it did not take for cold at any time."""
    found: dict[str, set[str]] = {}
    end_s = anyio.current_time() + within_s
    while anyio.current_time() < end_s:
        for node in zone.nodes:
            if ZONE not in node.evacuated:
                missed = {each for each in SERVERS if not node.servers[each].warmup_left_s}
                found.setdefault(node.contact.node, set()).update(
                    set() if ZONE in node.unread_zones else missed
                )
        await anyio.sleep(POLL_S)
    return found


# Guards against requests beyond their rate to servers that turned cold before the end of an evacuation: the
# feed of servers is read later than that of evacuations.
@pytest.mark.parametrize("reopened_after_s", [0.0, 0.05, 0.3, 0.8])
@pytest.mark.parametrize("loss", [0.0, 0.3])
def test_zone_is_reopened_with_its_cold_servers_known(reopened_after_s: float, loss: float) -> None:
    async def main(zone: Zone) -> None:
        zone.standin.put("evacuations", ZONE, {})
        await anyio.sleep(2 * CHANGE_BOUND_S)
        zone.loss = loss
        for name in SERVERS:
            turn_cold(zone, name)
            await anyio.sleep(0.05)
        await anyio.sleep(reopened_after_s)
        zone.standin.remove("evacuations", ZONE)
        found = await watch_reopening(zone, CHANGE_BOUND_S)
        assert found == {node.contact.node: set() for node in zone.nodes}

    run_in_zone(main)


# The same while the servers can't be read, for longer than a reopening could wait for them. Guards against a
# wait that runs out.
@pytest.mark.parametrize("trouble", ["silent", "busy", "late", "one page"])
def test_reopened_servers_count_as_cold_until_they_are_read(trouble: str) -> None:
    async def main(zone: Zone) -> None:
        zone.standin.put("evacuations", ZONE, {})
        await anyio.sleep(2 * CHANGE_BOUND_S)
        for name in SERVERS:
            turn_cold(zone, name)
            await anyio.sleep(0.05)
        if trouble == "late":
            zone.standin.answer_s = 0.4
        else:
            zone.standin.kind_modes["servers"] = trouble
        zone.standin.remove("evacuations", ZONE)
        found = await watch_reopening(zone, 2 * CHANGE_BOUND_S)
        assert found == {node.contact.node: set() for node in zone.nodes}
        zone.standin.kind_modes.clear()
        zone.standin.answer_s = 0.0
        await anyio.sleep(4 * CHANGE_BOUND_S)
        assert all(node.unread_zones == frozenset() for node in zone.nodes)
        assert all(node.servers[each].warmup_left_s for node in zone.nodes for each in SERVERS)

    run_in_zone(main)


# Guards against a zone that is missed while its servers can't be read.
def test_zone_is_reopened_in_time_although_its_servers_are_not_answered() -> None:
    async def main(zone: Zone) -> None:
        zone.standin.put("evacuations", ZONE, {})
        await anyio.sleep(2 * CHANGE_BOUND_S)
        zone.standin.kind_modes["servers"] = "silent"
        zone.standin.remove("evacuations", ZONE)
        await anyio.sleep(0.95 * CHANGE_BOUND_S)
        assert all(ZONE not in node.evacuated for node in zone.nodes)

    run_in_zone(main)


# Guards against an evacuation that is held back with another zone's reopening while no servers can be read.
def test_zone_is_evacuated_in_time_beside_a_reopening_although_servers_are_not_answered() -> None:
    async def main(zone: Zone) -> None:
        zone.standin.put("evacuations", ZONE, {})
        await anyio.sleep(2 * CHANGE_BOUND_S)
        zone.standin.silent_kind = "servers"
        zone.standin.remove("evacuations", ZONE)
        zone.standin.put("evacuations", "z3", {})
        await anyio.sleep(0.95 * CHANGE_BOUND_S)
        assert all("z3" in node.evacuated for node in zone.nodes)

    run_in_zone(main)


# Guards against a price for each reopening that grows with the nodes.
def test_reopening_costs_each_watcher_one_more_call() -> None:
    async def main(zone: Zone) -> None:
        zone.standin.put("evacuations", ZONE, {})
        await anyio.sleep(2 * CHANGE_BOUND_S)
        before, checks = zone.calls_for_feeds(), zone.exact_checks()
        zone.standin.remove("evacuations", ZONE)
        await anyio.sleep(2.0)
        # For each watcher: the answered wait, the next one, a read of the servers, and their next wait.
        assert zone.calls_for_feeds() - before <= 2 * 4
        zone.assert_few_checks(checks, 2.0)

    run_in_zone(main)

"""Where a wide request is gathered if its node's zone has no servers for it."""

from dataclasses import replace

import pytest
from harness import gather_route, server

from yokesill.gateway.documents import ServerRecord
from yokesill.gateway.forwarding import MIN_WIDE_SERVICES, ZONE_LOST_PAUSE_S, Coordinator, CoordinatorChoice
from yokesill.gateway.options import GatewayOptions
from yokesill.gateway.servers.server_table import ServerTable
from yokesill.gateway.servers.server_zones import REFRESH_S, ServerZones

NOW = 1000.0
SERVICES = tuple(f"s{number}" for number in range(MIN_WIDE_SERVICES))
WIDE = gather_route(services=SERVICES)
REGIONS = {"a": "r1", "b": "r1", "c": "r1", "d": "r1", "x": "r2"}


def table(*zones: str, names: tuple[str, ...] = SERVICES, own: str = "d") -> tuple[ServerZones, ServerTable]:
    """Return a node's state with one server of each service in each of the zones."""
    options = GatewayOptions(zone=own, regions=REGIONS)
    servers = ServerTable(options)
    servers.replace([server(f"{name}-{zone}", name, zone) for name in names for zone in zones], NOW)
    return ServerZones(options, servers), servers


def test_zone_without_servers_may_gather_in_any_of_the_nearest_zones_with_servers() -> None:
    server_zones, _ = table("a", "b", "c")
    assert server_zones.zones(WIDE, NOW) == {"a", "b", "c"}


def test_zone_with_servers_gathers_locally() -> None:
    server_zones, _ = table("a", "b", "d")
    assert server_zones.zones(WIDE, NOW) == frozenset()


def test_nearest_zones_are_preferred() -> None:
    server_zones, servers = table("a", "b", "c")
    for name in SERVICES:
        for zone, round_trip_s in (("a", 0.010), ("b", 0.0104), ("c", 0.016)):
            state = servers.get(f"{name}-{zone}")
            assert state is not None
            servers.connected(state, round_trip_s)
    assert server_zones.zones(WIDE, NOW) == {"a", "b"}


def test_request_stays_in_its_region_and_in_the_regions_of_its_route() -> None:
    server_zones, _ = table("x")
    assert server_zones.zones(WIDE, NOW) == frozenset()
    server_zones, _ = table("a", "b")
    assert server_zones.zones(replace(WIDE, regions=("r2",)), NOW) == frozenset()
    assert server_zones.zones(replace(WIDE, regions=("r1",)), NOW) == {"a", "b"}


def test_evacuated_zone_is_excluded_immediately() -> None:
    server_zones, servers = table("a", "b")
    assert server_zones.zones(WIDE, NOW) == {"a", "b"}
    servers.evacuate({"a"})
    assert server_zones.zones(WIDE, NOW + 0.01) == {"b"}


def test_zone_with_servers_of_only_some_services_is_excluded() -> None:
    server_zones, servers = table("a", "b")
    for name in SERVICES[:4]:
        servers.remove(f"{name}-b", NOW)
    assert server_zones.zones(WIDE, NOW) == {"a"}


@pytest.mark.parametrize("gone", [True, False])
def test_cached_zones_are_refreshed(gone: bool) -> None:
    server_zones, servers = table("a")
    server_zones.zones(WIDE, NOW)
    if gone:
        servers.replace(list[ServerRecord](), NOW)
    assert server_zones.zones(WIDE, NOW + REFRESH_S) == (frozenset() if gone else {"a"})


def test_losing_one_coordinator_of_another_zone_skips_that_whole_zone() -> None:
    coordinators = {f"{zone}{n}": Coordinator(f"{zone}{n}:80", NOW, zone) for zone in "ab" for n in range(3)}
    choice = CoordinatorChoice("w")
    first = choice.choose(WIDE, coordinators, NOW)
    assert first is not None
    choice.lost(first, NOW, coordinators[first].zone)
    reported = {node: each._replace(reported_at_s=NOW + 0.1) for node, each in coordinators.items()}
    then = choice.choose(WIDE, reported, NOW + 0.1)
    assert then is not None and coordinators[then].zone != coordinators[first].zone
    choice.lost(then, NOW, coordinators[then].zone)
    assert choice.choose(WIDE, reported, NOW + 0.1) is None
    later = NOW + ZONE_LOST_PAUSE_S
    reported_later = {node: each._replace(reported_at_s=later) for node, each in coordinators.items()}
    assert choice.choose(WIDE, reported_later, later) == first


def test_lost_coordinator_of_another_zone_is_retried_with_backoff_until_it_answers() -> None:
    choice = CoordinatorChoice("own")
    tries = []
    now = 100.0
    while now < 160.0:
        elsewhere = {"far": Coordinator("10.0.0.1:1", now - 2.0, "z9")}
        if choice.choose(WIDE, elsewhere, now) == "far":
            tries.append(now)
            choice.lost("far", now, "z9")
        now += 0.5
    assert 4 <= len(tries) <= 6
    choice.record_hop(0.01, "far")
    choice.lost("far", 300.0, "z9")
    assert choice.choose(WIDE, {"far": Coordinator("10.0.0.1:1", 300.5, "z9")}, 302.6) == "far"

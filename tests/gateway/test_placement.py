"""Where a wide request is gathered if its node's zone has no servers of it."""

from dataclasses import replace

import pytest
from harness import gather_route, server

from yokesill.gateway.documents import ServerRecord
from yokesill.gateway.forwarding import MIN_WIDE_SERVICES, ZONE_LOST_PAUSE_S, Coordinator, CoordinatorChoice
from yokesill.gateway.options import GatewayOptions
from yokesill.gateway.servers.server_table import ServerTable
from yokesill.gateway.servers.server_zones import REFRESH_S, ServerZones

NOW = 1000.0
NAMES = tuple(f"s{number}" for number in range(MIN_WIDE_SERVICES))
WIDE = gather_route(services=NAMES)
REGIONS = {"a": "r1", "b": "r1", "c": "r1", "d": "r1", "x": "r2"}


def table(*zones: str, names: tuple[str, ...] = NAMES, own: str = "d") -> tuple[ServerZones, ServerTable]:
    """A node's view with a server of each service in each of the zones."""
    options = GatewayOptions(zone=own, regions=REGIONS)
    servers = ServerTable(options)
    servers.replace([server(f"{name}-{zone}", name, zone) for name in names for zone in zones], NOW)
    return ServerZones(options, servers), servers


def test_a_zone_without_servers_may_gather_in_any_of_the_nearest_that_have_them() -> None:
    places, _ = table("a", "b", "c")
    assert places.zones(WIDE, NOW) == {"a", "b", "c"}


def test_a_zone_with_servers_gathers_at_home() -> None:
    places, _ = table("a", "b", "d")
    assert places.zones(WIDE, NOW) == frozenset()


def test_the_nearest_zones_go_before_others() -> None:
    places, servers = table("a", "b", "c")
    for name in NAMES:
        for zone, round_trip_s in (("a", 0.010), ("b", 0.0104), ("c", 0.016)):
            state = servers.get(f"{name}-{zone}")
            assert state is not None
            servers.connected(state, round_trip_s)
    assert places.zones(WIDE, NOW) == {"a", "b"}


def test_no_request_leaves_its_region_or_goes_where_its_route_may_not() -> None:
    places, _ = table("x")
    assert places.zones(WIDE, NOW) == frozenset()
    places, _ = table("a", "b")
    assert places.zones(replace(WIDE, regions=("r2",)), NOW) == frozenset()
    assert places.zones(replace(WIDE, regions=("r1",)), NOW) == {"a", "b"}


def test_evacuated_zones_are_not_gone_to_from_the_same_moment_on() -> None:
    places, servers = table("a", "b")
    assert places.zones(WIDE, NOW) == {"a", "b"}
    servers.evacuate({"a"})
    assert places.zones(WIDE, NOW + 0.01) == {"b"}


def test_a_zone_with_servers_of_some_services_only_is_not_gone_to() -> None:
    places, servers = table("a", "b")
    for name in NAMES[:4]:
        servers.remove(f"{name}-b", NOW)
    assert places.zones(WIDE, NOW) == {"a"}


@pytest.mark.parametrize("gone", [True, False])
def test_what_is_known_is_looked_at_again_soon(gone: bool) -> None:
    places, servers = table("a")
    places.zones(WIDE, NOW)
    if gone:
        servers.replace(list[ServerRecord](), NOW)
    assert places.zones(WIDE, NOW + REFRESH_S) == (frozenset() if gone else {"a"})


def test_after_one_coordinator_of_another_zone_was_lost_that_zone_is_gone_around() -> None:
    reached = {f"{zone}{n}": Coordinator(f"{zone}{n}:80", NOW, zone) for zone in "ab" for n in range(3)}
    choice = CoordinatorChoice("w")
    first = choice.choose(WIDE, reached, NOW)
    assert first is not None
    choice.lost(first, NOW, reached[first].zone)
    soon = {node: each._replace(reported_at_s=NOW + 0.1) for node, each in reached.items()}
    then = choice.choose(WIDE, soon, NOW + 0.1)
    assert then is not None and reached[then].zone != reached[first].zone
    choice.lost(then, NOW, reached[then].zone)
    assert choice.choose(WIDE, soon, NOW + 0.1) is None
    later = NOW + ZONE_LOST_PAUSE_S
    alive = {node: each._replace(reported_at_s=later) for node, each in reached.items()}
    assert choice.choose(WIDE, alive, later) == first


def test_a_lost_coordinator_of_another_zone_is_tried_ever_more_rarely_until_it_answers() -> None:
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

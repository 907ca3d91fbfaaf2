"""What servers bear is divided so that nodes that gather have enough and all together never too much."""

import pytest
from harness import configuration, gather_route, single_route

from yokesill.gateway.forwarding import MIN_WIDE_SERVICES
from yokesill.gateway.limits.node_shares import NodeShares

WIDE = gather_route(services=tuple(f"s{number}" for number in range(MIN_WIDE_SERVICES)))
NODES = [f"n{number}" for number in range(90)]


def sharing(own: str, coordinators: frozenset[str], *routes: object) -> NodeShares:
    each = NodeShares(own, 16)
    each.nodes = len(NODES)
    each.set_coordinators(coordinators)
    each.set_configuration(configuration(1, *(routes or (WIDE, single_route()))))  # type: ignore[arg-type]
    return each


@pytest.mark.parametrize("count", [0, 1, 8, 90])
def test_the_parts_of_all_nodes_sum_up_to_no_more_than_the_whole(count: int) -> None:
    coordinators = frozenset(NODES[:count])
    for service in ("s0", "desk", "unheard of"):
        parts = [1 / sharing(own, coordinators).active_nodes(service) for own in NODES]
        assert sum(parts) <= 1.0 + 1e-9


def test_coordinators_get_three_quarters_of_what_only_wide_requests_reach() -> None:
    coordinators = frozenset(NODES[:8])
    assert sharing("n0", coordinators).active_nodes("s0") == pytest.approx(8 / 0.75)
    assert sharing("n9", coordinators).active_nodes("s0") == 360
    assert sharing("n0", coordinators).active_nodes("desk") == 90


def test_a_service_that_other_requests_reach_too_is_shared_by_all_alike() -> None:
    narrow = gather_route(services=("s0", "s1"))
    for own in ("n0", "n9"):
        assert sharing(own, frozenset({"n0"}), WIDE, narrow).active_nodes("s0") == 90
        assert sharing(own, frozenset(), WIDE).active_nodes("s0") == 90

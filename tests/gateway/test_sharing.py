"""Division of server capacity: coordinators get enough, and all nodes together never exceed the whole."""

import pytest
from harness import configuration, gather_route, single_route

from yokesill.gateway.forwarding import MIN_WIDE_SERVICES
from yokesill.gateway.limits.node_shares import NodeShares

WIDE = gather_route(services=tuple(f"s{number}" for number in range(MIN_WIDE_SERVICES)))
NODE_NAMES = [f"n{number}" for number in range(90)]


def node_shares(own: str, coordinators: frozenset[str], *routes: object) -> NodeShares:
    shares = NodeShares(own, 16)
    shares.nodes = len(NODE_NAMES)
    shares.set_coordinators(coordinators)
    shares.set_configuration(configuration(1, *(routes or (WIDE, single_route()))))  # type: ignore[arg-type]
    return shares


@pytest.mark.parametrize("count", [0, 1, 8, 90])
def test_shares_of_all_nodes_sum_to_at_most_the_whole(count: int) -> None:
    coordinators = frozenset(NODE_NAMES[:count])
    for service in ("s0", "desk", "unheard of"):
        shares = [1 / node_shares(own, coordinators).active_nodes(service) for own in NODE_NAMES]
        assert sum(shares) <= 1.0 + 1e-9


def test_coordinators_get_three_quarters_of_services_of_wide_requests() -> None:
    coordinators = frozenset(NODE_NAMES[:8])
    assert node_shares("n0", coordinators).active_nodes("s0") == pytest.approx(8 / 0.75)
    assert node_shares("n9", coordinators).active_nodes("s0") == 360
    assert node_shares("n0", coordinators).active_nodes("desk") == 90


def test_service_reached_by_other_requests_is_shared_equally() -> None:
    narrow = gather_route(services=("s0", "s1"))
    for own in ("n0", "n9"):
        assert node_shares(own, frozenset({"n0"}), WIDE, narrow).active_nodes("s0") == 90
        assert node_shares(own, frozenset(), WIDE).active_nodes("s0") == 90

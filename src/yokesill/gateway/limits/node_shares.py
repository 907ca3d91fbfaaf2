"""Division of a service's capacity among nodes: connections to its servers, their pace, extra attempts.

The capacity is a limit for all nodes together, and each node keeps to its share without communicating with
the others. All code that divides by the number of nodes calls `NodeShares.active_nodes`. Inputs: the number
of nodes, which of them are coordinators, and which services are reached by wide requests only.

- A service that other requests reach too, or a cluster without coordinators: equal shares.
- A service that only wide requests reach: three quarters go to the coordinators, since they send nearly all
  of its requests; a quarter goes to all nodes, for requests that no coordinator accepts.

The shares of all nodes never add up to more than the whole. Cold servers are an exception: their capacity is
too small to divide, so each is owned by a few nodes (`ColdStarts`).
"""

from yokesill.gateway.documents import Configuration
from yokesill.gateway.forwarding import is_wide

# Fraction of the capacity that goes to coordinators. With equal shares and 90 nodes, 8 of them coordinators,
# each coordinator got one connection to each server and one request per second to a slow server. With 0.5,
# 21 instead of 9 of 168 wide requests were refused while half of all servers rejected 0.45 of their requests
# (``tests/gateway/test_shedding.py``).
COORDINATORS_SHARE = 0.75


class NodeShares:
    """One node's view of how capacity is divided.

    Parameters
    ----------
    own
        This node's name.
    assumed_nodes
        Initial value of ``nodes``, used until the nodes have been counted.
    """

    def __init__(self, own: str, assumed_nodes: int) -> None:
        self.nodes = max(1, assumed_nodes)
        self._own = own
        self._coordinators: frozenset[str] = frozenset()
        self._wide_only: frozenset[str] = frozenset()

    def set_coordinators(self, names: frozenset[str]) -> None:
        """Set the names of the coordinators; empty if all nodes have the same role."""
        self._coordinators = names

    def set_configuration(self, configuration: Configuration) -> None:
        """Determine which services are reached by wide requests only."""
        wide = {name for route in configuration.routes if is_wide(route) for name in route.services}
        others = {name for route in configuration.routes if not is_wide(route) for name in route.services}
        self._wide_only = frozenset(wide - others)

    def active_nodes(self, service: str) -> float:
        """Return the divisor of a service's capacity that gives this node's share; at least 1."""
        if not self._coordinators or service not in self._wide_only:
            return self.nodes
        if self._own in self._coordinators:
            return len(self._coordinators) / COORDINATORS_SHARE
        return self.nodes / (1.0 - COORDINATORS_SHARE)

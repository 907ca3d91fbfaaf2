"""By how many nodes a service's capacity is divided: connections to its servers, their pace, extra attempts.

The capacity is bounded for all nodes together, and each node keeps to its share without asking the others.
Everything that divides by the number of nodes calls `NodeShares.active_nodes`. Inputs: how many nodes there
are, which of them are coordinators, which services only wide requests reach.

- A service that other requests reach too, or where no node is a coordinator: equal shares.
- A service that only wide requests reach: three quarters go to the coordinators, since they send nearly all
  of its requests; a quarter goes to all nodes, for requests that no coordinator accepts.

The shares of all nodes never sum up to more than the whole. Cold servers are the exception: what they can do
is too little to divide, so a few nodes own each (`ColdStarts`).
"""

from yokesill.gateway.documents import Configuration
from yokesill.gateway.forwarding import is_wide

# The coordinators' share of the whole. With equal shares and 90 nodes, 8 of them coordinators, these got
# one connection to each server and one request a second to a slow one. With a half in place of three
# quarters, 21 of 168 wide requests were refused in place of 9 while half of all servers rejected 0.45 of
# their requests (``tests/gateway/test_shedding.py``).
COORDINATORS_SHARE = 0.75


class NodeShares:
    """One node's view.

    Parameters
    ----------
    own
        This node's name.
    assumed_nodes
        Stands in until the nodes were counted; see ``nodes``.
    """

    def __init__(self, own: str, assumed_nodes: int) -> None:
        self.nodes = max(1, assumed_nodes)
        self._own = own
        self._coordinators: frozenset[str] = frozenset()
        self._wide_only: frozenset[str] = frozenset()

    def set_coordinators(self, names: frozenset[str]) -> None:
        """Set which nodes are coordinators; none where all nodes are alike."""
        self._coordinators = names

    def set_configuration(self, configuration: Configuration) -> None:
        """Find out which services only wide requests reach."""
        wide = {name for each in configuration.routes if is_wide(each) for name in each.services}
        others = {name for each in configuration.routes if not is_wide(each) for name in each.services}
        self._wide_only = frozenset(wide - others)

    def active_nodes(self, service: str) -> float:
        """Return the number by which a service's capacity is divided for this node, 1 at least."""
        if not self._coordinators or service not in self._wide_only:
            return self.nodes
        if self._own in self._coordinators:
            return len(self._coordinators) / COORDINATORS_SHARE
        return self.nodes / (1.0 - COORDINATORS_SHARE)

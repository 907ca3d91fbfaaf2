"""Among how many nodes a service's servers are shared: their connections, their pace, the extra attempts.

What servers bear is bounded for all nodes together, and each node keeps to its part without asking the
others. Where a few coordinators gather nearly all wide requests, equal parts would leave most of it to
nodes that hardly ask: with 90 nodes and 8 coordinators these got a single connection to each server and
a slow server's work once a second. So three quarters of a service that only wide requests reach are dealt to
the coordinators, and a quarter to everybody, for requests that no coordinator takes. The parts never sum up
to more than the whole. Three quarters in place of a half give a coordinator a third more extra attempts: with
half of all servers rejecting 0.45 of their requests, 9 of 168 wide requests refused in place of 21.
"""

from yokesill.gateway.documents import Configuration
from yokesill.gateway.forwarding import is_wide

# The coordinators' part of the whole; the rest is everybody's.
COORDINATORS_SHARE = 0.75


class NodeShares:
    """One node's view of who shares; ``nodes`` is how many nodes there are."""

    def __init__(self, own: str, assumed_nodes: int) -> None:
        self.nodes = max(1, assumed_nodes)
        self._own = own
        self._coordinators: frozenset[str] = frozenset()
        self._gathered_only: frozenset[str] = frozenset()

    def set_coordinators(self, names: frozenset[str]) -> None:
        """Take which nodes gather for their zones; none where all nodes are alike."""
        self._coordinators = names

    def set_configuration(self, configuration: Configuration) -> None:
        """Take which services only wide requests reach."""
        gathered = {name for each in configuration.routes if is_wide(each) for name in each.services}
        others = {name for each in configuration.routes if not is_wide(each) for name in each.services}
        self._gathered_only = frozenset(gathered - others)

    def active_nodes(self, service: str) -> float:
        """Return the number by which what a service's servers bear is divided for this node."""
        if not self._coordinators or service not in self._gathered_only:
            return self.nodes
        if self._own in self._coordinators:
            return len(self._coordinators) / COORDINATORS_SHARE
        return self.nodes / (1.0 - COORDINATORS_SHARE)

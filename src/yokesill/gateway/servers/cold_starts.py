"""Decides whether this node may send one more request to a cold server.

A server that has just started handles only a few requests a second from all nodes together, and fails well
above that rate. Nodes can't coordinate each request, and an equal share of a few requests a second is less
than one per node. Instead a few nodes own a cold server, chosen by rendezvous hash of the server's and the
nodes' names: each owner sends at most a fixed number of requests in any second, and all other nodes send
none.

Inputs: the service's rate for cold servers (its configuration), the limits for all nodes together (settings),
the names of all nodes, and what this node sent. Times are in seconds of its clock. Alternatives and their
figures: "Cold servers" in ``docs/design/evacuations-and-cold-servers.md``.
"""

from collections import deque
from collections.abc import Collection
from typing import NamedTuple

from yokesill.gateway.documents import ServerRecord
from yokesill.rendezvous import name_hash, weight

# The limits apply to any window of this length.
WINDOW_S = 1.0
# The share of the limit that the owners may use. The rest covers nodes that derive other owners because their
# view of the nodes differs for a while, and requests that wait for a connection after they were allowed and
# so arrive in a later second.
OWNERS_SHARE = 0.5


class ColdStartLimits(NamedTuple):
    """Limits on the requests per second that all nodes together send to a cold server.

    The limit is the service's rate times ``overshoot``, plus ``slack`` requests.
    """

    overshoot: float = 1.0
    slack: float = 0.0


class ColdStarts:
    """One node's share of the requests to cold servers.

    Parameters
    ----------
    own
        This node's name.
    limits
        The limits for all nodes together.
    """

    def __init__(self, own: str, limits: ColdStartLimits) -> None:
        self._own = own
        self._limits = limits
        self._nodes: dict[str, int] = {}
        self._owned: dict[tuple[str, int], bool] = {}
        self._sent_at_s: dict[str, deque[float]] = {}

    def set_nodes(self, names: Collection[str]) -> None:
        """Set the live nodes; before the first call this node owns no server."""
        self._nodes = {name: name_hash(name) for name in names}
        self._owned.clear()

    def allows(self, server: ServerRecord, cold_requests_per_s: float, now: float) -> bool:
        """Whether this node may send a cold server one more request now.

        ``cold_requests_per_s`` is the rate for such a server in its service's configuration.
        """
        limit = cold_requests_per_s * self._limits.overshoot + self._limits.slack
        owners_limit = int(OWNERS_SHARE * limit)
        owners = max(1, min(owners_limit, len(self._nodes)))
        if owners_limit < 1 or not self._owns(server.instance, owners):
            return False
        sent = self._sent_at_s.get(server.instance)
        if sent is None:
            return True
        while sent and now - sent[0] >= WINDOW_S:
            sent.popleft()
        return len(sent) < owners_limit // owners

    def sent(self, server: ServerRecord, now: float) -> None:
        """Record a request that was allowed."""
        self._sent_at_s.setdefault(server.instance, deque()).append(now)

    def forget(self, instance: str) -> None:
        """Drop the state of a server that is gone."""
        self._sent_at_s.pop(instance, None)

    def _owns(self, instance: str, owners: int) -> bool:
        """Whether this node is among the ``owners`` nodes that rank first for a server by rendezvous hash."""
        key = (instance, owners)
        owned = self._owned.get(key)
        if owned is None:
            owned = self._owned[key] = self._ranks_first(instance, owners)
        return owned

    def _ranks_first(self, instance: str, owners: int) -> bool:
        own_hash = self._nodes.get(self._own)
        if own_hash is None:
            return False
        server_hash = name_hash(instance)
        own_key = (weight(own_hash, server_hash), self._own)
        ahead = sum(
            (weight(node_hash, server_hash), name) < own_key for name, node_hash in self._nodes.items()
        )
        return ahead < owners

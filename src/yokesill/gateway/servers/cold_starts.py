"""Whether this node may send a cold server one more request.

A server that has just started can do few requests a second for all nodes together, and falls over well
above that. Nodes can't agree on each request, and an equal share of a few requests a second is less than
one a node. So a few nodes own a cold server, by rendezvous hash of its name and theirs: each owner sends a
fixed number in any second, all other nodes send nothing.

Inputs: the service's rate for cold servers (its configuration), the limits for all nodes together
(settings), the names of all nodes, what this node sent; seconds of its clock. Other ways and their figures:
"Cold servers" in ``docs/design/evacuations-and-cold-servers.md``.
"""

from collections import deque
from collections.abc import Collection
from typing import NamedTuple

from yokesill.gateway.documents import ServerRecord
from yokesill.rendezvous import name_hash, weight

# The rates are a second's, in any second.
WINDOW_S = 1.0
# The share of the limit that owners may use. The rest covers nodes whose view of who the nodes are differs
# for a while and so yields other owners, and requests that wait for a connection once allowed and arrive in a
# later second.
DEALT_SHARE = 0.5


class ColdStartLimits(NamedTuple):
    """What all nodes together may send a cold server in a second.

    The service's rate times ``overshoot``, plus ``slack`` requests.
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
        """Set which nodes there are; before the first call this node owns nothing."""
        self._nodes = {name: name_hash(name) for name in names}
        self._owned.clear()

    def allows(self, server: ServerRecord, cold_requests_per_s: float, now: float) -> bool:
        """Whether this node may send a cold server one more request now.

        ``cold_requests_per_s`` is the rate for such a server in its service's configuration.
        """
        limit = cold_requests_per_s * self._limits.overshoot + self._limits.slack
        dealt = int(DEALT_SHARE * limit)
        owners = max(1, min(dealt, len(self._nodes)))
        if dealt < 1 or not self._owns(server.instance, owners):
            return False
        sent = self._sent_at_s.get(server.instance)
        if sent is None:
            return True
        while sent and now - sent[0] >= WINDOW_S:
            sent.popleft()
        return len(sent) < dealt // owners

    def sent(self, server: ServerRecord, now: float) -> None:
        """Count a request that was allowed."""
        self._sent_at_s.setdefault(server.instance, deque()).append(now)

    def forget(self, instance: str) -> None:
        """Drop the count of a server that is gone."""
        self._sent_at_s.pop(instance, None)

    def _owns(self, instance: str, owners: int) -> bool:
        """Whether this node is among a server's first ``owners`` by rendezvous."""
        key = (instance, owners)
        owned = self._owned.get(key)
        if owned is None:
            owned = self._owned[key] = self._ranks_among(instance, owners)
        return owned

    def _ranks_among(self, instance: str, owners: int) -> bool:
        mine = self._nodes.get(self._own)
        if mine is None:
            return False
        subject = name_hash(instance)
        own_key = (weight(mine, subject), self._own)
        before = sum((weight(hashed, subject), name) < own_key for name, hashed in self._nodes.items())
        return before < owners

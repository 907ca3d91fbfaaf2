"""How much of what a cold server bears this node may send it.

A cold server bears few requests a second from all nodes together, and falls over well above that. Nodes
can't ask one another for each request, and an equal share of a few requests a second is less than
one for each of many nodes, which no node can keep to alone. So a few nodes own a cold server, by
rendezvous of its name with theirs; each owner sends a fixed number in any second and the others nothing.
"""

from collections import deque
from collections.abc import Collection
from typing import NamedTuple

from yokesill.gateway.documents import ServerRecord
from yokesill.rendezvous import name_hash, weight

WINDOW_S = 1.0
# Half of the bound is dealt out. The other half covers nodes that count others differently for a while,
# and requests that wait for a connection after they were allowed and so fall into a later second.
DEALT_SHARE = 0.5


class ColdStartLimits(NamedTuple):
    """How far beyond its own figure a cold server may be asked in one second.

    The bound is the service's figure times ``overshoot``, plus ``slack`` requests.
    """

    overshoot: float = 1.0
    slack: float = 0.0


class ColdStarts:
    """One node's part in asking cold servers; times in seconds of its clock.

    Parameters
    ----------
    own
        This node's name.
    terms
        The bound for all nodes together.
    """

    def __init__(self, own: str, terms: ColdStartLimits) -> None:
        self._own = own
        self._terms = terms
        self._nodes: dict[str, int] = {}
        self._owned: dict[tuple[str, int], bool] = {}
        self._sent_at_s: dict[str, deque[float]] = {}

    def set_nodes(self, names: Collection[str]) -> None:
        """Take which nodes there are; until it is told, this node owns nothing."""
        self._nodes = {name: name_hash(name) for name in names}
        self._owned.clear()

    def allows(self, server: ServerRecord, bears_per_s: float, now: float) -> bool:
        """Whether this node may send a cold server one more request now.

        ``bears_per_s`` is what such a server bears by its service's configuration.
        """
        dealt = int(DEALT_SHARE * (bears_per_s * self._terms.overshoot + self._terms.slack))
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
        """Drop what is kept of a server that is gone."""
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

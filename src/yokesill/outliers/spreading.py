"""Who judges a subject among the nodes, and how a finding reaches all of them.

Each subject has two judges, by rendezvous hash, so that what many nodes see of it comes together and nobody
is in charge; two, since one may be gone. A finding goes to the nodes of the finder's own zone, and to two
nodes of each other zone, which hand it on within theirs: zones are dear to cross.
"""

import random
from collections import defaultdict
from collections.abc import Iterable
from typing import NamedTuple

from yokesill.rendezvous import name_hash, weight

JUDGES = 2
RELAYS_PER_ZONE = 2
# Who judged what is kept for so many subjects; working it out anew costs a hash for each node.
MOST_KEPT = 20_000


class Peer(NamedTuple):
    """A node that can be reached by datagrams; ``address`` is ``IP:PORT``."""

    node: str
    address: str
    zone: str


class Datagram(NamedTuple):
    """What to send where."""

    address: str
    data: bytes


class Spreading:
    """One node's view of the nodes that share findings.

    Parameters
    ----------
    own
        This node.
    source
        Chooses relays.
    """

    def __init__(self, own: Peer, source: random.Random) -> None:
        self.own = own
        self._random = source
        self._peers: dict[str, Peer] = {}
        self._addresses: frozenset[str] = frozenset()
        self._hashes: dict[str, int] = {own.node: name_hash(own.node)}
        self._judges: dict[str, tuple[str, ...]] = {}

    def set_peers(self, peers: Iterable[Peer]) -> None:
        """Take the other nodes."""
        known = {peer.node: peer for peer in peers if peer.node != self.own.node}
        if known == self._peers:
            return
        self._peers = known
        self._addresses = frozenset(peer.address for peer in known.values())
        self._hashes = {node: name_hash(node) for node in (*known, self.own.node)}
        self._judges.clear()

    def knows(self, address: str) -> bool:
        """Whether a node is reached at an address."""
        return address in self._addresses

    def address_of(self, node: str) -> str | None:
        """Return where a node is reached; ``None`` if it is gone."""
        peer = self._peers.get(node)
        return None if peer is None else peer.address

    def judges_of(self, subject: str) -> tuple[str, ...]:
        """Return the nodes that judge a subject, this one perhaps among them."""
        judges = self._judges.get(subject)
        if judges is None:
            hashed = name_hash(subject)
            ranked = sorted(self._hashes, key=lambda node: weight(self._hashes[node], hashed))
            if len(self._judges) >= MOST_KEPT:
                self._judges.clear()
            judges = self._judges[subject] = tuple(ranked[:JUDGES])
        return judges

    def forget(self, subject: str) -> None:
        """Drop what is kept of a subject that is gone."""
        self._judges.pop(subject, None)

    def within_zone(self, data: bytes) -> list[Datagram]:
        """Return a message for each other node of this zone."""
        near = (peer for peer in self._peers.values() if peer.zone == self.own.zone)
        return [Datagram(peer.address, data) for peer in near]

    def everywhere(self, data: bytes) -> list[Datagram]:
        """Return a message for each other node."""
        return [Datagram(peer.address, data) for peer in self._peers.values()]

    def to_other_zones(self, data: bytes) -> list[Datagram]:
        """Return a message for some nodes of each other zone, which hand it on."""
        zones: dict[str, list[Peer]] = defaultdict(list)
        for peer in self._peers.values():
            if peer.zone != self.own.zone:
                zones[peer.zone].append(peer)
        chosen = [
            peer
            for peers in zones.values()
            for peer in self._random.sample(peers, min(RELAYS_PER_ZONE, len(peers)))
        ]
        return [Datagram(peer.address, data) for peer in chosen]

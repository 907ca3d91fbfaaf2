"""Which nodes own a subject, and how a finding reaches all nodes.

A subject (a server, a request's fingerprint) has two owners, by rendezvous hash over all nodes: what many
nodes see of it comes together there, and nobody is in charge of all. A finding goes to every node of the
finder's zone and to two relays in each other zone, which pass it on within theirs, since traffic between
zones is priced.
"""

import random
from collections import defaultdict
from collections.abc import Iterable
from typing import NamedTuple

from yokesill.rendezvous import name_hash, weight

# One of a subject's owners may be gone. A third would add a datagram to each report.
OWNERS = 2
# A zone learns a finding although one of its relays is gone.
RELAYS_PER_ZONE = 2
# Owners are cached for so many subjects (a large site has some thousand servers); ranking the nodes for one
# anew costs a hash for each node.
OWNERS_CACHED = 20_000


class Peer(NamedTuple):
    """A node that can be reached by datagrams; ``address`` is ``IP:PORT``."""

    node: str
    address: str
    zone: str


class Datagram(NamedTuple):
    """What to send where; ``address`` is ``IP:PORT``."""

    address: str
    data: bytes


class Dissemination:
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
        self._owners: dict[str, tuple[str, ...]] = {}

    def set_peers(self, peers: Iterable[Peer]) -> None:
        """Set the other nodes."""
        known = {peer.node: peer for peer in peers if peer.node != self.own.node}
        if known == self._peers:
            return
        self._peers = known
        self._addresses = frozenset(peer.address for peer in known.values())
        self._hashes = {node: name_hash(node) for node in (*known, self.own.node)}
        self._owners.clear()

    def knows(self, address: str) -> bool:
        """Whether a node is reached at an address."""
        return address in self._addresses

    def address_of(self, node: str) -> str | None:
        """Return where a node is reached; ``None`` if it is gone."""
        peer = self._peers.get(node)
        return None if peer is None else peer.address

    def owners_of(self, subject: str) -> tuple[str, ...]:
        """Return the nodes that own a subject, this one perhaps among them."""
        owners = self._owners.get(subject)
        if owners is None:
            hashed = name_hash(subject)
            ranked = sorted(self._hashes, key=lambda node: weight(self._hashes[node], hashed))
            if len(self._owners) >= OWNERS_CACHED:
                self._owners.clear()
            owners = self._owners[subject] = tuple(ranked[:OWNERS])
        return owners

    def forget(self, subject: str) -> None:
        """Drop what is cached of a subject that is gone."""
        self._owners.pop(subject, None)

    def within_zone(self, data: bytes) -> list[Datagram]:
        """Return a datagram for each other node of this zone."""
        near = (peer for peer in self._peers.values() if peer.zone == self.own.zone)
        return [Datagram(peer.address, data) for peer in near]

    def everywhere(self, data: bytes) -> list[Datagram]:
        """Return a datagram for each other node."""
        return [Datagram(peer.address, data) for peer in self._peers.values()]

    def to_other_zones(self, data: bytes) -> list[Datagram]:
        """Return a datagram for some relays in each other zone."""
        zones: dict[str, list[Peer]] = defaultdict(list)
        for peer in self._peers.values():
            if peer.zone != self.own.zone:
                zones[peer.zone].append(peer)
        relays = [
            peer
            for peers in zones.values()
            for peer in self._random.sample(peers, min(RELAYS_PER_ZONE, len(peers)))
        ]
        return [Datagram(peer.address, data) for peer in relays]

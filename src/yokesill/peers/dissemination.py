"""Assigns owners to subjects and selects the recipients of findings.

A subject (a server or a request's fingerprint) has two owners, chosen by rendezvous hash over all nodes. They
collect what many nodes observe of it, without one node in charge of all subjects. A finding goes to every
node of the sender's zone and to two relays in each other zone, which forward it within theirs, since traffic
between zones is billed.
"""

import random
from collections import defaultdict
from collections.abc import Iterable
from typing import NamedTuple

from yokesill.rendezvous import name_hash, weight

# One of a subject's owners may be down. A third would add a datagram to each report.
OWNERS = 2
# A zone receives a finding even if one of its relays is down.
RELAYS_PER_ZONE = 2
# Number of subjects whose owners are cached: a large site has some thousand servers. Ranking the nodes for a
# subject costs one hash for each node.
MAX_CACHED_SUBJECTS = 20_000


class Peer(NamedTuple):
    """A node that can be reached by datagrams; ``address`` is ``IP:PORT``."""

    node: str
    address: str
    zone: str


class Datagram(NamedTuple):
    """Bytes to send and their destination; ``address`` is ``IP:PORT``."""

    address: str
    data: bytes


class Dissemination:
    """One node's view of the nodes that share findings.

    Parameters
    ----------
    own
        This node.
    source
        Random source for choosing relays.
    """

    def __init__(self, own: Peer, source: random.Random) -> None:
        self.own = own
        self._random = source
        self._peers: dict[str, Peer] = {}
        self._addresses: frozenset[str] = frozenset()
        self._hashes: dict[str, int] = {own.node: name_hash(own.node)}
        self._owners: dict[str, tuple[str, ...]] = {}

    def set_peers(self, peers: Iterable[Peer]) -> None:
        """Replace the known peers; this node itself is ignored."""
        known = {peer.node: peer for peer in peers if peer.node != self.own.node}
        if known == self._peers:
            return
        self._peers = known
        self._addresses = frozenset(peer.address for peer in known.values())
        self._hashes = {node: name_hash(node) for node in (*known, self.own.node)}
        self._owners.clear()

    def is_peer(self, address: str) -> bool:
        """Whether an address is that of a known peer."""
        return address in self._addresses

    def address_of(self, node: str) -> str | None:
        """Return a peer's address; ``None`` if it is unknown."""
        peer = self._peers.get(node)
        return None if peer is None else peer.address

    def owners_of(self, subject: str) -> tuple[str, ...]:
        """Return the nodes that own a subject; this node may be one of them."""
        owners = self._owners.get(subject)
        if owners is None:
            subject_hash = name_hash(subject)
            ranked = sorted(self._hashes, key=lambda node: weight(self._hashes[node], subject_hash))
            if len(self._owners) >= MAX_CACHED_SUBJECTS:
                self._owners.clear()
            owners = self._owners[subject] = tuple(ranked[:OWNERS])
        return owners

    def forget(self, subject: str) -> None:
        """Drop the cached owners of a subject that was removed."""
        self._owners.pop(subject, None)

    def to_own_zone(self, data: bytes) -> list[Datagram]:
        """Return a datagram for each other node of this zone."""
        zone_peers = (peer for peer in self._peers.values() if peer.zone == self.own.zone)
        return [Datagram(peer.address, data) for peer in zone_peers]

    def to_all_nodes(self, data: bytes) -> list[Datagram]:
        """Return a datagram for each other node."""
        return [Datagram(peer.address, data) for peer in self._peers.values()]

    def to_other_zones(self, data: bytes) -> list[Datagram]:
        """Return a datagram for each of ``RELAYS_PER_ZONE`` random relays in each other zone."""
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

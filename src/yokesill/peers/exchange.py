"""Queues of outgoing entries: reports to a subject's owners, and findings to all nodes.

Entries stay queued until the next ``flush``, so that entries added at about the same time share datagrams.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable
from typing import Generic, TypeVar

from yokesill.peers.chunks import by_count
from yokesill.peers.dissemination import Datagram, Dissemination

Entry = TypeVar("Entry")


class ReportQueue(Generic[Entry]):
    """Queues entries for individual nodes.

    Parameters
    ----------
    nodes
        Gives each node's address.
    entries_per_datagram
        How many entries fit into one datagram.
    encode
        Encodes some entries as a datagram.
    """

    def __init__(
        self,
        nodes: Dissemination,
        entries_per_datagram: int,
        encode: Callable[[tuple[Entry, ...]], bytes],
    ) -> None:
        self._nodes = nodes
        self._entries_per_datagram = entries_per_datagram
        self._encode = encode
        self._by_node: dict[str, list[Entry]] = defaultdict(list)

    @property
    def pending(self) -> bool:
        """Whether ``flush`` would return anything."""
        return bool(self._by_node)

    def add(self, node: str, entry: Entry) -> None:
        """Queue an entry for a node."""
        self._by_node[node].append(entry)

    def flush(self) -> list[Datagram]:
        """Return all queued datagrams and empty the queue; entries for unknown nodes are dropped."""
        datagrams: list[Datagram] = []
        for node, entries in self._by_node.items():
            address = self._nodes.address_of(node)
            if address is not None:
                chunks = by_count(entries, self._entries_per_datagram)
                datagrams += [Datagram(address, self._encode(chunk)) for chunk in chunks]
        self._by_node.clear()
        return datagrams


class FindingQueue(Generic[Entry]):
    """Queues this node's findings for all nodes, and other nodes' findings to relay within its zone.

    Parameters
    ----------
    nodes
        Gives the nodes' addresses and chooses relays.
    entries_per_datagram
        How many findings fit into one datagram.
    encode
        Encodes some findings as a datagram; the flag says whether its receiver must relay them.
    is_urgent
        Whether a finding is sent to each node directly instead of through relays.
    """

    def __init__(
        self,
        nodes: Dissemination,
        entries_per_datagram: int,
        encode: Callable[[tuple[Entry, ...], bool], bytes],
        is_urgent: Callable[[Entry], bool] | None = None,
    ) -> None:
        self._nodes = nodes
        self._entries_per_datagram = entries_per_datagram
        self._encode = encode
        self._is_urgent = is_urgent
        self._urgent: list[Entry] = []
        self._found: list[Entry] = []
        self._relayed: list[Entry] = []

    @property
    def pending(self) -> bool:
        """Whether ``flush`` would return anything."""
        return bool(self._urgent or self._found or self._relayed)

    @property
    def urgent(self) -> bool:
        """Whether an urgent finding is queued."""
        return bool(self._urgent)

    def add(self, finding: Entry) -> None:
        """Queue a finding of this node."""
        is_urgent = self._is_urgent is not None and self._is_urgent(finding)
        (self._urgent if is_urgent else self._found).append(finding)

    def relay(self, findings: Iterable[Entry]) -> None:
        """Queue findings of a node in another zone for the nodes of this zone."""
        self._relayed += findings

    def flush(self) -> list[Datagram]:
        """Return all queued datagrams and empty the queues."""
        datagrams: list[Datagram] = []
        for chunk in by_count(self._urgent, self._entries_per_datagram):
            datagrams += self._nodes.to_all_nodes(self._encode(chunk, False))
        for chunk in by_count(self._found, self._entries_per_datagram):
            datagrams += self._nodes.to_own_zone(self._encode(chunk, False))
            datagrams += self._nodes.to_other_zones(self._encode(chunk, True))
        for chunk in by_count(self._relayed, self._entries_per_datagram):
            datagrams += self._nodes.to_own_zone(self._encode(chunk, False))
        for queue in (self._urgent, self._found, self._relayed):
            queue.clear()
        return datagrams

"""Connects one node to the cluster-wide detection of slow and failing servers.

A node sends its observations of a server to that server's owners. As an owner, it feeds the observations of
all nodes to its ``OutlierDetector`` and sends the resulting suspicions to all nodes.
"""

import random
from collections.abc import Iterable

from yokesill.outliers.detector import OutlierDetector
from yokesill.outliers.messages import (
    ENTRIES_PER_DATAGRAM,
    Observation,
    Observations,
    Suspicion,
    Suspicions,
    decode,
    encode,
)
from yokesill.peers.dissemination import Datagram, Dissemination, Peer
from yokesill.peers.exchange import FindingQueue, ReportQueue

# A node reports a server at most once in this time, since detectors count observations within 0.1 s as one.
MIN_REPORT_INTERVAL_S = 0.1


class OutlierExchange:
    """Shares one node's observations of servers, and suspicions, with the other nodes.

    Parameters
    ----------
    own
        This node.
    source
        Random source for choosing relays.
    """

    def __init__(self, own: Peer, source: random.Random) -> None:
        self._own = own
        self._nodes = Dissemination(own, source)
        self._detector = OutlierDetector()
        self._reported_at_s: dict[str, float] = {}
        self._reports: ReportQueue[Observation] = ReportQueue(
            self._nodes, ENTRIES_PER_DATAGRAM, lambda entries: encode(Observations(entries))
        )
        self._findings: FindingQueue[Suspicion] = FindingQueue(
            self._nodes, ENTRIES_PER_DATAGRAM, lambda entries, relay: encode(Suspicions(entries, relay))
        )

    @property
    def pending(self) -> bool:
        """Whether ``flush`` would return anything."""
        return self._reports.pending or self._findings.pending

    def set_peers(self, peers: Iterable[Peer]) -> None:
        """Replace the known peers; this node itself is ignored."""
        self._nodes.set_peers(peers)

    def observe(self, observation: Observation, now: float) -> list[Suspicion]:
        """Report an observation to the server's owners, at most once per ``MIN_REPORT_INTERVAL_S``.

        Returns
        -------
        list of Suspicion
            The suspicion that it raises if this node is an owner; the suspicion is also queued for all nodes.
        """
        instance = observation.instance
        if now - self._reported_at_s.get(instance, -MIN_REPORT_INTERVAL_S) < MIN_REPORT_INTERVAL_S:
            return []
        self._reported_at_s[instance] = now
        suspicions: list[Suspicion] = []
        for node in self._nodes.owners_of(instance):
            if node == self._own.node:
                suspicions += self._detect(observation, now)
            else:
                self._reports.add(node, observation)
        return suspicions

    def receive(self, data: bytes, now: float) -> list[Suspicion]:
        """Handle a datagram and return the suspicions that this node must apply.

        Raises
        ------
        ValueError
            If it is not a valid message.
        """
        message = decode(data)
        if isinstance(message, Observations):
            return [
                suspicion
                for observation in message.observations
                for suspicion in self._detect(observation, now)
            ]
        if message.relay:
            self._findings.relay(message.suspicions)
        return list(message.suspicions)

    def flush(self) -> list[Datagram]:
        """Return all queued datagrams and empty the queues."""
        return self._reports.flush() + self._findings.flush()

    def forget(self, instance: str) -> None:
        """Drop the state of a server that was removed."""
        self._reported_at_s.pop(instance, None)
        self._nodes.forget(instance)

    def _detect(self, observation: Observation, now: float) -> list[Suspicion]:
        suspicion = self._detector.observe(observation, now)
        if suspicion is None:
            return []
        self._findings.add(suspicion)
        return [suspicion]

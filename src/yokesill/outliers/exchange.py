"""One node's share in finding slow and failing servers.

What it saw goes to each server's owners; as an owner it feeds its ``OutlierDetector`` with what all nodes
saw, and passes suspicions on to all nodes.
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

# A node reports a server once in this time, as detectors take what comes within 0.1 s for one observation.
LEAST_INTERVAL_S = 0.1


class OutlierExchange:
    """One node's share in finding slow and failing servers.

    Parameters
    ----------
    own
        This node.
    source
        Chooses relays.
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
        """Set the other nodes."""
        self._nodes.set_peers(peers)

    def observe(self, observation: Observation, now: float) -> list[Suspicion]:
        """Report what this node saw of a server; return what this node itself finds from it."""
        instance = observation.instance
        if now - self._reported_at_s.get(instance, -LEAST_INTERVAL_S) < LEAST_INTERVAL_S:
            return []
        self._reported_at_s[instance] = now
        found: list[Suspicion] = []
        for node in self._nodes.owners_of(instance):
            if node == self._own.node:
                found += self._detect(observation, now)
            else:
                self._reports.add(node, observation)
        return found

    def receive(self, data: bytes, now: float) -> list[Suspicion]:
        """Read a datagram; return the suspicions that hold here now.

        Raises
        ------
        ValueError
            It is no message.
        """
        message = decode(data)
        if isinstance(message, Observations):
            return [found for seen in message.observations for found in self._detect(seen, now)]
        if message.relay:
            self._findings.relay(message.suspicions)
        return list(message.suspicions)

    def flush(self) -> list[Datagram]:
        """Return what is to be sent now."""
        return self._reports.flush() + self._findings.flush()

    def forget(self, instance: str) -> None:
        """Drop what is kept of a server that is gone."""
        self._reported_at_s.pop(instance, None)
        self._nodes.forget(instance)

    def _detect(self, observation: Observation, now: float) -> list[Suspicion]:
        suspicion = self._detector.observe(observation, now)
        if suspicion is None:
            return []
        self._findings.add(suspicion)
        return [suspicion]

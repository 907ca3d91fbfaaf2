"""One node's part in finding slow and failing servers: its observations go to each server's judges."""

import random
from collections import defaultdict
from collections.abc import Iterable
from functools import singledispatchmethod
from typing import Any

from yokesill.outliers.detector import OutlierDetector
from yokesill.outliers.messages import (
    Observation,
    Observations,
    Suspicion,
    Suspicions,
    decode,
    encode,
    in_datagrams,
)
from yokesill.outliers.spreading import Datagram, Peer, Spreading

LEAST_INTERVAL_S = 0.1


class OutlierExchange:
    """One node's part in finding slow and failing servers.

    Parameters
    ----------
    own
        This node.
    source
        Chooses relays.
    """

    def __init__(self, own: Peer, source: random.Random) -> None:
        self._own = own
        self._spreading = Spreading(own, source)
        self._detector = OutlierDetector()
        self._told_at: dict[str, float] = {}
        self._observed: dict[str, list[Observation]] = defaultdict(list)
        self._found: list[Suspicion] = []
        self._relayed: list[Suspicion] = []

    @property
    def pending(self) -> bool:
        """Whether ``flush`` would send anything."""
        return bool(self._observed or self._found or self._relayed)

    def set_peers(self, peers: Iterable[Peer]) -> None:
        """Take the other nodes."""
        self._spreading.set_peers(peers)

    def observe(self, observation: Observation, now: float) -> list[Suspicion]:
        """Take what this node saw of a server; return what it finds itself."""
        instance = observation.instance
        if now - self._told_at.get(instance, -LEAST_INTERVAL_S) < LEAST_INTERVAL_S:
            return []
        self._told_at[instance] = now
        found: list[Suspicion] = []
        for node in self._spreading.judges_of(instance):
            if node == self._own.node:
                found += self._judged(observation, now)
            else:
                self._observed[node].append(observation)
        return found

    def receive(self, data: bytes, now: float) -> list[Suspicion]:
        """Take a datagram; return the suspicions that hold here now.

        Raises
        ------
        ValueError
            It is no message.
        """
        return self._take(decode(data), now)

    def flush(self) -> list[Datagram]:
        """Return what is to be sent now."""
        datagrams: list[Datagram] = []
        for node, observations in self._observed.items():
            address = self._spreading.address_of(node)
            if address is not None:
                chunks = (encode(Observations(each)) for each in in_datagrams(observations))
                datagrams += [Datagram(address, data) for data in chunks]
        for chunk in in_datagrams(self._found):
            datagrams += self._spreading.within_zone(encode(Suspicions(chunk, relay=False)))
            datagrams += self._spreading.to_other_zones(encode(Suspicions(chunk, relay=True)))
        for chunk in in_datagrams(self._relayed):
            datagrams += self._spreading.within_zone(encode(Suspicions(chunk, relay=False)))
        self._observed.clear()
        self._found.clear()
        self._relayed.clear()
        return datagrams

    def forget(self, instance: str) -> None:
        """Drop what is kept of a server that is gone."""
        self._told_at.pop(instance, None)
        self._spreading.forget(instance)

    # --- judging ---

    @singledispatchmethod
    def _take(self, message: Any, now: float) -> list[Suspicion]:
        raise ValueError(f"nothing to do for {type(message).__name__}")

    @_take.register
    def _(self, message: Observations, now: float) -> list[Suspicion]:
        return [each for seen in message.observations for each in self._judged(seen, now)]

    @_take.register
    def _(self, message: Suspicions, now: float) -> list[Suspicion]:
        if message.relay:
            self._relayed += message.suspicions
        return list(message.suspicions)

    def _judged(self, observation: Observation, now: float) -> list[Suspicion]:
        suspicion = self._detector.observe(observation, now)
        if suspicion is None:
            return []
        self._found.append(suspicion)
        return [suspicion]

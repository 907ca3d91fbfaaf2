"""One node's part in finding requests that end servers: what it saw goes to each request's judges.

What comes of it, the router's judge decides; this only knows whom to tell. A finding is told to all nodes: a
suspicion by way of a few nodes of each zone, a quarantine directly and at once, since the request's caller
comes back within milliseconds, at any node. Such findings are few: one for each request that ends servers.
"""

import random
from collections import defaultdict
from collections.abc import Iterable, Iterator
from typing import Any

from yokesill.outliers.messages import in_datagrams
from yokesill.outliers.spreading import Datagram, Peer, Spreading
from yokesill.quarantine.detector import QuarantineStatus
from yokesill.quarantine.messages import (
    ENTRIES_PER_DATAGRAM,
    AnswerReport,
    Answers,
    Losses,
    LossReport,
    Message,
    QuarantineFinding,
    QuarantineFindings,
    decode,
    encode,
)


class QuarantineExchange:
    """What one node tells the others of requests under which servers ended.

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
        self._lost: dict[str, list[LossReport]] = defaultdict(list)
        self._answered: dict[str, list[AnswerReport]] = defaultdict(list)
        self._found: list[QuarantineFinding] = []
        self._relayed: list[QuarantineFinding] = []

    @property
    def urgent(self) -> bool:
        """Whether something is to be sent that can't wait for more to go with it."""
        return any(each.standing is QuarantineStatus.QUARANTINED for each in self._found)

    @property
    def pending(self) -> bool:
        """Whether ``flush`` would send anything."""
        return bool(self._lost or self._answered or self._found or self._relayed)

    def set_peers(self, peers: Iterable[Peer]) -> None:
        """Take the other nodes."""
        self._spreading.set_peers(peers)

    def judges(self, fingerprint: str) -> bool:
        """Whether this node is one of a request's judges."""
        return self._own.node in self._spreading.judges_of(fingerprint)

    def lost(self, told: LossReport) -> None:
        """Tell the other judges that a server ended under a request."""
        for node in self._others(told.fingerprint):
            self._lost[node].append(told)

    def answered(self, told: AnswerReport) -> None:
        """Tell the other judges that a server answered it."""
        for node in self._others(told.fingerprint):
            self._answered[node].append(told)

    def found(self, told: QuarantineFinding) -> None:
        """Tell all nodes what this one found."""
        self._found.append(told)

    def receive(self, data: bytes, sender: str) -> Message:
        """Take a datagram from ``sender`` (``IP:PORT``); return what it tells.

        Raises
        ------
        ValueError
            It is no message, or comes from no node: a stranger could have any request refused.
        """
        if not self._spreading.knows(sender):
            raise ValueError("it comes from no node that is known")
        message = decode(data)
        if isinstance(message, QuarantineFindings) and message.relay:
            self._relayed += message.standings
        return message

    def flush(self) -> list[Datagram]:
        """Return what is to be sent now."""
        datagrams: list[Datagram] = []
        for node, losses in self._lost.items():
            datagrams += self._to(node, (encode(Losses(each)) for each in _in_datagrams(losses)))
        for node, answers in self._answered.items():
            datagrams += self._to(node, (encode(Answers(each)) for each in _in_datagrams(answers)))
        urgent = [each for each in self._found if each.standing is QuarantineStatus.QUARANTINED]
        for chunk in _in_datagrams(urgent):
            datagrams += self._spreading.everywhere(encode(QuarantineFindings(chunk, relay=False)))
        others = [each for each in self._found if each.standing is not QuarantineStatus.QUARANTINED]
        for chunk in _in_datagrams(others):
            datagrams += self._spreading.to_other_zones(encode(QuarantineFindings(chunk, relay=True)))
        for chunk in _in_datagrams([*others, *self._relayed]):
            datagrams += self._spreading.within_zone(encode(QuarantineFindings(chunk, relay=False)))
        for each in (self._lost, self._answered, self._found, self._relayed):
            each.clear()
        return datagrams

    def _others(self, fingerprint: str) -> list[str]:
        return [node for node in self._spreading.judges_of(fingerprint) if node != self._own.node]

    def _to(self, node: str, messages: Iterable[bytes]) -> list[Datagram]:
        address = self._spreading.address_of(node)
        return [] if address is None else [Datagram(address, data) for data in messages]


def _in_datagrams(entries: Iterable[Any]) -> Iterator[tuple[Any, ...]]:
    return in_datagrams(entries, ENTRIES_PER_DATAGRAM)

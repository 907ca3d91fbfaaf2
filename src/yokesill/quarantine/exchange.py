"""Whom one node tells about requests that crash servers.

Losses and answers go to the request's owners. What follows from them is the router's ``CrashDetector`` to
decide; this only knows whom to tell. A finding goes to all nodes: a suspicion by way of relays, a quarantine
directly and at once, since the request's caller retries within milliseconds, at any node. Such findings are
few: one for each request that crashes servers.
"""

import random
from collections.abc import Iterable

from yokesill.peers.dissemination import Datagram, Dissemination, Peer
from yokesill.peers.exchange import FindingQueue, ReportQueue
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
    """What one node tells the others about requests that crash servers.

    Parameters
    ----------
    own
        This node.
    source
        Chooses relays.
    """

    def __init__(self, own: Peer, source: random.Random) -> None:
        self._own = own
        self._nodes = nodes = Dissemination(own, source)
        self._losses: ReportQueue[LossReport] = ReportQueue(
            nodes, ENTRIES_PER_DATAGRAM, lambda entries: encode(Losses(entries))
        )
        self._answers: ReportQueue[AnswerReport] = ReportQueue(
            nodes, ENTRIES_PER_DATAGRAM, lambda entries: encode(Answers(entries))
        )
        self._findings: FindingQueue[QuarantineFinding] = FindingQueue(
            nodes,
            ENTRIES_PER_DATAGRAM,
            lambda entries, relay: encode(QuarantineFindings(entries, relay)),
            lambda finding: finding.status is QuarantineStatus.QUARANTINED,
        )

    @property
    def urgent(self) -> bool:
        """Whether something is to be sent that can't wait for more to go with it."""
        return self._findings.urgent

    @property
    def pending(self) -> bool:
        """Whether ``flush`` would return anything."""
        return self._losses.pending or self._answers.pending or self._findings.pending

    def set_peers(self, peers: Iterable[Peer]) -> None:
        """Set the other nodes."""
        self._nodes.set_peers(peers)

    def owns(self, fingerprint: str) -> bool:
        """Whether this node is one of a request's owners."""
        return self._own.node in self._nodes.owners_of(fingerprint)

    def report_loss(self, report: LossReport) -> None:
        """Tell the other owners that a server was lost under a request."""
        for node in self._other_owners(report.fingerprint):
            self._losses.add(node, report)

    def report_answer(self, report: AnswerReport) -> None:
        """Tell the other owners that a server answered a request."""
        for node in self._other_owners(report.fingerprint):
            self._answers.add(node, report)

    def announce(self, finding: QuarantineFinding) -> None:
        """Tell all nodes what this one found."""
        self._findings.add(finding)

    def receive(self, data: bytes, sender: str) -> Message:
        """Read a datagram from ``sender`` (``IP:PORT``).

        Raises
        ------
        ValueError
            It is no message, or its sender is no node: a stranger could have any request refused.
        """
        if not self._nodes.knows(sender):
            raise ValueError("it comes from no node that is known")
        message = decode(data)
        if isinstance(message, QuarantineFindings) and message.relay:
            self._findings.relay(message.findings)
        return message

    def flush(self) -> list[Datagram]:
        """Return what is to be sent now."""
        return self._losses.flush() + self._answers.flush() + self._findings.flush()

    def _other_owners(self, fingerprint: str) -> list[str]:
        return [node for node in self._nodes.owners_of(fingerprint) if node != self._own.node]

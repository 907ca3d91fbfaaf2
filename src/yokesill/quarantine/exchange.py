"""Distributes reports and findings about requests that crash servers.

Losses and answers go to the request's owners; the router's ``CrashDetector`` evaluates them, this module only
selects the recipients. A finding goes to all nodes: a suspicion through relays, a quarantine directly and
without delay, since the request's caller retries within milliseconds at any node. Quarantines are rare: one
for each request that crashes servers.
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
    """Exchanges one node's reports and findings about requests that crash servers with the other nodes.

    Parameters
    ----------
    own
        This node.
    source
        Random source for choosing relays.
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
        """Whether something is queued that must be sent without waiting for more to batch with it."""
        return self._findings.urgent

    @property
    def pending(self) -> bool:
        """Whether ``flush`` would return anything."""
        return self._losses.pending or self._answers.pending or self._findings.pending

    def set_peers(self, peers: Iterable[Peer]) -> None:
        """Replace the known peers; this node itself is ignored."""
        self._nodes.set_peers(peers)

    def owns(self, fingerprint: str) -> bool:
        """Whether this node is one of a request's owners."""
        return self._own.node in self._nodes.owners_of(fingerprint)

    def report_loss(self, report: LossReport) -> None:
        """Queue a report of a lost server for the request's other owners."""
        for node in self._other_owners(report.fingerprint):
            self._losses.add(node, report)

    def report_answer(self, report: AnswerReport) -> None:
        """Queue a report of an answer for the request's other owners."""
        for node in self._other_owners(report.fingerprint):
            self._answers.add(node, report)

    def announce(self, finding: QuarantineFinding) -> None:
        """Queue this node's finding for all nodes."""
        self._findings.add(finding)

    def receive(self, data: bytes, sender: str) -> Message:
        """Decode a datagram from ``sender`` (``IP:PORT``), and queue findings that this node must relay.

        Raises
        ------
        ValueError
            If it is not a valid message, or its sender is not a known node: otherwise any host could get any
            request refused.
        """
        if not self._nodes.is_peer(sender):
            raise ValueError(f"sender {sender!r} is not a known node")
        message = decode(data)
        if isinstance(message, QuarantineFindings) and message.relay:
            self._findings.relay(message.findings)
        return message

    def flush(self) -> list[Datagram]:
        """Return all queued datagrams and empty the queues."""
        return self._losses.flush() + self._answers.flush() + self._findings.flush()

    def _other_owners(self, fingerprint: str) -> list[str]:
        return [node for node in self._nodes.owners_of(fingerprint) if node != self._own.node]

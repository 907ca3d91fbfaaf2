"""What nodes tell one another of requests that end servers: to whom, in which bytes, and from whom."""

import random

import pytest

from yokesill.peers.dissemination import Peer
from yokesill.peers.frame import kind_of
from yokesill.quarantine.detector import Loss, QuarantineStatus
from yokesill.quarantine.exchange import QuarantineExchange
from yokesill.quarantine.messages import (
    QUARANTINE_KINDS,
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

PEERS = [
    Peer(f"z{zone}-{number}", f"10.0.{zone}.{number}:7", f"z{zone}")
    for zone in range(3)
    for number in range(5)
]
MESSAGES: list[Message] = [
    Losses((LossReport("ab", Loss("i-1", "s", True)), LossReport("cd", Loss("i-2", "t")))),
    Answers((AnswerReport("ab", "s", True),)),
    QuarantineFindings((QuarantineFinding("ab", QuarantineStatus.QUARANTINED),), relay=True),
]


def exchange(peer: Peer) -> QuarantineExchange:
    made = QuarantineExchange(peer, random.Random(peer.node))
    made.set_peers(PEERS)
    return made


@pytest.mark.parametrize("message", MESSAGES)
def test_messages_come_back_as_they_went(message: Message) -> None:
    data = encode(message)
    assert decode(data) == message
    assert kind_of(data) in QUARANTINE_KINDS


@pytest.mark.parametrize(
    "data",
    [b"", b"\xff", b"\x82\x03", b"\x82\x03\x81\x81\x60", b"\x83\x05\x81\x82\x61a\x09\xf5", b"\x82\x09\x80"],
)
def test_bytes_that_are_no_message_are_told_apart(data: bytes) -> None:
    with pytest.raises(ValueError, match="datagram"):
        decode(data)


def test_a_loss_goes_to_the_requests_judges_only() -> None:
    seer = exchange(PEERS[0])
    seer.report_loss(LossReport("ab", Loss("i-1", "s")))
    reached = {each.address for each in seer.flush()}
    owners = {peer.address for peer in PEERS if exchange(peer).owns("ab")}
    assert reached == owners - {PEERS[0].address}
    assert len(owners) == 2
    assert not seer.pending


@pytest.mark.parametrize(
    ("status", "crossed"), [(QuarantineStatus.SUSPECTED, 2 * 2), (QuarantineStatus.QUARANTINED, 10)]
)
def test_a_finding_reaches_every_node_and_a_suspicion_crosses_zones_a_few_times_only(
    status: QuarantineStatus, crossed: int
) -> None:
    nodes = {peer.address: exchange(peer) for peer in PEERS}
    told: set[str] = set()
    crossings = 0
    nodes[PEERS[0].address].announce(QuarantineFinding("ab", status))
    assert nodes[PEERS[0].address].urgent is (status is QuarantineStatus.QUARANTINED)
    while any(each.pending for each in nodes.values()):
        for sender in PEERS:
            for datagram in nodes[sender.address].flush():
                zone = next(peer.zone for peer in PEERS if peer.address == datagram.address)
                crossings += zone != sender.zone
                nodes[datagram.address].receive(datagram.data, sender.address)
                told.add(datagram.address)
    assert told == {peer.address for peer in PEERS[1:]}
    assert crossings == crossed


def test_nobody_but_a_node_can_have_a_request_refused() -> None:
    node = exchange(PEERS[0])
    data = encode(QuarantineFindings((QuarantineFinding("ab", QuarantineStatus.QUARANTINED),), relay=False))
    with pytest.raises(ValueError, match="no node"):
        node.receive(data, "10.9.9.9:7")

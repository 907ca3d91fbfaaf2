"""Datagrams about requests that crash servers: encoding, recipients, and accepted senders."""

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
    created = QuarantineExchange(peer, random.Random(peer.node))
    created.set_peers(PEERS)
    return created


@pytest.mark.parametrize("message", MESSAGES)
def test_messages_survive_encoding_and_decoding(message: Message) -> None:
    data = encode(message)
    assert decode(data) == message
    assert kind_of(data) in QUARANTINE_KINDS


@pytest.mark.parametrize(
    "data",
    [b"", b"\xff", b"\x82\x03", b"\x82\x03\x81\x81\x60", b"\x83\x05\x81\x82\x61a\x09\xf5", b"\x82\x09\x80"],
)
def test_malformed_datagrams_are_rejected(data: bytes) -> None:
    with pytest.raises(ValueError, match="datagram"):
        decode(data)


def test_loss_report_goes_to_the_other_owners_only() -> None:
    observer = exchange(PEERS[0])
    observer.report_loss(LossReport("ab", Loss("i-1", "s")))
    reached = {each.address for each in observer.flush()}
    owners = {peer.address for peer in PEERS if exchange(peer).owns("ab")}
    assert reached == owners - {PEERS[0].address}
    assert len(owners) == 2
    assert not observer.pending


@pytest.mark.parametrize(
    ("status", "expected_crossings"),
    [(QuarantineStatus.SUSPECTED, 2 * 2), (QuarantineStatus.QUARANTINED, 10)],
)
def test_finding_reaches_every_node_and_suspicion_crosses_zones_through_relays_only(
    status: QuarantineStatus, expected_crossings: int
) -> None:
    nodes = {peer.address: exchange(peer) for peer in PEERS}
    informed: set[str] = set()
    zone_crossings = 0
    nodes[PEERS[0].address].announce(QuarantineFinding("ab", status))
    assert nodes[PEERS[0].address].urgent is (status is QuarantineStatus.QUARANTINED)
    while any(each.pending for each in nodes.values()):
        for sender in PEERS:
            for datagram in nodes[sender.address].flush():
                zone = next(peer.zone for peer in PEERS if peer.address == datagram.address)
                zone_crossings += zone != sender.zone
                nodes[datagram.address].receive(datagram.data, sender.address)
                informed.add(datagram.address)
    assert informed == {peer.address for peer in PEERS[1:]}
    assert zone_crossings == expected_crossings


def test_datagram_from_an_unknown_sender_is_rejected() -> None:
    node = exchange(PEERS[0])
    data = encode(QuarantineFindings((QuarantineFinding("ab", QuarantineStatus.QUARANTINED),), relay=False))
    with pytest.raises(ValueError, match="is not a known node"):
        node.receive(data, "10.9.9.9:7")

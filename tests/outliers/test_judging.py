"""Detection of slow servers: observations of many nodes reach the owners, suspicions reach all nodes."""

import random

import pytest

from yokesill.outliers.detector import OutlierDetector
from yokesill.outliers.exchange import OutlierExchange
from yokesill.outliers.messages import Observation, Observations, Suspicion, Suspicions, decode, encode
from yokesill.peers.dissemination import Peer


class Fleet:
    """Nodes in several zones whose datagrams are delivered immediately; ``unreachable`` nodes get none."""

    def __init__(self, zones: dict[str, int]) -> None:
        self.peers = [
            Peer(f"{zone}-{number}", f"10.0.{index}.{number}:7000", zone)
            for index, (zone, count) in enumerate(zones.items())
            for number in range(count)
        ]
        self.nodes = {peer.node: OutlierExchange(peer, random.Random(peer.node)) for peer in self.peers}
        self.suspicions: dict[str, list[Suspicion]] = {peer.node: [] for peer in self.peers}
        self.unreachable: set[str] = set()
        self.zone_crossings = 0
        self._node_at = {peer.address: peer for peer in self.peers}
        for exchange in self.nodes.values():
            exchange.set_peers(self.peers)

    def observe(self, node: str, instance: str, now: float) -> None:
        self.suspicions[node] += self.nodes[node].observe(Observation(instance), now)
        self._deliver(now)

    def _deliver(self, now: float) -> None:
        while any(each.pending for each in self.nodes.values()):
            for peer in self.peers:
                for datagram in self.nodes[peer.node].flush():
                    target = self._node_at[datagram.address]
                    self.zone_crossings += target.zone != peer.zone
                    if target.node not in self.unreachable:
                        found = self.nodes[target.node].receive(datagram.data, now)
                        self.suspicions[target.node] += found


def test_late_answers_at_different_nodes_raise_a_suspicion_on_every_node() -> None:
    fleet = Fleet({"z1": 6, "z2": 6, "z3": 6})
    for number, node in enumerate(["z1-0", "z2-3", "z3-5"]):
        fleet.observe(node, "slow", 10.0 + number * 0.2)
    informed = {node for node, suspicions in fleet.suspicions.items() if suspicions}
    assert informed == set(fleet.nodes)
    assert {each.instance for found in fleet.suspicions.values() for each in found} == {"slow"}


def test_findings_cross_zones_through_relays_only() -> None:
    fleet = Fleet({"z1": 30, "z2": 30})
    for number in range(3):
        fleet.observe(f"z1-{number}", "slow", 10.0 + number * 0.2)
    informed = [node for node, suspicions in fleet.suspicions.items() if suspicions]
    assert len(informed) == 60
    # Each observation goes to two owners, and each owner's finding to two relays.
    assert fleet.zone_crossings <= 3 * 2 + 2 * 2


def test_suspicions_are_raised_while_one_owner_is_down() -> None:
    fleet = Fleet({"z1": 4, "z2": 4})
    owners = fleet.nodes["z1-0"]._nodes.owners_of("slow")
    fleet.unreachable.add(owners[0])
    non_owners = [peer.node for peer in fleet.peers if peer.node not in owners]
    for number in range(3):
        fleet.observe(non_owners[number], "slow", 10.0 + number * 0.2)
    assert all(fleet.suspicions[node] for node in non_owners)


def test_late_answers_of_one_pause_count_as_one_observation() -> None:
    detector = OutlierDetector()
    assert [detector.observe(Observation("paused"), 10.0 + number * 0.005) for number in range(15)] == [
        None
    ] * 15


def test_late_answers_among_many_good_ones_raise_no_suspicion() -> None:
    detector = OutlierDetector()
    assert [detector.observe(Observation("busy", 4), 10.0 + number * 0.2) for number in range(20)] == [
        None
    ] * 20


def test_pauses_far_apart_raise_no_suspicion() -> None:
    detector = OutlierDetector()
    assert [detector.observe(Observation("paused"), 10.0 + number * 3.0) for number in range(10)] == [
        None
    ] * 10


def test_repeated_suspicions_come_sooner_and_last_longer() -> None:
    detector = OutlierDetector()
    found: list[tuple[float, float]] = []
    for tick in range(100):
        now = 10.0 + tick * 0.11
        suspicion = detector.observe(Observation("slow"), now)
        if suspicion is not None:
            found.append((round(now - 10.0, 2), suspicion.for_s))
    durations = [for_s for _, for_s in found]
    assert durations[:4] == [0.7, 1.4, 2.8, 3.0]
    unsuspected_s = found[1][0] - found[0][0] - found[0][1]
    assert unsuspected_s <= 0.35


def test_messages_survive_encoding_and_decoding() -> None:
    for message in (
        Observations((Observation("i-1", 3), Observation("i-2"))),
        Suspicions((Suspicion("i-1", 0.7), Suspicion("i-2", 3.0)), relay=True),
    ):
        assert decode(encode(message)) == message


CUT_SHORT = encode(Observations((Observation("x"),)))[:-1]


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xff\x00",
        encode(Observations((Observation("x"),)))[:-1],
        b"\x83\x09\x80\xf4",
        b"\x83\x02\x81\x01\xf4",
        # A duration that is too large for a float.
        b"\x83\x02\x81\x82\x61x\xc2\x58\x80" + b"\xff" * 128 + b"\xf4",
    ],
)
def test_malformed_datagrams_are_rejected(data: bytes) -> None:
    with pytest.raises(ValueError):
        decode(data)


def test_suspicion_above_the_maximum_duration_is_rejected() -> None:
    with pytest.raises(ValueError):
        decode(encode(Suspicions((Suspicion("i-1", 60.0),), relay=False)))


def test_many_observations_are_split_into_small_datagrams() -> None:
    fleet = Fleet({"z1": 2, "z2": 2, "z3": 2})
    exchange = fleet.nodes["z1-0"]
    for number in range(200):
        exchange.observe(Observation(f"i-{number:012d}"), 10.0)
    assert all(len(datagram.data) <= 1200 for datagram in exchange.flush())

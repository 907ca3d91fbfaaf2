"""The failure detector: SWIM-style probes, indirect probes, suspicion and refutation; sans I/O.

Every probe interval one member is pinged, in a shuffled round. Without an ack, members in several zones
are asked to ping it. Without any ack it is suspected, and unless it refutes that in time it is declared
dead. If no member of its zone has been reachable recently, the whole zone is marked unreachable instead: its
members are not declared dead one by one, so the loss of a zone causes no storm of rumors and no reshuffle.
Dead members are still pinged occasionally, so that the end of a network partition is detected.
"""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, replace

from yokesill.membership.packets import Packet, PacketKind
from yokesill.membership.records import MemberRecord, MemberStatus
from yokesill.membership.rumors import RumorQueue
from yokesill.membership.table import MemberTable


@dataclass(frozen=True, slots=True)
class DetectorOptions:
    """Intervals and limits of the failure detector; times in seconds."""

    probe_interval: float = 1.0
    probe_timeout: float = 0.3
    gossip_interval: float = 0.2
    gossip_fanout: int = 3
    indirect_probes: int = 3
    suspicion_factor: float = 1.5
    zone_silence_timeout: float = 4.0


@dataclass(frozen=True, slots=True)
class SendPacket:
    """Send ``packet`` to the member at ``address``."""

    address: str
    packet: Packet


@dataclass(slots=True)
class _Probe:
    target: str
    sequence: int
    sent_at: float
    indirect: bool = False


class FailureDetector:
    """The failure detector of one node; driven by ``tick`` and ``on_packet``."""

    def __init__(
        self,
        table: MemberTable,
        rumors: RumorQueue,
        options: DetectorOptions,
        random_source: random.Random,
    ) -> None:
        self.table = table
        self.config_digest: Callable[[], int] = int
        self.false_suspicions = 0
        self._rumors = rumors
        self._options = options
        self._random = random_source
        self._round: list[str] = []
        self._sequence = 0
        self._probe: _Probe | None = None
        self._next_probe = 0.0
        self._next_gossip = 0.0
        self._suspected_at: dict[str, float] = {}
        self._zone_reachable_at: dict[str, float] = {}
        self._relays: dict[int, tuple[str, int, str]] = {}

    # --- events ---

    def tick(self, now: float) -> list[SendPacket]:
        """Run everything that is due; must be called several times per gossip interval."""
        sends: list[SendPacket] = []
        self._check_probe(now, sends)
        self._check_suspects(now)
        if now >= self._next_probe:
            self._next_probe = now + self._options.probe_interval * (0.9 + 0.2 * self._random.random())
            self._start_probe(now, sends)
        if now >= self._next_gossip:
            self._next_gossip = now + self._options.gossip_interval
            self._gossip(sends)
        return sends

    def on_packet(self, packet: Packet, now: float) -> list[SendPacket]:
        """Answer a packet; the caller merges its rumors."""
        self._record_reachable(packet.sender, now)
        if packet.kind is PacketKind.PING:
            return [self._send(packet.sender, PacketKind.ACK, packet.sequence)]
        if packet.kind is PacketKind.INDIRECT_PING:
            return self._relay(packet)
        if packet.kind is PacketKind.ACK:
            return self._handle_ack(packet, now)
        return []

    def learn(self, record: MemberRecord, now: float) -> bool:
        """Merge a record from a peer; return whether it was new, in which case the caller passes it on."""
        if record.address == self.table.own.address:
            # The peer has an older incarnation: it doesn't have the record of this node's restart yet.
            if self.table.refute(record, now) or record.incarnation < self.table.own.incarnation:
                self._rumors.add(self.table.own)
            return False
        if record.status is MemberStatus.DEAD and self.table.get(record.address) is None:
            return False
        if not self.table.merge(record, now):
            return False
        if record.status is MemberStatus.SUSPECT:
            self._suspected_at[record.address] = now
        elif self._suspected_at.pop(record.address, None) is not None and record.serving:
            self.false_suspicions += 1
        return True

    def leave(self, now: float) -> list[SendPacket]:
        """Mark this node as leaving and return the packets that announce it immediately."""
        self.table.leave(now)
        self._rumors.add(self.table.own)
        sends: list[SendPacket] = []
        self._gossip(sends)
        return sends

    def resume(self, now: float) -> None:
        """Reset probes and timeouts after a pause of this node, during which it received nothing."""
        self._probe = None
        self._next_probe = now
        for address in self._suspected_at:
            self._suspected_at[address] = now
        for zone in self._zone_reachable_at:
            self._zone_reachable_at[zone] = now

    def reachable_since(self, moment: float, other_zone_only: bool) -> bool:
        """Whether a peer, or only one of another zone, was reachable at or after ``moment``."""
        own_zone = self.table.own.zone
        zones = self._zone_reachable_at.items()
        return any(at >= moment and not (other_zone_only and zone == own_zone) for zone, at in zones)

    # --- probing ---

    def _start_probe(self, now: float, sends: list[SendPacket]) -> None:
        target = self._next_target()
        if target is None:
            return
        self._sequence += 1
        self._probe = _Probe(target, self._sequence, now)
        sends.append(self._send(target, PacketKind.PING, self._sequence))
        dead = self.table.dead()
        if dead and self._random.random() < 0.2:
            dead_address = self._random.choice(dead).address
            sends.append(self._send(dead_address, PacketKind.PING, 0))

    def _next_target(self) -> str | None:
        while True:
            if not self._round:
                self._round = [each.address for each in self.table.peers()]
                self._random.shuffle(self._round)
                if not self._round:
                    return None
            address = self._round.pop()
            record = self.table.get(address)
            if record is not None and record.serving:
                return address

    def _check_probe(self, now: float, sends: list[SendPacket]) -> None:
        probe = self._probe
        if probe is None:
            return
        waited = now - probe.sent_at
        if not probe.indirect and waited >= self._options.probe_timeout:
            probe.indirect = True
            for helper in self._helpers(probe.target):
                sends.append(self._send(helper, PacketKind.INDIRECT_PING, probe.sequence, probe.target))
        if waited >= 3 * self._options.probe_timeout:
            self._probe = None
            self._suspect(probe.target, probe.sent_at, now)

    def _helpers(self, target: str) -> list[str]:
        """Choose members to ping ``target``: one of the target's zone first, then one of each other zone."""
        others = [
            each for each in self.table.reachable() if each.address not in (target, self.table.own.address)
        ]
        self._random.shuffle(others)
        record = self.table.get(target)
        target_zone = record.zone if record else ""
        first_of_zone = {each.zone: each for each in others}
        chosen = sorted(first_of_zone.values(), key=lambda each: each.zone != target_zone)
        chosen += [each for each in others if first_of_zone[each.zone] is not each]
        return [each.address for each in chosen[: self._options.indirect_probes]]

    def _suspect(self, address: str, probed_at: float, now: float) -> None:
        """Suspect a member that did not answer, unless its whole zone may be unreachable since the probe.

        The silence of a whole zone says nothing about a single member: every node would suspect all of the
        zone's members, which would all refute it at the same time when the partition ends.
        """
        record = self.table.get(address)
        if record is None or record.status is not MemberStatus.ALIVE:
            return
        if self._zone_silent_since(record.zone, probed_at):
            if self._zone_timed_out(record.zone, now):
                self.table.unreachable_zones.add(record.zone)
            return
        suspect = replace(record, status=MemberStatus.SUSPECT)
        self.table.merge(suspect, now)
        self._suspected_at[address] = now
        self._rumors.add(suspect)

    def _zone_timed_out(self, zone: str, now: float) -> bool:
        """Whether a zone that may be partitioned has been silent for longer than the timeout."""
        silence = now - self._zone_reachable_at.get(zone, now)
        return self._may_be_partitioned(zone) and silence > self._options.zone_silence_timeout

    def _zone_silent_since(self, zone: str, since: float) -> bool:
        """Whether a zone may be partitioned and none of its members was reachable after ``since``."""
        return self._may_be_partitioned(zone) and self._zone_reachable_at.get(zone, since) <= since

    def _may_be_partitioned(self, zone: str) -> bool:
        """Whether silence of a zone may mean a partition: it is another zone with several serving members."""
        if zone == self.table.own.zone:
            return False
        return sum(1 for each in self.table.serving() if each.zone == zone) >= 2

    def _check_suspects(self, now: float) -> None:
        members = len(self.table.serving())
        suspicion_timeout = (
            self._options.suspicion_factor * math.log(members + 2) * self._options.probe_interval
        )
        for address, since in list(self._suspected_at.items()):
            if now - since < suspicion_timeout:
                continue
            del self._suspected_at[address]
            record = self.table.get(address)
            if record is None or record.status is not MemberStatus.SUSPECT:
                continue
            if self._zone_silent_since(record.zone, since):
                # The whole zone may be unreachable: keep the suspicion until that is known.
                self._suspected_at[address] = since
                if self._zone_timed_out(record.zone, now):
                    self.table.unreachable_zones.add(record.zone)
                continue
            dead = replace(record, status=MemberStatus.DEAD)
            self.table.merge(dead, now)
            self._rumors.add(dead)

    # --- packets ---

    def _relay(self, packet: Packet) -> list[SendPacket]:
        self._sequence += 1
        self._relays = dict(list(self._relays.items())[-32:])
        self._relays[self._sequence] = (packet.sender, packet.sequence, packet.target)
        ping = self._send(packet.target, PacketKind.PING, self._sequence)
        # The gossip packet shows the requester that this zone is reachable, even if the target is not.
        return [ping, self._send(packet.sender, PacketKind.GOSSIP, 0)]

    def _handle_ack(self, packet: Packet, now: float) -> list[SendPacket]:
        relay = self._relays.pop(packet.sequence, None)
        if relay is not None:
            requester, sequence, target = relay
            return [self._send(requester, PacketKind.ACK, sequence, target)]
        probe = self._probe
        if probe is None or probe.sequence != packet.sequence:
            return []
        if probe.target in (packet.sender, packet.target):
            self._probe = None
            self._record_reachable(probe.target, now)
        return []

    def _record_reachable(self, address: str, now: float) -> None:
        record = self.table.get(address)
        if record is None:
            return
        self._zone_reachable_at[record.zone] = now
        self.table.unreachable_zones.discard(record.zone)

    def _gossip(self, sends: list[SendPacket]) -> None:
        peers = self.table.peers()
        for peer in self._random.sample(peers, min(self._options.gossip_fanout, len(peers))):
            if not len(self._rumors):
                return
            sends.append(self._send(peer.address, PacketKind.GOSSIP, 0))

    def _send(self, address: str, kind: PacketKind, sequence: int, target: str = "") -> SendPacket:
        packet = Packet(
            kind=kind,
            sender=self.table.own.address,
            sequence=sequence,
            target=target,
            config_digest=self.config_digest(),
            member_digest=self.table.digest,
            rumors=self._rumors.take(len(self.table.serving())),
        )
        return SendPacket(address, packet)

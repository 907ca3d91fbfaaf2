"""The failure detector: SWIM-style probes, indirect probes, suspicion and refutation; sans I/O.

Every probe interval one member is pinged, in a shuffled round. Without an ack, members in other
zones are asked to ping it. Without any ack it is suspected, and unless it refutes that in time it
is held for dead. When nobody in its zone has been heard of lately the zone is held for cut off
instead: its members are not declared dead one by one, so a lost zone causes no storm of rumors
and no reshuffle. The dead are still pinged now and then, so that a healed cut is noticed.
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
    """Periods and bounds of the failure detector; times in seconds."""

    probe_interval: float = 1.0
    probe_timeout: float = 0.3
    gossip_interval: float = 0.2
    gossip_fanout: int = 3
    indirect_probes: int = 3
    suspicion_factor: float = 1.5
    zone_silence: float = 4.0


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
    """One node's part in the detection; driven by ``tick`` and ``on_packet``."""

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
        self._zone_heard: dict[str, float] = {}
        self._relays: dict[int, tuple[str, int, str]] = {}

    # --- events ---

    def tick(self, now: float) -> list[SendPacket]:
        """Do what is due; call it several times a gossip interval."""
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
        """Answer a packet; its rumors are the caller's to merge."""
        self._hear(packet.sender, now)
        if packet.kind is PacketKind.PING:
            return [self._send(packet.sender, PacketKind.ACK, packet.sequence)]
        if packet.kind is PacketKind.INDIRECT_PING:
            return self._relay(packet)
        if packet.kind is PacketKind.ACK:
            return self._acknowledged(packet, now)
        return []

    def learn(self, record: MemberRecord, now: float) -> bool:
        """Merge a record from a peer; return whether it was news, which is the caller's to pass on."""
        if record.address == self.table.own.address:
            # An older incarnation is news of this node's restart that has not arrived there yet.
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
        """Tell the others at once that this node is leaving."""
        self.table.leave(now)
        self._rumors.add(self.table.own)
        sends: list[SendPacket] = []
        self._gossip(sends)
        return sends

    def resume(self, now: float) -> None:
        """Forget open probes after a pause of this node: the silence was its own."""
        self._probe = None
        self._next_probe = now
        for address in self._suspected_at:
            self._suspected_at[address] = now
        for zone in self._zone_heard:
            self._zone_heard[zone] = now

    def reachable_since(self, moment: float, other_zone_only: bool) -> bool:
        """Whether some peer (or one of another zone) was heard of at or after ``moment``."""
        own_zone = self.table.own.zone
        zones = self._zone_heard.items()
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
            lost = self._random.choice(dead).address
            sends.append(self._send(lost, PacketKind.PING, 0))

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
        """Choose who pings ``target`` for this node: one of its own zone first, then one a zone."""
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
        """Suspect a member that did not answer, unless nobody of its zone was heard of since.

        A silent zone is no news of one member: its members would all be suspected by everybody,
        and refute it all at once when the cut heals.
        """
        record = self.table.get(address)
        if record is None or record.status is not MemberStatus.ALIVE:
            return
        if self._zone_unheard(record.zone, probed_at):
            if self._zone_silent(record.zone, now):
                self.table.unreachable_zones.add(record.zone)
            return
        suspect = replace(record, status=MemberStatus.SUSPECT)
        self.table.merge(suspect, now)
        self._suspected_at[address] = now
        self._rumors.add(suspect)

    def _zone_silent(self, zone: str, now: float) -> bool:
        """Whether a zone has been silent for long."""
        silence = now - self._zone_heard.get(zone, now)
        return self._may_be_cut(zone) and silence > self._options.zone_silence

    def _zone_unheard(self, zone: str, since: float) -> bool:
        """Whether no member of a zone that may be cut off was heard of after ``since``."""
        return self._may_be_cut(zone) and self._zone_heard.get(zone, since) <= since

    def _may_be_cut(self, zone: str) -> bool:
        """Whether a zone's silence tells more than that one member is lost."""
        if zone == self.table.own.zone:
            return False
        return sum(1 for each in self.table.serving() if each.zone == zone) >= 2

    def _check_suspects(self, now: float) -> None:
        members = len(self.table.serving())
        patience = self._options.suspicion_factor * math.log(members + 2) * self._options.probe_interval
        for address, since in list(self._suspected_at.items()):
            if now - since < patience:
                continue
            del self._suspected_at[address]
            record = self.table.get(address)
            if record is None or record.status is not MemberStatus.SUSPECT:
                continue
            if self._zone_unheard(record.zone, since):
                # The zone may be cut off as a whole: wait until that is clear.
                self._suspected_at[address] = since
                if self._zone_silent(record.zone, now):
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
        # The asker learns that this zone is there, whatever becomes of the target.
        return [ping, self._send(packet.sender, PacketKind.GOSSIP, 0)]

    def _acknowledged(self, packet: Packet, now: float) -> list[SendPacket]:
        relay = self._relays.pop(packet.sequence, None)
        if relay is not None:
            asker, sequence, target = relay
            return [self._send(asker, PacketKind.ACK, sequence, target)]
        probe = self._probe
        if probe is None or probe.sequence != packet.sequence:
            return []
        if probe.target in (packet.sender, packet.target):
            self._probe = None
            self._hear(probe.target, now)
        return []

    def _hear(self, address: str, now: float) -> None:
        record = self.table.get(address)
        if record is None:
            return
        self._zone_heard[record.zone] = now
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

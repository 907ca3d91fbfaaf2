"""Drives the failure detector over datagrams and merges the rumors that arrive.

Owns what is sent between ticks, and which peers' digests differ (``sync`` brings those up to date). Notices
when the node itself was paused. Relies on ``membership.detector`` for every decision on members.
"""

import random
from collections.abc import Callable

import anyio

from yokesill.comm.base import Transport
from yokesill.comm.sealing import Sealer
from yokesill.logs import get_logger
from yokesill.membership.detector import DetectorOptions, FailureDetector, SendPacket
from yokesill.membership.packets import Packet, decode_packet, encode_packet, rumor_from_wire
from yokesill.membership.records import MemberRecord
from yokesill.membership.rumors import ObjectNotice, Rumor, RumorQueue, ServerNotice
from yokesill.membership.table import MemberTable
from yokesill.replication.replica import ConfigurationReplica
from yokesill.resources.objects import StoredObject

# How often the detector runs: short against its probe interval of a second.
TICK_S = 0.1
# A tick later than this means that the node was paused: it confirms its configuration before it serves on;
# above what a busy machine delays a tick.
PAUSE_THRESHOLD_S = 1.0
# Digests that still differ so long after the last change are synchronised; rumors reach every member by then.
QUIET_BEFORE_SYNC_S = 1.5
# More rumors than this at once are a node's catching up, known to the others, and not passed on.
BULK_RUMORS = 8
# A stop waits no longer than this for its announcement to be sent.
ANNOUNCE_S = 0.5


class Gossip:
    """One node's gossip: membership, configuration and leaving servers.

    ``on_change`` is called after configuration changed, ``on_server`` for each notice of a
    leaving server, ``on_pause`` when this node notices that it was paused. ``known_leaving``
    returns every leaving server, for nodes that have just started.
    """

    def __init__(
        self,
        transport: Transport,
        sealer: Sealer,
        table: MemberTable,
        replica: ConfigurationReplica,
        random_source: random.Random,
        options: DetectorOptions,
    ) -> None:
        self.table = table
        self.rumors = RumorQueue()
        self.detector = FailureDetector(table, self.rumors, options, random_source)
        self.detector.config_digest = lambda: replica.state.digest
        self.malformed = 0
        self.on_change: Callable[[], None] = lambda: None
        self.on_server: Callable[[ServerNotice], None] = lambda notice: None
        self.known_leaving: Callable[[], list[ServerNotice]] = list
        self.on_pause: Callable[[], None] = lambda: None
        self.differing_peers: dict[str, float] = {}
        self.notices: dict[str, tuple[str, int]] = {}
        self._transport = transport
        self._sealer = sealer
        self._replica = replica
        self._outgoing: list[SendPacket] = []
        self._wake = anyio.Event()
        self._sent = anyio.Event()
        self._log = get_logger("gossip")

    async def run(self) -> None:
        """Tick and send until cancelled."""
        last = anyio.current_time()
        while True:
            now = anyio.current_time()
            if now - last > TICK_S + PAUSE_THRESHOLD_S:
                self._log.warning("paused", seconds=round(now - last, 1))
                self.detector.resumed(now)
                self.on_pause()
            last = now
            self._outgoing.extend(self.detector.tick(now))
            await self._flush()
            with anyio.move_on_after(TICK_S):
                await self._wake.wait()
            self._wake = anyio.Event()

    def handle_datagram(self, datagram: bytes) -> None:
        """Take a datagram; a forged or malformed one is counted and dropped."""
        body = self._sealer.open(datagram)
        if body is None:
            return
        packet = decode_packet(body)
        if packet is None:
            self.malformed += 1
            return
        now = anyio.current_time()
        self.merge_rumors(packet, now)
        self._compare_digests(packet, now)
        replies = self.detector.on_packet(packet, now)
        if replies:
            self._outgoing.extend(replies)
            self._wake.set()

    def spread(self, rumors: list[Rumor]) -> None:
        """Pass news of this node's own on."""
        for rumor in rumors:
            self.rumors.add(rumor)

    async def announce_leaving(self) -> None:
        """Tell the others at once that this node is leaving; return when it is sent.

        ``run`` sends it: a socket lets one task send at a time, and a second one would fail with this
        datagram of all.
        """
        self._outgoing.extend(self.detector.leave(anyio.current_time()))
        sent = self._sent
        self._wake.set()
        with anyio.move_on_after(ANNOUNCE_S):
            await sent.wait()

    def merge_rumors(self, packet: Packet, now: float) -> None:
        """Merge what a packet carries."""
        changed = False
        for item in packet.rumors:
            rumor = rumor_from_wire(item)
            if rumor is None:
                self.malformed += 1
            elif isinstance(rumor, MemberRecord):
                self.learn_members([rumor], now)
            elif isinstance(rumor, StoredObject):
                changed |= self.merge_objects([rumor], now)
            elif isinstance(rumor, ObjectNotice):
                if self._replica.lacks(rumor):
                    self.notices[rumor.key] = (packet.sender, rumor.revision)
            else:
                self.on_server(rumor)
        if changed:
            self.on_change()

    def merge_objects(self, objects: list[StoredObject], now: float) -> bool:
        """Merge objects and pass on those that are news; return whether any was."""
        rumors = self._replica.merge(objects, now)
        self._spread_few(rumors)
        return bool(rumors)

    def learn_members(self, records: list[MemberRecord], now: float) -> None:
        """Merge member records and pass on those that are news."""
        self._spread_few([record for record in records if self.detector.learn(record, now)])

    def _spread_few(self, rumors: list[Rumor]) -> None:
        """Pass rumors on unless they come in bulk: then this node was behind and the others know them."""
        if len(rumors) <= BULK_RUMORS:
            self.spread(rumors)

    def _compare_digests(self, packet: Packet, now: float) -> None:
        """Note a peer whose state still differs once the rumors have had time to arrive."""
        same_config = packet.config_digest == self._replica.state.digest
        same_members = packet.member_digest == self.table.digest
        if same_config and same_members:
            self.differing_peers.pop(packet.sender, None)
        elif not same_config and now - self._replica.changed_at > QUIET_BEFORE_SYNC_S:
            self.differing_peers.setdefault(packet.sender, now)

    async def _flush(self) -> None:
        """Send what is outgoing; only ``run`` calls it."""
        outgoing, self._outgoing = self._outgoing, []
        sent, self._sent = self._sent, anyio.Event()
        for send in outgoing:
            await self._transport.send(send.address, self._sealer.seal(encode_packet(send.packet)))
        sent.set()

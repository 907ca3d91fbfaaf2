"""Runs the failure detector over datagrams and merges the rumors that arrive.

Owns the queue of outgoing packets and the peers whose digests differ, which ``sync`` then synchronises.
Detects when the node itself was paused. ``membership.detector`` makes every decision on members.
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

# Interval of the detector's ticks; short compared with its probe interval of 1 s.
TICK_INTERVAL_S = 0.1
# A tick that is later than this means that the node was paused, and that it must confirm its configuration
# before it continues to serve. The threshold exceeds the tick delays of a busy machine.
PAUSE_THRESHOLD_S = 1.0
# A digest that still differs this long after the last change triggers a sync; rumors reach every member by
# then.
DIGEST_SYNC_DELAY_S = 1.5
# A larger batch of rumors means that this node is catching up on changes that the other members already
# have, so the batch is not forwarded.
MAX_FORWARDED_RUMORS = 8
# Limit on the time that a stop waits for its announcement to be sent.
ANNOUNCE_TIMEOUT_S = 0.5


class Gossip:
    """One node's gossip: membership, configuration and leaving servers.

    ``on_change`` is called after the configuration changed, ``on_server`` for each notice of a
    leaving server, and ``on_pause`` when this node detects that it was paused. ``known_leaving``
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
        last_tick_at = anyio.current_time()
        while True:
            now = anyio.current_time()
            if now - last_tick_at > TICK_INTERVAL_S + PAUSE_THRESHOLD_S:
                self._log.warning("paused", seconds=round(now - last_tick_at, 1))
                self.detector.resume(now)
                self.on_pause()
            last_tick_at = now
            self._outgoing.extend(self.detector.tick(now))
            await self._flush()
            with anyio.move_on_after(TICK_INTERVAL_S):
                await self._wake.wait()
            self._wake = anyio.Event()

    def handle_datagram(self, datagram: bytes) -> None:
        """Process a datagram; a forged or malformed one is counted and dropped."""
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
        """Queue rumors for gossip to the other members."""
        for rumor in rumors:
            self.rumors.add(rumor)

    async def announce_leaving(self) -> None:
        """Announce to the other members that this node is leaving; return when the announcement is sent.

        The announcement is left to ``run`` to send: a socket allows one sending task at a time, and a
        second one would fail and lose this very datagram.
        """
        self._outgoing.extend(self.detector.leave(anyio.current_time()))
        sent = self._sent
        self._wake.set()
        with anyio.move_on_after(ANNOUNCE_TIMEOUT_S):
            await sent.wait()

    def merge_rumors(self, packet: Packet, now: float) -> None:
        """Merge the rumors of a packet."""
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
                if self._replica.is_behind(rumor):
                    self.notices[rumor.key] = (packet.sender, rumor.revision)
            else:
                self.on_server(rumor)
        if changed:
            self.on_change()

    def merge_objects(self, objects: list[StoredObject], now: float) -> bool:
        """Merge objects and forward those that are new; return whether any was new."""
        rumors = self._replica.merge(objects, now)
        self._forward_unless_bulk(rumors)
        return bool(rumors)

    def learn_members(self, records: list[MemberRecord], now: float) -> None:
        """Merge member records and forward those that are new."""
        self._forward_unless_bulk([record for record in records if self.detector.learn(record, now)])

    def _forward_unless_bulk(self, rumors: list[Rumor]) -> None:
        """Forward rumors, except for a bulk batch: this node was behind, and the others already have it."""
        if len(rumors) <= MAX_FORWARDED_RUMORS:
            self.spread(rumors)

    def _compare_digests(self, packet: Packet, now: float) -> None:
        """Record a peer whose state still differs after rumors have had time to arrive."""
        same_config = packet.config_digest == self._replica.state.digest
        same_members = packet.member_digest == self.table.digest
        if same_config and same_members:
            self.differing_peers.pop(packet.sender, None)
        elif not same_config and now - self._replica.changed_at > DIGEST_SYNC_DELAY_S:
            self.differing_peers.setdefault(packet.sender, now)

    async def _flush(self) -> None:
        """Send the outgoing packets; called only by ``run``."""
        outgoing, self._outgoing = self._outgoing, []
        sent, self._sent = self._sent, anyio.Event()
        for send in outgoing:
            await self._transport.send(send.address, self._sealer.seal(encode_packet(send.packet)))
        sent.set()

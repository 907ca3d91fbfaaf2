"""Bulk synchronisation between nodes: on joining, after a pause, and where digests differ.

Answers the requests of peers for objects and members, and sends this node's own requests. A node completes
``barrier`` before it serves; ``push`` distributes an accepted change ahead of the rumors. Modelled in
``spec/configuration.pml``.
"""

import random

import anyio

from yokesill.cluster.gossip import Gossip
from yokesill.comm.base import Transport
from yokesill.comm.sealing import Sealer
from yokesill.logs import get_logger
from yokesill.membership.records import MemberRecord
from yokesill.membership.table import MemberTable
from yokesill.replication import messages as msg
from yokesill.replication.replica import ConfigurationReplica
from yokesill.resources.objects import StoredObject
from yokesill.verdict import Failure, Reason, Verdict

# Timeout of a request to a peer; a whole state takes some megabytes.
SYNC_TIMEOUT_S = 2.0
# Interval of syncs with peers whose digests differ; well within the limit of 5 s for a change to reach all
# nodes.
SYNC_INTERVAL_S = 0.5
# Peers that confirm a starting node's configuration; a single one may be behind.
BARRIER_CONFIRMATIONS = 3
# Shorter than SYNC_TIMEOUT_S, since an operator waits for the push.
PUSH_TIMEOUT_S = 1.0
# Peers that receive a change at once, other zones first; rumors distribute it to the rest.
MAX_PUSH_PEERS = 3


class Synchroniser:
    """Answers the sync requests of peers and sends this node's own."""

    def __init__(
        self,
        transport: Transport,
        sealer: Sealer,
        gossip: Gossip,
        replica: ConfigurationReplica,
        random_source: random.Random,
    ) -> None:
        self.syncs = 0
        self._transport = transport
        self._sealer = sealer
        self._gossip = gossip
        self._replica = replica
        self._random = random_source
        self._log = get_logger("sync")

    @property
    def _table(self) -> MemberTable:
        return self._gossip.table

    # --- requests from peers ---

    def answer(self, kind: str, body: bytes) -> bytes | Failure | None:
        """Answer a peer's request, already unsealed; ``None`` for a kind that is not handled here."""
        try:
            if kind == msg.COMPARE:
                return self._compare(msg.decode_compare_request(body))
            if kind == msg.EXCHANGE:
                return self._exchange(msg.decode_exchange_request(body))
            if kind == msg.PUSH:
                self._merge(msg.decode_objects(body))
                return msg.encode_objects([])
        except (ValueError, TypeError) as error:
            return Failure(Reason.MALFORMED_REPLY, Verdict.NOT_RUN, str(error))
        return None

    def _compare(self, request: msg.CompareRequest) -> bytes:
        self._learn(request.members)
        buckets = self._replica.differing_buckets(request.bucket_digests)
        versions = self._replica.state.versions_in(buckets)
        leaving = self._gossip.known_leaving()
        return msg.encode_compare_reply(msg.CompareReply(buckets, versions, self._table.all(), leaving))

    def _exchange(self, request: msg.ExchangeRequest) -> bytes:
        self._merge(request.objects)
        return msg.encode_objects(self._replica.objects_for(request.wanted))

    # --- requests to peers ---

    async def sync_with(self, address: str) -> bool:
        """Synchronise with one peer in both directions; return whether it succeeded."""
        own = msg.CompareRequest(self._replica.state.bucket_digests, [self._table.own])
        answer = await self._request(address, msg.COMPARE, msg.encode_compare_request(own))
        if answer is None:
            return False
        try:
            reply = msg.decode_compare_reply(answer)
        except (ValueError, TypeError):
            return False
        self._learn(reply.members)
        for notice in reply.leaving:
            self._gossip.on_server(notice)
        plan = self._replica.plan_exchange(reply)
        self.syncs += 1
        if not plan.wanted and not plan.objects:
            return True
        answer = await self._request(address, msg.EXCHANGE, msg.encode_exchange_request(plan))
        if answer is None:
            return False
        try:
            self._merge(msg.decode_objects(answer))
        except (ValueError, TypeError):
            return False
        return True

    async def barrier(self, seeds: list[str], confirmations: int = BARRIER_CONFIRMATIONS) -> int:
        """Sync with one seed, then with peers of as many zones as possible; return how many answered."""
        answered: set[str] = set()
        for address in self._random.sample(seeds, len(seeds)):
            if address != self._table.own.address and await self.sync_with(address):
                answered.add(address)
                break
        for peer in self._peers_by_zone():
            if len(answered) >= confirmations:
                break
            if peer.address not in answered and await self.sync_with(peer.address):
                answered.add(peer.address)
        return len(answered)

    async def push(self, objects: list[StoredObject]) -> list[str]:
        """Send committed objects to a few peers, other zones first; return the addresses that have them."""
        targets = self._peers_by_zone()[:MAX_PUSH_PEERS]
        body = msg.encode_objects(objects)
        holders: list[str] = []

        async def push_to(address: str) -> None:
            if await self._request(address, msg.PUSH, body, PUSH_TIMEOUT_S) is not None:
                holders.append(address)

        async with anyio.create_task_group() as task_group:
            for peer in targets:
                task_group.start_soon(push_to, peer.address)
        return holders

    async def run(self) -> None:
        """Fetch the objects that notices announced and sync with differing peers, until cancelled."""
        while True:
            await anyio.sleep(SYNC_INTERVAL_S * (0.8 + 0.4 * self._random.random()))
            await self._fetch_announced()
            if self._gossip.differing_peers:
                address = self._random.choice(list(self._gossip.differing_peers))
                self._gossip.differing_peers.clear()
                await self.sync_with(address)

    async def _fetch_announced(self) -> None:
        notices, self._gossip.notices = self._gossip.notices, {}
        by_sender: dict[str, list[str]] = {}
        for key, (sender, _revision) in notices.items():
            by_sender.setdefault(sender, []).append(key)
        for sender, keys in by_sender.items():
            request = msg.encode_exchange_request(msg.ExchangeRequest(keys))
            answer = await self._request(sender, msg.EXCHANGE, request)
            if answer is not None:
                self._merge(msg.decode_objects(answer))

    async def _request(
        self, address: str, kind: str, body: bytes, timeout: float = SYNC_TIMEOUT_S
    ) -> bytes | None:
        answer = await self._transport.request(address, kind, self._sealer.seal(body), timeout)
        if isinstance(answer, Failure):
            self._log.info(
                "request_failed", peer=address, kind=kind, reason=answer.reason, detail=answer.detail
            )
            return None
        return self._sealer.open(answer)

    def _peers_by_zone(self) -> list[MemberRecord]:
        """Return reachable peers, one of each other zone first, then the rest, each group shuffled."""
        own = self._table.own
        peers = [each for each in self._table.reachable() if each.address != own.address]
        self._random.shuffle(peers)
        peer_by_zone = {each.zone: each for each in peers if each.zone != own.zone}
        first = list(peer_by_zone.values())
        return first + [each for each in peers if each not in first]

    def _merge(self, objects: list[StoredObject]) -> None:
        if self._gossip.merge_objects(objects, anyio.current_time()):
            self._gossip.on_change()

    def _learn(self, members: list[MemberRecord]) -> None:
        self._gossip.learn_members(members, anyio.current_time())

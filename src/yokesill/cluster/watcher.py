"""Which nodes watch the store of ``yokesill serve``, and what a watcher does.

A node watches while it is among the first of its region's reachable members by rendezvous rank. Being a
watcher is only an optimisation: two too many, or a paused one, does no harm, because objects are merged by
revision. So no lease guards it.
"""

import random

import anyio

from yokesill.cluster.gossip import Gossip
from yokesill.logs import get_logger
from yokesill.membership.rumors import ServerNotice
from yokesill.membership.table import MemberTable
from yokesill.store.base import Store
from yokesill.verdict import Failure

# Two, since one may be paused or cut off.
WATCHERS_A_REGION = 2
# After a failed call of the store, doubled up to the ceiling.
RETRY_PAUSE_S = 0.5
RETRY_CEILING_S = 10.0
# How soon a node notices that it has become a watcher: within a change's bound of 5 s.
RANK_CHECK_S = 1.0
# How soon leaving machines are noticed: a server's own notice is sooner.
MACHINE_LIST_INTERVAL_S = 1.0
RANK_SUBJECT = "store-watcher"


class StoreWatcher:
    """Follows the store's objects and machine list while this node ranks as a watcher."""

    def __init__(
        self, store: Store, gossip: Gossip, table: MemberTable, random_source: random.Random
    ) -> None:
        self.watching = False
        self.confirmed_at = float("-inf")
        self.leaving_machines: set[str] = set()
        self._store = store
        self._gossip = gossip
        self._table = table
        self._random = random_source
        self._revision = 0
        self._log = get_logger("store")

    def ranks(self) -> bool:
        """Whether this node is among its region's watchers now."""
        own = self._table.own
        region = [each for each in self._table.reachable() if each.region == own.region]
        first = self._table.rank(RANK_SUBJECT, region)[:WATCHERS_A_REGION]
        return any(each.address == own.address for each in first)

    async def load(self) -> bool:
        """Read everything from the store once; return whether it answered."""
        listing = await self._store.list_objects()
        if isinstance(listing, Failure):
            self._log.info("list_failed", reason=listing.reason, detail=listing.detail)
            return False
        now = anyio.current_time()
        self.confirmed_at = now
        self._revision = listing.revision
        if self._gossip.merge_objects(listing.objects, now):
            self._gossip.on_change()
        return True

    async def run(self) -> None:
        """Watch while it is this node's turn, until cancelled."""
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(self._follow_machines)
            while True:
                if not self.ranks():
                    self.watching = False
                    await anyio.sleep(RANK_CHECK_S)
                    continue
                self.watching = True
                await self._follow_objects()

    async def _follow_objects(self) -> None:
        """List, then watch until a failure or until it is no longer this node's turn."""
        pause = RETRY_PAUSE_S
        while not await self.load():
            await anyio.sleep(pause * (0.5 + self._random.random()))
            pause = min(RETRY_CEILING_S, pause * 2)
        while self.ranks():
            changes = await self._store.watch(self._revision)
            if isinstance(changes, Failure):
                self._log.info("watch_failed", reason=changes.reason, detail=changes.detail)
                return
            now = anyio.current_time()
            self.confirmed_at = now
            if not changes:
                continue
            self._revision = max(self._revision, *(each.revision for each in changes))
            if self._gossip.merge_objects(changes, now):
                self._gossip.on_change()

    async def _follow_machines(self) -> None:
        """Poll the machine list and pass on which servers are leaving."""
        while True:
            await anyio.sleep(MACHINE_LIST_INTERVAL_S)
            if not self.watching:
                continue
            machines = await self._store.machines()
            if isinstance(machines, Failure):
                continue
            leaving = {each.address for each in machines if each.leaving and each.kind == "server"}
            for address in leaving - self.leaving_machines:
                notice = ServerNotice(address, "")
                self._gossip.spread([notice])
                self._gossip.on_server(notice)
            self.leaving_machines = leaving

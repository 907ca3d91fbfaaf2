"""Chooses which nodes of ``yokesill serve`` watch the store, and runs a watcher.

A node watches while its rendezvous rank is among the first of its region's reachable members. This is
only an optimisation, so no lease protects it: two extra watchers, or a paused one, do no harm, because
objects are merged by revision.
"""

import random

import anyio

from yokesill.cluster.gossip import Gossip
from yokesill.logs import get_logger
from yokesill.membership.rumors import ServerNotice
from yokesill.membership.table import MemberTable
from yokesill.store.base import Store
from yokesill.verdict import Failure

# Two, since one may be paused or partitioned.
WATCHERS_PER_REGION = 2
# Delay after a failed call of the store, doubled up to the maximum.
INITIAL_RETRY_DELAY_S = 0.5
MAX_RETRY_DELAY_S = 10.0
# Interval at which a node checks its rank; well within the limit of 5 s for a change to reach all nodes.
RANK_CHECK_INTERVAL_S = 1.0
# Poll interval for leaving machines; a server's own notice arrives earlier.
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

    def ranks_as_watcher(self) -> bool:
        """Whether this node currently ranks among the watchers of its region."""
        own = self._table.own
        region = [each for each in self._table.reachable() if each.region == own.region]
        first = self._table.rank(RANK_SUBJECT, region)[:WATCHERS_PER_REGION]
        return any(each.address == own.address for each in first)

    async def load(self) -> bool:
        """Load all objects from the store once; return whether the store answered."""
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
        """Watch the store whenever this node ranks as a watcher, until cancelled."""
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(self._follow_machines)
            while True:
                if not self.ranks_as_watcher():
                    self.watching = False
                    await anyio.sleep(RANK_CHECK_INTERVAL_S)
                    continue
                self.watching = True
                await self._follow_objects()

    async def _follow_objects(self) -> None:
        """List, then watch until a failure or until this node no longer ranks as a watcher."""
        delay_s = INITIAL_RETRY_DELAY_S
        while not await self.load():
            await anyio.sleep(delay_s * (0.5 + self._random.random()))
            delay_s = min(MAX_RETRY_DELAY_S, delay_s * 2)
        while self.ranks_as_watcher():
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
        """Poll the machine list and gossip which servers are leaving."""
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

"""Detects live nodes: each node writes heartbeats to the registry's directory and reads those of the others.

Budgets and connections are divided by the number of live nodes. Clocks of different nodes are not compared: a
node is alive if its entry has changed within ``EXPIRY_S`` by this node's own clock. This also holds if the
entry is gone, since a registry that was restored from an older copy has lost the latest entries. Counting a
dead node only reduces budgets; missing a live one lets all nodes together exceed the total.
"""

import random
from collections.abc import Callable, Collection, Iterable
from typing import NamedTuple

import anyio

from yokesill.logs import get_logger
from yokesill.registry.feeds import NodeContact, NodeDirectory, NodeEntry
from yokesill.verdict import Failure

# Long, since each heartbeat is a write to the registry.
HEARTBEAT_INTERVAL_S = 120.0
# Two heartbeats may be lost before a node counts as dead.
EXPIRY_S = 400.0
# Pauses before the first reads: immediately, for a node that restarts, and soon after, for nodes that start
# together.
INITIAL_READ_PAUSES_S = (0.0, 2.0, 4.0)
# Each read is one cheap call of the registry, a stale list.
READ_INTERVAL_S = 10.0
# After the registry was restored from an older copy, all nodes send a heartbeat within this time: 154 writes
# per second with 770 nodes.
REANNOUNCE_SPREAD_S = 5.0
# Pause before a failed heartbeat is retried.
RETRY_INTERVAL_S = 1.0


class _SeenNode(NamedTuple):
    """A node's last entry, its revision, and when that was first read, in seconds of this node's clock."""

    contact: NodeContact
    revision: int
    changed_at_s: float


class NodePresence:
    """Sends this node's heartbeats and reports which nodes are alive.

    Parameters
    ----------
    directory
        Directory that holds the heartbeats.
    own
        This node's contact.
    count_changed
        Called with the number of live nodes, including this one, when it changes.
    source
        Random source that spreads the calls of many nodes over time.
    peers_changed
        Called with the live nodes after each read.
    """

    def __init__(
        self,
        directory: NodeDirectory,
        own: NodeContact,
        count_changed: Callable[[int], None],
        source: random.Random,
        peers_changed: Callable[[Iterable[NodeContact]], None] = lambda _nodes: None,
    ) -> None:
        self._directory = directory
        self._own = own
        self._count_changed = count_changed
        self._peers_changed = peers_changed
        self._random = source
        self._seen: dict[str, _SeenNode] = {}
        self._reannounce = anyio.Event()
        self._count = 0
        self._unreadable = False
        self._log = get_logger("nodes")

    async def run(self) -> None:
        """Send heartbeats and read the directory until cancelled."""
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(self._announce)
            task_group.start_soon(self._read_directory)

    def announce_again(self) -> None:
        """Send the next heartbeat soon, since the registry may have lost the last one."""
        self._reannounce.set()

    async def _announce(self) -> None:
        beat = 0
        while True:
            failure = await self._directory.announce(self._own, beat)
            beat += 1
            if failure is None:
                await self._wait_for_heartbeat()
            else:
                self._log.info("announcement_failed", reason=failure.reason, detail=failure.detail)
                await anyio.sleep(RETRY_INTERVAL_S * (0.5 + self._random.random()))

    async def _wait_for_heartbeat(self) -> None:
        """Wait until the next heartbeat is due or the registry may have lost the last one."""
        with anyio.move_on_after(HEARTBEAT_INTERVAL_S * (0.8 + 0.4 * self._random.random())):
            await self._reannounce.wait()
            self._reannounce = anyio.Event()
            await anyio.sleep(REANNOUNCE_SPREAD_S * self._random.random())

    async def _read_directory(self) -> None:
        for pause_s in INITIAL_READ_PAUSES_S:
            await anyio.sleep(pause_s)
            await self._read_once()
        while True:
            await anyio.sleep(READ_INTERVAL_S * (0.8 + 0.4 * self._random.random()))
            await self._read_once()

    async def _read_once(self) -> None:
        nodes = await self._directory.nodes()
        if isinstance(nodes, Failure):
            if not self._unreadable:
                self._log.info("directory_unreadable", reason=nodes.reason, detail=nodes.detail)
            self._unreadable = True
            return
        self._unreadable = False
        self._update(nodes, anyio.current_time())

    def _update(self, nodes: tuple[NodeEntry, ...], now: float) -> None:
        for contact, revision in nodes:
            seen = self._seen.get(contact.node)
            changed_at_s = now if seen is None or seen.revision != revision else seen.changed_at_s
            self._seen[contact.node] = _SeenNode(contact, revision, changed_at_s)
        alive = [each.contact for each in self._seen.values() if now - each.changed_at_s < EXPIRY_S]
        self._evict_expired({each.contact.node for each in nodes}, now)
        self._peers_changed(alive)
        count = len({each.node for each in alive} | {self._own.node})
        if count != self._count:
            self._log.info("nodes_counted", count=count, before=self._count)
            self._count = count
            self._count_changed(count)

    def _evict_expired(self, listed: Collection[str], now: float) -> None:
        """Evict expired nodes that are no longer listed; a listed one would count as new when read again."""
        for node, seen in list(self._seen.items()):
            if node not in listed and now - seen.changed_at_s >= EXPIRY_S:
                del self._seen[node]

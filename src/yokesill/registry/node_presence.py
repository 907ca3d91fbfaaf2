"""Which nodes are alive: each renews its heartbeat in the registry's directory and reads those of the others.

Budgets and connections are divided by their number. No clocks are compared: a node is alive while its entry
has changed within ``EXPIRY_S`` by this node's own clock, also when the entry is gone: a registry that came
back from an older copy has lost the latest ones. A dead node that is still counted only makes budgets
smaller; one that isn't counted lets all nodes together spend more than there is.
"""

import random
from collections.abc import Callable, Collection, Iterable
from typing import NamedTuple

import anyio

from yokesill.logs import get_logger
from yokesill.registry.feeds import NodeContact, NodeDirectory, NodeEntry
from yokesill.verdict import Failure

# Each heartbeat is a write to the registry.
HEARTBEAT_INTERVAL_S = 120.0
# Two heartbeats may be lost before a node counts as dead.
EXPIRY_S = 400.0
# Pauses before the first readings: at once for a node that starts again, soon after for nodes that start
# together.
EARLY_PAUSES_S = (0.0, 2.0, 4.0)
# Each reading is one cheap call of the registry, a stale list.
READ_INTERVAL_S = 10.0
# After the registry came back from an older copy all nodes announce themselves again within this time: 154
# writes a second at 770 nodes.
REANNOUNCE_SPREAD_S = 5.0
# Pause before a failed heartbeat is sent again.
RETRY_INTERVAL_S = 1.0


class _SeenNode(NamedTuple):
    """A node's last entry, its revision, and when that was first read (seconds of this node's clock)."""

    contact: NodeContact
    revision: int
    changed_at_s: float


class NodePresence:
    """Announces this node, and reports which others are alive.

    Parameters
    ----------
    directory
        Where nodes announce themselves.
    own
        This node.
    count_changed
        Called with the number of nodes, this one included, when it changes.
    source
        Spreads the calls of many nodes over time.
    peers_changed
        Called with the live nodes after each reading.
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
        self._lost = anyio.Event()
        self._count = 0
        self._unreadable = False
        self._log = get_logger("nodes")

    async def run(self) -> None:
        """Announce and read until cancelled."""
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(self._announce)
            task_group.start_soon(self._read_directory)

    def announce_again(self) -> None:
        """Announce this node soon: the registry may have lost its last announcement."""
        self._lost.set()

    async def _announce(self) -> None:
        beat = 0
        while True:
            failure = await self._directory.announce(self._own, beat)
            beat += 1
            if failure is None:
                await self._rest()
            else:
                self._log.info("announcement_failed", reason=failure.reason, detail=failure.detail)
                await anyio.sleep(RETRY_INTERVAL_S * (0.5 + self._random.random()))

    async def _rest(self) -> None:
        """Wait until the next heartbeat is due, or the last one may be lost."""
        with anyio.move_on_after(HEARTBEAT_INTERVAL_S * (0.8 + 0.4 * self._random.random())):
            await self._lost.wait()
            self._lost = anyio.Event()
            await anyio.sleep(REANNOUNCE_SPREAD_S * self._random.random())

    async def _read_directory(self) -> None:
        for pause_s in EARLY_PAUSES_S:
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
        self._forget_gone({each.contact.node for each in nodes}, now)
        self._peers_changed(alive)
        count = len({each.node for each in alive} | {self._own.node})
        if count != self._count:
            self._log.info("nodes_counted", count=count, before=self._count)
            self._count = count
            self._count_changed(count)

    def _forget_gone(self, listed: Collection[str], now: float) -> None:
        """Forget expired nodes; an old entry that is still listed must not count as a new one."""
        for node, seen in list(self._seen.items()):
            if node not in listed and now - seen.changed_at_s >= EXPIRY_S:
                del self._seen[node]

"""Which nodes are alive: each renews its heartbeat in the registry's directory and reads those of the others.

Budgets and connections are divided by their number. No clocks are compared: a node is alive while its entry's
position has moved within ``EXPIRY_S`` by this node's own clock. A dead node that is still counted only makes
budgets smaller.
"""

import random
from collections.abc import Callable, Iterable

import anyio

from yokesill.logs import get_logger
from yokesill.registry.feeds import NodeContact, NodeDirectory, NodeEntry
from yokesill.verdict import Failure

# Each heartbeat is a write to the registry. Chosen, not measured.
HEARTBEAT_INTERVAL_S = 120.0
# Two heartbeats may be lost before a node counts as dead.
EXPIRY_S = 400.0
# Pauses before the first readings: at once for a node that starts again, soon after for nodes that start
# together.
EARLY_PAUSES_S = (0.0, 2.0, 4.0)
# Each reading is one cheap call of the registry, a stale list. Chosen, not measured.
READ_INTERVAL_S = 10.0
# Pause before a failed heartbeat is sent again. Chosen, not measured.
RETRY_INTERVAL_S = 1.0


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
        # Each node's last position, and when it was first read.
        self._positions: dict[str, tuple[int, float]] = {}
        self._count = 0
        self._unreadable = False
        self._log = get_logger("nodes")

    async def run(self) -> None:
        """Announce and read until cancelled."""
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(self._announce)
            task_group.start_soon(self._read_directory)

    async def _announce(self) -> None:
        beat = 0
        while True:
            failure = await self._directory.announce(self._own, beat)
            beat += 1
            if failure is None:
                await anyio.sleep(HEARTBEAT_INTERVAL_S * (0.8 + 0.4 * self._random.random()))
            else:
                self._log.info("announcement_failed", reason=failure.reason, detail=failure.detail)
                await anyio.sleep(RETRY_INTERVAL_S * (0.5 + self._random.random()))

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
        for contact, position in nodes:
            seen = self._positions.get(contact.node)
            if seen is None or seen[0] != position:
                self._positions[contact.node] = (position, now)
        alive = [each.contact for each in nodes if now - self._positions[each.contact.node][1] < EXPIRY_S]
        self._peers_changed(alive)
        count = len({each.node for each in alive} | {self._own.node})
        if count != self._count:
            self._log.info("nodes_counted", count=count, before=self._count)
            self._count = count
            self._count_changed(count)

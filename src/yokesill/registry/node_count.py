"""Counts the nodes that share budgets and connections, by entries that each renews now and then.

No clocks are compared: an entry counts while its position still moved within ``EXPIRY`` seconds of
this node's own clock. One node too many only makes budgets smaller.
"""

import random
from collections.abc import Callable, Iterable

import anyio

from yokesill.logs import get_logger
from yokesill.registry.feeds import NodeContact, NodeDirectory, NodeEntry
from yokesill.verdict import Failure

RENEWAL = 120.0
EXPIRY = 400.0
EARLY_COUNTS = (0.0, 2.0, 4.0)
COUNT_INTERVAL, RETRY_INTERVAL = 10.0, 1.0


class NodeCounter:
    """Announces this node, and tells who else is there.

    Parameters
    ----------
    directory
        Where nodes announce themselves.
    own
        This node.
    counted
        Is told how many nodes there are, whenever that changes.
    source
        Spreads the calls of many nodes over time.
    met
        Is told which nodes there are after each reading.
    """

    def __init__(
        self,
        directory: NodeDirectory,
        own: NodeContact,
        counted: Callable[[int], None],
        source: random.Random,
        met: Callable[[Iterable[NodeContact]], None] = lambda _nodes: None,
    ) -> None:
        self._directory = directory
        self._own = own
        self._counted = counted
        self._met = met
        self._random = source
        self._seen: dict[str, tuple[int, float]] = {}
        self._count = 0
        self._log = get_logger("nodes")

    async def run(self) -> None:
        """Announce and count until cancelled."""
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(self._announce)
            task_group.start_soon(self._follow)

    async def _announce(self) -> None:
        beat = 0
        while True:
            failure = await self._directory.announce(self._own, beat)
            beat += 1
            if failure is None:
                await anyio.sleep(RENEWAL * (0.8 + 0.4 * self._random.random()))
            else:
                self._log.info("announcement_failed", reason=failure.reason, detail=failure.detail)
                await anyio.sleep(RETRY_INTERVAL * (0.5 + self._random.random()))

    async def _follow(self) -> None:
        """Count at once, for a node that starts again, soon after for one that starts with others."""
        for pause in EARLY_COUNTS:
            await anyio.sleep(pause)
            await self._count_once()
        while True:
            await anyio.sleep(COUNT_INTERVAL * (0.8 + 0.4 * self._random.random()))
            await self._count_once()

    async def _count_once(self) -> None:
        nodes = await self._directory.nodes()
        if not isinstance(nodes, Failure):
            self._take(nodes, anyio.current_time())

    def _take(self, nodes: tuple[NodeEntry, ...], now: float) -> None:
        for contact, position in nodes:
            seen = self._seen.get(contact.node)
            if seen is None or seen[0] != position:
                self._seen[contact.node] = (position, now)
        present = [each.contact for each in nodes if now - self._seen[each.contact.node][1] < EXPIRY]
        self._met(present)
        count = len({each.node for each in present} | {self._own.node})
        if count != self._count:
            self._log.info("nodes_counted", count=count, before=self._count)
            self._count = count
            self._counted(count)

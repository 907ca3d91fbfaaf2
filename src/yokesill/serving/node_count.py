"""Counts the nodes that share budgets and connections, by entries that each renews now and then.

No clocks are compared: an entry counts while its position still moved within ``EXPIRY`` seconds of
this node's own clock. One node too many only makes budgets smaller.
"""

import random
from collections.abc import Callable

import anyio

from yokesill.logs import get_logger
from yokesill.serving.registry import NodeDirectory
from yokesill.verdict import Failure

RENEWAL = 120.0
EXPIRY = 400.0
EARLY_COUNTS = (0.0, 2.0, 4.0)
COUNT_INTERVAL, RETRY_INTERVAL = 10.0, 1.0


class NodeCounter:
    """Announces this node and tells ``counted`` how many there are, whenever that changes."""

    def __init__(
        self, directory: NodeDirectory, node: str, counted: Callable[[int], None], source: random.Random
    ) -> None:
        self._directory = directory
        self._node = node
        self._counted = counted
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
            failure = await self._directory.announce(self._node, beat)
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

    def _take(self, nodes: dict[str, int], now: float) -> None:
        for node, position in nodes.items():
            seen = self._seen.get(node)
            if seen is None or seen[0] != position:
                self._seen[node] = (position, now)
        present = {node for node in nodes if now - self._seen[node][1] < EXPIRY}
        count = len(present | {self._node})
        if count != self._count:
            self._log.info("nodes_counted", count=count, before=self._count)
            self._count = count
            self._counted(count)

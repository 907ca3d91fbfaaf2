"""Health checks of servers without a recent reply to this node.

Replies to attempts carry the same report, so servers in use are not checked. The router records when each
server last replied.
"""

import anyio

from yokesill.backends.base import BackendClient
from yokesill.query.driver import QueryDriver
from yokesill.routing.events import ServerObserved
from yokesill.routing.router import Router

# How often servers that are due are looked up; short compared to the check interval of 5 s.
CHECK_TICK_S = 0.1
# Limits connections and memory when a node starts with thousands of servers.
MAXIMUM_CONCURRENT_CHECKS = 16


class HealthChecker:
    """Checks servers that have not replied for ``interval`` seconds, and new ones at once."""

    def __init__(self, router: Router, backends: BackendClient, driver: QueryDriver, interval: float) -> None:
        self._router = router
        self._backends = backends
        self._driver = driver
        self._interval = interval
        self._asked_at: dict[str, float] = {}
        self._limiter = anyio.Semaphore(MAXIMUM_CONCURRENT_CHECKS)

    async def run(self) -> None:
        """Check until cancelled."""
        async with anyio.create_task_group() as task_group:
            while True:
                now = anyio.current_time()
                for address in self._due(now):
                    self._asked_at[address] = now
                    task_group.start_soon(self._check, address)
                await anyio.sleep(CHECK_TICK_S)

    def _due(self, now: float) -> list[str]:
        """Return the servers to check; those without a report or holdings are checked ten times as often."""
        due = []
        for server in self._router.servers.all():
            reported = server.holdings and server.reported_at_s > float("-inf")
            interval = self._interval if reported else self._interval / 10
            last = max(server.reported_at_s, self._asked_at.get(server.address, float("-inf")))
            if now - last >= interval:
                due.append(server.address)
        return due

    async def _check(self, address: str) -> None:
        async with self._limiter:
            asked_at = anyio.current_time()
            report = await self._backends.check(address)
        self._driver.feed(ServerObserved(address, report, asked_at))

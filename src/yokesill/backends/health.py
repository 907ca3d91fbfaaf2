"""Health checks of servers that have been silent: replies tell all there is to know of the others."""

import anyio

from yokesill.backends.base import BackendClient
from yokesill.query.driver import QueryDriver
from yokesill.routing.events import ServerObserved
from yokesill.routing.router import Router

CHECK_TICK = 0.1
MAXIMUM_CHECKS_AT_ONCE = 16


class HealthChecker:
    """Asks servers that were not heard of for ``interval`` seconds; new ones at once."""

    def __init__(self, router: Router, backends: BackendClient, driver: QueryDriver, interval: float) -> None:
        self._router = router
        self._backends = backends
        self._driver = driver
        self._interval = interval
        self._asked_at: dict[str, float] = {}
        self._limiter = anyio.Semaphore(MAXIMUM_CHECKS_AT_ONCE)

    async def run(self) -> None:
        """Check until cancelled."""
        async with anyio.create_task_group() as task_group:
            while True:
                now = anyio.current_time()
                for address in self._due(now):
                    self._asked_at[address] = now
                    task_group.start_soon(self._check, address)
                await anyio.sleep(CHECK_TICK)

    def _due(self, now: float) -> list[str]:
        """Return the servers to ask: never heard of ones are asked ten times as often."""
        due = []
        for server in self._router.servers.all():
            known = server.holdings and server.heard_at_s > float("-inf")
            interval = self._interval if known else self._interval / 10
            last = max(server.heard_at_s, self._asked_at.get(server.address, float("-inf")))
            if now - last >= interval:
                due.append(server.address)
        return due

    async def _check(self, address: str) -> None:
        async with self._limiter:
            asked_at = anyio.current_time()
            report = await self._backends.check(address)
        self._driver.feed(ServerObserved(address, report, asked_at))

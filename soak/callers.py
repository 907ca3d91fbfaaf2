"""Generates load on ready nodes; every request has its own id, and every outcome is recorded."""

import asyncio
import itertools
import json
import random
import sys
import time
from pathlib import Path
from typing import Any

from soak.clients import Clients
from soak.layout import (
    DEADLY_PATH_MARKER,
    LONG_PATH_MARKER,
    READY_PORT,
    READY_URL_PATH,
    ROUTES,
    Layout,
)
from soak.standin import (
    EventLog,
    call,
    follow_commands,
    run_standin,
)

RATES_PER_S = {"wide": 12.0, "read": 10.0, "once": 10.0}
LONG_REQUEST_EVERY_S, REUSE_EVERY_S, DEADLY_EVERY_S = 0.15, 0.25, 0.35
PROBE_EVERY_S, READY_EVERY_S, MAX_READINESS_MISSES = 0.35, 1.0, 2


class Callers(Clients):
    """Sends requests to the nodes until cancelled."""

    def __init__(self, layout: Layout, log: EventLog, seed: int) -> None:
        super().__init__(range(layout.nodes), lambda node: layout.address(6, node), log, random.Random(seed))
        self._layout = layout
        self._version = 1
        self._factor = 1.0
        self._stopping_node: int | None = None
        self._deadly: set[int] = set()
        self._misses = [0] * layout.nodes

    def apply_command(self, command: dict[str, Any]) -> None:
        """Set the configuration version, the load factor, the stopping node, and the deadly requests."""
        self._version = command.get("version", self._version)
        self._factor = command.get("factor", self._factor)
        self._stopping_node = command.get("press", self._stopping_node)
        self._deadly |= set(command.get("deadly", ()))
        self._deadly -= set(command.get("harmless", ()))

    async def run(self) -> None:
        """Send load until cancelled, then wait for the requests in flight."""
        streams = [self._send_route(route, rate) for route, rate in RATES_PER_S.items()]
        streams += [self._watch_readiness(), self._send_probes(), self._send_to_stopping_node()]
        streams += [self._reuse_held_connections(), self._send_deadly()]
        try:
            await asyncio.gather(*streams)
        finally:
            await self.finish()

    async def _send_route(self, route: str, rate_per_s: float) -> None:
        due_s = time.monotonic()
        while True:
            due_s += self.rng.expovariate(rate_per_s * self._factor)
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            terms = ROUTES[route]
            self._send_unique(route, self._choose_node(), terms.path, terms.timeout_s)

    async def _send_probes(self) -> None:
        """Request, at each node, the newest probe route and one that the newest configuration dropped."""
        for turn in itertools.count():
            await asyncio.sleep(PROBE_EVERY_S)
            version = self._version - 2 * (turn % 2)
            for node in range(self._layout.nodes):
                if version > 0 and self._misses[node] < MAX_READINESS_MISSES:
                    self._send_unique(f"probe-{version}", node, f"/probe-{version}/", 2.0)

    async def _send_to_stopping_node(self) -> None:
        """Send long-running requests to the node that is being stopped, whether or not it is ready."""
        while True:
            await asyncio.sleep(LONG_REQUEST_EVERY_S)
            if self._stopping_node is not None:
                terms = ROUTES["once"]
                self._send_unique(
                    "once", self._stopping_node, terms.path + LONG_PATH_MARKER.lstrip("/"), terms.timeout_s
                )

    async def _reuse_held_connections(self) -> None:
        """Reuse open connections until they end, whether or not their node is ready."""
        while True:
            await asyncio.sleep(REUSE_EVERY_S)
            nodes = [node for node, kept in self.idle.items() if kept]
            if nodes:
                terms = ROUTES["read"]
                self._send_unique("read", self.rng.choice(nodes), terms.path, terms.timeout_s)

    async def _send_deadly(self) -> None:
        """Send the deadly requests repeatedly to random nodes, some wide and some not."""
        while True:
            await asyncio.sleep(DEADLY_EVERY_S * self.rng.uniform(0.2, 1.8))
            for number in sorted(self._deadly):
                route = ("wide", "read")[number % 2]
                path = f"{ROUTES[route].path.rstrip('/')}{DEADLY_PATH_MARKER}{number}"
                self.send(f"deadly-{route}", self._choose_node(), path, ROUTES[route].timeout_s)

    async def _watch_readiness(self) -> None:
        while True:
            await asyncio.gather(*(self._probe_readiness(node) for node in range(self._layout.nodes)))
            await asyncio.sleep(READY_EVERY_S)

    async def _probe_readiness(self, node: int) -> None:
        host = self._layout.node(node)
        status, _ = await call(host, READY_PORT, "GET", READY_URL_PATH, None, 0.8)
        self._misses[node] = 0 if status == 200 else self._misses[node] + 1

    def _choose_node(self) -> int:
        ready = [node for node, misses in enumerate(self._misses) if misses < MAX_READINESS_MISSES]
        return self.rng.choice(ready or range(self._layout.nodes))

    def _send_unique(self, route: str, node: int, path: str, deadline_s: float) -> None:
        self.send(route, node, path, deadline_s, unique_path=True)


async def run(layout: Layout, log_path: Path, seed: int) -> None:
    """Send load until standard input ends."""
    callers = Callers(layout, EventLog(log_path), seed)
    load = asyncio.create_task(callers.run())
    print("up", flush=True)
    await follow_commands(callers.apply_command)
    load.cancel()
    await asyncio.gather(load, return_exceptions=True)


if __name__ == "__main__":
    run_standin(run(Layout(*json.loads(sys.argv[1])), Path(sys.argv[2]), int(sys.argv[3])))

"""All stand-in servers in one process: their places, entries in the store, and orders from the soak."""

import asyncio
import itertools
import json
import random
import sys
from pathlib import Path
from typing import Any

from soak.layout import (
    DESK,
    FIRST_VERSION,
    OPERATOR_PORT,
    RESTART_S,
    SERVER_PORT,
    SLOTS,
    ZONES,
    Bounds,
    Layout,
)
from soak.server import Server
from soak.standin import EventLog, call, follow_orders, run_standin
from soak.store import HEARTBEAT_S

REUSE_AFTER_S, AFTER_DRAIN_S = 2.0, (0.5, 2.5)
STORE_TIMEOUT_S = 1.0


class Fleet:
    """Servers by place; each place's address outlives its servers."""

    def __init__(self, layout: Layout, log: EventLog, seed: int) -> None:
        self._layout = layout
        self._log = log
        self._source = random.Random(seed)
        self._servers: dict[int, Server] = {}
        self._beats: dict[int, asyncio.Task[None]] = {}
        self._jobs: set[asyncio.Task[None]] = set()
        self._numbers = itertools.count(1)
        self._bounds = Bounds()
        self._spare = list(layout.new_slots())
        self._desk = [slot for slot, service in enumerate(layout.slots()) if service == DESK]
        self._newer: list[int] = []

    async def start_all(self) -> None:
        """Start a server at every place but the spare ones."""
        for slot, service in enumerate(self._layout.slots()):
            await self._start(slot, service, FIRST_VERSION)

    def obey(self, order: dict[str, Any]) -> None:
        """Carry an order out in the background."""
        job = asyncio.create_task(self._obey(order))
        self._jobs.add(job)
        job.add_done_callback(self._jobs.discard)

    async def _obey(self, order: dict[str, Any]) -> None:
        match order:
            case {"slot": slot, "mode": mode}:
                if slot in self._servers:
                    self._servers[slot].mode = mode
            case {"drain": slot}:
                await self._drain(slot)
            case {"vanish": slot}:
                self._end(slot)
            case {"reuse": slot, "service": service}:
                self._end(slot)
                await asyncio.sleep(REUSE_AFTER_S)
                await self._start(slot, service, FIRST_VERSION)
            case {"restart": slot} if slot in self._spare:
                self._end(slot)
            case {"restart": slot}:
                self._end(slot)
                version = FIRST_VERSION if slot not in self._desk or not self._servers else self._version()
                await self._start(slot, self._service(slot), version)
            case {"rollout": version, "bad": bad}:
                self._newer = self._spare
                for slot in self._newer:
                    await self._start(slot, DESK, version, bad)
            case {"final": state}:
                await self._finish(state)

    async def _finish(self, state: str) -> None:
        newer, self._newer = self._newer, []
        if not newer:
            return
        if state == "completed":
            self._spare, self._desk = self._desk, newer
            for slot in self._spare:
                server = self._end(slot)
                if server is not None:
                    await self._remove_entry(server)
            return
        await asyncio.gather(*(self._drain(slot) for slot in newer))

    def _version(self) -> str:
        found = [self._servers[slot].version for slot in self._desk if slot in self._servers]
        return found[0] if found else FIRST_VERSION

    def _service(self, slot: int) -> str:
        slots = self._layout.slots()
        return slots[slot] if slot < len(slots) else DESK

    async def _start(self, slot: int, service: str, version: str, bad: bool = False) -> None:
        if slot in self._servers:
            return
        instance = f"i-{slot}-{next(self._numbers)}"
        server = Server(instance, service, version, self._log, random.Random(self._source.random()))
        server.bad = bad
        server.crashed = lambda: self._crash(slot, server)
        self._servers[slot] = server
        await server.start(self._layout.address(2, slot))
        self._log.write("started", server=instance, service=service, version=version, slot=slot, bad=bad)
        self._beats[slot] = asyncio.create_task(self._beat(slot, server))

    def _end(self, slot: int) -> Server | None:
        server = self._servers.pop(slot, None)
        if server is not None:
            self._beats.pop(slot).cancel()
            server.end()
        return server

    def _crash(self, slot: int, server: Server) -> None:
        """End a server that a request ended; another one starts in its place."""
        if self._servers.get(slot) is server:
            self._end(slot)
            job = asyncio.create_task(self._start_again(slot, server))
            self._jobs.add(job)
            job.add_done_callback(self._jobs.discard)

    async def _start_again(self, slot: int, server: Server) -> None:
        await asyncio.sleep(RESTART_S)
        await self._start(slot, server.service, server.version, server.bad)

    async def _drain(self, slot: int) -> None:
        """State ``draining``, serve on for the bound and a while, and end."""
        server = self._servers.get(slot)
        if server is None:
            return
        server.leaving = True
        while not await self._write_entry(slot, server):
            await asyncio.sleep(0.3)
        self._log.write("leaving", server=server.instance, slot=slot)
        await asyncio.sleep(self._bounds.drain_s + self._source.uniform(*AFTER_DRAIN_S))
        if self._servers.get(slot) is server:
            self._end(slot)
            await self._remove_entry(server)

    async def _beat(self, slot: int, server: Server) -> None:
        while True:
            await self._write_entry(slot, server)
            await asyncio.sleep(HEARTBEAT_S)

    async def _write_entry(self, slot: int, server: Server) -> bool:
        spec = {
            "service": server.service,
            "address": f"{self._layout.address(3, slot)}:{SERVER_PORT}",
            "zone": ZONES[slot % len(ZONES)],
            "configVersion": server.version,
            "capacity": SLOTS,
            "state": "draining" if server.leaving else "ready",
            "warmupLeftMs": 0,
        }
        return await self._store("PUT", server.instance, {"spec": spec})

    async def _remove_entry(self, server: Server) -> None:
        await self._store("DELETE", server.instance, None)

    async def _store(self, method: str, instance: str, body: Any) -> bool:
        host, path = self._layout.address(4, 0), f"/objects/servers/{instance}"
        status, _ = await call(host, OPERATOR_PORT, method, path, body, STORE_TIMEOUT_S)
        return status == 200


async def run(layout: Layout, log_path: Path, seed: int) -> None:
    """Start all servers and obey."""
    fleet = Fleet(layout, EventLog(log_path), seed)
    await fleet.start_all()
    print("up", flush=True)
    await follow_orders(fleet.obey)


if __name__ == "__main__":
    run_standin(run(Layout(*json.loads(sys.argv[1])), Path(sys.argv[2]), int(sys.argv[3])))

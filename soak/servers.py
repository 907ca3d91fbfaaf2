"""Runs all stand-in servers in one process, with their slots, store entries, and commands from the soak."""

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
    SERVER_CAPACITY,
    SERVER_PORT,
    ZONES,
    Bounds,
    Layout,
)
from soak.server import SLOW_FACTOR, Server
from soak.standin import EventLog, call, follow_commands, run_standin
from soak.store import HEARTBEAT_S

REUSE_AFTER_S, EXIT_AFTER_DRAIN_S = 2.0, (0.5, 2.5)
STORE_TIMEOUT_S = 1.0


class Fleet:
    """The servers by slot; the address of a slot outlives its servers."""

    def __init__(self, layout: Layout, log: EventLog, seed: int) -> None:
        self._layout = layout
        self._log = log
        self._rng = random.Random(seed)
        self._servers: dict[int, Server] = {}
        self._heartbeats: dict[int, asyncio.Task[None]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._numbers = itertools.count(1)
        self._bounds = Bounds()
        self._spare_slots = list(layout.new_slots())
        self._desk_slots = [slot for slot, service in enumerate(layout.slots()) if service == DESK]
        self._rollout_slots: list[int] = []

    async def start_all(self) -> None:
        """Start a server in every slot except the spare ones."""
        for slot, service in enumerate(self._layout.slots()):
            await self._start(slot, service, FIRST_VERSION)

    def apply_command(self, command: dict[str, Any]) -> None:
        """Apply a command in the background."""
        task = asyncio.create_task(self._apply_command(command))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _apply_command(self, command: dict[str, Any]) -> None:
        match command:
            case {"slot": slot, "mode": mode}:
                if slot in self._servers:
                    share, factor = command.get("share"), command.get("factor", SLOW_FACTOR)
                    self._servers[slot].set_fault(mode, share, factor)
            case {"drain": slot}:
                await self._drain(slot)
            case {"vanish": slot}:
                self._end(slot)
            case {"reuse": slot, "service": service}:
                self._end(slot)
                await asyncio.sleep(REUSE_AFTER_S)
                await self._start(slot, service, FIRST_VERSION)
            case {"restart": slot} if slot in self._spare_slots:
                self._end(slot)
            case {"restart": slot}:
                self._end(slot)
                version = (
                    FIRST_VERSION
                    if slot not in self._desk_slots or not self._servers
                    else self._desk_version()
                )
                await self._start(slot, self._service_of(slot), version)
            case {"rollout": version, "bad": bad}:
                self._rollout_slots = self._spare_slots
                for slot in self._rollout_slots:
                    await self._start(slot, DESK, version, bad)
            case {"final": state}:
                await self._finish_rollout(state)

    async def _finish_rollout(self, state: str) -> None:
        rollout_slots, self._rollout_slots = self._rollout_slots, []
        if not rollout_slots:
            return
        if state == "completed":
            self._spare_slots, self._desk_slots = self._desk_slots, rollout_slots
            for slot in self._spare_slots:
                server = self._end(slot)
                if server is not None:
                    await self._remove_entry(server)
            return
        await asyncio.gather(*(self._drain(slot) for slot in rollout_slots))

    def _desk_version(self) -> str:
        versions = [self._servers[slot].version for slot in self._desk_slots if slot in self._servers]
        return versions[0] if versions else FIRST_VERSION

    def _service_of(self, slot: int) -> str:
        slots = self._layout.slots()
        return slots[slot] if slot < len(slots) else DESK

    async def _start(self, slot: int, service: str, version: str, bad: bool = False) -> None:
        if slot in self._servers:
            return
        instance = f"i-{slot}-{next(self._numbers)}"
        server = Server(instance, service, version, self._log, random.Random(self._rng.random()))
        server.bad = bad
        server.on_crash = lambda: self._crash(slot, server)
        self._servers[slot] = server
        await server.start(self._layout.address(2, slot))
        self._log.write("started", server=instance, service=service, version=version, slot=slot, bad=bad)
        self._heartbeats[slot] = asyncio.create_task(self._heartbeat(slot, server))

    def _end(self, slot: int) -> Server | None:
        server = self._servers.pop(slot, None)
        if server is not None:
            self._heartbeats.pop(slot).cancel()
            server.end()
        return server

    def _crash(self, slot: int, server: Server) -> None:
        """End a server that was crashed by a request, and start another in its slot after a delay."""
        if self._servers.get(slot) is server:
            self._end(slot)
            task = asyncio.create_task(self._start_again(slot, server))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _start_again(self, slot: int, server: Server) -> None:
        await asyncio.sleep(RESTART_S)
        await self._start(slot, server.service, server.version, server.bad)

    async def _drain(self, slot: int) -> None:
        """Register as ``draining``, go on serving for the drain bound and a random extra time, then end."""
        server = self._servers.get(slot)
        if server is None:
            return
        server.leaving = True
        while not await self._write_entry(slot, server):
            await asyncio.sleep(0.3)
        self._log.write("leaving", server=server.instance, slot=slot)
        await asyncio.sleep(self._bounds.drain_s + self._rng.uniform(*EXIT_AFTER_DRAIN_S))
        if self._servers.get(slot) is server:
            self._end(slot)
            await self._remove_entry(server)

    async def _heartbeat(self, slot: int, server: Server) -> None:
        while True:
            await self._write_entry(slot, server)
            await asyncio.sleep(HEARTBEAT_S)

    async def _write_entry(self, slot: int, server: Server) -> bool:
        spec = {
            "service": server.service,
            "address": f"{self._layout.address(3, slot)}:{SERVER_PORT}",
            "zone": ZONES[slot % len(ZONES)],
            "configVersion": server.version,
            "capacity": SERVER_CAPACITY,
            "state": "draining" if server.leaving else "ready",
            "warmupLeftMs": 0,
        }
        return await self._call_store("PUT", server.instance, {"spec": spec})

    async def _remove_entry(self, server: Server) -> None:
        await self._call_store("DELETE", server.instance, None)

    async def _call_store(self, method: str, instance: str, body: Any) -> bool:
        host, path = self._layout.address(4, 0), f"/objects/servers/{instance}"
        status, _ = await call(host, OPERATOR_PORT, method, path, body, STORE_TIMEOUT_S)
        return status == 200


async def run(layout: Layout, log_path: Path, seed: int) -> None:
    """Start all servers, and apply commands until standard input ends."""
    fleet = Fleet(layout, EventLog(log_path), seed)
    await fleet.start_all()
    print("up", flush=True)
    await follow_commands(fleet.apply_command)


if __name__ == "__main__":
    run_standin(run(Layout(*json.loads(sys.argv[1])), Path(sys.argv[2]), int(sys.argv[3])))

"""Servers in their places: starts, ends, crashes, planned stops, and their entries in the store."""

import asyncio
import itertools
import random
from functools import partial
from typing import Any, NamedTuple

from soak.layout import FIRST_VERSION, RESTART_S, SERVER_PORT
from soak.server import Server, ServerTerms
from soak.standin import EventLog, call

EXIT_AFTER_DRAIN_S = (0.5, 2.5)
STORE_TIMEOUT_S = 1.0


class Place(NamedTuple):
    """Where a server runs: its address, the one that its entry in the store names, and its zone."""

    ip: str
    told_ip: str
    zone: str
    terms: ServerTerms | None = None


class FleetTerms(NamedTuple):
    """What the servers share: the store's address for them, and the times that bind them.

    ``abrupt_share`` is the share of planned stops of which a server says nothing: its entry goes.
    """

    store: tuple[str, int]
    drain_s: float
    heartbeat_s: float
    abrupt_share: float = 0.0


class Fleet:
    """The servers by slot; the address of a slot outlives its servers."""

    def __init__(self, places: dict[int, Place], terms: FleetTerms, log: EventLog, seed: int) -> None:
        self.log = log
        self.rng = random.Random(seed)
        self.servers: dict[int, Server] = {}
        self._places = places
        self._terms = terms
        self._heartbeats: dict[int, asyncio.Task[None]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._numbers = itertools.count(1)

    def apply_command(self, command: dict[str, Any]) -> None:
        """Apply a command in the background."""
        self.run_in_background(self.follow(command))

    def run_in_background(self, work: Any) -> None:
        """Run a coroutine beside the servers."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def follow(self, command: dict[str, Any]) -> None:
        """Apply a command."""
        raise NotImplementedError

    async def start(self, slot: int, service: str, version: str = FIRST_VERSION, bad: bool = False) -> None:
        """Start a server in a slot that has none."""
        if slot in self.servers:
            return
        place = self._places[slot]
        instance = f"i-{slot}-{next(self._numbers)}"
        rng = random.Random(self.rng.random())
        server = Server(instance, service, version, self.log, rng, place.terms)
        server.bad = bad
        server.on_crash = lambda: self._crash(slot, server)
        self.servers[slot] = server
        await server.start(place.ip)
        self.log.write("started", server=instance, service=service, version=version, slot=slot, bad=bad)
        self._heartbeats[slot] = asyncio.create_task(self._heartbeat(slot, server))

    def end(self, slot: int) -> Server | None:
        """End the server of a slot at once, without a word to the store."""
        server = self.servers.pop(slot, None)
        if server is not None:
            self._heartbeats.pop(slot).cancel()
            server.end()
        return server

    def _crash(self, slot: int, server: Server) -> None:
        """End a server that was crashed by a request, and start another in its slot after a delay."""
        if self.servers.get(slot) is server:
            self.end(slot)
            self.run_in_background(self._start_again(slot, server))

    async def _start_again(self, slot: int, server: Server) -> None:
        await asyncio.sleep(RESTART_S)
        await self.start(slot, server.service, server.version, server.bad)

    async def drain(self, slot: int) -> None:
        """Register as ``draining``, go on serving for the drain bound and a random extra time, then end."""
        server = self.servers.get(slot)
        if server is None:
            return
        if self._terms.abrupt_share and self.rng.random() < self._terms.abrupt_share:
            self._heartbeats[slot].cancel()
            leave = partial(self.remove_entry, server)
        else:
            server.leaving = True
            leave = partial(self._write_entry, slot, server)
        while not await leave():
            await asyncio.sleep(0.3)
        self.log.write("leaving", server=server.instance, slot=slot)
        await asyncio.sleep(self._terms.drain_s + self.rng.uniform(*EXIT_AFTER_DRAIN_S))
        if self.servers.get(slot) is server:
            self.end(slot)
            await self.remove_entry(server)

    async def _heartbeat(self, slot: int, server: Server) -> None:
        while True:
            await self._write_entry(slot, server)
            await asyncio.sleep(self._terms.heartbeat_s)

    async def _write_entry(self, slot: int, server: Server) -> bool:
        spec = {
            "service": server.service,
            "address": f"{self._places[slot].told_ip}:{SERVER_PORT}",
            "zone": self._places[slot].zone,
            "configVersion": server.version,
            "capacity": server.terms.slots,
            "state": "draining" if server.leaving else "ready",
            "warmupLeftMs": round(server.warmup_left_s() * 1000),
        }
        return await self._call_store("PUT", server.instance, {"spec": spec})

    async def remove_entry(self, server: Server) -> bool:
        """Remove a server's entry from the store, and return whether the store has done so."""
        return await self._call_store("DELETE", server.instance, None)

    async def _call_store(self, method: str, instance: str, body: Any) -> bool:
        host, port = self._terms.store
        path = f"/objects/servers/{instance}"
        status, _ = await call(host, port, method, path, body, STORE_TIMEOUT_S)
        return status == 200 or (method == "DELETE" and status == 404)

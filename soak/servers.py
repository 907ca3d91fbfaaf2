"""Runs all stand-in servers in one process, with their slots, store entries, and commands from the soak."""

import asyncio
import json
import sys
from pathlib import Path
from typing import Any

from soak.fleet import Fleet, FleetTerms, Place
from soak.layout import DESK, FIRST_VERSION, OPERATOR_PORT, ZONES, Bounds, Layout
from soak.standin import EventLog, follow_commands, run_standin
from soak.store import HEARTBEAT_S

REUSE_AFTER_S = 2.0
# Between the servers of a zone that turn cold.
TURN_COLD_PAUSE_S = 0.02


class SoakFleet(Fleet):
    """The servers of the soak's own deployment, some of whose slots are for rolled-out versions."""

    def __init__(self, layout: Layout, log: EventLog, seed: int) -> None:
        slots = range(len(layout.slots()) + len(layout.new_slots()))
        places = {
            slot: Place(layout.address(2, slot), layout.address(3, slot), ZONES[slot % len(ZONES)])
            for slot in slots
        }
        terms = FleetTerms((layout.address(4, 0), OPERATOR_PORT), Bounds().drain_s, HEARTBEAT_S)
        super().__init__(places, terms, log, seed)
        self._layout = layout
        self._spare_slots = list(layout.new_slots())
        self._desk_slots = [slot for slot, service in enumerate(layout.slots()) if service == DESK]
        self._rollout_slots: list[int] = []

    async def start_all(self) -> None:
        """Start a server in every slot except the spare ones."""
        for slot, service in enumerate(self._layout.slots()):
            await self.start(slot, service)

    async def follow(self, command: dict[str, Any]) -> None:
        """Apply a command."""
        match command:
            case {"slot": slot, "mode": mode}:
                if slot in self.servers:
                    self.servers[slot].mode = mode
            case {"drain": slot}:
                await self.drain(slot)
            case {"vanish": slot}:
                self.end(slot)
            case {"reuse": slot, "service": service}:
                self.end(slot)
                await asyncio.sleep(REUSE_AFTER_S)
                await self.start(slot, service)
            case {"restart": slot} if slot in self._spare_slots:
                self.end(slot)
            case {"restart": slot}:
                self.end(slot)
                version = (
                    FIRST_VERSION
                    if slot not in self._desk_slots or not self.servers
                    else self._desk_version()
                )
                await self.start(slot, self._service_of(slot), version)
            case {"rollout": version, "bad": bad}:
                self._rollout_slots = self._spare_slots
                for slot in self._rollout_slots:
                    await self.start(slot, DESK, version, bad)
            case {"cold_zone": zone, "seconds": seconds}:
                await self._turn_cold(zone, seconds)
            case {"final": state}:
                await self._finish_rollout(state)

    async def _finish_rollout(self, state: str) -> None:
        rollout_slots, self._rollout_slots = self._rollout_slots, []
        if not rollout_slots:
            return
        if state == "completed":
            self._spare_slots, self._desk_slots = self._desk_slots, rollout_slots
            for slot in self._spare_slots:
                server = self.end(slot)
                if server is not None:
                    await self.remove_entry(server)
            return
        await asyncio.gather(*(self.drain(slot) for slot in rollout_slots))

    async def _turn_cold(self, zone: str, seconds: float) -> None:
        """Let a zone's servers turn cold one after the other; each says so in its entry."""
        for slot, server in list(self.servers.items()):
            if self._places[slot].zone == zone:
                server.turn_cold(seconds)
                await self._write_entry(slot, server)
                await asyncio.sleep(TURN_COLD_PAUSE_S)

    def _desk_version(self) -> str:
        versions = [self.servers[slot].version for slot in self._desk_slots if slot in self.servers]
        return versions[0] if versions else FIRST_VERSION

    def _service_of(self, slot: int) -> str:
        slots = self._layout.slots()
        return slots[slot] if slot < len(slots) else DESK


async def run(layout: Layout, log_path: Path, seed: int) -> None:
    """Start all servers, and apply commands until standard input ends."""
    fleet = SoakFleet(layout, EventLog(log_path), seed)
    await fleet.start_all()
    print("up", flush=True)
    await follow_commands(fleet.apply_command)


if __name__ == "__main__":
    run_standin(run(Layout(*json.loads(sys.argv[1])), Path(sys.argv[2]), int(sys.argv[3])))

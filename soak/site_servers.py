"""Runs all servers of a site in one process, with their store entries and commands from the day."""

import asyncio
import json
import sys
from pathlib import Path
from typing import Any

from soak.fleet import Fleet, FleetTerms, Place
from soak.server import SLOW_FACTOR, ServerTerms, Work
from soak.sheet import read_sheet
from soak.site import RequestKind, ServiceGroup, Site
from soak.site_layout import SiteLayout, SiteServer
from soak.standin import EventLog, follow_commands, run_standin


def server_terms(site: Site, group: ServiceGroup, place_in_group: int) -> ServerTerms:
    """Return the properties of a group's server; its speed depends on its place in the group."""
    served = [kind for kind in site.requests if group.name in kind.services]
    kinds = {kind.name: _work(kind) for kind in served}
    return ServerTerms(
        work=next(iter(kinds.values()), Work(0.0)),
        shard=any(kind.top_k for kind in served),
        slots=group.slots,
        queue=group.queue,
        max_connections=group.max_connections,
        kinds=kinds,
        speed=group.speeds[place_in_group % len(group.speeds)],
        pause_s=group.pause_s,
        pause_every_s=group.pause_every_s,
        cold_s=group.cold_s,
        cold_factor=group.cold_factor,
        tells_load=group.tells_load,
    )


def _work(kind: RequestKind) -> Work:
    return Work(kind.work_s, kind.response_bytes)


def places(layout: SiteLayout) -> dict[int, Place]:
    """Return the place of each server, by its slot."""
    found: dict[int, Place] = {}
    seen: dict[str, int] = {}
    for server in layout.servers():
        place_in_group = seen[server.group] = seen.get(server.group, -1) + 1
        terms = server_terms(layout.site, layout.group(server.group), place_in_group)
        found[server.slot] = Place(server.ip, server.ip, server.zone, terms)
    return found


class SiteFleet(Fleet):
    """The servers of a site."""

    def __init__(self, layout: SiteLayout, log: EventLog, seed: int) -> None:
        site = layout.site
        terms = FleetTerms(layout.operator(), site.bounds.drain_s, site.heartbeat_s, site.abrupt_share)
        super().__init__(places(layout), terms, log, seed)
        self._slots = layout.servers()
        self._reuse_after_s = site.bounds.address_reuse_s

    async def start_all(self) -> None:
        """Start all servers but those that come with a later cut of the index."""
        await self._start_all([each for each in self._slots if not each.later])

    async def _start_all(self, servers: list[SiteServer]) -> None:
        for each in servers:
            await self.start(each.slot, each.service)

    async def follow(self, command: dict[str, Any]) -> None:
        """Apply a command about the servers in some slots, or of some service groups."""
        match command:
            case {"slots": slots, "mode": mode}:
                self._set_mode(slots, mode, command)
            case {"drain": slots}:
                await asyncio.gather(*(self.drain(slot) for slot in slots))
            case {"vanish": slots}:
                for slot in slots:
                    self.end(slot)
            case {"restart": slots}:
                for slot in slots:
                    self.end(slot)
                    await self.start(slot, self._slots[slot].service)
            case {"reuse": slots, "service": service}:
                await self._reuse(slots, service, command.get("after_s", self._reuse_after_s))
            case {"start_groups": groups}:
                await self._start_all([each for each in self._slots if each.group in groups])
            case {"drain_groups": groups}:
                slots = [each.slot for each in self._slots if each.group in groups]
                await asyncio.gather(*(self.drain(slot) for slot in slots))

    def _set_mode(self, slots: list[int], mode: str, command: dict[str, Any]) -> None:
        for slot in slots:
            server = self.servers.get(slot)
            if server is not None:
                server.slow_factor = command.get("factor", SLOW_FACTOR)
                server.fault_share = command.get("share", 1.0)
                server.mode = mode

    async def _reuse(self, slots: list[int], service: str, after_s: float) -> None:
        """End servers, and later start ones of another service at their addresses."""
        for slot in slots:
            self.end(slot)
        await asyncio.sleep(after_s)
        for slot in slots:
            await self.start(slot, service)


async def run(layout: SiteLayout, log_path: Path, seed: int) -> None:
    """Start the servers, and apply commands until standard input ends."""
    fleet = SiteFleet(layout, EventLog(log_path), seed)
    await fleet.start_all()
    print("up", flush=True)
    await follow_commands(fleet.apply_command)


if __name__ == "__main__":
    sheet, net, log_file, server_seed = json.loads(sys.argv[1])
    run_standin(run(SiteLayout(read_sheet(Path(sheet)), net), Path(log_file), server_seed))

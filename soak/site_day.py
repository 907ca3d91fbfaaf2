"""Plays one day of a users' site: its stand-ins, its nodes, and the troubles of a plan."""

import asyncio
import json
import random
import signal
import sys
import traceback
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import Any, Protocol

from soak.processes import ROOT, Standin
from soak.site import Day, FinalFault
from soak.site_layout import SiteLayout
from soak.site_nodes import SiteNodes
from soak.site_operator import SiteOperator
from soak.standin import EventLog
from soak.store import StoreTerms

# All machines start within this time of each other.
START_SPREAD_S = 0.3
# Traffic goes on for this long after the time in which the nodes have to recover.
TRAFFIC_AFTER_RECOVERY_S = 4.0
# What a trouble still does this long after the day's traffic is broken off.
TROUBLE_TIMEOUT_S = 20.0
FINAL_CHANGE_TIMEOUT_S = 5.0


class Planned(Protocol):
    """A planned trouble, of which the day needs only the time, counted from the start of traffic."""

    @property
    def at_s(self) -> float:
        """When it begins."""


class Plan(Protocol):
    """The troubles of a day, and what strikes all nodes after ``seconds`` of traffic."""

    @property
    def troubles(self) -> Sequence[Planned]:
        """The troubles, earliest first."""

    @property
    def seconds(self) -> float:
        """How long traffic runs before the final fault."""

    @property
    def final(self) -> FinalFault | None:
        """The final fault."""


BringAbout = Callable[["SiteDay", Any], Awaitable[None]]


class SiteDay:
    """One day of the sheet at ``sheet``; its logs go into ``folder``.

    ``load`` is the share of the sheet's traffic that is sent, ``checkout`` has the nodes' program.
    """

    def __init__(
        self,
        layout: SiteLayout,
        sheet: Path,
        day: Day,
        seed: int,
        folder: Path,
        load: float = 1.0,
        checkout: Path = ROOT,
    ) -> None:
        self.layout = layout
        self.day = day
        self.log = EventLog(folder / "events-soak.jsonl")
        self.operator = SiteOperator(layout)
        self._sheet = sheet
        self._seed = seed
        self._rng = random.Random(seed)
        self._folder = folder
        self._load = load
        self._nodes = SiteNodes(layout, folder, self.log, self._rng, checkout)
        self._standins: dict[str, Standin] = {}
        self._sampler: asyncio.Task[None] | None = None
        self._starts: list[asyncio.Task[None]] = []
        self._traffic_s = 0.0

    # --- the course of the day ---

    async def start(self) -> None:
        """Start the stand-ins, the first configuration and all nodes but the spare ones; traffic is later."""
        site, nodes = self.layout.site, self.layout.nodes()
        terms = StoreTerms(site.heartbeat_s, writes_per_s=site.writes_per_s, reads_per_s=site.reads_per_s)
        store_host = self.layout.store_host()
        await self._start_standin(
            "store", "soak.store", store_host, str(len(nodes)), self._events("store"), json.dumps(terms)
        )
        await self._start_standin("network", "soak.network", json.dumps(self.layout.links()))
        self._traffic_s = asyncio.get_running_loop().time() + site.lead_s
        self._sampler = asyncio.create_task(self._nodes.sample())
        numbers = [node.number for node in nodes if not node.spare]
        self._starts = [asyncio.create_task(self._start_first(number)) for number in numbers]
        arguments = [str(self._sheet), self.layout.net, self._events("servers"), self._seed]
        await self._start_standin("servers", "soak.site_servers", json.dumps(arguments))
        await self.change_configuration("idle")

    async def _start_first(self, number: int) -> None:
        await asyncio.sleep(self._rng.uniform(0.0, START_SPREAD_S))
        await self._nodes.start(number, first=True)

    async def play(self, plan: Plan, bring_about: BringAbout) -> None:
        """Send traffic and bring each planned trouble about at its time, with the final fault at the end."""
        troubles = [asyncio.create_task(self._play_trouble(each, bring_about)) for each in plan.troubles]
        await _sleep_until(self._traffic_s)
        await self._start_callers()
        self.log.write("day_begin", day=self.day.name, seed=self._seed, load=self._load)
        await _sleep_until(self._traffic_s + plan.seconds)
        if plan.final is not None:
            await self._strike_all(plan.final)
            await asyncio.sleep(self.layout.site.bounds.recovery_s + TRAFFIC_AFTER_RECOVERY_S)
        await self._finish(troubles)
        self.log.write("day_end")

    async def _play_trouble(self, planned: Planned, bring_about: BringAbout) -> None:
        await _sleep_until(self._traffic_s + planned.at_s)
        try:
            await bring_about(self, planned)
        except Exception as error:  # a trouble that fails must not end the day, but must be seen
            self.log.write("trouble_failed", trouble=repr(planned), error=repr(error))
            traceback.print_exc(file=sys.stderr)

    async def _strike_all(self, final: FinalFault) -> None:
        """Kill all nodes right after the store has taken a configuration, and start them again together."""
        try:
            async with asyncio.timeout(FINAL_CHANGE_TIMEOUT_S):
                await self.change_configuration("idle")
        except TimeoutError:
            self.log.write("final_change_not_taken")
        struck = self.running_nodes()
        self.log.write("final_fault", kind=final.kind, how=final.how, nodes=struck)
        await asyncio.gather(*(self.kill_node(number) for number in struck))
        await asyncio.sleep(final.down_s)
        self.log.write("final_return", nodes=struck)
        await asyncio.gather(*(self.start_node(number) for number in struck))

    async def _finish(self, troubles: list[asyncio.Task[None]]) -> None:
        if troubles:
            await asyncio.wait(troubles, timeout=TROUBLE_TIMEOUT_S)
        for each in troubles:
            each.cancel()
        await asyncio.gather(*troubles, return_exceptions=True)

    async def end(self) -> None:
        """End all processes."""
        for task in (*self._starts, *([self._sampler] if self._sampler else [])):
            task.cancel()
        for name in reversed(list(self._standins)):
            await self._standins[name].end()
        await self._nodes.end_all()

    async def _start_callers(self) -> None:
        arguments = [str(self._sheet), self.layout.net, self._events("callers"), self._seed]
        await self._start_standin(
            "callers", "soak.site_callers", json.dumps([*arguments, self._load, self.day.traffic])
        )
        self.callers_command(version=self.operator.state.version)

    async def _start_standin(self, name: str, module: str, *arguments: str) -> None:
        errors = self._folder / f"{name}.log"
        self._standins[name] = await Standin.start(module, *arguments, errors=errors)

    def _events(self, name: str) -> str:
        return str(self._folder / f"events-{name}.jsonl")

    # --- nodes ---

    async def start_node(self, number: int) -> None:
        """Start a node, and return once it is ready or the time for it has passed."""
        await self._nodes.start(number)

    async def kill_node(self, number: int) -> None:
        """Kill a node without warning; it stays down until ``start_node``."""
        await self._nodes.kill(number)

    async def stop_node(self, number: int) -> None:
        """Ask a node to stop, and kill it after the grace period; it stays down until ``start_node``."""
        await self._nodes.stop(number)

    def signal_node(self, number: int, signal_number: signal.Signals) -> None:
        """Send a signal to a node if it is running."""
        self._nodes.send(number, signal_number)

    def rewrite_settings(self, number: int, **changes: Any) -> None:
        """Write a node's settings file anew with changed fields, which hold for later starts too."""
        self._nodes.rewrite_settings(number, changes)

    def running_nodes(self) -> list[int]:
        """Return the nodes whose processes run."""
        return self._nodes.running()

    def spare_nodes(self) -> list[int]:
        """Return the spare nodes that have not joined yet."""
        return self._nodes.never_started()

    # --- operator ---

    async def change_configuration(self, how: str, extra_routes: int = 0) -> None:
        """Store a new configuration, and return once the store has taken it."""
        await self.operator.change(how, extra_routes)
        self.callers_command(version=self.operator.state.version)

    async def reshard(self, delay_s: float) -> None:
        """Start the next cut of the index, name its servers after ``delay_s``, and drain the others."""
        self.servers_command(start_groups=sorted(self.operator.next_groups()))
        await asyncio.sleep(delay_s)
        left, _ = await self.operator.cut_index()
        self.callers_command(version=self.operator.state.version)
        await asyncio.sleep(self.layout.site.bounds.config_apply_s)
        self.servers_command(drain_groups=sorted(left))

    # --- stand-ins ---

    def servers_command(self, **command: Any) -> None:
        """Send a command to the servers' stand-in; see ``SiteFleet.follow``."""
        self._command("servers", command)

    def store_command(self, **command: Any) -> None:
        """Send a command to the store's stand-in; see ``Store.apply_command``."""
        self._command("store", command)

    def callers_command(self, **command: Any) -> None:
        """Send a command to the callers' stand-in; see ``SiteCallers.apply_command``."""
        self._command("callers", command)

    def network(self, link: str, mode: str) -> None:
        """Set the mode of a link, ``front:N`` or ``store:N``."""
        self._command("network", {"link": link, "mode": mode})

    def network_command(self, **command: Any) -> None:
        """Send a command to the network's stand-in."""
        self._command("network", command)

    def _command(self, name: str, command: dict[str, Any]) -> None:
        """Send a command to a stand-in; before the stand-in runs there is nothing to command."""
        if name in self._standins:
            self._standins[name].send_command(**command)


async def _sleep_until(at_s: float) -> None:
    """Sleep until a time of the event loop's clock."""
    await asyncio.sleep(max(0.0, at_s - asyncio.get_running_loop().time()))

"""Plays one day of a users' site: its stand-ins, its nodes, and the troubles of a plan."""

import asyncio
import signal
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import Any, Protocol

from soak.site import Day
from soak.site_layout import SiteLayout
from soak.standin import EventLog


class Planned(Protocol):
    """A planned trouble, of which the day needs only the time, counted from the start of traffic."""

    @property
    def at_s(self) -> float:
        """When it begins."""


class SiteDay:
    """One day; its logs go into ``folder``."""

    def __init__(self, layout: SiteLayout, day: Day, seed: int, folder: Path, load: float = 1.0) -> None:
        self.layout = layout
        self.day = day
        self.log = EventLog(folder / "events-soak.jsonl")

    async def start(self) -> None:
        """Start the stand-ins, store the first configuration, and start all nodes but the spare ones."""
        raise NotImplementedError

    async def play(
        self, plan: Sequence[Planned], bring_about: Callable[["SiteDay", Any], Awaitable[None]]
    ) -> None:
        """Send traffic and bring each planned trouble about at its time, with the final fault at the end."""
        raise NotImplementedError

    async def end(self) -> None:
        """End all processes."""
        raise NotImplementedError

    async def start_node(self, number: int) -> None:
        """Start a node, and return once it is ready or the time for it has passed."""
        raise NotImplementedError

    async def kill_node(self, number: int) -> None:
        """Kill a node without warning; it stays down until ``start_node``."""
        raise NotImplementedError

    async def stop_node(self, number: int) -> None:
        """Ask a node to stop, and kill it after the grace period; it stays down until ``start_node``."""
        raise NotImplementedError

    def signal_node(self, number: int, number_of_signal: signal.Signals) -> None:
        """Send a signal to a node if it is running."""
        raise NotImplementedError

    def rewrite_settings(self, number: int, **changes: Any) -> None:
        """Write a node's settings file anew with changed fields, which hold for later starts too."""
        raise NotImplementedError

    def running_nodes(self) -> list[int]:
        """Return the nodes whose processes run."""
        raise NotImplementedError

    def spare_nodes(self) -> list[int]:
        """Return the spare nodes that have not joined yet."""
        raise NotImplementedError

    async def change_configuration(self, how: str, extra_routes: int = 0) -> None:
        """Store a new configuration, and return once the store has taken it."""
        raise NotImplementedError

    async def reshard(self, delay_s: float) -> None:
        """Start the servers of the other cut of the index, and name them after ``delay_s``."""
        raise NotImplementedError

    def servers_command(self, **command: Any) -> None:
        """Send a command to the servers' stand-in."""
        raise NotImplementedError

    def store_command(self, **command: Any) -> None:
        """Send a command to the store's stand-in."""
        raise NotImplementedError

    def callers_command(self, **command: Any) -> None:
        """Send a command to the callers' stand-in."""
        raise NotImplementedError

    def network(self, link: str, mode: str) -> None:
        """Set the mode of a link, ``front:N`` or ``store:N``."""
        raise NotImplementedError


async def sleep_until(at_s: float) -> None:
    """Sleep until a time of the event loop's clock."""
    await asyncio.sleep(max(0.0, at_s - asyncio.get_running_loop().time()))

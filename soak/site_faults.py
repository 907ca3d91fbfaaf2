"""Brings the troubles of a day's plan about, through the day's processes and its stand-ins' commands."""

import asyncio
import math
import random
import signal
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable
from typing import Any, TypeVar

from soak.site_day import SiteDay
from soak.site_layout import SiteServer
from soak.site_plan import DEFAULT_FOR_S, DEFAULT_GAP_S, REWRITTEN, PlannedTrouble

DEFAULT_DOWN_S, DEFAULT_FREEZE_S = 1.0, 3.0
SLOW_PERIOD_S, DEFAULT_SLOW_FACTOR = 0.1, 5.0
ACKNOWLEDGED_KILL_S = 0.004
HARD_KILLS, HARD_GAP_S = 3, (0.02, 1.0)
RESET_EVERY_S, RESET_FOR_S = 0.3, 0.05
DRAIN_AFTER_RETURN_S = 0.3
# A server that was asked to leave has ended by then.
AFTER_DRAIN_S = 3.5
# What the factor of a slow store multiplies.
SOUND_STORE_CALL_S = 0.005
COMPACTION_PAUSE_S, CHANGES_IN_PAUSE = 1.0, 3
BIG_CONFIGURATION_ROUTES = 350
ALL_KILLED = "core"

SERVER_MODES = {"errors": "fails", "shed": "full", "busy": "full", "hang": "dark", "mute": "dark"}
SERVER_MODES |= {"reset": "loses_answers", "slow": "slow"}
STORE_MODES = {"silent": "silent", "busy": "throttled", "reset": "reset"}
LINK_MODES = {"one_way": "one_way", "reset": "reset", "refuse": "reset"}

Chosen = TypeVar("Chosen")
Play = Callable[[SiteDay, PlannedTrouble, random.Random], Awaitable[None]]


class TroublePlayer:
    """Brings troubles about, also overlapping ones; ``bring_about`` goes to ``SiteDay.play``."""

    def __init__(self) -> None:
        # How many troubles hold each node down; the last one to end starts it again.
        self._down: Counter[int] = Counter()
        # Which trouble set the current mode of each server, link and the store.
        self._owners: dict[str, int] = {}
        self._resharded = False

    async def bring_about(self, day: SiteDay, planned: PlannedTrouble) -> None:
        """Bring one trouble about, and return when it is over."""
        trouble = planned.trouble
        rng = random.Random(planned.seed)
        fields = {"number": planned.number, "kind": trouble.kind, "how": list(trouble.how)}
        day.log.write("fault", **fields, planned_s=planned.at_s, for_s=trouble.for_s)
        try:
            await self._plays()[trouble.kind](day, planned, rng)
        finally:
            day.log.write("fault_end", **fields)

    def _plays(self) -> dict[str, Play]:
        return {
            "add_nodes": self._add_nodes,
            "after_ack_kill": self._kill_after_change,
            "answer_lost": self._disturb_servers("loses_answers"),
            "big_config": self._enlarge_configuration,
            "burst": self._add_traffic,
            "config_change": self._change_configuration,
            "config_storm": self._change_often,
            "core_cut": self._cut_nodes,
            "garble": self._disturb_servers("garbles"),
            "give_up": self._give_up,
            "herd_kill": self._kill_nodes,
            "hup": self._reload_nodes,
            "lossy": self._delay_links,
            "node_cut": self._cut_nodes,
            "node_freeze": self._freeze_nodes,
            "node_kill": self._kill_nodes,
            "node_slow": self._slow_nodes,
            "platform_compact": self._compact_store,
            "platform_down": self._fail_store,
            "platform_lost": self._lose_store_answers,
            "platform_slow": self._slow_store,
            "release": self._replace_servers,
            "replace_with_reuse": self._reuse_addresses,
            "reset_conns": self._reset_connections,
            "reshard": self._reshard,
            "retry_abuse": self._abuse_retries,
            "roll_term": self._restart_nodes,
            "scale_in": self._drain_servers,
            "shift": self._shift_traffic,
            "srv_crash": self._crash_servers,
            "srv_grey": self._fail_servers,
            "srv_slow": self._disturb_servers("slow"),
        }

    # --- targets ---

    def _choose_nodes(
        self, day: SiteDay, planned: PlannedTrouble, rng: random.Random, default_share: float
    ) -> list[int]:
        """Return running nodes, and log them."""
        trouble = planned.trouble
        zones = {node.number: node.zone for node in day.layout.nodes()}
        nodes = [each for each in sorted(day.running_nodes()) if trouble.zone in ("", zones[each])]
        share = default_share if trouble.share is None else trouble.share
        if trouble.targets is not None:
            chosen = rng.sample(nodes, min(trouble.targets, len(nodes)))
        else:
            chosen = _sample_share(rng, nodes, share)
        day.log.write("fault_targets", number=planned.number, nodes=chosen)
        return chosen

    def _choose_servers(
        self, day: SiteDay, planned: PlannedTrouble, rng: random.Random, default_share: float
    ) -> list[int]:
        """Return slots of one service or, with ``across``, of all copies of a group, and log them."""
        trouble = planned.trouble
        servers = [each for each in day.layout.servers() if self._resharded or not each.later]
        servers = [each for each in servers if trouble.zone in ("", each.zone)]
        servers = _servers_of(rng, servers, trouble.service, across="across" in trouble.how)
        slots = [each.slot for each in servers]
        if "all" in trouble.how:
            chosen = slots
        else:
            share = default_share if trouble.share is None else trouble.share
            chosen = _sample_share(rng, slots, share, spared=1)
        day.log.write("fault_targets", number=planned.number, slots=chosen)
        return chosen

    def _take(self, number: int, names: Iterable[str]) -> list[str]:
        """Make a trouble the one that decides over the modes of ``names``."""
        taken = list(names)
        self._owners.update(dict.fromkeys(taken, number))
        return taken

    def _release(self, number: int, names: Iterable[str]) -> list[str]:
        """Return those of ``names`` over which no later trouble decides."""
        return [each for each in names if self._owners.get(each) == number]

    # --- nodes ---

    async def _hold_down(self, day: SiteDay, node: int, down_s: float, planned_stop: bool = False) -> None:
        """End a node, and start it again unless another trouble holds it down."""
        if node not in day.running_nodes():
            return
        self._down[node] += 1
        try:
            await (day.stop_node(node) if planned_stop else day.kill_node(node))
            await asyncio.sleep(down_s)
        finally:
            self._down[node] -= 1
        if not self._down[node] and node not in day.running_nodes():
            await day.start_node(node)

    async def _kill_nodes(self, day: SiteDay, planned: PlannedTrouble, rng: random.Random) -> None:
        trouble = planned.trouble
        default_share = 0.6 if trouble.kind == "herd_kill" else 0.1
        if trouble.kind == "herd_kill" and trouble.on == ALL_KILLED:
            default_share = 1.0
        nodes = self._choose_nodes(day, planned, rng, default_share)
        down_s = DEFAULT_DOWN_S if trouble.for_s is None else trouble.for_s
        rounds = HARD_KILLS if "hard" in trouble.how else 1
        async with asyncio.TaskGroup() as group:
            for node in nodes:
                gaps_s = [rng.uniform(*HARD_GAP_S) for _ in range(rounds - 1)]
                group.create_task(self._kill_often(day, node, down_s, gaps_s))
            if "meet" in trouble.how or "race" in trouble.how:
                group.create_task(self._change_on_return(day, down_s, 2 if "race" in trouble.how else 1))
            if "drain" in trouble.how:
                group.create_task(self._drain_on_return(day, nodes, down_s, rng))

    async def _kill_often(self, day: SiteDay, node: int, down_s: float, gaps_s: list[float]) -> None:
        """Kill a node, and then again at each gap after its next start, whether or not it is ready."""
        async with asyncio.TaskGroup() as group:
            for gap_s in gaps_s:
                group.create_task(self._hold_down(day, node, down_s))
                await asyncio.sleep(down_s + gap_s)
            await self._hold_down(day, node, down_s)

    async def _change_on_return(self, day: SiteDay, down_s: float, changes: int) -> None:
        await asyncio.sleep(down_s)
        await asyncio.gather(*(day.change_configuration("timeout") for _ in range(changes)))

    async def _drain_on_return(
        self, day: SiteDay, nodes: list[int], down_s: float, rng: random.Random
    ) -> None:
        """Drain some servers of the nodes' zones shortly after the nodes are back."""
        await asyncio.sleep(down_s + DRAIN_AFTER_RETURN_S)
        zones = {each.zone for each in day.layout.nodes() if each.number in nodes}
        slots = [each.slot for each in day.layout.servers() if each.zone in zones and not each.later]
        await self._drain_and_restart(day, _sample_share(rng, slots, 0.05))

    async def _kill_after_change(self, day: SiteDay, planned: PlannedTrouble, rng: random.Random) -> None:
        nodes = self._choose_nodes(day, planned._replace(trouble=_one_target(planned)), rng, 0.0)
        await day.change_configuration("timeout")
        await asyncio.sleep(rng.uniform(0.0, ACKNOWLEDGED_KILL_S))
        down_s = planned.trouble.for_s or DEFAULT_DOWN_S
        await asyncio.gather(*(self._hold_down(day, node, down_s) for node in nodes))

    async def _restart_nodes(self, day: SiteDay, planned: PlannedTrouble, rng: random.Random) -> None:
        trouble = planned.trouble
        nodes = self._choose_nodes(day, planned, rng, 1.0)
        at_once = max(1, round(trouble.factor or 1.0))
        async with asyncio.TaskGroup() as group:
            for first in range(0, len(nodes), at_once):
                for node in nodes[first : first + at_once]:
                    group.create_task(self._hold_down(day, node, 0.0, planned_stop=True))
                await asyncio.sleep(trouble.gap_s or DEFAULT_GAP_S)

    async def _add_nodes(self, day: SiteDay, planned: PlannedTrouble, rng: random.Random) -> None:
        trouble, spares = planned.trouble, sorted(day.spare_nodes())
        count = trouble.targets or round(len(spares) * (trouble.share or 1.0))
        nodes = spares[: max(1, count)]
        day.log.write("fault_targets", number=planned.number, nodes=nodes)
        await asyncio.gather(*(day.start_node(node) for node in nodes))

    async def _reload_nodes(self, day: SiteDay, planned: PlannedTrouble, rng: random.Random) -> None:
        trouble = planned.trouble
        nodes = self._choose_nodes(day, planned, rng, 0.3)
        pause_s = (trouble.gap_s or DEFAULT_GAP_S) / max(1, len(nodes))
        for node in nodes:
            if REWRITTEN in trouble.how:
                day.rewrite_settings(node)
            if node in day.running_nodes():
                day.signal_node(node, signal.SIGHUP)
            await asyncio.sleep(pause_s)

    async def _freeze_nodes(self, day: SiteDay, planned: PlannedTrouble, rng: random.Random) -> None:
        nodes = self._choose_nodes(day, planned, rng, 0.1)
        self._signal_running(day, nodes, signal.SIGSTOP)
        try:
            await asyncio.sleep(planned.trouble.for_s or DEFAULT_FREEZE_S)
        finally:
            self._signal_running(day, nodes, signal.SIGCONT)

    async def _slow_nodes(self, day: SiteDay, planned: PlannedTrouble, rng: random.Random) -> None:
        trouble = planned.trouble
        nodes = self._choose_nodes(day, planned, rng, 0.1)
        running_s = SLOW_PERIOD_S / max(1.0, trouble.factor or DEFAULT_SLOW_FACTOR)
        end_s = asyncio.get_running_loop().time() + (trouble.for_s or DEFAULT_FOR_S)
        try:
            while asyncio.get_running_loop().time() < end_s:
                self._signal_running(day, nodes, signal.SIGSTOP)
                await asyncio.sleep(SLOW_PERIOD_S - running_s)
                self._signal_running(day, nodes, signal.SIGCONT)
                await asyncio.sleep(running_s)
        finally:
            self._signal_running(day, nodes, signal.SIGCONT)

    def _signal_running(self, day: SiteDay, nodes: list[int], number: signal.Signals) -> None:
        running = set(day.running_nodes())
        for node in nodes:
            if node in running:
                day.signal_node(node, number)

    # --- links ---

    async def _cut_nodes(self, day: SiteDay, planned: PlannedTrouble, rng: random.Random) -> None:
        modes = [LINK_MODES[word] for word in planned.trouble.how if word in LINK_MODES]
        nodes = self._choose_nodes(day, planned, rng, 0.1)
        links = [f"store:{node}" for node in nodes]
        await self._set_links(day, planned, links, modes[0] if modes else "silent")

    async def _delay_links(self, day: SiteDay, planned: PlannedTrouble, rng: random.Random) -> None:
        nodes = self._choose_nodes(day, planned, rng, 1.0)
        links = [f"{kind}:{node}" for kind in ("front", "store") for node in nodes]
        await self._set_links(day, planned, links, "delay")

    async def _set_links(self, day: SiteDay, planned: PlannedTrouble, links: list[str], mode: str) -> None:
        for link in self._take(planned.number, links):
            day.network(link, mode)
        await asyncio.sleep(planned.trouble.for_s or DEFAULT_FOR_S)
        for link in self._release(planned.number, links):
            day.network(link, "sound")

    async def _reset_connections(self, day: SiteDay, planned: PlannedTrouble, rng: random.Random) -> None:
        nodes = self._choose_nodes(day, planned, rng, 0.1)
        links = [f"front:{node}" for node in nodes]
        short = planned._replace(trouble=planned.trouble._replace(for_s=RESET_FOR_S))
        for _ in range(math.ceil((planned.trouble.for_s or DEFAULT_FOR_S) / RESET_EVERY_S)):
            await self._set_links(day, short, links, "reset")
            await asyncio.sleep(RESET_EVERY_S - RESET_FOR_S)

    # --- store and operator ---

    async def _fail_store(self, day: SiteDay, planned: PlannedTrouble, rng: random.Random) -> None:
        trouble = planned.trouble
        if "nodes" in trouble.how:
            nodes = self._choose_nodes(day, planned, rng, 0.35)
            await self._fail_store_for(day, planned, nodes, _store_mode(trouble.how))
            return
        await self._set_store(day, planned, mode=_store_mode(trouble.how))
        if "lapse" in trouble.how:
            day.store_command(forget="entries")

    async def _fail_store_for(
        self, day: SiteDay, planned: PlannedTrouble, nodes: list[int], mode: str
    ) -> None:
        async with asyncio.TaskGroup() as group:
            group.create_task(self._set_store(day, planned, mode=mode, nodes=nodes))
            if "meet" in planned.trouble.how:
                group.create_task(self._change_on_return(day, planned.trouble.for_s or DEFAULT_FOR_S, 1))

    async def _lose_store_answers(self, day: SiteDay, planned: PlannedTrouble, rng: random.Random) -> None:
        await self._set_store(day, planned, mode="loses_answers", share=planned.trouble.factor or 0.3)

    async def _slow_store(self, day: SiteDay, planned: PlannedTrouble, rng: random.Random) -> None:
        slow_s = SOUND_STORE_CALL_S * (planned.trouble.factor or 50.0)
        await self._set_store(day, planned, mode="slow", slow_s=slow_s)

    async def _set_store(self, day: SiteDay, planned: PlannedTrouble, **command: Any) -> None:
        self._take(planned.number, ["store"])
        day.store_command(**command)
        await asyncio.sleep(planned.trouble.for_s or DEFAULT_FOR_S)
        if self._release(planned.number, ["store"]):
            day.store_command(mode="sound")

    async def _compact_store(self, day: SiteDay, planned: PlannedTrouble, rng: random.Random) -> None:
        """Let watches hear nothing while changes are made, then drop the history of these changes."""
        self._take(planned.number, ["store"])
        day.store_command(mode="deaf")
        drained = self._choose_servers(day, planned, rng, 0.15)[:1] if "drain" in planned.trouble.how else []
        async with asyncio.TaskGroup() as group:
            group.create_task(self._drain_and_restart(day, drained))
            for _ in range(CHANGES_IN_PAUSE):
                await day.change_configuration("timeout")
                await asyncio.sleep(COMPACTION_PAUSE_S / CHANGES_IN_PAUSE)
            day.store_command(forget="history")
            if self._release(planned.number, ["store"]):
                day.store_command(mode="sound")

    async def _change_configuration(self, day: SiteDay, planned: PlannedTrouble, rng: random.Random) -> None:
        await day.change_configuration(" ".join(planned.trouble.how) or "timeout")

    async def _change_often(self, day: SiteDay, planned: PlannedTrouble, rng: random.Random) -> None:
        trouble = planned.trouble
        gap_s = trouble.gap_s or DEFAULT_GAP_S
        count = trouble.targets or max(1, round((trouble.for_s or DEFAULT_FOR_S) / gap_s))
        for _ in range(count):
            await day.change_configuration("timeout")
            await asyncio.sleep(gap_s)

    async def _enlarge_configuration(self, day: SiteDay, planned: PlannedTrouble, rng: random.Random) -> None:
        await day.change_configuration(
            "idle", extra_routes=planned.trouble.targets or BIG_CONFIGURATION_ROUTES
        )

    async def _reshard(self, day: SiteDay, planned: PlannedTrouble, rng: random.Random) -> None:
        if not self._resharded:
            self._resharded = True
            await day.reshard(planned.trouble.factor or 3.0)

    # --- servers and callers ---

    def _disturb_servers(self, mode: str) -> Play:
        async def play(day: SiteDay, planned: PlannedTrouble, rng: random.Random) -> None:
            trouble = planned.trouble
            strength = "factor" if mode == "slow" else "share"
            more = {} if trouble.factor is None else {strength: trouble.factor}
            slots = self._choose_servers(day, planned, rng, 0.15 if mode == "slow" else 0.5)
            await self._set_servers(day, planned, slots, mode=mode, **more)

        return play

    async def _fail_servers(self, day: SiteDay, planned: PlannedTrouble, rng: random.Random) -> None:
        modes = [SERVER_MODES[word] for word in planned.trouble.how if word in SERVER_MODES]
        await self._disturb_servers(modes[0] if modes else "fails")(day, planned, rng)

    async def _set_servers(
        self, day: SiteDay, planned: PlannedTrouble, slots: list[int], **command: Any
    ) -> None:
        names = {f"server:{slot}": slot for slot in slots}
        self._take(planned.number, names)
        day.servers_command(slots=slots, **command)
        await asyncio.sleep(planned.trouble.for_s or DEFAULT_FOR_S)
        sound = [names[name] for name in self._release(planned.number, names)]
        day.servers_command(slots=sound, mode="sound")

    async def _crash_servers(self, day: SiteDay, planned: PlannedTrouble, rng: random.Random) -> None:
        trouble = planned.trouble
        slots = self._choose_servers(day, planned, rng, 0.15)
        if "dark" in trouble.how:
            await self._set_servers(day, planned, slots, mode="dark")
            return
        day.servers_command(vanish=slots)
        if "gone" in trouble.how:
            return
        await asyncio.sleep(trouble.for_s or DEFAULT_FOR_S)
        day.servers_command(restart=slots)

    async def _replace_servers(self, day: SiteDay, planned: PlannedTrouble, rng: random.Random) -> None:
        trouble = planned.trouble
        slots = self._choose_servers(day, planned, rng, 0.5)
        at_once = max(1, round(trouble.factor or 1.0))
        async with asyncio.TaskGroup() as group:
            for first in range(0, len(slots), at_once):
                group.create_task(self._drain_and_restart(day, slots[first : first + at_once]))
                await asyncio.sleep(trouble.gap_s or DEFAULT_GAP_S)

    async def _drain_servers(self, day: SiteDay, planned: PlannedTrouble, rng: random.Random) -> None:
        slots = self._choose_servers(day, planned, rng, 0.15)
        await self._drain_and_restart(day, slots, planned.trouble.for_s or 0.0)

    async def _drain_and_restart(self, day: SiteDay, slots: list[int], least_s: float = 0.0) -> None:
        if not slots:
            return
        day.servers_command(drain=slots)
        await asyncio.sleep(max(least_s, day.layout.site.bounds.drain_s + AFTER_DRAIN_S))
        day.servers_command(restart=slots)

    async def _reuse_addresses(self, day: SiteDay, planned: PlannedTrouble, rng: random.Random) -> None:
        slots = self._choose_servers(day, planned, rng, 0.15)
        services = sorted({each.service for each in day.layout.servers() if not each.later})
        after_s = day.layout.site.bounds.address_reuse_s
        day.servers_command(reuse=slots, service=rng.choice(services), after_s=after_s)
        await asyncio.sleep(max(planned.trouble.for_s or 0.0, after_s + DEFAULT_FOR_S))
        day.servers_command(restart=slots)

    async def _add_traffic(self, day: SiteDay, planned: PlannedTrouble, rng: random.Random) -> None:
        factor = planned.trouble.factor or 1.5
        await self._set_callers(day, planned, {"factor": factor}, {"factor": 1.0})

    async def _abuse_retries(self, day: SiteDay, planned: PlannedTrouble, rng: random.Random) -> None:
        trouble = planned.trouble
        abuse = {"abuse": trouble.share or 0.3, "tries": 1 + round(trouble.factor or 3.0)}
        await self._set_callers(day, planned, abuse, {"abuse": 0.0})

    async def _give_up(self, day: SiteDay, planned: PlannedTrouble, rng: random.Random) -> None:
        share = planned.trouble.share or 0.2
        await self._set_callers(day, planned, {"give_up": share}, {"give_up": 0.0})

    async def _shift_traffic(self, day: SiteDay, planned: PlannedTrouble, rng: random.Random) -> None:
        """Move a share of a zone's traffic to another zone, both drawn where the trouble names none."""
        trouble, zones = planned.trouble, sorted(day.layout.site.zones)
        zone = trouble.zone or rng.choice(zones)
        others = [each for each in zones if each != zone] or zones
        places = {"from": zone, "to": trouble.to_zone or rng.choice(others)}
        shift = {"shift": trouble.share or 0.5} | places
        await self._set_callers(day, planned, shift, {"shift": 0.0} | places)

    async def _set_callers(
        self, day: SiteDay, planned: PlannedTrouble, begin: dict[str, Any], end: dict[str, Any]
    ) -> None:
        name = f"callers:{next(iter(begin))}"
        self._take(planned.number, [name])
        day.callers_command(**begin)
        await asyncio.sleep(planned.trouble.for_s or DEFAULT_FOR_S)
        if self._release(planned.number, [name]):
            day.callers_command(**end)


def _store_mode(how: tuple[str, ...]) -> str:
    return next((STORE_MODES[word] for word in how if word in STORE_MODES), "silent")


def _one_target(planned: PlannedTrouble) -> Any:
    return planned.trouble._replace(targets=planned.trouble.targets or 1)


def _sample_share(rng: random.Random, items: list[Chosen], share: float, spared: int = 0) -> list[Chosen]:
    """Return a share of the items, at least one; ``spared`` are left out where there are more."""
    if not items:
        return []
    most = max(1, len(items) - spared)
    return sorted(rng.sample(items, min(most, max(1, round(share * len(items))))))  # type: ignore[type-var]


def _servers_of(
    rng: random.Random, servers: list[SiteServer], service: str, across: bool
) -> list[SiteServer]:
    """Return the servers of a service or group, or of a random one if ``service`` is empty."""
    if not servers:
        return []
    drawn = rng.choice(servers)
    named = [each for each in servers if service in (each.service, each.group)]
    if service and named:
        return named
    if across:
        return [each for each in servers if each.group == drawn.group]
    return [each for each in servers if each.service == drawn.service]

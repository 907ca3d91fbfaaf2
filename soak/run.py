"""Runs one soak: starts all processes, applies load, injects faults, and checks the promises meanwhile."""

import asyncio
import contextlib
import itertools
import json
import os
import signal
import sys
import time
from pathlib import Path
from typing import Any, NamedTuple

from soak.checkers import check
from soak.layout import COLD_S, DESK, FRONT_PORT, OPERATOR_PORT, ZONES, Layout, bounds_for, configuration
from soak.nodes import Nodes
from soak.processes import Standin, Usage, memory_mb
from soak.record import fault_fields, read_record
from soak.report import write_report
from soak.rollout_checkers import COMPLETED, ROLLED_BACK
from soak.schedule import ALONGSIDE_S, Fault
from soak.slow_callers import hold_connections
from soak.standin import EventLog, call

STANDINS = ("store", "network", "servers", "callers")
CHECK_EVERY_S, SAMPLE_EVERY_S = 20.0, 1.0
OPERATOR_RETRY_S, ORDER_POLL_S = 0.3, 0.2
BURST_FACTOR = 5.0
LINK_MODES = ("silent", "one_way", "reset", "delay")
SERVER_MODES = (
    *("slow", "full", "dark", "fails", "loses_answers", "garbles", "endless"),
    *("odd_status", "false_promises", "late_rejections"),
)
# Bytes without end from callers: this many connections, each with this pause between its pieces.
ENDLESS_CONNECTIONS, ENDLESS_PAUSE_S, SIGNAL_PAUSE_S = 4, 0.002, 0.05
# The servers of an evacuated zone turn cold this long before the operator takes the evacuation back.
COLD_BEFORE_END_S = 0.35
# More load as the zone is reopened: a server that is taken for a warm one gets more than a cold one bears.
REOPENING_FACTOR = BURST_FACTOR
ENDLESS_PIECE = b"a: b\r\n" * 2000
SERIES = (signal.SIGHUP, signal.SIGUSR1, signal.SIGHUP, signal.SIGUSR2)


class Standins(NamedTuple):
    """The stand-ins of a run."""

    store: Standin
    servers: Standin
    network: Standin
    callers: Standin


class Soak:
    """One run, whose logs and report go into its own folder."""

    def __init__(self, layout: Layout, seed: int, seconds: float, faults: tuple[Fault, ...], folder: Path):
        self.usage = Usage()
        self._layout = layout
        self._bounds = bounds_for(layout.nodes)
        self._seed = seed
        self._seconds = seconds
        self._faults = faults
        self._folder = folder
        self._log = EventLog(folder / "events-soak.jsonl")
        self._nodes = Nodes(layout, self._bounds, folder, self._log)
        self._ids = itertools.count(1)
        self._version = 0
        self._shard_set = "a"
        self._operator_lock = asyncio.Lock()
        # The object that the operator wants at each path; ``None`` if it is to be removed.
        self._desired: dict[str, dict[str, Any] | None] = {}
        self._printed: set[str] = set()
        self._restart_locks = [asyncio.Lock() for _ in range(layout.nodes)]

    async def run(self, run_info: dict[str, Any]) -> int:
        """Run the soak, write its report, and return the number of violations."""
        started: list[Standin] = []
        try:
            standins = await self._start(started)
            await self._run_under_load(standins)
        finally:
            for each in reversed(started):
                await each.end()
            await self._nodes.end_all()
        record = read_record(self._folder, self._layout, self._bounds)
        checked = check(record)
        figures = {"processes": self.usage.processes, "memory_mb": round(self.usage.memory_mb)}
        write_report(self._folder, record, checked, run_info | {"peak": figures})
        self._print_violations(checked)
        for name in STANDINS:
            if (self._folder / f"{name}.log").stat().st_size:
                print(f"a stand-in wrote errors, see {self._folder / name}.log", file=sys.stderr)
        return sum(len(each.violations) for each in checked.values())

    async def _start(self, started: list[Standin]) -> Standins:
        layout = json.dumps(list(self._layout))

        async def start(name: str, *arguments: str) -> Standin:
            errors = self._folder / f"{name}.log"
            started.append(await Standin.start(f"soak.{name}", *arguments, errors=errors))
            return started[-1]

        def events(name: str) -> str:
            return str(self._folder / f"events-{name}.jsonl")

        store = await start("store", self._layout.address(4, 0), str(self._layout.nodes), events("store"))
        await self._change(None, Fault("config_change", 0.0, 0.0, ()))
        network = await start("network", json.dumps(self._layout.links()))
        servers = await start("servers", layout, events("servers"), str(self._seed))
        await asyncio.gather(*(self._nodes.start(node) for node in range(self._layout.nodes)))
        callers = await start("callers", layout, events("callers"), str(self._seed))
        return Standins(store, servers, network, callers)

    async def _run_under_load(self, standins: Standins) -> None:
        tasks = [
            asyncio.create_task(self._check_periodically()),
            asyncio.create_task(self._sample(standins)),
            asyncio.create_task(self._watch_rollout_states(standins)),
        ]
        started_s = time.monotonic()
        try:
            async with asyncio.timeout(self._seconds + 60):
                async with asyncio.TaskGroup() as group:
                    for fault in self._faults:
                        group.create_task(self._run_fault(standins, fault, started_s))
                    await asyncio.sleep(self._seconds)
        finally:
            for task in tasks:
                task.cancel()
            results = await asyncio.gather(*tasks, return_exceptions=True)
        for result in results:
            if isinstance(result, Exception):
                raise result

    async def _run_fault(self, standins: Standins, fault: Fault, started_s: float) -> None:
        await asyncio.sleep(max(0.0, started_s + fault.at_s - time.monotonic()))
        number = next(self._ids)
        self._log.write("fault", number=number, **fault_fields(fault))
        duration_s = max(0.0, started_s + fault.until_s - time.monotonic())
        await self._inject(standins, fault, duration_s)
        self._log.write("fault_end", number=number)

    async def _inject(self, standins: Standins, fault: Fault, duration_s: float) -> None:
        kind = fault.kind
        if kind in ("config_change", "reshard"):
            await self._change(standins, fault)
        elif kind.startswith("rollout_"):
            await self._order_rollout(standins, fault, duration_s)
        elif kind == "zone_evacuated":
            await self._evacuate(standins, ZONES[fault.targets[0]], duration_s)
        elif kind in ("load_burst", "deadly_request"):
            await self._inject_caller_fault(standins.callers, kind, duration_s)
        elif kind == "odd_entry":
            standins.store.send_command(odd_entry=next(self._ids))
        elif kind == "front_endless":
            host = self._layout.node(fault.targets[0])
            await asyncio.gather(*(_send_endless(host, duration_s) for _ in range(ENDLESS_CONNECTIONS)))
        elif kind == "slow_callers":
            await hold_connections(self._layout.node(fault.targets[0]), duration_s)
        elif kind == "node_signals":
            await self._send_signals(fault.targets[0], duration_s)
        elif kind.startswith("node_") or kind == "herd_kill":
            # Callers that have not noticed a planned stop yet go on sending, here with long-running requests.
            stopping_node = fault.targets[0] if kind == "node_stop" else None
            standins.callers.send_command(press=stopping_node)
            await asyncio.gather(*(self._inject_node_fault(node, kind, duration_s) for node in fault.targets))
            standins.callers.send_command(press=None)
        elif kind.startswith(("front_", "store_link_", "server_link_")):
            await self._inject_link_fault(standins.network, fault, duration_s)
        elif kind.startswith("store_"):
            await self._inject_store_fault(standins.store, fault, duration_s)
        else:
            await self._inject_server_fault(standins.servers, fault, duration_s)

    async def _inject_caller_fault(self, callers: Standin, kind: str, duration_s: float) -> None:
        if kind == "load_burst":
            callers.send_command(factor=BURST_FACTOR)
            await asyncio.sleep(duration_s)
            callers.send_command(factor=1.0)
            return
        number = next(self._ids)
        callers.send_command(deadly=[number])
        await asyncio.sleep(duration_s)
        callers.send_command(harmless=[number])

    async def _inject_node_fault(self, node: int, kind: str, duration_s: float) -> None:
        if kind == "node_pause":
            self._nodes.send(node, signal.SIGSTOP)
            await asyncio.sleep(duration_s)
            self._nodes.send(node, signal.SIGCONT)
            return
        if kind == "node_suspend":
            await self._nodes.suspend(node, duration_s)
            return
        if kind == "node_hup":
            self._nodes.send(node, signal.SIGHUP)
            return
        # A signal may reach a node that is stopping or starting, but two starts of one node must not overlap.
        async with self._restart_locks[node]:
            if kind == "node_stop":
                await self._nodes.terminate(node)
            else:
                await self._nodes.kill(node)
                await asyncio.sleep(duration_s)
            await self._nodes.start(node)

    async def _send_signals(self, node: int, seconds: float) -> None:
        """Send signals in series, also while the node starts or stops."""
        for number in range(round(seconds / SIGNAL_PAUSE_S)):
            if self._nodes.holds_signals(node):
                self._nodes.send(node, SERIES[number % len(SERIES)])
            await asyncio.sleep(SIGNAL_PAUSE_S)

    async def _inject_link_fault(self, network: Standin, fault: Fault, duration_s: float) -> None:
        link = fault.kind.split("_")[0]
        mode = next(mode for mode in LINK_MODES if fault.kind.endswith(mode))
        for target in fault.targets:
            network.send_command(link=f"{link}:{target}", mode=mode)
        await asyncio.sleep(duration_s)
        for target in fault.targets:
            network.send_command(link=f"{link}:{target}", mode="sound")

    async def _inject_store_fault(self, store: Standin, fault: Fault, duration_s: float) -> None:
        fault_name = fault.kind.removeprefix("store_")
        if fault_name.startswith("forgets_"):
            store.send_command(forget=fault_name.removeprefix("forgets_"))
        elif fault_name == "loses_waits":
            store.send_command(lose="waits")
        elif fault_name == "restored":
            store.send_command(mode="down")
            await asyncio.sleep(duration_s)
            store.send_command(restore=True)
            store.send_command(mode="sound")
            await self._rewrite_all()
        elif fault_name == "refuses_some":
            store.send_command(refuse=list(fault.targets))
            await asyncio.sleep(duration_s)
            store.send_command(refuse=[])
        else:
            store.send_command(mode=fault_name)
            await asyncio.sleep(duration_s)
            store.send_command(mode="sound")

    async def _inject_server_fault(self, servers: Standin, fault: Fault, duration_s: float) -> None:
        fault_name = (
            fault.kind.removeprefix("server_")
            .removeprefix("shard_")
            .removeprefix("shards_")
            .removeprefix("desk_")
        )
        for slot in fault.targets:
            if fault_name in SERVER_MODES:
                servers.send_command(slot=slot, mode=fault_name)
            elif fault_name == "reuse":
                other = self._layout.slots()[(slot + 3) % len(self._layout.slots())]
                servers.send_command(reuse=slot, service=other)
            else:
                servers.send_command(**{fault_name: slot})
        await asyncio.sleep(duration_s)
        for slot in fault.targets:
            if fault_name in SERVER_MODES:
                servers.send_command(slot=slot, mode="sound")
            else:
                servers.send_command(restart=slot)

    # --- operator ---

    async def _change(self, standins: Standins | None, fault: Fault) -> None:
        async with self._operator_lock:
            self._version += 1
            if fault.kind == "reshard":
                self._shard_set = "b" if self._shard_set == "a" else "a"
            spec = configuration(self._layout, self._version, self._shard_set)
            await self._write_until_stored("config", "main", spec)
            if standins is not None:
                standins.callers.send_command(version=self._version)

    async def _write_until_stored(self, kind: str, name: str, spec: dict[str, Any] | None) -> None:
        """Write or remove an object, with retries until the store accepts it or a newer write replaces it."""
        path = f"/objects/{kind}/{name}"
        self._desired[path] = spec
        while self._desired[path] is spec:
            if await self._try_write(path, spec):
                return
            await asyncio.sleep(OPERATOR_RETRY_S)

    async def _try_write(self, path: str, spec: dict[str, Any] | None) -> bool:
        host = self._layout.address(4, 0)
        if spec is None:
            status, _ = await call(host, OPERATOR_PORT, "DELETE", path, None, 2.0)
            return status in (200, 404)
        status, _ = await call(host, OPERATOR_PORT, "PUT", path, {"spec": spec}, 2.0)
        return status == 200

    async def _rewrite_all(self) -> None:
        """Write every object again that the store may have lost; an unchanged object is a no-op."""
        for path in list(self._desired):
            while not await self._try_write(path, self._desired[path]):
                await asyncio.sleep(OPERATOR_RETRY_S)

    async def _order_rollout(self, standins: Standins, fault: Fault, duration_s: float) -> None:
        staged = fault.kind == "rollout_staged"
        # Names have no order: that of a staged version comes before the first one's.
        version = f"{'a' if staged else 's'}{next(self._ids) + 1}"
        if staged:
            standins.servers.send_command(rollout=version, bad=False)
            await asyncio.sleep(ALONGSIDE_S / 2)
            # As if others of the same version had replaced them: their entries are the later ones now.
            standins.store.send_command(renew=DESK, beside=version)
            await asyncio.sleep(ALONGSIDE_S / 2)
            duration_s -= ALONGSIDE_S
        order = {"service": DESK, "targetVersion": version, "durationS": round(duration_s - 5.0)}
        await self._write_until_stored("rollouts", DESK, order)
        if not staged:
            standins.servers.send_command(rollout=version, bad=fault.kind == "rollout_bad")
        await asyncio.sleep(duration_s)
        # An order that has reached no final state is withdrawn, and its servers drain.
        await self._write_until_stored("rollouts", DESK, None)
        standins.servers.send_command(final="withdrawn")

    async def _evacuate(self, standins: Standins, zone: str, duration_s: float) -> None:
        """Evacuate a zone, and take that back shortly after its servers have turned cold."""
        await self._write_until_stored("evacuations", zone, {"zone": zone})
        await asyncio.sleep(duration_s - COLD_BEFORE_END_S - COLD_S)
        standins.servers.send_command(cold_zone=zone, seconds=COLD_S)
        await asyncio.sleep(COLD_BEFORE_END_S)
        standins.callers.send_command(factor=REOPENING_FACTOR)
        await self._write_until_stored("evacuations", zone, None)
        await asyncio.sleep(COLD_S)
        standins.callers.send_command(factor=1.0)

    async def _watch_rollout_states(self, standins: Standins) -> None:
        """Report each recorded final state of an order to the servers at once."""
        path = self._folder / "events-store.jsonl"
        read = 0
        while True:
            await asyncio.sleep(ORDER_POLL_S)
            with path.open() as events:
                events.seek(read)
                lines = events.readlines()
                read += sum(len(line.encode()) for line in lines)
            for line in lines:
                event = json.loads(line)
                if event.get("kind") != "rollouts" or event["part"] != "status":
                    continue
                state = (event["value"] or {}).get("state")
                if state in (COMPLETED, ROLLED_BACK):
                    standins.servers.send_command(final=state)

    # --- monitoring ---

    async def _check_periodically(self) -> None:
        while True:
            await asyncio.sleep(CHECK_EVERY_S)
            read = await asyncio.to_thread(read_record, self._folder, self._layout, self._bounds)
            self._print_violations(await asyncio.to_thread(check, read))

    def _print_violations(self, checked: Any) -> None:
        for each in checked.values():
            for violation in each.violations:
                if violation.detail not in self._printed:
                    self._printed.add(violation.detail)
                    print(f"violation: {violation.promise}: {violation.detail}", file=sys.stderr, flush=True)

    async def _sample(self, standins: Standins) -> None:
        while True:
            await asyncio.sleep(SAMPLE_EVERY_S)
            processes = [each.process for each in standins] + list(self._nodes.processes.values())
            alive = [each.pid for each in processes if each.returncode is None]
            total_mb = memory_mb(os.getpid()) + sum(memory_mb(pid) for pid in alive)
            self._nodes.enforce_memory_limit()
            self.usage = self.usage.peak_with(len(alive) + 1, total_mb)


async def _send_endless(host: str, seconds: float) -> None:
    """Send a request whose head has no end, again on a new connection each time that one is closed."""
    end_s = time.monotonic() + seconds
    while time.monotonic() < end_s:
        try:
            _, writer = await asyncio.open_connection(host, FRONT_PORT)
        except OSError:
            await asyncio.sleep(ENDLESS_PAUSE_S)
            continue
        with contextlib.suppress(OSError):
            writer.write(b"GET /read/x HTTP/1.1\r\n")
            while time.monotonic() < end_s:
                writer.write(ENDLESS_PIECE)
                await writer.drain()
                await asyncio.sleep(ENDLESS_PAUSE_S)
        writer.transport.abort()

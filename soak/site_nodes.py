"""Runs a site's nodes as its platform does: settings, late seeds, limits, and starts after each end."""

import asyncio
import contextlib
import ctypes
import os
import random
import resource
import signal
import sysconfig
import time
from pathlib import Path
from typing import Any

from soak.deployed import run_command
from soak.kernel_bytes import all_socket_bytes, descriptors_of, held_bytes
from soak.layout import CONTROL_PORT, FRONT_PORT, READY_PORT, READY_URL_PATH
from soak.nodes import holds_hangup, read_last_lines
from soak.site_layout import NODE_BLOCK, SiteLayout, SiteNode
from soak.site_settings import Fields, changed_fields, settings_fields, toml_text
from soak.standin import EventLog, call
from yokesill.platform.names import SETTINGS_VARIABLE

READY_TIMEOUT_S, READY_POLL_S, READY_CALL_TIMEOUT_S = 20.0, 0.1, 1.0
# A process that ended by itself is started again after this delay.
RESTART_DELAY_S = 1.0
# Memory is looked at this often, and written down each ``LOGGED_TURNS`` times.
SAMPLE_EVERY_S, LOGGED_TURNS = 0.5, 2
BYTES_PER_MB = 1_000_000
# The number of a machine that no site has, whose address stands for one that is gone.
MISSING_MACHINE = 240
# Half of the late seeds are announced by a signal.
ANNOUNCED_SHARE = 0.5


# The kernel's call by which a process asks for a signal at the end of its parent.
PR_SET_PDEATHSIG = 1
_LIBC = ctypes.CDLL(None)


class NodeProcess:
    """A process of a node, with what the record of its end needs.

    Signals go through a descriptor of the process: the library's own ``send_signal`` first collects the
    status of a process that has ended, which is then lost to the one who waits for it.
    """

    __slots__ = ("_descriptor", "asked_to_end", "over_memory", "process", "signals_in_start", "usage")

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self.process = process
        self._descriptor = os.pidfd_open(process.pid)
        self.asked_to_end: signal.Signals | None = None
        self.over_memory = False
        self.signals_in_start: list[str] = []
        self.usage: dict[str, Any] = {"memory_mb": 0.0, "descriptors": 0}

    @property
    def running(self) -> bool:
        """Whether the process has not ended yet."""
        return self.process.returncode is None

    def send(self, number: signal.Signals) -> None:
        """Send a signal, without an effect if the process has ended."""
        with contextlib.suppress(ProcessLookupError):
            signal.pidfd_send_signal(self._descriptor, number)

    async def wait(self) -> int:
        """Return the status once the process has ended; to be called once."""
        code = await self.process.wait()
        os.close(self._descriptor)
        return code

    @property
    def ended_as_asked(self) -> bool:
        """Whether somebody asked for the end; one that came just before a SIGKILL was its own."""
        killed = self.process.returncode == -signal.SIGKILL
        return killed if self.asked_to_end is signal.SIGKILL else self.asked_to_end is not None


class SiteNodes:
    """The nodes of a site, each started by ``start`` and from then on after each end of its own."""

    def __init__(
        self, layout: SiteLayout, folder: Path, log: EventLog, rng: random.Random, checkout: Path
    ) -> None:
        self._checkout = checkout
        self._layout = layout
        self._nodes = layout.nodes()
        self._folder = folder
        self._log = log
        self._rng = rng
        self._current: dict[int, NodeProcess] = {}
        self._wanted: set[int] = set()
        self._changes: dict[int, Fields] = {}
        self._settings: dict[int, Fields] = {}
        self._spawning = [asyncio.Lock() for _ in self._nodes]
        self._tasks: set[asyncio.Task[None]] = set()

    def running(self) -> list[int]:
        """Return the nodes whose processes run."""
        return [number for number, each in sorted(self._current.items()) if each.running]

    def never_started(self) -> list[int]:
        """Return the spare nodes that have not joined yet."""
        return [node.number for node in self._nodes if node.spare and node.number not in self._settings]

    def processes(self) -> list[asyncio.subprocess.Process]:
        """Return the processes that run."""
        return [each.process for each in self._current.values() if each.running]

    async def start(self, number: int, first: bool = False) -> None:
        """Start a node unless it runs, and return once it is ready or the time for it has passed.

        ``first`` tells whether the whole system starts for the first time.
        """
        self._wanted.add(number)
        current = await self._spawn(number, first)
        if current is not None:
            await self._wait_until_ready(number, current)

    async def _spawn(self, number: int, first: bool) -> NodeProcess | None:
        node = self._nodes[number]
        async with self._spawning[number]:
            if number not in self._wanted or number in self.running():
                return None
            self._settings[number] = settings_fields(self._layout, number, first, self._early_seeds())
            self._write_settings(number)
            current = NodeProcess(await self._run(node))
            self._current[number] = current
        self._log.write("node_started", node=number, pid=current.process.pid, first=first)
        self._in_background(self._watch_end(number, current))
        self._in_background(self._correct_seeds(number, current))
        return current

    async def _run(self, node: SiteNode) -> asyncio.subprocess.Process:
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment |= {
            SETTINGS_VARIABLE: str(self._settings_path(node.number)),
            "PYTHONPATH": sysconfig.get_paths()["purelib"],
        }
        with self._log_path(node.number).open("ab") as output:
            return await asyncio.create_subprocess_exec(
                *run_command(f"{node.ip}:{FRONT_PORT}", self._checkout),
                cwd=self._checkout,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                preexec_fn=lambda: prepare(node.descriptors),
            )

    # --- settings ---

    def _early_seeds(self) -> tuple[str, ...]:
        """Return the seeds with which a process starts: all at once, or none or stale ones that come late."""
        if not self._layout.site.late_seeds_s:
            return self._layout.seeds()
        stale = f"{self._layout.address(NODE_BLOCK, MISSING_MACHINE)}:{CONTROL_PORT}"
        return self._rng.choice(((), (stale,)))

    async def _correct_seeds(self, number: int, current: NodeProcess) -> None:
        """Write the right seeds once they are due, announced or not."""
        if not self._layout.site.late_seeds_s:
            return
        await asyncio.sleep(self._layout.site.late_seeds_s)
        if current.running:
            self._settings[number]["seedNodes"] = list(self._layout.seeds())
            self._write_settings(number)
            if self._rng.random() < ANNOUNCED_SHARE:
                self.send(number, signal.SIGHUP)

    def rewrite_settings(self, number: int, changes: Fields) -> None:
        """Write changed fields into a node's settings; they hold for its later starts too."""
        self._changes.setdefault(number, {}).update(changes)
        if number in self._settings:
            self._write_settings(number)

    def _write_settings(self, number: int) -> None:
        """Replace the settings file in one step."""
        path = self._settings_path(number)
        new_path = path.with_suffix(".new")
        fields = changed_fields(self._settings[number], self._changes.get(number, {}))
        new_path.write_text(toml_text(fields))
        new_path.replace(path)

    def _settings_path(self, number: int) -> Path:
        return self._folder / f"node-{number}.toml"

    def _log_path(self, number: int) -> Path:
        return self._folder / f"node-{number}.log"

    # --- readiness and ends ---

    async def _wait_until_ready(self, number: int, current: NodeProcess) -> None:
        started_s = time.monotonic()
        host = self._nodes[number].ip
        while current.running and time.monotonic() < started_s + READY_TIMEOUT_S:
            status, _ = await call(host, READY_PORT, "GET", READY_URL_PATH, None, READY_CALL_TIMEOUT_S)
            if status == 200:
                self._log.write("node_ready", node=number, after_s=round(time.monotonic() - started_s, 3))
                return
            await asyncio.sleep(READY_POLL_S)
        if current.running:
            self._log.write("node_not_ready", node=number, log=read_last_lines(self._log_path(number)))

    async def _watch_end(self, number: int, current: NodeProcess) -> None:
        """Record the end of a process, and start the node again if nobody asked for that end."""
        code = await current.wait()
        if current.ended_as_asked:
            self._log.write("node_exited", node=number, code=code, asked=True)
            return
        self._log.write(
            "node_ended_unasked",
            node=number,
            status=code,
            reason="memory" if current.over_memory else "signal" if code < 0 else "exit",
            log=read_last_lines(self._log_path(number)),
            signals_in_start=current.signals_in_start,
            **current.usage,
        )
        await asyncio.sleep(RESTART_DELAY_S)
        await self.start_if_wanted(number)

    async def start_if_wanted(self, number: int) -> None:
        """Start a node again unless somebody has taken it down."""
        if number in self._wanted:
            await self.start(number)

    async def kill(self, number: int) -> None:
        """Kill a node without warning; it stays down until it is started."""
        self._wanted.discard(number)
        async with self._spawning[number]:
            current = self._current.get(number)
        if current is not None and current.running:
            current.asked_to_end = current.asked_to_end or signal.SIGKILL
            current.send(signal.SIGKILL)
            await current.process.wait()

    async def stop(self, number: int) -> None:
        """Ask a node to stop, and kill it after the grace period; it stays down until it is started."""
        self._wanted.discard(number)
        async with self._spawning[number]:
            current = self._current.get(number)
        if current is None or not current.running:
            return
        current.asked_to_end = signal.SIGTERM
        self.send(number, signal.SIGTERM)
        try:
            async with asyncio.timeout(self._layout.site.bounds.grace_s):
                await current.process.wait()
        except TimeoutError:
            self._log.write("grace_over", node=number)
            await self.kill(number)

    def send(self, number: int, signal_number: signal.Signals) -> None:
        """Send a signal to a node if it is running."""
        current = self._current.get(number)
        if current is None or not current.running:
            return
        held = holds_hangup(current.process.pid)
        if not held and signal_number not in (signal.SIGSTOP, signal.SIGCONT):
            current.signals_in_start.append(signal_number.name)
        current.send(signal_number)
        self._log.write("node_signal", node=number, signal=signal_number.name, held=held)

    async def end_all(self) -> None:
        """Kill all nodes that still run, and start none again."""
        self._wanted.clear()
        await asyncio.gather(*(self.kill(number) for number in self.running()))
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _in_background(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # --- limits ---

    async def sample(self) -> None:
        """Record what each node uses, and kill those over their memory, until cancelled."""
        turn = 0
        while True:
            await asyncio.sleep(SAMPLE_EVERY_S)
            turn += 1
            sockets = await asyncio.to_thread(all_socket_bytes)
            for number in self.running():
                self._sample_node(number, sockets, logged=turn % LOGGED_TURNS == 0)

    def _sample_node(self, number: int, sockets: dict[str, int], logged: bool) -> None:
        current, node = self._current[number], self._nodes[number]
        resident_mb, peak_mb = _resident_mb(current.process.pid)
        if not resident_mb:
            return
        descriptors = descriptors_of(current.process.pid)
        kernel_mb = held_bytes(descriptors, sockets) / BYTES_PER_MB
        current.usage = {
            "memory_mb": round(resident_mb, 1),
            "peak_mb": round(peak_mb, 1),
            "kernel_mb": round(kernel_mb, 2),
            "descriptors": len(descriptors),
        }
        if logged:
            self._log.write("node_usage", node=number, **current.usage)
        if max(resident_mb + kernel_mb, peak_mb) > node.memory_mb and not current.asked_to_end:
            current.over_memory = True
            current.send(signal.SIGKILL)


def prepare(descriptors: int) -> None:
    """Limit the descriptors of a process that is about to become a node, and let it end with the soak."""
    resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors))
    _LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def _resident_mb(pid: int) -> tuple[float, float]:
    """Return the resident memory of a process and its peak, in units of 10^6 bytes; 0 if it has ended."""
    try:
        lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        return 0.0, 0.0
    found = {line.split(":")[0]: line.split()[1] for line in lines if line.startswith(("VmRSS:", "VmHWM:"))}
    kilobytes = (int(found.get(name, "0")) for name in ("VmRSS", "VmHWM"))
    resident_mb, peak_mb = (each * 1024 / BYTES_PER_MB for each in kilobytes)
    return resident_mb, peak_mb

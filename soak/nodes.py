"""Starts gateway nodes as the platform does, each in its own process, and ends them."""

import asyncio
import os
import resource
import signal
import sys
import sysconfig
from pathlib import Path

from soak.layout import (
    FRONT_PORT,
    MAX_DESCRIPTORS,
    MEMORY_MB,
    READY_PORT,
    READY_URL_PATH,
    Bounds,
    Layout,
    settings_text,
)
from soak.processes import memory_mb
from soak.standin import EventLog, call
from soak.suspendable import SUSPENDED_VARIABLE
from yokesill.platform.names import SETTINGS_VARIABLE

ROOT = Path(__file__).resolve().parents[1]
READY_TIMEOUT_S, POLL_S = 20.0, 0.1
# What of a node's log goes into the record of its end.
LOGGED_LINES, LOGGED_CHARACTERS = 10, 400


class Nodes:
    """The gateway nodes under test."""

    def __init__(self, layout: Layout, bounds: Bounds, folder: Path, log: EventLog) -> None:
        self.processes: dict[int, asyncio.subprocess.Process] = {}
        self._layout = layout
        self._bounds = bounds
        self._folder = folder
        self._log = log
        self._suspended_s: dict[int, float] = {}
        self._ended_by_soak: set[asyncio.subprocess.Process] = set()
        self._over_memory: set[asyncio.subprocess.Process] = set()
        self._watchers: set[asyncio.Task[None]] = set()

    async def start(self, node: int) -> None:
        """Start a node, and return once it reports ready or the timeout has passed."""
        settings = self._folder / f"node-{node}.toml"
        settings.write_text(settings_text(self._layout, node, self._bounds))
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        self._write_suspended(node, 0.0)
        environment |= {SUSPENDED_VARIABLE: str(self._suspended_file(node))}
        environment |= {SETTINGS_VARIABLE: str(settings), "PYTHONPATH": sysconfig.get_paths()["purelib"]}
        front = f"{self._layout.node(node)}:{FRONT_PORT}"
        command = (sys.executable, "-S", "soak/suspendable.py", "deploy/serve.py", front)
        with (self._folder / f"node-{node}.log").open("ab") as output:
            process = await asyncio.create_subprocess_exec(
                *command,
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=output,
                preexec_fn=_limit_descriptors,
            )
        self.processes[node] = process
        watcher = asyncio.create_task(self._watch_end(node, process))
        self._watchers.add(watcher)
        watcher.add_done_callback(self._watchers.discard)
        self._log.write("node_started", node=node, pid=self.processes[node].pid)
        await self._wait_until_ready(node)

    async def _wait_until_ready(self, node: int) -> None:
        for _ in range(round(READY_TIMEOUT_S / POLL_S)):
            host = self._layout.node(node)
            status, _ = await call(host, READY_PORT, "GET", READY_URL_PATH, None, 1.0)
            if status == 200:
                self._log.write("node_ready", node=node)
                return
            await asyncio.sleep(POLL_S)
        self._log.write("node_not_ready", node=node)

    async def _watch_end(self, node: int, process: asyncio.subprocess.Process) -> None:
        """Record an end that nobody asked for, with its status, reason and log; start the node again."""
        code = await process.wait()
        if process in self._ended_by_soak:
            return
        reason = "memory" if process in self._over_memory else "signal" if code < 0 else "exit"
        last_lines = read_last_lines(self._folder / f"node-{node}.log")
        self._log.write("node_ended_unasked", node=node, status=code, reason=reason, log=last_lines)
        if self.processes.get(node) is process:
            await self.start(node)

    def enforce_memory_limit(self) -> None:
        """Kill each node above its memory limit, as its machine would."""
        for process in self.processes.values():
            if process.returncode is None and memory_mb(process.pid) > MEMORY_MB:
                self._over_memory.add(process)
                process.kill()

    def holds_signals(self, node: int) -> bool:
        """Whether the process has reached the program's first lines, or is past them."""
        return holds_hangup(self.processes[node].pid)

    def send(self, node: int, signal_number: signal.Signals) -> None:
        """Send a signal to a node if it is running."""
        process = self.processes[node]
        if process.returncode is None:
            process.send_signal(signal_number)
            self._log.write("node_signal", node=node, signal=signal_number.name)

    async def suspend(self, node: int, seconds: float) -> None:
        """Pause a node together with its monotonic clock, as a suspended machine does."""
        process = self.processes[node]
        self.send(node, signal.SIGSTOP)
        await asyncio.sleep(seconds)
        if self.processes[node] is process:
            self._write_suspended(node, seconds)
        self.send(node, signal.SIGCONT)

    def _suspended_file(self, node: int) -> Path:
        return self._folder / f"node-{node}.suspended"

    def _write_suspended(self, node: int, seconds: float) -> None:
        """Set a node's monotonic clock back by ``seconds`` more than before."""
        self._suspended_s[node] = self._suspended_s.get(node, 0.0) + seconds
        self._suspended_file(node).write_text(f"{self._suspended_s[node]:020.6f}")

    async def kill(self, node: int) -> None:
        """Kill a node without warning."""
        self._ended_by_soak.add(self.processes[node])
        self.send(node, signal.SIGKILL)
        code = await self.processes[node].wait()
        self._log.write("node_exited", node=node, code=code)

    async def terminate(self, node: int) -> None:
        """Ask a node to stop, and kill it after the grace period."""
        self._ended_by_soak.add(self.processes[node])
        self.send(node, signal.SIGTERM)
        try:
            async with asyncio.timeout(self._bounds.grace_s):
                code = await self.processes[node].wait()
        except TimeoutError:
            self._log.write("grace_over", node=node)
            await self.kill(node)
            return
        self._log.write("node_exited", node=node, code=code)

    async def end_all(self) -> None:
        """Kill all nodes that still run, including paused ones."""
        self._ended_by_soak.update(self.processes.values())
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
                await process.wait()


def holds_hangup(pid: int) -> bool:
    """Whether a process blocks or handles SIGHUP, so that one doesn't end it."""
    try:
        status = Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return False
    masks = [line.split()[1] for line in status.splitlines() if line.startswith(("SigBlk:", "SigCgt:"))]
    return any(int(mask, 16) >> (signal.SIGHUP - 1) & 1 for mask in masks)


def read_last_lines(path: Path) -> list[str]:
    """Return what of a node's log goes into the record of its end."""
    lines = path.read_text(errors="replace").splitlines()
    return [line[:LOGGED_CHARACTERS] for line in lines[-LOGGED_LINES:]]


def _limit_descriptors() -> None:
    resource.setrlimit(resource.RLIMIT_NOFILE, (MAX_DESCRIPTORS, MAX_DESCRIPTORS))

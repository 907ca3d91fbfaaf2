"""Starts gateway nodes as the platform does, each in its own process, and ends them."""

import asyncio
import os
import signal
import sys
import sysconfig
from pathlib import Path

from soak.layout import FRONT_PORT, READY_PORT, READY_URL_PATH, Bounds, Layout, settings_text
from soak.standin import EventLog, call
from soak.suspendable import SUSPENDED_VARIABLE
from yokesill.platform.names import SETTINGS_VARIABLE

ROOT = Path(__file__).resolve().parents[1]
READY_TIMEOUT_S, POLL_S = 20.0, 0.1


class Nodes:
    """The gateway nodes under test."""

    def __init__(self, layout: Layout, bounds: Bounds, folder: Path, log: EventLog) -> None:
        self.processes: dict[int, asyncio.subprocess.Process] = {}
        self._layout = layout
        self._bounds = bounds
        self._folder = folder
        self._log = log
        self._suspended_s: dict[int, float] = {}

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
            self.processes[node] = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=output, stderr=output
            )
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
        self.send(node, signal.SIGKILL)
        code = await self.processes[node].wait()
        self._log.write("node_exited", node=node, code=code)

    async def terminate(self, node: int) -> None:
        """Ask a node to stop, and kill it after the grace period."""
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
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
                await process.wait()

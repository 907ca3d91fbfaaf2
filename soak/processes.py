"""Starts the stand-ins, hands them orders, and measures what all processes hold."""

import asyncio
import json
import sys
from pathlib import Path
from typing import Any, NamedTuple

ROOT = Path(__file__).resolve().parents[1]
STOP_TIMEOUT_S = 8.0


class Usage(NamedTuple):
    """The most that was held at once."""

    processes: int = 0
    memory_mb: float = 0.0

    def peak_with(self, processes: int, memory_mb: float) -> "Usage":
        """Return the greater of both."""
        return Usage(max(self.processes, processes), max(self.memory_mb, memory_mb))


class Standin:
    """A stand-in in a process of its own; it ends when its standard input does."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self.process = process

    @classmethod
    async def start(cls, module: str, *arguments: str, errors: Path) -> "Standin":
        """Start a module of the soak and return once it is up."""
        with errors.open("ab") as stderr:
            process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", module, *arguments),
                cwd=ROOT,
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                stderr=stderr,
            )
        assert process.stdout is not None
        if (await process.stdout.readline()).strip() != b"up":
            raise RuntimeError(f"{module} did not start, see {errors}")
        return cls(process)

    def send_command(self, **command: Any) -> None:
        """Tell it to do something."""
        assert self.process.stdin is not None
        self.process.stdin.write(json.dumps(command).encode() + b"\n")

    async def end(self) -> None:
        """Let it end by itself, or kill it."""
        if self.process.stdin is not None:
            self.process.stdin.close()
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                await self.process.wait()
        except TimeoutError:
            self.process.kill()
            await self.process.wait()


def memory_mb(pid: int) -> float:
    """Return a process's resident memory in MB; 0 for one that is gone."""
    try:
        text = Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return 0.0
    found = [line.split()[1] for line in text.splitlines() if line.startswith("VmRSS:")]
    return int(found[0]) / 1024 if found else 0.0

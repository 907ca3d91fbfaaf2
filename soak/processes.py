"""Starts the stand-ins, sends them commands, and measures the memory of processes."""

import asyncio
import json
import sys
from pathlib import Path
from typing import Any, NamedTuple

ROOT = Path(__file__).resolve().parents[1]
STOP_TIMEOUT_S = 8.0


class Usage(NamedTuple):
    """The peak number of processes and their peak total memory."""

    processes: int = 0
    memory_mb: float = 0.0

    def peak_with(self, processes: int, memory_mb: float) -> "Usage":
        """Return the greater of the peak and the given values, each on its own."""
        return Usage(max(self.processes, processes), max(self.memory_mb, memory_mb))


class Standin:
    """A stand-in in its own process, which ends when its standard input is closed."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self.process = process

    @classmethod
    async def start(cls, module: str, *arguments: str, errors: Path) -> "Standin":
        """Start a module of the soak, and return once it reports that it is up."""
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
        """Send a command as a line of JSON to its standard input."""
        assert self.process.stdin is not None
        self.process.stdin.write(json.dumps(command).encode() + b"\n")

    async def end(self) -> None:
        """Close its standard input, and kill it if it does not end in time."""
        if self.process.stdin is not None:
            self.process.stdin.close()
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                await self.process.wait()
        except TimeoutError:
            self.process.kill()
            await self.process.wait()


def memory_mb(pid: int) -> float:
    """Return the resident memory of a process in MB; 0 if it has ended."""
    try:
        text = Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return 0.0
    found = [line.split()[1] for line in text.splitlines() if line.startswith("VmRSS:")]
    return int(found[0]) / 1024 if found else 0.0

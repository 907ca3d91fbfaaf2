"""What the process takes of its limits, and how long its event loop was held.

A process that its machine kills writes no last line. The newest ``usage`` line stands in for it: there is one
at regular intervals, and one each time that memory comes nearer to its limit.
"""

import os

from yokesill.logs import Logger
from yokesill.serving.settings import GatewaySettings

INTERVAL_S = 10.0
# Above half of the memory limit, each further twentieth of it has a line of its own.
FIRST_SHARE, SHARE_STEP = 0.5, 0.05


def resident_bytes() -> int:
    """Return the process's resident memory; 0 if the system doesn't tell."""
    try:
        with open("/proc/self/statm") as statm:
            pages = int(statm.read().split()[1])
    except (OSError, ValueError, IndexError):
        return 0
    return pages * os.sysconf("SC_PAGE_SIZE")


def open_descriptors() -> int:
    """Return the number of open descriptors; 0 if the system doesn't tell."""
    try:
        return len(os.listdir("/proc/self/fd"))
    except OSError:
        return 0


class Usage:
    """Watches one process and logs what it takes."""

    def __init__(self, settings: GatewaySettings, log: Logger) -> None:
        self.longest_hold_s = 0.0
        self._settings = settings
        self._log = log
        self._due_at_s = float("-inf")
        self._due_from_bytes = 0.0
        self._peak_bytes = 0

    def observe(self, now: float, held_s: float) -> None:
        """Note for how long the event loop was held at ``now``, and log if a line is due."""
        self.longest_hold_s = max(self.longest_hold_s, held_s)
        memory_bytes = resident_bytes()
        self._peak_bytes = max(self._peak_bytes, memory_bytes)
        near = memory_bytes >= self._due_from_bytes
        if now < self._due_at_s and not near:
            return
        self._due_at_s = now + INTERVAL_S
        step = max(FIRST_SHARE, memory_bytes / self._settings.memory_bytes + SHARE_STEP)
        self._due_from_bytes = step * self._settings.memory_bytes
        self._log.info("usage", **self.fields())

    def fields(self) -> dict[str, float]:
        """Return the fields of a log line."""
        memory_bytes = resident_bytes()
        return {
            "memory_bytes": memory_bytes,
            "peak_memory_bytes": max(self._peak_bytes, memory_bytes),
            "memory_limit_bytes": self._settings.memory_bytes,
            "descriptors": open_descriptors(),
            "descriptors_limit": self._settings.descriptors,
            "longest_hold_ms": round(self.longest_hold_s * 1000, 1),
        }

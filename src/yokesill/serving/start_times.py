"""When a process reached each step of its start, counted from the start of the process itself.

Imports little: a starting node creates its ``StartTimes`` before it loads everything else.
"""

import os
import time

# A start of the process that seems to lie further back, or ahead, was read by another clock than ours.
MAX_START_S = 600.0
# In ``/proc/self/stat``, behind the name of the program in parentheses.
START_FIELD = 19


def now_s() -> float:
    """Return the time since the boot of the machine, by which the system tells starts of processes."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class StartTimes:
    """The first time at which each step was reached.

    Parameters
    ----------
    process_started_s
        When the process started; by default as the system tells, to a hundredth of a second, or else now.
    """

    __slots__ = ("_reached_ms", "_started_s")

    def __init__(self, process_started_s: float | None = None) -> None:
        self._started_s = _process_started_s() if process_started_s is None else process_started_s
        self._reached_ms: dict[str, float] = {}

    def reached(self, step: str, at_s: float | None = None) -> None:
        """Record that ``step`` is reached, now or ``at_s``; only the first time counts."""
        elapsed_s = (now_s() if at_s is None else at_s) - self._started_s
        self._reached_ms.setdefault(step, round(max(0.0, elapsed_s) * 1000, 1))

    def fields(self) -> dict[str, float]:
        """Return the fields of a log line, such as ``listening_ms``."""
        return {f"{step}_ms": elapsed_ms for step, elapsed_ms in self._reached_ms.items()}


def _process_started_s() -> float:
    now = now_s()
    try:
        with open("/proc/self/stat") as stat:
            fields = stat.read().rpartition(")")[2].split()
        started_s = int(fields[START_FIELD]) / os.sysconf("SC_CLK_TCK")
    except (OSError, ValueError, IndexError):
        return now
    return started_s if 0 <= now - started_s <= MAX_START_S else now

"""Runs a node's entry file with a monotonic clock that excludes simulated suspensions of the machine.

The monotonic clock goes on while a process is only paused, but not while its machine is suspended. The soak
pauses the process and, before it resumes it, writes the length of the pause into a file that the clock reads.
"""

import os
import runpy
import sys
import time
from collections.abc import Callable

SUSPENDED_VARIABLE = "SOAK_SUSPENDED_FILE"
FILE_BYTES = 20


def subtract_suspended_time(suspended_s: Callable[[], float]) -> None:
    """Subtract the seconds returned by ``suspended_s`` from the monotonic clock in all its forms."""
    monotonic, clock_gettime = time.monotonic, time.clock_gettime

    def read(which: int) -> float:
        return clock_gettime(which) - (suspended_s() if which == time.CLOCK_MONOTONIC else 0.0)

    time.monotonic = lambda: monotonic() - suspended_s()
    time.clock_gettime = read


def main(arguments: list[str]) -> None:
    """Run the file named by the first argument, with all arguments as its ``sys.argv``."""
    descriptor = os.open(os.environ.pop(SUSPENDED_VARIABLE), os.O_RDONLY)
    subtract_suspended_time(lambda: float(os.pread(descriptor, FILE_BYTES, 0) or b"0"))
    sys.argv = arguments
    sys.path[0] = os.path.dirname(os.path.abspath(arguments[0]))
    runpy.run_path(arguments[0], run_name="__main__")


if __name__ == "__main__":
    main(sys.argv[1:])

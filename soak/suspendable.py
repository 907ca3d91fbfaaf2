"""Runs a node's entry file with a steady clock that stands still while the soak says so.

A process that is merely stopped goes on ageing by its steady clock; on a machine that is suspended it does
not. The soak stops the process, and before it lets it go on writes down how long that was.
"""

import os
import runpy
import sys
import time
from collections.abc import Callable

SUSPENDED_VARIABLE = "SOAK_SUSPENDED_FILE"
FILE_BYTES = 20


def subtract_suspended_time(suspended_s: Callable[[], float]) -> None:
    """Take what ``suspended_s`` returns, in seconds, off the steady clock in all its forms."""
    monotonic, clock_gettime = time.monotonic, time.clock_gettime

    def read(which: int) -> float:
        return clock_gettime(which) - (suspended_s() if which == time.CLOCK_MONOTONIC else 0.0)

    time.monotonic = lambda: monotonic() - suspended_s()
    time.clock_gettime = read


def main(arguments: list[str]) -> None:
    """Run the file that the first argument names with the others."""
    descriptor = os.open(os.environ.pop(SUSPENDED_VARIABLE), os.O_RDONLY)
    subtract_suspended_time(lambda: float(os.pread(descriptor, FILE_BYTES, 0) or b"0"))
    sys.argv = arguments
    sys.path[0] = os.path.dirname(os.path.abspath(arguments[0]))
    runpy.run_path(arguments[0], run_name="__main__")


if __name__ == "__main__":
    main(sys.argv[1:])

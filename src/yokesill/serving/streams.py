"""Makes a process's standard streams safe to write to, whatever it was started with.

A closed stream's number would go to the first socket that the process opens, and a stream whose reader has
stopped reading would block the node. Imports little: it runs before anything else.
"""

import contextlib
import os
import sys

STANDARD_STREAMS, ERRORS = (0, 1, 2), 2


def open_missing_streams() -> None:
    """Open ``/dev/null`` in the place of each standard stream that is closed."""
    for descriptor in STANDARD_STREAMS:
        try:
            os.fstat(descriptor)
        except OSError:
            # The lowest free number, which is this one.
            os.open(os.devnull, os.O_RDWR)
    with contextlib.suppress(OSError):
        os.set_blocking(ERRORS, False)


def write_error(text: str) -> None:
    """Write a line to standard error if that is possible without waiting."""
    if sys.stderr is not None:
        with contextlib.suppress(OSError):
            sys.stderr.write(f"error: {text}\n")
            sys.stderr.flush()

"""Entry point of the role in the deploy file: puts the package on the path and starts a node.

Runs without the ``site`` module, which takes time and would make undeclared packages importable.
"""

# Built into the interpreter, whereas ``signal`` loads files: until signals are held, each ends the process.
# ``launcher.c`` holds them before, with the same list; this is for a start by the interpreter itself.
import _signal

# Those that the package handles or ignores (``yokesill.serving.signals``).
HELD = (
    _signal.SIGTERM,
    _signal.SIGINT,
    _signal.SIGHUP,
    _signal.SIGUSR1,
    _signal.SIGUSR2,
    _signal.SIGALRM,
    _signal.SIGVTALRM,
    _signal.SIGPROF,
    _signal.SIGPIPE,
    _signal.SIGIO,
    _signal.SIGXCPU,
)
_signal.pthread_sigmask(_signal.SIG_BLOCK, HELD)

import time  # noqa: E402 (after signals are held)

SIGNALS_HELD_S = time.clock_gettime(time.CLOCK_BOOTTIME)

import os.path  # noqa: E402 (after signals are held)
import sys  # noqa: E402 (after signals are held)

HERE = os.path.dirname(os.path.abspath(__file__))
# This file's folder contains no modules, and would be searched at each import.
if os.path.abspath(sys.path[0]) == HERE:
    del sys.path[0]
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "src"))

from yokesill.serving.signals import hold_signals  # noqa: E402 (after the path is set)
from yokesill.serving.start_times import StartTimes  # noqa: E402 (after the path is set)
from yokesill.serving.streams import open_missing_streams  # noqa: E402 (after the path is set)

hold_signals()
open_missing_streams()
start_times = StartTimes()
start_times.reached("signals_held", SIGNALS_HELD_S)

from yokesill.platform.start import main  # noqa: E402 (after signals are held and streams are open)

if __name__ == "__main__":
    raise SystemExit(main(sys.argv[1:], start_times))

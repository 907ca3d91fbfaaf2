"""Holds a process's signals back while nobody handles them: during its start and at its very end.

The default reaction to SIGHUP, SIGTERM and SIGINT is the end of the process, and handlers need a running
loop. Held signals stay pending: a stop or a reload that is asked for during the start takes place after it.

Imports little: a starting node holds its signals before it loads everything else.
"""

import contextlib
import signal
from collections.abc import Callable, Iterator
from types import FrameType

HANDLED = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
# Sent by mistake, by a tool that expects a handler, or at a soft limit of processor time; their default
# reaction is the end of the process.
IGNORED = (
    signal.SIGUSR1,
    signal.SIGUSR2,
    signal.SIGALRM,
    signal.SIGVTALRM,
    signal.SIGPROF,
    signal.SIGPIPE,
    signal.SIGIO,
    signal.SIGXCPU,
)


def hold_signals() -> None:
    """Hold the handled signals back, and ignore those without a meaning for a node."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED)
    for number in IGNORED:
        signal.signal(number, signal.SIG_IGN)
    # Whoever starts the process may have held them until now.
    signal.pthread_sigmask(signal.SIG_UNBLOCK, IGNORED)


class SignalTimes:
    """When each signal arrived first, by ``clock``.

    An event loop that is held gets round to a signal late; the interpreter calls its own handler meanwhile.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.first_at_s: dict[int, float] = {}
        self._clock = clock

    def record(self, *numbers: int) -> None:
        """Record these signals from now on; the event loop must handle them already, and still does."""
        for number in numbers:
            signal.signal(number, self._arrived)
            signal.siginterrupt(number, False)

    def _arrived(self, number: int, _frame: FrameType | None) -> None:
        self.first_at_s.setdefault(number, self._clock())


@contextlib.contextmanager
def signals_delivered() -> Iterator[None]:
    """Deliver the handled signals within the context, where their handlers are installed."""
    before = signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED)
    try:
        yield
    finally:
        signal.pthread_sigmask(signal.SIG_SETMASK, before)

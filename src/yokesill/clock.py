"""The node's clock: one for all decisions, which goes on while the machine is suspended.

A machine may be suspended for seconds. Its monotonic clock stands still meanwhile, and by it a request whose
caller has given up would still have time left, an ejected server would stay ejected, and what other nodes
said seconds ago would still count as fresh. So the event loop runs by the clock that counts that time, and
with it everything that asks ``anyio.current_time`` or sets a timer. The time of day is no use: it is set back
and forth. After a suspension all timers that came due meanwhile fire as after a pause of the process.

The kernel's wait for events does not count a suspension: a loop without a connection may sleep on for what
was left of its last wait. A node's shortest steady timer bounds that to half a second.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import anyio

Clock = Callable[[], float]
Result = TypeVar("Result")

# Systems without this clock don't stop the other one either.
_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


class BoottimeEventLoop(asyncio.SelectorEventLoop):
    """An event loop whose timers count the time that the machine was suspended."""

    def time(self) -> float:
        """Return the loop's time in seconds."""
        return time.clock_gettime(_CLOCK)


def run_with_boottime_clock(main: Callable[..., Awaitable[Result]], *arguments: Any) -> Result:
    """Run an asynchronous function to its end by the clock that counts suspensions."""
    return anyio.run(main, *arguments, backend_options={"loop_factory": BoottimeEventLoop})


def running_clock() -> Clock:
    """Return the running event loop's own clock.

    Returns
    -------
    Clock
        Reads the same time as ``anyio.current_time`` (seconds), without looking the loop up anew.
    """
    try:
        return asyncio.get_running_loop().time
    except RuntimeError:
        return anyio.current_time

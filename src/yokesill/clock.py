"""The node's single clock for all decisions, which also counts the time that the machine is suspended.

A machine may be suspended for seconds. Its monotonic clock stops meanwhile: by that clock, a request whose
caller has given up would still have time left, an ejected server would stay ejected, and reports that other
nodes sent before the suspension would still count as fresh. The event loop therefore uses the boot-time
clock, which counts suspensions, and so does everything that calls ``anyio.current_time`` or sets a timer.
Wall-clock time is unsuitable because it can be set forward and back. After a suspension, all timers that came
due meanwhile fire, as they do after a pause of the process.

The kernel's wait for events does not count a suspension: a loop without connections may sleep for the rest
of its last wait. A node's shortest periodic timer limits that to half a second.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import anyio

Clock = Callable[[], float]
Result = TypeVar("Result")

# Systems without CLOCK_BOOTTIME don't stop CLOCK_MONOTONIC during a suspension.
_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


class BoottimeEventLoop(asyncio.SelectorEventLoop):
    """An event loop whose timers count the time that the machine is suspended."""

    def time(self) -> float:
        """Return the loop's time in seconds."""
        return time.clock_gettime(_CLOCK)


def run_with_boottime_clock(main: Callable[..., Awaitable[Result]], *arguments: Any) -> Result:
    """Run an asynchronous function to completion in a ``BoottimeEventLoop``."""
    return anyio.run(main, *arguments, backend_options={"loop_factory": BoottimeEventLoop})


def running_clock() -> Clock:
    """Return the running event loop's own clock.

    Returns
    -------
    Clock
        Returns the same time as ``anyio.current_time`` (seconds), without a lookup of the loop at each call.
    """
    try:
        return asyncio.get_running_loop().time
    except RuntimeError:
        return anyio.current_time

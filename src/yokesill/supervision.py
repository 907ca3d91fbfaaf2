"""What a failure in one part of a node does to the others: nothing.

An exception that nobody expected is a bug, and a task group answers it by ending all of its tasks: a node
would cut every request under way for a fault in, say, its announcements. So each part runs under a
``Supervisor``, which logs and counts the failure and begins the part anew. Who can't serve without a part (a
port that can't be bound, settings that can't be read) raises before any request is taken.
"""

import traceback
from collections import Counter
from collections.abc import Awaitable, Callable

import anyio

from yokesill.logs import get_logger

# Before a part that failed begins anew, doubled while it goes on failing: one that can never run costs a
# log line each ten seconds.
FIRST_PAUSE_S = 0.2
LONGEST_PAUSE_S = 10.0
# A part that ran for so long before it failed begins anew after the first pause again.
SOUND_S = 30.0
# Innermost calls that a log line names.
CALLS_LOGGED = 3


class Supervisor:
    """Runs the parts of one node.

    Parameters
    ----------
    count
        Called for each failure, with the part's name.
    """

    def __init__(self, count: Callable[[str], None] = lambda _part: None) -> None:
        self.failures: Counter[str] = Counter()
        self._count = count
        self._log = get_logger("parts")

    async def keep_running(
        self, part: str, run: Callable[..., Awaitable[object]], *arguments: object
    ) -> None:
        """Run a part until it returns; begin it anew each time that it fails."""
        pause_s = FIRST_PAUSE_S
        while True:
            began_at_s = anyio.current_time()
            try:
                await run(*arguments)
                return
            except Exception as error:
                if anyio.current_time() - began_at_s >= SOUND_S:
                    pause_s = FIRST_PAUSE_S
                self.report(part, error, again_in_s=pause_s)
            await anyio.sleep(pause_s)
            pause_s = min(LONGEST_PAUSE_S, 2 * pause_s)

    async def run_once(self, part: str, run: Callable[..., Awaitable[object]], *arguments: object) -> None:
        """Run one task of a part; if it fails the part's other tasks go on."""
        try:
            await run(*arguments)
        except Exception as error:
            self.report(part, error)

    def call(self, part: str, function: Callable[..., object], *arguments: object) -> None:
        """Call a part's function; if it fails the part goes on."""
        try:
            function(*arguments)
        except Exception as error:
            self.report(part, error)

    def report(self, part: str, error: Exception, **details: object) -> None:
        """Log and count a part's failure."""
        self.failures[part] += 1
        self._count(part)
        cause = _first_cause(error)
        calls = traceback.extract_tb(cause.__traceback__)[-CALLS_LOGGED:]
        where = [f"{each.filename.rpartition('/')[2]}:{each.lineno} {each.name}" for each in calls]
        self._log.error("part_failed", part=part, problem=repr(cause), where=where, **details)


def _first_cause(error: BaseException) -> BaseException:
    """Return the first exception of a group of groups."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error

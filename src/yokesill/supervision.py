"""Isolates failures: an exception in one part of a node does not affect the others.

An unhandled exception is a bug, and a task group reacts to it by cancelling all of its tasks: a node would
abort every request in flight because of a fault in, say, its announcements. Each part therefore runs under a
``Supervisor``, which logs and counts the failure and restarts the part. Failures without which a node can't
serve (a port that can't be bound, settings that can't be read) are raised before any request is accepted.
"""

import contextlib
import traceback
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator

import anyio

from yokesill.logs import LogOutput, get_logger

# The delay before a restart doubles while a part keeps failing: one that can never run costs a log line
# every ten seconds.
INITIAL_RESTART_DELAY_S = 0.2
MAX_RESTART_DELAY_S = 10.0
# A part that ran for this time before it failed is restarted after the initial delay again.
BACKOFF_RESET_S = 30.0
# Innermost stack frames in a log line.
MAX_LOGGED_FRAMES = 3


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
        """Run a part until it returns; restart it each time that it fails."""
        delay_s = INITIAL_RESTART_DELAY_S
        while True:
            started_at_s = anyio.current_time()
            try:
                await run(*arguments)
                return
            except Exception as error:
                if anyio.current_time() - started_at_s >= BACKOFF_RESET_S:
                    delay_s = INITIAL_RESTART_DELAY_S
                self.report(part, error, again_in_s=delay_s)
            await anyio.sleep(delay_s)
            delay_s = min(MAX_RESTART_DELAY_S, 2 * delay_s)

    async def run_once(self, part: str, run: Callable[..., Awaitable[object]], *arguments: object) -> None:
        """Run one task of a part; its failure does not stop the part's other tasks."""
        try:
            await run(*arguments)
        except Exception as error:
            self.report(part, error)

    def call(self, part: str, function: Callable[..., object], *arguments: object) -> None:
        """Call a function of a part; its failure does not stop the part."""
        try:
            function(*arguments)
        except Exception as error:
            self.report(part, error)

    def report(self, part: str, error: Exception, **details: object) -> None:
        """Log and count a part's failure."""
        self.failures[part] += 1
        self._count(part)
        self._log.error("part_failed", part=part, **_describe(error), **details)


@contextlib.contextmanager
def unexpected_end_logged(output: LogOutput) -> Iterator[None]:
    """Log the exception that ends the process, before the interpreter writes it to standard error."""
    try:
        yield
    except Exception as error:
        get_logger("gateway").error("node_failed", **_describe(error))
        output.flush()
        raise


def _describe(error: Exception) -> dict[str, object]:
    """Return an exception's first cause and the innermost places that it came through."""
    cause = _first_cause(error)
    frames = traceback.extract_tb(cause.__traceback__)[-MAX_LOGGED_FRAMES:]
    where = [f"{each.filename.rpartition('/')[2]}:{each.lineno} {each.name}" for each in frames]
    return {"problem": repr(cause), "where": where}


def _first_cause(error: BaseException) -> BaseException:
    """Return the first exception within nested exception groups."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error

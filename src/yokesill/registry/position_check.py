"""Compares the views of all feeds with the registry's position, read exactly, at an interval.

Every change of any kind raises the registry's one revision, so that a single small read shows of all feeds
whether they are current (``feed_view``); only those behind it are read themselves. The design is weighed in
``docs/design/readers.md``. Times are in seconds of the node's clock.
"""

import random
from collections.abc import Collection

import anyio

from yokesill.logs import get_logger
from yokesill.positions import Position
from yokesill.registry.availability import RegistryAvailability
from yokesill.registry.feeds import ReadPosition
from yokesill.registry.follower import FeedFollower
from yokesill.verdict import Failure

# Share of the interval after which a read counts as lost.
TIMEOUT_SHARE = 0.6
# Pause after a check that failed, since the registry may be failing; not above the interval.
FAILED_CHECK_PAUSE_S = 0.7


class PositionCheck:
    """Checks while this node calls the registry.

    Parameters
    ----------
    followers
        The followers of all feeds, which start and stop calling the registry together.
    read_position
        Reads the registry's position.
    interval_s
        Interval of the checks.
    availability
        Availability of the registry, shared with the followers.
    source
        Random source that spreads the calls of many nodes over time.
    """

    def __init__(
        self,
        followers: Collection[FeedFollower],
        read_position: ReadPosition,
        interval_s: float,
        availability: RegistryAvailability,
        source: random.Random,
    ) -> None:
        self.calls = 0
        self._followers = tuple(followers)
        self._read_position = read_position
        self._interval_s = interval_s
        self._availability = availability
        self._random = source
        self._last_failed = False
        self._log = get_logger("registry")

    async def run(self) -> None:
        """Check until cancelled; each interval counts from the beginning of the check before."""
        while True:
            await self._followers[0].wait_until_watching()
            due_at_s = anyio.current_time() + self._interval_s * (0.9 + 0.2 * self._random.random())
            with anyio.move_on_after(due_at_s - anyio.current_time()):
                await self._check_until_answered()
            await anyio.sleep_until(due_at_s)

    async def _check_until_answered(self) -> None:
        """Check once; while the registry doesn't answer, ask it by cheap reads before each exact one."""
        if self._expects_answer() and await self._check():
            return
        while not (await self._read(stale=True) and await self._check()):
            await anyio.sleep(min(FAILED_CHECK_PAUSE_S, self._interval_s))

    def _expects_answer(self) -> bool:
        """Return whether the last calls of this node were answered."""
        return not self._last_failed and all(each.connected for each in self._followers)

    async def _check(self) -> bool:
        """Compare all views with the registry's position; return whether the registry answered."""
        known = [(each, each.position) for each in self._followers]
        asked_at_s = anyio.current_time()
        position = await self._read(stale=False)
        if position is None:
            return False
        async with anyio.create_task_group() as comparisons:
            for follower, known_position in known:
                comparisons.start_soon(follower.compare, position, known_position, asked_at_s)
        return True

    async def _read(self, stale: bool) -> Position | None:
        """Read the registry's position; ``None`` if it is not answered in time."""
        self.calls += 1
        outcome = await self._read_position(stale, TIMEOUT_SHARE * self._interval_s)
        self._log_failure(outcome)
        if isinstance(outcome, Failure):
            return None
        self._availability.record_timeline(outcome.timeline)
        self._availability.call_answered()
        return outcome

    def _log_failure(self, outcome: Position | Failure) -> None:
        """Log the first of several failed checks, unless the registry was already logged as lost."""
        failed = isinstance(outcome, Failure)
        connected = any(each.connected for each in self._followers)
        if isinstance(outcome, Failure) and not self._last_failed and connected:
            self._log.info("registry_check_failed", reason=outcome.reason)
        self._last_failed = failed

"""Follows the registry's feeds: by listing and waiting for changes, or by what other nodes tell of them."""

import random
from collections.abc import Callable

import anyio

from yokesill.gateway.events import Event
from yokesill.logs import get_logger
from yokesill.registry.availability import RegistryAvailability
from yokesill.registry.feeds import Batch, Feed, HistoryLost
from yokesill.verdict import Failure

FIRST_PAUSE, PAUSE_GROWTH, LONGEST_PAUSE = 0.2, 1.7, 1.2
WATCH_TIME = 25.0
CHECK_INTERVAL_S, CHECK_GRACE_S = 2.2, 0.5
FAILED_CHECK_PAUSE_S = 0.7
RETURN_SPREAD_S = 0.3
# A follower waits so long for another one's look before it looks for itself, as cheaply, and twice as long
# after each look in vain: a registry that fails for one feed alone keeps the others back for a second.
FIRST_HOLD_S, HOLD_GROWTH, LONGEST_HOLD_S = 1.0, 2.0, 8.0


class FeedFollower:
    """Keeps the router up to date with one feed.

    ``gathering_time`` (s) passes after each batch of changes, so that changes in quick succession
    come in one call.

    A wait for changes that the registry takes while it is silent is never answered, and its
    connection stays open. So a cheap check looks for changes beside it.

    With ``watching`` false it asks the registry once, cheaply, and then takes what it is told, until
    ``set_watching`` has it ask for itself. Whatever the source, its position only rises.
    ``on_read`` is told of each batch that was read here, with the position before it. ``reach`` is shared
    by the followers of one node.
    """

    def __init__(
        self,
        feed: Feed,
        feed_router: Callable[[Event], None],
        gathering_time: float,
        source: random.Random,
        check_interval_s: float = CHECK_INTERVAL_S,
        watching: bool = True,
        reach: RegistryAvailability | None = None,
    ) -> None:
        self.connected = False
        self.confirmed_at_s = float("-inf")
        self.calls = 0
        self.on_read: Callable[[int, Batch], None] = lambda _before, _batch: None
        self._feed = feed
        self._feed_router = feed_router
        self._gathering_time = gathering_time
        self._check_interval_s = check_interval_s
        self._random = source
        self._position: int | None = None
        self._list_next = True
        self._watching = watching
        self._reach = reach or RegistryAvailability()
        self._watching_changed = anyio.Event()
        self._pause = FIRST_PAUSE
        self._hold_s = FIRST_HOLD_S
        self._asked_at = 0.0
        self._call_scope: anyio.CancelScope | None = None
        self._log = get_logger("registry")

    @property
    def lost(self) -> bool:
        """Whether this node asks the registry itself and gets no answer."""
        return self._watching and not self.connected

    @property
    def position(self) -> int | None:
        """Up to which position of the registry the feed is known here."""
        return self._position

    async def run(self) -> None:
        """Follow until cancelled."""
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(self._check_waits)
            if not self._watching:
                await self._glance()
            await self._follow()

    # --- what other nodes tell ---

    def set_watching(self, wanted: bool) -> None:
        """Ask the registry from now on, or rely on what is told."""
        if wanted == self._watching:
            return
        self._watching = wanted
        self._watching_changed.set()
        self._watching_changed = anyio.Event()
        if not wanted:
            self._reach.left(self)
        if not wanted and self._call_scope is not None:
            self._call_scope.cancel()

    def take_changes(self, before: int, batch: Batch) -> bool:
        """Take changes from ``before`` on that another node tells.

        Returns
        -------
        bool
            Whether this node now knows all that the other one knows.
        """
        if self._position is None or self._position < before:
            return False
        if batch.position > self._position:
            self._take(batch)
        return True

    def take_whole(self, batch: Batch, repair: bool = False) -> None:
        """Take the whole feed as another node knows it, unless it is older; to ``repair`` also as old."""
        newer = self._position is None or batch.position > self._position
        if newer or (repair and batch.position == self._position):
            self._take(batch)

    def list_anew(self) -> bool:
        """List the registry as soon as it can be asked; whether this node is asking it now."""
        if not self._watching or not self.connected:
            return False
        self._list_next = True
        if self._call_scope is not None:
            self._call_scope.cancel()
        return True

    # --- asking the registry ---

    async def _glance(self) -> None:
        """Take a cheap list to start with; it may be older than its position, which is not taken."""
        self.calls += 1
        outcome = await self._feed.list(stale=True)
        if isinstance(outcome, Batch) and self._position is None:
            for event in outcome.events:
                self._feed_router(event)

    async def _follow(self) -> None:
        while True:
            if not self._watching:
                await self._watching_changed.wait()
            elif self._reach.must_wait(self):
                await self._wait_for_another()
            else:
                await self._ask()

    async def _ask(self) -> None:
        """Ask once; a call of its own, so that no list is held while the next change is waited for."""
        self.calls += 1
        self._asked_at = anyio.current_time()
        with anyio.CancelScope() as self._call_scope:
            outcome = await self._next()
        cancelled = self._call_scope.cancelled_caught
        self._call_scope = None
        if cancelled:
            return
        if isinstance(outcome, Batch):
            self._read(outcome)
            if outcome.events:
                await anyio.sleep(self._gathering_time)
        elif isinstance(outcome, HistoryLost):
            self._log.info("registry_history_lost", feed=self._feed.name, position=self._position)
            self._list_next = True
        else:
            self._mark(False, f"{outcome.reason}: {outcome.detail}")
            self._reach.lost(self)
            if not self._reach.must_wait(self):
                await self._wait_for_registry()

    async def _wait_for_another(self) -> None:
        """Wait until another follower finds the registry back; it may be lost to that one's feed alone."""
        with anyio.move_on_after(self._hold_s):
            await self._reach.change()
            # Not all feeds of all nodes in the moment of the return.
            await anyio.sleep(RETURN_SPREAD_S * self._random.random())
            return
        if not self._watching:
            return
        if self._position is None:
            await self._ask()
        elif await self._answers_cheaply():
            self._reach.answered()
        self._hold_s = min(LONGEST_HOLD_S, HOLD_GROWTH * self._hold_s)

    async def _wait_for_registry(self) -> None:
        """Pause, then ask cheaply, until the registry answers or this node need not ask any more."""
        while self._watching:
            await anyio.sleep(self._pause * (0.5 + self._random.random()))
            self._pause = min(LONGEST_PAUSE, self._pause * PAUSE_GROWTH)
            if self._position is None:
                return
            if await self._answers_cheaply():
                self._reach.answered()
                return

    def _read(self, batch: Batch) -> None:
        """Take what the registry answered, unless more was told meanwhile."""
        before = self._position or 0
        if batch.position >= before:
            self._take(batch)
            if batch.position > before:
                self.on_read(before, batch)
        self.confirmed_at_s = anyio.current_time()
        self._mark(True, "")
        self._reach.answered()
        self._pause, self._hold_s = FIRST_PAUSE, FIRST_HOLD_S

    async def _check_waits(self) -> None:
        """Look for changes that a long wait should have brought, and ask anew if there are any.

        A check that fails says that the registry is in trouble: the next one comes soon.
        """
        pause_s = self._check_interval_s
        while True:
            await anyio.sleep(pause_s * (0.9 + 0.2 * self._random.random()))
            pause_s = self._check_interval_s
            position = self._position
            if position is None or not self._waits_long():
                continue
            if self._reach.must_wait(self):
                # Looked at once the registry is back; its return may be hidden from the one that looks.
                with anyio.move_on_after(FIRST_HOLD_S):
                    await self._reach.change()
            self.calls += 1
            outcome = await self._feed.peek(position)
            if isinstance(outcome, Failure):
                pause_s = min(FAILED_CHECK_PAUSE_S, self._check_interval_s)
                continue
            if isinstance(outcome, Batch) and not outcome.events:
                self._confirm()
                continue
            await anyio.sleep(CHECK_GRACE_S)
            if position == self._position and self._call_scope is not None:
                self._log.info("registry_wait_swallowed", feed=self._feed.name, position=position)
                self._list_next = isinstance(outcome, HistoryLost)
                self._call_scope.cancel()

    def _confirm(self) -> None:
        """Take that the registry answers and has nothing new; a wait begun while it was lost is renewed."""
        self._reach.answered()
        self.confirmed_at_s = anyio.current_time()
        if not self.connected and self._call_scope is not None:
            self._mark(True, "")
            self._call_scope.cancel()

    def _waits_long(self) -> bool:
        return self._call_scope is not None and anyio.current_time() - self._asked_at >= CHECK_GRACE_S

    async def _answers_cheaply(self) -> bool:
        """Whether the registry answers a cheap call again; asked before each dear one while it failed."""
        self.calls += 1
        return not isinstance(await self._feed.peek(self._position or 0), Failure)

    async def _next(self) -> Batch | HistoryLost | Failure:
        if self._position is None or self._list_next:
            return await self._feed.list()
        return await self._feed.changes(self._position, WATCH_TIME)

    def _take(self, batch: Batch) -> None:
        for event in batch.events:
            self._feed_router(event)
        if batch.events:
            self._log.info(
                "registry_read", feed=self._feed.name, position=batch.position, events=len(batch.events)
            )
        for problem in batch.problems:
            self._log.error("entry_rejected", place=problem.place, problem=problem.message)
        self._position = batch.position
        self._list_next = False

    def _mark(self, connected: bool, why: str) -> None:
        """Tell of a lost or regained registry, once each."""
        if connected == self.connected:
            return
        self.connected = connected
        name = "registry_regained" if connected else "registry_lost"
        self._log.info(name, feed=self._feed.name, position=self._position, why=why)

"""Follows one feed of the registry: lists it, waits for changes, and asks again after failures.

Decides when the registry is called, and how: one long wait at a time, a cheap check beside it, and cheap
calls only while the registry doesn't answer. ``feed_view`` keeps what is known, ``availability`` which
follower of a node probes an unreachable registry. Times in seconds of the node's clock.
"""

import random
from collections.abc import Callable

import anyio

from yokesill.gateway.events import Event
from yokesill.positions import Position
from yokesill.registry.availability import RegistryAvailability
from yokesill.registry.feed_view import FeedView
from yokesill.registry.feeds import Batch, Feed, HistoryLost
from yokesill.registry.ongoing_call import OngoingCall
from yokesill.registry.restored_lists import SETTLING_S
from yokesill.verdict import Failure

# Backoff between cheap calls while the registry doesn't answer: a node notices its return by at most the
# longest pause too late.
FIRST_PAUSE_S = 0.2
PAUSE_GROWTH = 1.7
LONGEST_PAUSE_S = 1.2
# How long the registry holds a call that waits for changes; each wait that ends costs a call.
CHANGES_WAIT_S = 25.0
# How often a check looks whether a wait was swallowed; nodes derive theirs from the bound they must keep.
CHECK_INTERVAL_S = 2.2
# How long a wait may take to bring changes that a check saw.
CHECK_GRACE_S = 0.5
# After a failed check the next one comes sooner: the registry is in trouble.
FAILED_CHECK_PAUSE_S = 0.7
# Spreads the calls of all nodes at the registry's return.
RETURN_SPREAD_S = 0.3
# How long a follower relies on another one's probes before it probes itself, doubled after each failed probe:
# a registry that fails for one feed alone holds the others back for a second.
FIRST_HOLD_S = 1.0
HOLD_GROWTH = 2.0
LONGEST_HOLD_S = 8.0


class FeedFollower(FeedView):
    """Keeps the router up to date with one feed.

    A wait for changes that the registry accepts just before it goes silent is never answered, and its
    connection stays open: so a cheap check looks for changes beside it.

    Without ``watching`` it calls the registry once, cheaply, and then relies on other nodes, until
    ``set_watching`` makes it call for itself.

    Parameters
    ----------
    feed
        The registry's feed.
    feed_router
        Applies an event.
    gathering_time_s
        Pause after each batch of changes, so that changes in quick succession come in one call.
    source
        Spreads the calls of many nodes over time.
    check_interval_s
        How often to check for changes beside a wait for them.
    watching
        Whether this node calls the registry for itself.
    reach
        Whether the registry answers, shared by the followers of one node.

    Notes
    -----
    ``on_read`` is called with each batch that was read from the registry here, and the position before it.
    """

    def __init__(
        self,
        feed: Feed,
        feed_router: Callable[[Event], None],
        gathering_time_s: float,
        source: random.Random,
        check_interval_s: float = CHECK_INTERVAL_S,
        watching: bool = True,
        reach: RegistryAvailability | None = None,
    ) -> None:
        super().__init__(feed.name, feed_router)
        self.calls = 0
        self.on_read: Callable[[Position, Batch], None] = lambda _before, _batch: None
        self._feed = feed
        self._gathering_time_s = gathering_time_s
        self._check_interval_s = check_interval_s
        self._random = source
        self._watching = watching
        self._reach = reach or RegistryAvailability()
        self._watching_changed = anyio.Event()
        self._pause_s = FIRST_PAUSE_S
        self._hold_s = FIRST_HOLD_S
        self._ongoing = OngoingCall()
        self._checks_fail = False
        self._older_than: Position | None = None
        self._timeline_began = anyio.Event()

    @property
    def lost(self) -> bool:
        """Whether this node calls the registry itself and gets no answer."""
        return self._watching and not self.connected

    async def run(self) -> None:
        """Follow until cancelled."""
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(self._check_waits)
            task_group.start_soon(self._list_settled)
            task_group.start_soon(self._follow_timeline)
            if not self._watching:
                await self._read_stale()
            await self._follow()

    def set_watching(self, wanted: bool) -> None:
        """Call the registry from now on, or rely on other nodes."""
        if wanted == self._watching:
            return
        self._watching = wanted
        self._watching_changed.set()
        self._watching_changed = anyio.Event()
        if not wanted:
            self._reach.withdraw(self)
            self._ongoing.cancel()

    def list_anew(self) -> bool:
        """List the feed with the next call; ``False`` if this node doesn't reach the registry now."""
        if not self._watching or not self.connected:
            return False
        self._list_next = True
        self._ongoing.cancel()
        return True

    # --- calls ---

    async def _read_stale(self) -> None:
        """Start with a cheap list; it may be older than its position says, which is not kept."""
        self.calls += 1
        outcome = await self._feed.list(stale=True)
        if isinstance(outcome, Failure):
            self._log.info("registry_first_read_failed", feed=self._feed_name, reason=outcome.reason)
        elif self._position is None:
            for event in outcome.events:
                self._apply_event(event)

    async def _follow(self) -> None:
        while True:
            if not self._watching:
                await self._watching_changed.wait()
            elif self._reach.probed_by_another(self):
                await self._wait_for_another()
            else:
                await self._call()

    async def _call(self) -> None:
        """Call once. A method of its own: no list stays in memory while the next change is waited for."""
        self.calls += 1
        asked_at, listed = self._position, self._lists_next()
        outcome = await self._ongoing.run(self._next(listed), waits=not listed)
        if outcome is None:
            return
        if isinstance(outcome, Batch):
            self._read(outcome, asked_at, listed)
            if outcome.events:
                await anyio.sleep(self._gathering_time_s)
        elif isinstance(outcome, HistoryLost):
            self._log.info("registry_history_lost", feed=self._feed_name, position=self.revision)
            self._reach.timeline_seen(outcome.timeline)
            self._list_next = True
        else:
            self._set_connected(False, f"{outcome.reason}: {outcome.detail}")
            self._reach.call_failed(self)
            if not self._reach.probed_by_another(self):
                await self._wait_for_registry()

    async def _wait_for_another(self) -> None:
        """Wait while another follower probes the registry; it may fail for that one's feed alone."""
        with anyio.move_on_after(self._hold_s):
            await self._reach.wait_for_change()
            # Spread: otherwise all feeds of all nodes call at the moment of the return.
            await anyio.sleep(RETURN_SPREAD_S * self._random.random())
            return
        if not self._watching:
            return
        if self._position is None:
            await self._call()
        elif await self._answers_cheaply():
            self._reach.call_answered()
        self._hold_s = min(LONGEST_HOLD_S, HOLD_GROWTH * self._hold_s)

    async def _wait_for_registry(self) -> None:
        """Probe with backoff until the registry answers or this node relies on others."""
        while self._watching:
            await anyio.sleep(self._pause_s * (0.5 + self._random.random()))
            self._pause_s = min(LONGEST_PAUSE_S, self._pause_s * PAUSE_GROWTH)
            if self._position is None:
                return
            if await self._answers_cheaply():
                self._reach.call_answered()
                return

    def _read(self, batch: Batch, asked_at: Position | None, listed: bool) -> None:
        """Apply what the registry answered, unless other nodes sent more meanwhile.

        Changes lead on from ``asked_at`` only on its own timeline; on another one the feed is listed. A list
        is never older than what was known when it was asked for, unless the registry itself went back.
        """
        before = self._position
        self._reach.timeline_seen(batch.position.timeline)
        if not listed and (asked_at is None or batch.position.timeline != asked_at.timeline):
            self._list_next = True
        else:
            if before is None or batch.position >= before or (listed and before == asked_at):
                self._apply(batch, whole=listed)
                if batch.position != before:
                    self.on_read(before or Position(0, 0), batch)
            else:
                self._log_older(batch)
            self._confirm()
        self._set_connected(True, "")
        self._reach.call_answered()
        self._pause_s, self._hold_s = FIRST_PAUSE_S, FIRST_HOLD_S

    async def _check_waits(self) -> None:
        """Check for changes that a long wait should have brought, and call again if there are any."""
        pause_s = self._check_interval_s
        while True:
            await anyio.sleep(pause_s * (0.9 + 0.2 * self._random.random()))
            pause_s = self._check_interval_s
            position = self._position
            if position is None or not self._ongoing.lasts(CHECK_GRACE_S):
                continue
            if self._reach.probed_by_another(self):
                # Checked at the return, which the probing follower may not see.
                with anyio.move_on_after(FIRST_HOLD_S):
                    await self._reach.wait_for_change()
            self.calls += 1
            outcome = await self._feed.peek(position)
            self._log_check(outcome)
            if isinstance(outcome, Failure):
                pause_s = min(FAILED_CHECK_PAUSE_S, self._check_interval_s)
                continue
            timeline = outcome.timeline if isinstance(outcome, HistoryLost) else outcome.position.timeline
            self._reach.timeline_seen(timeline)
            # A revision of another timeline says nothing of what is known here.
            relisting = isinstance(outcome, HistoryLost) or outcome.position.timeline != position.timeline
            if isinstance(outcome, Batch) and not outcome.events and not relisting:
                self._nothing_new()
                continue
            await anyio.sleep(CHECK_GRACE_S)
            if position == self._position and self._ongoing.under_way:
                self._log.info("registry_wait_swallowed", feed=self._feed_name, position=self.revision)
                self._list_next = relisting
                self._ongoing.cancel()

    def timeline_told(self, timeline: int) -> None:
        """Note that another node knows the registry on a timeline."""
        self._reach.timeline_seen(timeline)

    async def _follow_timeline(self) -> None:
        """List the feed when the registry is known to be on a later timeline: a wait may never be answered.

        Spread over time, since every watcher of every zone learns of it in the same moment.
        """
        while True:
            await self._reach.wait_for_timeline()
            await anyio.sleep(RETURN_SPREAD_S * self._random.random())
            known = self._position
            if not self._watching or known is None or known.timeline >= self._reach.timeline:
                continue
            self._list_next = True
            if self._ongoing.waits and self._ongoing.under_way:
                self._log.info("registry_wait_outdated", feed=self._feed_name, position=self.revision)
                self._ongoing.cancel()

    async def _list_settled(self) -> None:
        """List the feed once more when a restored registry has settled."""
        while True:
            await self._timeline_began.wait()
            self._timeline_began = anyio.Event()
            await anyio.sleep(SETTLING_S)
            if self._watching:
                self._ongoing.cancel()

    def _begin_timeline(self, before: Position, position: Position) -> None:
        """Give up a wait for changes of the timeline before, too."""
        super()._begin_timeline(before, position)
        self._reach.timeline_seen(position.timeline)
        self._timeline_began.set()
        self._ongoing.cancel()

    def _log_older(self, batch: Batch) -> None:
        """Log that what the registry answered is not applied: once for each position that is known here."""
        if self._older_than != self._position:
            self._older_than = self._position
            position, known = list(batch.position), list(self._position or ())
            self._log.info("registry_answer_older", feed=self._feed_name, position=position, known=known)

    def _log_check(self, outcome: Batch | HistoryLost | Failure) -> None:
        """Log the first of several failed checks; a registry that is known as lost was logged."""
        failed = isinstance(outcome, Failure)
        if isinstance(outcome, Failure) and not self._checks_fail and self.connected:
            self._log.info("registry_check_failed", feed=self._feed_name, reason=outcome.reason)
        self._checks_fail = failed

    def _nothing_new(self) -> None:
        """Note that the registry answers; a wait begun while it was lost is renewed."""
        self._reach.call_answered()
        self._confirm()
        if not self.connected and self._ongoing.under_way:
            self._set_connected(True, "")
            self._ongoing.cancel()

    async def _answers_cheaply(self) -> bool:
        """Whether the registry answers a cheap call; probes come before any call at full price."""
        self.calls += 1
        return not isinstance(await self._feed.peek(self._position or Position(0, 0)), Failure)

    def _lists_next(self) -> bool:
        """Whether the next call asks for everything."""
        settled = self._settles_at_s is not None and anyio.current_time() >= self._settles_at_s
        return self._position is None or self._list_next or settled

    async def _next(self, listed: bool) -> Batch | HistoryLost | Failure:
        if listed or self._position is None:
            return await self._feed.list()
        return await self._feed.changes(self._position, CHANGES_WAIT_S)

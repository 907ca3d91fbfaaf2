"""Follows one feed of the registry: lists it, waits for changes, and retries after failures.

Decides when and how the registry is called: one long poll at a time, and only cheap calls while the registry
doesn't answer. ``feed_view`` holds the node's view of the feed, ``position_check`` has it compared with the
registry's position, and ``availability`` selects the follower that probes an unreachable registry. Times are
in seconds of the node's clock.
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
from yokesill.registry.requested_read import RequestedRead
from yokesill.registry.restored_lists import SETTLING_S
from yokesill.verdict import Failure

# Backoff between cheap calls while the registry doesn't answer. The maximum bounds how late a node detects
# that it answers again.
INITIAL_PROBE_PAUSE_S = 0.2
PROBE_PAUSE_GROWTH = 1.7
MAX_PROBE_PAUSE_S = 1.2
# How long the registry holds a long poll for changes; each one that ends costs a call.
CHANGES_WAIT_S = 25.0
# Spreads the calls of all nodes when the registry answers again.
RECOVERY_SPREAD_S = 0.3
# How long a follower relies on another one's probes before it probes itself, doubled after each such probe:
# a registry that fails for one feed only holds the others back for a second.
INITIAL_HOLD_S = 1.0
HOLD_GROWTH = 2.0
MAX_HOLD_S = 8.0


class FeedFollower(FeedView):
    """Keeps the router up to date with one feed.

    The registry may lose a long poll that it has accepted, and its connection stays open. A ``PositionCheck``
    therefore calls ``compare`` at an interval.

    Without ``watching`` it makes one cheap call to the registry and then relies on other nodes until
    ``set_watching`` makes it call the registry itself.

    Parameters
    ----------
    feed
        The registry's feed.
    feed_router
        Applies an event.
    gathering_time_s
        Pause after each batch of changes, so that changes in quick succession are coalesced into one call.
    source
        Random source that spreads the calls of many nodes over time.
    watching
        Whether this node calls the registry itself.
    availability
        Availability of the registry, shared by the followers of one node.

    Notes
    -----
    ``on_read`` is called with the previous position and each batch that this node read from the registry.
    """

    def __init__(
        self,
        feed: Feed,
        feed_router: Callable[[Event], None],
        gathering_time_s: float,
        source: random.Random,
        watching: bool = True,
        availability: RegistryAvailability | None = None,
    ) -> None:
        super().__init__(feed.name, feed_router)
        self.calls = 0
        self.on_read: Callable[[Position, Batch], None] = lambda _before, _batch: None
        self._feed = feed
        self._gathering_time_s = gathering_time_s
        self._random = source
        self._watching = watching
        self._availability = availability or RegistryAvailability()
        self._watching_changed = anyio.Event()
        self._pause_s = INITIAL_PROBE_PAUSE_S
        self._hold_s = INITIAL_HOLD_S
        self._ongoing = OngoingCall()
        self._logged_older_at: Position | None = None
        self._timeline_started = anyio.Event()
        self._requested_read = RequestedRead()

    @property
    def lost(self) -> bool:
        """Whether this node calls the registry itself and it doesn't answer."""
        return self._watching and not self.connected

    async def run(self) -> None:
        """Follow the feed until cancelled."""
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(self._relist_when_settled)
            task_group.start_soon(self._relist_on_later_timeline)
            if not self._watching:
                await self._list_stale()
            await self._follow()

    def set_watching(self, wanted: bool) -> None:
        """Set whether to call the registry from now on or to rely on other nodes."""
        if wanted == self._watching:
            return
        self._watching = wanted
        self._watching_changed.set()
        self._watching_changed = anyio.Event()
        if not wanted:
            self._availability.withdraw(self)
            self._ongoing.cancel()

    def request_relist(self) -> bool:
        """Make the next call a list; return ``False`` if this node can't reach the registry now."""
        if not self._watching or not self.connected:
            return False
        self._relist_next = True
        self._ongoing.cancel()
        return True

    def request_read(self) -> None:
        """Make the next call at once and without waiting for changes, if this node calls the registry."""
        if self._watching:
            self._requested_read.ask()
            self._ongoing.cancel()

    # --- calls ---

    async def _list_stale(self) -> None:
        """Read a first list cheaply; its position is discarded, since the list may be older than that."""
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
            elif self._availability.probed_by_another(self):
                await self._wait_for_prober()
            else:
                await self._call()

    async def _call(self) -> None:
        """Call the registry once.

        A separate method so that no list is kept in memory during the long poll for the next change.
        """
        self.calls += 1
        from_position, listed = self._position, self._should_list()
        at_once = self._requested_read.begin_call()
        asked_at_s = anyio.current_time()
        outcome = await self._ongoing.run(self._fetch_next(listed, at_once), waits=not listed)
        if isinstance(outcome, Batch):
            self._process_answer(outcome, from_position, listed, asked_at_s)
        elif at_once:
            self._requested_read.ask()
        if outcome is None:
            return
        if isinstance(outcome, Batch):
            if outcome.events:
                await self._requested_read.pause(self._gathering_time_s)
        elif isinstance(outcome, HistoryLost):
            self._lose_history(outcome)
        else:
            self._set_connected(False, f"{outcome.reason}: {outcome.detail}")
            self._availability.call_failed(self)
            if not self._availability.probed_by_another(self):
                await self._probe_until_answered()

    async def _wait_for_prober(self) -> None:
        """Wait while another follower probes the registry, which may fail for that follower's feed only."""
        with anyio.move_on_after(self._hold_s):
            await self._availability.wait_until_probing_ends()
            # Otherwise all feeds of all nodes would call at the moment the registry answers again.
            await anyio.sleep(RECOVERY_SPREAD_S * self._random.random())
            return
        if not self._watching:
            return
        if self._position is None:
            await self._call()
        elif await self._probe():
            self._availability.call_answered()
        self._hold_s = min(MAX_HOLD_S, HOLD_GROWTH * self._hold_s)

    async def _probe_until_answered(self) -> None:
        """Probe with backoff until the registry answers or this node relies on others.

        Without a position the next call is a list at full price, so this returns after one pause.
        """
        while self._watching:
            await anyio.sleep(self._pause_s * (0.5 + self._random.random()))
            self._pause_s = min(MAX_PROBE_PAUSE_S, self._pause_s * PROBE_PAUSE_GROWTH)
            if self._position is None:
                return
            if await self._probe():
                self._availability.call_answered()
                return

    def _process_answer(
        self, batch: Batch, from_position: Position | None, listed: bool, asked_at_s: float
    ) -> None:
        """Apply an answer of the registry unless other nodes have sent a later state in the meantime.

        Changes can be applied to ``from_position`` only on the same timeline; on another one the feed is
        listed. A list is never older than the position known when it was requested, unless the registry
        itself went back.
        """
        before = self._position
        self._availability.record_timeline(batch.position.timeline)
        if not listed and (from_position is None or batch.position.timeline != from_position.timeline):
            self._relist_next = True
        else:
            if before is None or batch.position >= before or (listed and before == from_position):
                self._apply(batch, whole=listed)
                if batch.position != before:
                    self.on_read(before or Position(0, 0), batch)
            else:
                self._log_older(batch)
            self._confirm(asked_at_s)
        self._set_connected(True, "")
        self._availability.call_answered()
        self._pause_s, self._hold_s = INITIAL_PROBE_PAUSE_S, INITIAL_HOLD_S

    # --- checks ---

    async def wait_until_watching(self) -> None:
        """Wait until this node calls the registry itself."""
        while not self._watching:
            await self._watching_changed.wait()

    async def compare(self, registry: Position, known: Position | None, asked_at_s: float) -> None:
        """Compare this view with the registry's position, which an exact call has read.

        The view is current as of that moment if it has reached the position. Else the feed is read beside its
        long poll, which may be lost; most often only other feeds have changed, and the long poll goes on.

        Parameters
        ----------
        registry
            The registry's position.
        known
            This view's position when the call began.
        asked_at_s
            When the call began, in seconds of the node's clock.
        """
        if known is None or self._position is None or self._relist_next or not self._watching:
            return
        if registry.timeline != known.timeline:
            return
        if registry < known:
            self._relist_next = True
            self._ongoing.cancel()
        elif self._position >= registry:
            self._confirm(asked_at_s)
            self._reconnect()
        else:
            await self._read_beside_long_poll(self._position)

    async def _read_beside_long_poll(self, from_position: Position) -> None:
        """Read the changes after a position exactly; restart the long poll if it has missed any."""
        self.calls += 1
        asked_at_s = anyio.current_time()
        outcome = await self._feed.changes(from_position, 0.0)
        if isinstance(outcome, HistoryLost):
            self._lose_history(outcome)
        elif isinstance(outcome, Batch):
            self._process_answer(outcome, from_position, False, asked_at_s)
        missed = isinstance(outcome, HistoryLost) or (isinstance(outcome, Batch) and bool(outcome.events))
        if missed and self._ongoing.waits and self._ongoing.under_way:
            self._log.info("registry_wait_swallowed", feed=self._feed_name, position=self.revision)
            self._ongoing.cancel()

    def _reconnect(self) -> None:
        """Restart a long poll that was started while the registry was lost, now that it answers."""
        if not self.connected and self._ongoing.under_way:
            self._set_connected(True, "")
            self._ongoing.cancel()

    def _lose_history(self, lost: HistoryLost) -> None:
        """Make the next call a list, since the changes after this view's position are no longer kept."""
        self._log.info("registry_history_lost", feed=self._feed_name, position=self.revision)
        self._availability.record_timeline(lost.timeline)
        self._relist_next = True

    def observe_timeline(self, timeline: int) -> None:
        """Record the registry's timeline as reported by another node."""
        self._availability.record_timeline(timeline)

    async def _relist_on_later_timeline(self) -> None:
        """List the feed when the registry is on a later timeline, where a long poll may never be answered.

        Spread over time, since all watchers of all zones detect it at the same moment.
        """
        while True:
            await self._availability.wait_for_later_timeline()
            await anyio.sleep(RECOVERY_SPREAD_S * self._random.random())
            known = self._position
            if not self._watching or known is None or known.timeline >= self._availability.timeline:
                continue
            self._relist_next = True
            if self._ongoing.waits and self._ongoing.under_way:
                self._log.info("registry_wait_outdated", feed=self._feed_name, position=self.revision)
                self._ongoing.cancel()

    async def _relist_when_settled(self) -> None:
        """End the long poll when a restored registry has settled, so that the feed is listed once more."""
        while True:
            await self._timeline_started.wait()
            self._timeline_started = anyio.Event()
            await anyio.sleep(SETTLING_S)
            if self._watching:
                self._ongoing.cancel()

    def _start_timeline(self, before: Position, position: Position) -> None:
        """Also cancel the ongoing call, which refers to the previous timeline."""
        super()._start_timeline(before, position)
        self._availability.record_timeline(position.timeline)
        self._timeline_started.set()
        self._ongoing.cancel()

    def _log_older(self, batch: Batch) -> None:
        """Log that an older answer of the registry is not applied, once per known position."""
        if self._logged_older_at != self._position:
            self._logged_older_at = self._position
            position, known = list(batch.position), list(self._position or ())
            self._log.info("registry_answer_older", feed=self._feed_name, position=position, known=known)

    async def _probe(self) -> bool:
        """Return whether the registry answers a cheap call; made before any call at full price."""
        self.calls += 1
        return not isinstance(await self._feed.peek(self._position or Position(0, 0)), Failure)

    def _should_list(self) -> bool:
        """Return whether the next call is a list."""
        settled = self._settles_at_s is not None and anyio.current_time() >= self._settles_at_s
        return self._position is None or self._relist_next or settled

    async def _fetch_next(self, listed: bool, at_once: bool) -> Batch | HistoryLost | Failure:
        if listed or self._position is None:
            return await self._feed.list()
        return await self._feed.changes(self._position, 0.0 if at_once else CHANGES_WAIT_S)

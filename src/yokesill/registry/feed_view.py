"""A node's view of one feed of the registry: its position and the moment as of which it is current.

A view is current as of a moment only if an exact answer of the registry, to a call that began at that moment
or later, shows no position that the view has not reached. Long polls that are not answered and stale reads
show nothing, and neither do the answers for other feeds.

Applies batches from the registry or from other nodes to the router. The position only increases; it restarts
on a later timeline, after the registry was restored from an older copy. Owns the log lines about batches read
and about a lost, regained or restored registry. ``follower`` adds the calls of the registry.
"""

from collections.abc import Callable

import anyio

from yokesill.gateway.events import Event
from yokesill.logs import get_logger
from yokesill.positions import Position
from yokesill.registry.feeds import Batch
from yokesill.registry.restored_lists import SETTLING_S, additions


class FeedView:
    """A node's view of one feed.

    ``connected`` is whether the registry answered this node's last call. ``confirmed_at_s`` is the moment as
    of which this view is current, in seconds of the node's clock. ``on_restored`` is called with the new
    timeline when the registry was restored from an older copy, ``on_applied`` with each batch that this view
    has taken over, from whatever source.
    """

    def __init__(self, feed: str, apply_event: Callable[[Event], None]) -> None:
        self.connected = False
        self.confirmed_at_s = float("-inf")
        self.on_restored: Callable[[int], None] = lambda _timeline: None
        self.on_applied: Callable[[Batch], None] = lambda _batch: None
        self._feed_name = feed
        self._apply_event = apply_event
        self._position: Position | None = None
        self._relist_next = True
        # After the registry was restored: when lists count as complete again.
        self._settles_at_s: float | None = None
        self._log = get_logger("registry")

    @property
    def position(self) -> Position | None:
        """The registry's position up to which the feed is known here; ``None`` before the first list."""
        return self._position

    def is_current(self, since_s: float) -> bool:
        """Return whether the registry answers and this view is current as of a moment after ``since_s``."""
        return self.connected and self._position is not None and self.confirmed_at_s > since_s

    @property
    def revision(self) -> int | None:
        """The position's revision, for log lines and gauges."""
        return None if self._position is None else self._position.revision

    def apply_changes(self, before: Position, batch: Batch) -> bool:
        """Apply another node's changes, which start from position ``before``.

        Returns
        -------
        bool
            Whether this node has now reached the other node's position.
        """
        if self._position is None or self._position < before:
            return False
        if batch.position > self._position:
            self._apply(batch, whole=False)
        return True

    def apply_whole(self, batch: Batch, repair: bool = False) -> None:
        """Apply another node's whole feed if it is newer, with ``repair`` also at the same position."""
        newer = self._position is None or batch.position > self._position
        if newer or (repair and batch.position == self._position):
            self._apply(batch, whole=True)

    def _apply(self, batch: Batch, whole: bool) -> None:
        known = self._position
        # An earlier position on the same timeline: the registry was restored without a new timeline.
        if known is not None and (batch.position.timeline != known.timeline or batch.position < known):
            self._start_timeline(known, batch.position)
        settling = self._settles_at_s is not None and anyio.current_time() < self._settles_at_s
        for event in batch.events:
            for each in additions(event) if settling else (event,):
                self._apply_event(each)
        if whole and not settling:
            self._settles_at_s = None
        if batch.events:
            timeline, revision = batch.position
            self._log.info(
                "registry_read",
                feed=self._feed_name,
                timeline=timeline,
                position=revision,
                events=len(batch.events),
            )
        for problem in batch.problems:
            self._log.error("entry_rejected", place=problem.place, problem=problem.message)
        self._position = batch.position
        self._relist_next = False
        self.on_applied(batch)

    def _start_timeline(self, before: Position, position: Position) -> None:
        """Let lists only add entries until the lost ones have had time to be written again."""
        self._settles_at_s = anyio.current_time() + SETTLING_S
        self._log.warning(
            "registry_restored",
            feed=self._feed_name,
            timeline=position.timeline,
            position=position.revision,
            before=list(before),
        )
        self.on_restored(position.timeline)

    def _confirm(self, asked_at_s: float) -> None:
        """Record that this view is current as of a moment, when the exact call began that shows it."""
        self.confirmed_at_s = max(self.confirmed_at_s, asked_at_s)

    def _set_connected(self, connected: bool, why: str) -> None:
        """Log when the registry is lost or regained, once per transition."""
        if connected == self.connected:
            return
        self.connected = connected
        name = "registry_regained" if connected else "registry_lost"
        self._log.info(name, feed=self._feed_name, position=self.revision, why=why)

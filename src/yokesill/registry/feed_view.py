"""One feed of the registry as this node knows it: its position, and how current that is.

Applies batches to the router, whether the registry or another node sent them; the position only rises. Owns
the log lines of what was read and of a lost registry. ``follower`` asks the registry on top of this.
"""

from collections.abc import Callable

import anyio

from yokesill.gateway.events import Event
from yokesill.logs import get_logger
from yokesill.registry.feeds import Batch


class FeedView:
    """What is known of one feed.

    ``connected`` is whether the registry answered this node's last call, ``confirmed_at_s`` when it last said
    that this view is current, in seconds of the node's clock.
    """

    def __init__(self, feed: str, apply_event: Callable[[Event], None]) -> None:
        self.connected = False
        self.confirmed_at_s = float("-inf")
        self._feed_name = feed
        self._apply_event = apply_event
        self._position: int | None = None
        self._list_next = True
        self._log = get_logger("registry")

    @property
    def position(self) -> int | None:
        """Up to which position of the registry the feed is known here; ``None`` before the first list."""
        return self._position

    def apply_changes(self, before: int, batch: Batch) -> bool:
        """Apply another node's changes from position ``before`` on.

        Returns
        -------
        bool
            Whether this node now knows all that the other one knows.
        """
        if self._position is None or self._position < before:
            return False
        if batch.position > self._position:
            self._apply(batch)
        return True

    def apply_whole(self, batch: Batch, repair: bool = False) -> None:
        """Apply another node's whole feed if it is newer; with ``repair`` also at the same position."""
        newer = self._position is None or batch.position > self._position
        if newer or (repair and batch.position == self._position):
            self._apply(batch)

    def _apply(self, batch: Batch) -> None:
        for event in batch.events:
            self._apply_event(event)
        if batch.events:
            self._log.info(
                "registry_read", feed=self._feed_name, position=batch.position, events=len(batch.events)
            )
        for problem in batch.problems:
            self._log.error("entry_rejected", place=problem.place, problem=problem.message)
        self._position = batch.position
        self._list_next = False

    def _confirm(self) -> None:
        self.confirmed_at_s = anyio.current_time()

    def _set_connected(self, connected: bool, why: str) -> None:
        """Log a lost or regained registry, once each."""
        if connected == self.connected:
            return
        self.connected = connected
        name = "registry_regained" if connected else "registry_lost"
        self._log.info(name, feed=self._feed_name, position=self._position, why=why)

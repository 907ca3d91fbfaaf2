"""What a node reports of its feeds to its zone: new changes with positions and digests, or a whole feed."""

from collections.abc import Callable
from functools import partial

import anyio

from yokesill.positions import Position
from yokesill.registry.feed_states import WholeFeed, changes_to_wire, encode_state
from yokesill.registry.feeds import Batch
from yokesill.registry.follower import FeedFollower
from yokesill.registry.view_check import ViewCheck
from yokesill.watchers.digests import NOT_COMPARED
from yokesill.watchers.messages import FeedReport


class FeedReports:
    """A node's feeds, and what its zone has not been sent of them yet.

    Parameters
    ----------
    followers
        What follows each feed, by the feed's name.
    whole
        Return a whole feed as this node knows it, by its name; ``None`` while it knows nothing.
    view
        Has the feeds' digests.
    wake
        Called when there is something new.
    """

    def __init__(
        self,
        followers: dict[str, FeedFollower],
        whole: Callable[[str], WholeFeed | None],
        view: ViewCheck,
        wake: Callable[[], None],
    ) -> None:
        self._followers = followers
        self._whole = whole
        self._view = view
        self._wake = wake
        self._unreported: dict[str, FeedReport] = {}
        self._encoded: dict[str, tuple[tuple[Position, int], bytes]] = {}
        for name, follower in followers.items():
            follower.on_read = partial(self._has_read, name)

    @property
    def pending(self) -> bool:
        """Whether there is something new."""
        return bool(self._unreported)

    def drop_pending(self) -> None:
        """Forget what is new: others report it."""
        self._unreported.clear()

    def take(self, now: float) -> tuple[FeedReport, ...]:
        """Return a report of each known feed, with what is new."""
        reports = tuple(
            self._unreported.get(name, _nothing_new(name, each.position))
            for name, each in self._followers.items()
            if each.position is not None
        )
        self._unreported.clear()
        return tuple(each._replace(digest=self._digest(each, now)) for each in reports)

    def state(self, name: str) -> bytes | None:
        """Return a whole feed as this node knows it, for another node; ``None`` if it knows none."""
        follower = self._followers.get(name)
        if follower is None or follower.position is None:
            return None
        at = (follower.position, self._view.digest(name, anyio.current_time()))
        known = self._encoded.get(name)
        if known is None or known[0] != at:
            whole = self._whole(name)
            if whole is None:
                return None
            known = self._encoded[name] = (at, encode_state(whole, follower.position))
        return known[1]

    def _has_read(self, name: str, before: Position, batch: Batch) -> None:
        """Note what was read; changes that follow unreported ones are left out, and nodes fetch the whole.

        So are those that lead on from another timeline.
        """
        report = _nothing_new(name, batch.position)
        if name not in self._unreported and before.timeline == batch.position.timeline:
            changes = changes_to_wire(batch.events)
            if changes is not None:
                report = report._replace(before=before.revision, changes=changes)
        self._unreported[name] = report
        self._wake()

    def _digest(self, report: FeedReport, now: float) -> int:
        """Return the digest that belongs to a report; more may have been applied since it was read."""
        up_to_it = self._followers[report.feed].position == report.position
        return self._view.digest(report.feed, now) if up_to_it else NOT_COMPARED


def _nothing_new(name: str, position: Position) -> FeedReport:
    return FeedReport(name, position.revision, position.revision, timeline=position.timeline)

"""Builds what a node reports of its feeds: new changes with positions and digests, or a whole feed."""

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
    """A node's feeds and the changes that it has not reported to its zone yet.

    Parameters
    ----------
    followers
        The follower of each feed, by the feed's name.
    whole
        Returns this node's view of a whole feed, by the feed's name; ``None`` before the first list.
    view
        Computes the feeds' digests.
    wake
        Called when there are new changes to report.
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
            follower.on_read = partial(self._record_batch, name)

    @property
    def pending(self) -> bool:
        """Whether there are unreported changes."""
        return bool(self._unreported)

    def drop_pending(self) -> None:
        """Discard unreported changes; other nodes report them."""
        self._unreported.clear()

    def drain(self, now: float) -> tuple[FeedReport, ...]:
        """Return a report of each known feed with its unreported changes, and mark those as reported."""
        reports = tuple(
            self._unreported.get(name, _empty_report(name, each.position))
            for name, each in self._followers.items()
            if each.position is not None
        )
        self._unreported.clear()
        return tuple(each._replace(digest=self._digest(each, now)) for each in reports)

    def state(self, name: str) -> bytes | None:
        """Return this node's view of a whole feed, encoded for another node; ``None`` if it has none."""
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

    def _record_batch(self, name: str, before: Position, batch: Batch) -> None:
        """Record a batch for the next report.

        Changes are left out, so that other nodes fetch the whole feed, if they follow unreported changes or
        start from another timeline.
        """
        report = _empty_report(name, batch.position)
        if name not in self._unreported and before.timeline == batch.position.timeline:
            changes = changes_to_wire(batch.events)
            if changes is not None:
                report = report._replace(before=before.revision, changes=changes)
        self._unreported[name] = report
        self._wake()

    def _digest(self, report: FeedReport, now: float) -> int:
        """Return the digest for a report; ``NOT_COMPARED`` if the feed is past the report's position."""
        is_current = self._followers[report.feed].position == report.position
        return self._view.digest(report.feed, now) if is_current else NOT_COMPARED


def _empty_report(name: str, position: Position) -> FeedReport:
    return FeedReport(name, position.revision, position.revision, timeline=position.timeline)

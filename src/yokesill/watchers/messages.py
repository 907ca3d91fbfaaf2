"""The report that a watcher sends to its zone: a heartbeat with its position in each feed of the registry.

The feeds' timelines, one per feed, follow the report as an extension, so that releases without timelines can
still decode it.
"""

from typing import Any, NamedTuple

from yokesill.peers.chunks import DATAGRAM_BYTES
from yokesill.peers.frame import (
    WATCH_REPORT_KIND,
    decode_frame,
    encode_frame,
    parse_count,
    split_extension,
    with_extension,
)
from yokesill.positions import Position


class FeedReport(NamedTuple):
    """The sender's position in one feed of the registry.

    ``changes`` lead from revision ``before`` to ``revision`` of ``timeline``; ``None`` when there is nothing
    new or the changes don't fit: a node at an older position then fetches the whole feed from the sender.
    ``digest`` is that of the whole feed at ``revision`` (``watchers/digests``); 0 if there is none.
    """

    feed: str
    before: int
    revision: int
    changes: list[Any] | None = None
    digest: int = 0
    timeline: int = 0

    @property
    def start(self) -> Position:
        """The position that the changes start from."""
        return Position(self.timeline, self.before)

    @property
    def position(self) -> Position:
        """The sender's position in the feed."""
        return Position(self.timeline, self.revision)


class Report(NamedTuple):
    """A watcher's heartbeat: whether its view is current, and its feeds."""

    node: str
    current: bool
    feeds: tuple[FeedReport, ...]


def encode_report(report: Report) -> bytes:
    """Return a report's datagram; all changes are left out if they don't fit."""
    data = _encode(report)
    if len(data) <= DATAGRAM_BYTES:
        return data
    return _encode(report._replace(feeds=tuple(_without_changes(each) for each in report.feeds)))


def _encode(report: Report) -> bytes:
    feeds = [[each.feed, each.before, each.revision, each.changes, each.digest] for each in report.feeds]
    data = encode_frame(WATCH_REPORT_KIND, report.node, report.current, feeds)
    timelines = [each.timeline for each in report.feeds]
    return with_extension(data, timelines) if any(timelines) else data


def _without_changes(feed: FeedReport) -> FeedReport:
    return feed._replace(before=feed.revision, changes=None)


def decode_report(data: bytes) -> Report:
    """Decode a datagram.

    Raises
    ------
    ValueError
        The datagram is not a report of this version.
    """
    report = decode_frame(data, {WATCH_REPORT_KIND: _parse_report})
    _, timelines = split_extension(data)
    if timelines is None:
        return report
    if not isinstance(timelines, list) or len(timelines) != len(report.feeds):
        raise ValueError(f"timelines is {timelines!r}, expected a list of {len(report.feeds)}, one per feed")
    feeds = zip(report.feeds, timelines, strict=True)
    return report._replace(feeds=tuple(feed._replace(timeline=parse_count(each)) for feed, each in feeds))


def _parse_report(node: Any, current: Any, feeds: Any) -> Report:
    if not isinstance(node, str) or not isinstance(current, bool):
        raise ValueError(f"node is {node!r} and current {current!r}, expected a string and a boolean")
    return Report(node, current, tuple(_parse_feed(*each) for each in feeds))


def _parse_feed(feed: Any, before: Any, revision: Any, changes: Any, digest: Any) -> FeedReport:
    if not isinstance(feed, str) or not (changes is None or isinstance(changes, list)):
        raise ValueError(f"feed is {feed!r}, expected a string with changes that are a list or absent")
    if not all(type(each) is int for each in (before, revision, digest)) or not 0 <= before <= revision:
        raise ValueError(
            f"feed {feed!r} has revisions {before!r} to {revision!r} and digest {digest!r}, "
            "expected integers with 0 <= before <= revision"
        )
    return FeedReport(feed, before, revision, changes, digest)

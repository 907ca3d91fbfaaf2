"""What a watcher reports to its zone: a sign of life, and how far it knows each feed of the registry.

The feeds' timelines stand behind the report, one a feed, so that releases without them read it as before.
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
    """How far the sender knows one feed of the registry.

    ``changes`` lead from revision ``before`` to ``revision`` of ``timeline``; ``None`` when there is nothing
    new or it doesn't fit: whoever is older than that then asks the sender for the whole. ``digest`` is that
    of the whole feed at ``revision`` (``watchers/digests``); 0 if there is none.
    """

    feed: str
    before: int
    revision: int
    changes: list[Any] | None = None
    digest: int = 0
    timeline: int = 0

    @property
    def start(self) -> Position:
        """The position from which the changes lead."""
        return Position(self.timeline, self.before)

    @property
    def position(self) -> Position:
        """The position up to which the sender knows the feed."""
        return Position(self.timeline, self.revision)


class Report(NamedTuple):
    """A watcher's sign of life: whether it can be relied on now, and its feeds."""

    node: str
    current: bool
    feeds: tuple[FeedReport, ...]


def encode_report(report: Report) -> bytes:
    """Return a report's datagram; changes that don't fit are left out."""
    data = _encode(report)
    if len(data) <= DATAGRAM_BYTES:
        return data
    return _encode(report._replace(feeds=tuple(_bare(each) for each in report.feeds)))


def _encode(report: Report) -> bytes:
    feeds = [[each.feed, each.before, each.revision, each.changes, each.digest] for each in report.feeds]
    data = encode_frame(WATCH_REPORT_KIND, report.node, report.current, feeds)
    timelines = [each.timeline for each in report.feeds]
    return with_extension(data, timelines) if any(timelines) else data


def _bare(feed: FeedReport) -> FeedReport:
    return feed._replace(before=feed.revision, changes=None)


def decode_report(data: bytes) -> Report:
    """Read a datagram.

    Raises
    ------
    ValueError
        It is no report of this version.
    """
    report = decode_frame(data, {WATCH_REPORT_KIND: _report})
    _, timelines = split_extension(data)
    if timelines is None:
        return report
    if not isinstance(timelines, list) or len(timelines) != len(report.feeds):
        raise ValueError(f"timelines {timelines!r} of {len(report.feeds)} feeds")
    feeds = zip(report.feeds, timelines, strict=True)
    return report._replace(feeds=tuple(feed._replace(timeline=parse_count(each)) for feed, each in feeds))


def _report(node: Any, current: Any, feeds: Any) -> Report:
    if not isinstance(node, str) or not isinstance(current, bool):
        raise ValueError("a node's name and whether it is current are needed")
    return Report(node, current, tuple(_feed(*each) for each in feeds))


def _feed(feed: Any, before: Any, revision: Any, changes: Any, digest: Any) -> FeedReport:
    if not isinstance(feed, str) or not (changes is None or isinstance(changes, list)):
        raise ValueError("a feed's name and a list of changes are needed")
    if not all(type(each) is int for each in (before, revision, digest)) or not 0 <= before <= revision:
        raise ValueError(f"revisions {before!r} to {revision!r}, digest {digest!r}")
    return FeedReport(feed, before, revision, changes, digest)

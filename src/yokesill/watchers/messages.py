"""What a watcher reports to its zone: a sign of life, and how far it knows each feed of the registry."""

from typing import Any, NamedTuple

from yokesill.peers.chunks import DATAGRAM_BYTES
from yokesill.peers.frame import WATCH_REPORT_KIND, decode_frame, encode_frame


class FeedReport(NamedTuple):
    """How far the sender knows one feed of the registry.

    ``changes`` lead from position ``before`` to ``position``; ``None`` when there is nothing new or it
    doesn't fit: whoever is older than ``position`` then asks the sender for the whole. ``digest`` is
    that of the whole feed at ``position`` (``watchers/digests``); 0 if there is none.
    """

    feed: str
    before: int
    position: int
    changes: list[Any] | None = None
    digest: int = 0


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
    return encode_frame(WATCH_REPORT_KIND, report.node, report.current, [list(each) for each in report.feeds])


def _bare(feed: FeedReport) -> FeedReport:
    return feed._replace(before=feed.position, changes=None)


def decode_report(data: bytes) -> Report:
    """Read a datagram.

    Raises
    ------
    ValueError
        It is no report of this version.
    """
    return decode_frame(data, {WATCH_REPORT_KIND: _report})


def _report(node: Any, current: Any, feeds: Any) -> Report:
    if not isinstance(node, str) or not isinstance(current, bool):
        raise ValueError("a node's name and whether it is current are needed")
    return Report(node, current, tuple(_feed(*each) for each in feeds))


def _feed(feed: Any, before: Any, position: Any, changes: Any, digest: Any) -> FeedReport:
    if not isinstance(feed, str) or not (changes is None or isinstance(changes, list)):
        raise ValueError("a feed's name and a list of changes are needed")
    if not all(type(each) is int for each in (before, position, digest)) or not 0 <= before <= position:
        raise ValueError(f"positions {before!r} to {position!r}, digest {digest!r}")
    return FeedReport(feed, before, position, changes, digest)

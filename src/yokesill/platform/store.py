"""A client of the platform's metadata store: lists, watches and calls for single objects.

Only ``stale`` calls are cheap; all others cost the full price, even if they fail.
"""

from functools import partial
from typing import Any, NamedTuple
from urllib.parse import quote

from yokesill.comm import http_status as http
from yokesill.comm.numbers import parse_digits
from yokesill.logs import get_logger
from yokesill.platform.names import POSITION_KIND, TIMELINE_HEADER
from yokesill.positions import Position
from yokesill.registry.api_client import ApiClient, ApiReply
from yokesill.registry.feeds import HistoryLost, Problem
from yokesill.registry.reading import read_each
from yokesill.serving import object_fields as fields
from yokesill.verdict import Failure, Reason, Verdict

# Limit the time of a call to an unresponsive store; a watch may take its wait and the margin.
CALL_TIMEOUT_S = 2.0
WATCH_MARGIN_S = 2.0
STALE_TIMEOUT_S = 1.0
# Longer lists are without end: the largest kind holds some 4,000 objects.
MAX_LISTED = 100_000


class StoredItem(NamedTuple):
    """One object: its name, its last revision and its content; ``gone`` if it was removed.

    ``created_revision`` distinguishes it from earlier objects of the same name; ``status`` is written by
    nodes, not operators. Both revisions are on ``timeline``.
    """

    name: str
    revision: int
    spec: Any
    gone: bool = False
    created_revision: int = 0
    status: Any = None
    timeline: int = 0


class StoreView(NamedTuple):
    """Objects or changes, as of ``at``, and the problems of those that can't be read."""

    at: Position
    items: tuple[StoredItem, ...]
    problems: tuple[Problem, ...] = ()


class MetadataStore:
    """A client of the store; every call has a timeout."""

    def __init__(self, client: ApiClient) -> None:
        self._client = client
        self._timeline = 0
        self._log = get_logger("registry")

    async def read_position(self, stale: bool, timeout_s: float) -> Position | Failure:
        """Return the store's position; with ``stale`` it may be that of seconds ago."""
        view = await self.list(POSITION_KIND, stale, timeout_s)
        return view if isinstance(view, Failure) else view.at

    async def list(
        self, kind: str, stale: bool = False, timeout_s: float = CALL_TIMEOUT_S
    ) -> StoreView | Failure:
        """Return a kind's objects from all pages, with the position of the first page."""
        items: list[StoredItem] = []
        problems: list[Problem] = []
        first_at: Position | None = None
        after = ""
        while True:
            query = "&".join(part for part in ("stale=1" if stale else "", after) if part)
            path = f"/objects/{kind}" + (f"?{query}" if query else "")
            reply = await self._call("GET", path, timeout_s)
            if isinstance(reply, Failure) or reply.status != http.OK:
                return _failure(reply)
            try:
                timeline = self._timeline
                first_at = first_at or Position(timeline, fields.parse_revision(reply.body["at"]))
                more = bool(reply.body.get("more"))
                raw_items = fields.parse_list(reply.body["items"])
                last = _raw_name(raw_items[-1]) if raw_items else ""
            except fields.READ_ERRORS as error:
                return Failure(Reason.MALFORMED_REPLY, Verdict.NOT_RUN, f"a list of {kind}: {error!r}")
            if timeline != first_at.timeline:
                # Pages of two timelines don't form a list of either.
                return Failure(Reason.NOT_READY, Verdict.NOT_RUN, f"restored within a list of {kind}")
            read, wrong = read_each(raw_items, partial(item_of, timeline=timeline), partial(_place, kind))
            items.extend(read)
            problems.extend(wrong)
            if not more or not raw_items:
                return StoreView(first_at, tuple(items), tuple(problems))
            before, after = after, f"after={quote(last, safe='', errors='replace')}"
            if after == before or len(items) > MAX_LISTED:
                return Failure(Reason.MALFORMED_REPLY, Verdict.NOT_RUN, f"a list of {kind} without end")

    async def watch(
        self, kind: str, revision: int, wait: float, stale: bool = False
    ) -> StoreView | HistoryLost | Failure:
        """Return the changes of a kind after ``revision``; wait up to ``wait`` seconds for one."""
        path = f"/objects/{kind}?watch={revision}&waitMs={int(wait * 1000)}" + ("&stale=1" if stale else "")
        reply = await self._call("GET", path, STALE_TIMEOUT_S if stale else wait + WATCH_MARGIN_S)
        if isinstance(reply, ApiReply) and reply.status == http.GONE:
            return HistoryLost(self._timeline)
        if isinstance(reply, Failure) and reply.reason is Reason.REPLY_TOO_LARGE:
            # So many changes at once are no less than a list, which comes in pages.
            return HistoryLost(self._timeline)
        if isinstance(reply, Failure) or reply.status != http.OK:
            return _failure(reply)
        try:
            at = Position(self._timeline, fields.parse_revision(reply.body["at"]))
            events = fields.parse_list(reply.body["events"])
        except fields.READ_ERRORS as error:
            return Failure(Reason.MALFORMED_REPLY, Verdict.NOT_RUN, f"changes of {kind}: {error!r}")
        changes = [each if isinstance(each, dict) else {} for each in events]
        read = partial(_change_of, at.timeline)
        return StoreView(at, *read_each(changes, read, lambda each: _place(kind, each.get("object"))))

    async def put(self, kind: str, name: str, spec: dict[str, Any], replace: bool = True) -> Failure | None:
        """Create an object; an existing one is replaced if ``replace``, and otherwise left as it is."""
        body = {"meta": {"name": name}, "spec": spec}
        reply = await self._call("POST", f"/objects/{kind}", CALL_TIMEOUT_S, body)
        if isinstance(reply, ApiReply) and reply.status == http.CONFLICT:
            if not replace:
                return None
            reply = await self._call("PUT", f"/objects/{kind}/{quote(name)}", CALL_TIMEOUT_S, body)
        if isinstance(reply, ApiReply) and reply.status in (http.OK, http.CREATED):
            return None
        return _failure(reply)

    async def delete(self, kind: str, name: str) -> Failure | None:
        """Delete an object; it is no failure if the object doesn't exist."""
        path = f"/objects/{kind}/{quote(name, safe='')}"
        reply = await self._call("DELETE", path, CALL_TIMEOUT_S)
        gone = isinstance(reply, ApiReply) and reply.status in (http.OK, http.NOT_FOUND)
        return None if gone else _failure(reply)

    async def put_at(self, kind: str, name: str, position: Position, **part: Any) -> ApiReply | Failure:
        """Replace an object's ``spec`` or ``status`` if it is still at ``position``.

        The reply's status is 200, 404 or 409.

        The store compares only revisions, and on a later timeline the same revision is another change.
        """
        if position.timeline < self._timeline:
            return Failure(Reason.NOT_READY, Verdict.NOT_RUN, f"{name} was read on another timeline")
        body = {"meta": {"name": name, "revision": position.revision}, **part}
        path = f"/objects/{kind}/{quote(name, safe='')}" + ("/status" if "status" in part else "")
        reply = await self._call("PUT", path, CALL_TIMEOUT_S, body)
        if isinstance(reply, ApiReply) and reply.status in (http.OK, http.NOT_FOUND, http.CONFLICT):
            return reply
        return _failure(reply)

    async def _call(self, method: str, path: str, timeout_s: float, body: Any = None) -> ApiReply | Failure:
        """Call the store and detect whether it was restored from an older copy since the last answer.

        An answer without a timeline, such as one of an intermediary, counts as one of the last timeline.
        """
        reply = await self._client.call(method, path, timeout_s, body)
        timeline = timeline_of(reply) if isinstance(reply, ApiReply) else 0
        if timeline not in (0, self._timeline):
            self._log.info("registry_timeline", timeline=timeline, before=self._timeline)
            self._timeline = timeline
        return reply


def timeline_of(reply: ApiReply) -> int:
    """Return the timeline of an answer; 0 if the answer names none."""
    value = next((value for name, value in reply.headers if name == TIMELINE_HEADER), b"")
    return parse_digits(value) or 0


def item_of(item: Any, gone: bool = False, timeline: int = 0) -> StoredItem:
    """Parse an object; raise one of ``READ_ERRORS`` if it is malformed."""
    meta = fields.parse_table(item["meta"])
    name, created = fields.parse_text(meta["name"]), meta.get("made", 0)
    return StoredItem(
        name,
        fields.parse_revision(meta["revision"]),
        item.get("spec"),
        gone or bool(meta.get("deleting")),
        created if isinstance(created, int) else 0,
        item.get("status"),
        timeline,
    )


def _change_of(timeline: int, change: dict[str, Any]) -> StoredItem:
    return item_of(change["object"], bool(change["gone"]), timeline)


def _place(kind: str, raw: Any) -> str:
    return f"{kind}/{_raw_name(raw)!a:.200}"


def _raw_name(raw: Any) -> str:
    """Return the name of an object that may be malformed; empty if it has none."""
    meta = raw.get("meta") if isinstance(raw, dict) else None
    name = meta.get("name") if isinstance(meta, dict) else None
    return name if isinstance(name, str) else ""


def _failure(reply: ApiReply | Failure) -> Failure:
    if isinstance(reply, Failure):
        return reply
    is_refused = reply.status in (http.TOO_MANY_REQUESTS, http.UNAVAILABLE)
    verdict = Verdict.NOT_RUN if is_refused else Verdict.MAY_HAVE_RUN
    return Failure(Reason.BACKEND_ERROR, verdict, f"the store answered {reply.status}")

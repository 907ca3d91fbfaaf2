"""A client of the platform's metadata store: lists, watches and calls for single objects.

Only ``stale`` calls are cheap; all others cost the full price, even if they fail.
"""

from typing import Any, NamedTuple
from urllib.parse import quote

from yokesill.comm import http_status as http
from yokesill.logs import get_logger
from yokesill.platform.names import TIMELINE_HEADER
from yokesill.positions import Position
from yokesill.registry.api_client import ApiClient, ApiReply
from yokesill.registry.feeds import HistoryLost
from yokesill.verdict import Failure, Reason, Verdict

# Limit the time of a call to an unresponsive store; a watch may take its wait and the margin.
CALL_TIMEOUT_S = 2.0
WATCH_MARGIN_S = 2.0
STALE_TIMEOUT_S = 1.0


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
    """Objects or changes, as of ``at``."""

    at: Position
    items: tuple[StoredItem, ...]


class MetadataStore:
    """A client of the store; every call has a timeout."""

    def __init__(self, client: ApiClient) -> None:
        self._client = client
        self._timeline = 0
        self._log = get_logger("registry")

    async def list(self, kind: str, stale: bool = False) -> StoreView | Failure:
        """Return a kind's objects from all pages, with the position of the first page."""
        items: list[StoredItem] = []
        first_at: Position | None = None
        after = ""
        while True:
            query = "&".join(part for part in ("stale=1" if stale else "", after) if part)
            path = f"/objects/{kind}" + (f"?{query}" if query else "")
            reply = await self._call("GET", path, CALL_TIMEOUT_S)
            if isinstance(reply, Failure) or reply.status != http.OK:
                return _failure(reply)
            try:
                timeline = self._timeline
                page = [item_of(each, timeline=timeline) for each in reply.body["items"]]
                first_at = first_at or Position(timeline, reply.body["at"])
                more = bool(reply.body.get("more"))
            except (KeyError, TypeError) as error:
                return Failure(Reason.MALFORMED_REPLY, Verdict.NOT_RUN, f"a list of {kind}: {error!r}")
            if timeline != first_at.timeline:
                # Pages of two timelines don't form a list of either.
                return Failure(Reason.NOT_READY, Verdict.NOT_RUN, f"restored within a list of {kind}")
            items.extend(page)
            if not more or not page:
                return StoreView(first_at, tuple(items))
            after = f"after={quote(page[-1].name, safe='')}"

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
            timeline, events = self._timeline, reply.body["events"]
            items = tuple(item_of(each["object"], bool(each["gone"]), timeline) for each in events)
            return StoreView(Position(timeline, reply.body["at"]), items)
        except (KeyError, TypeError) as error:
            return Failure(Reason.MALFORMED_REPLY, Verdict.NOT_RUN, f"changes of {kind}: {error!r}")

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

    async def put_status(
        self, kind: str, name: str, position: Position, status: dict[str, Any]
    ) -> ApiReply | Failure:
        """Replace an object's status if it is still at ``position``; the reply's status is 200, 404 or 409.

        The store compares only revisions, and on a later timeline the same revision is another change.
        """
        if position.timeline < self._timeline:
            return Failure(Reason.NOT_READY, Verdict.NOT_RUN, f"{name} was read on another timeline")
        body = {"meta": {"name": name, "revision": position.revision}, "status": status}
        path = f"/objects/{kind}/{quote(name, safe='')}/status"
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
    return int(value) if value.isdigit() else 0


def item_of(item: Any, gone: bool = False, timeline: int = 0) -> StoredItem:
    """Parse an object; raise ``KeyError`` or ``TypeError`` if it is malformed."""
    meta = item["meta"]
    created = meta.get("made", 0)
    fields = (
        gone or bool(meta.get("deleting")),
        created if isinstance(created, int) else 0,
        item.get("status"),
    )
    return StoredItem(meta["name"], meta["revision"], item.get("spec"), *fields, timeline)


def _failure(reply: ApiReply | Failure) -> Failure:
    if isinstance(reply, Failure):
        return reply
    is_refused = reply.status in (http.TOO_MANY_REQUESTS, http.UNAVAILABLE)
    verdict = Verdict.NOT_RUN if is_refused else Verdict.MAY_HAVE_RUN
    return Failure(Reason.BACKEND_ERROR, verdict, f"the store answered {reply.status}")

"""Client of the store's HTTP and JSON protocol; another platform needs only another such module.

``GET /objects/{key}``, ``GET /objects`` (all), ``PUT /objects/{key}?base=REVISION`` with
``{change_id, value}`` (409 carries the current object), ``GET /history/{key}``,
``GET /watch?after=REVISION&wait=SECONDS`` (long poll), ``GET /machines``.
"""

import json
from collections.abc import Callable
from typing import Any, TypeVar
from urllib.parse import quote

from yokesill.comm.http_client import HttpClient, HttpReply
from yokesill.resources.objects import StoredObject
from yokesill.store.base import Conflict, Listing, Machine, Store
from yokesill.verdict import Failure, Reason, Verdict

HTTP_OK, HTTP_NOT_FOUND, HTTP_CONFLICT, HTTP_UNAVAILABLE = 200, 404, 409, 503
# How long the store holds a watch without changes; short, so that a cut connection is noticed soon.
WATCH_WAIT_S = 2.0
# Exceeds WATCH_WAIT_S by the duration of a slow call.
WATCH_TIMEOUT_S = 6.0

Parsed = TypeVar("Parsed")


class HttpStore(Store):
    """HTTP client of the platform's object API at ``url``; ``timeout`` is in seconds."""

    def __init__(self, url: str, timeout: float = 2.0) -> None:
        self._url = url.rstrip("/")
        self._timeout = timeout
        self._client = HttpClient()

    async def get(self, key: str) -> StoredObject | Failure | None:
        """See ``Store.get``."""
        body = await self._get_json(f"/objects/{quote(key)}")
        if isinstance(body, Failure):
            return body
        return None if body is None else _parse_object(body)

    async def put(
        self, key: str, base_revision: int, change_id: str, value: dict[str, object] | None
    ) -> StoredObject | Conflict | Failure:
        """See ``Store.put``."""
        body = json.dumps({"change_id": change_id, "value": value}).encode()
        url = f"{self._url}/objects/{quote(key)}?base={base_revision}"
        reply = await self._client.call("PUT", url, self._timeout, body)
        if isinstance(reply, Failure):
            return reply
        if reply.status == HTTP_OK:
            return _parse_reply(reply, _parse_object)
        if reply.status == HTTP_CONFLICT:
            return _parse_reply(
                reply, lambda item: Conflict(_parse_object(item["current"]) if item["current"] else None)
            )
        verdict = Verdict.NOT_RUN if reply.status == HTTP_UNAVAILABLE else Verdict.MAY_HAVE_RUN
        return Failure(Reason.BACKEND_ERROR, verdict, f"the store answered {reply.status}")

    async def history(self, key: str) -> list[StoredObject] | Failure:
        """See ``Store.history``."""
        body = await self._get_json(f"/history/{quote(key)}")
        if isinstance(body, Failure):
            return body
        return [] if body is None else [_parse_object(each) for each in body["objects"]]

    async def list_objects(self) -> Listing | Failure:
        """See ``Store.list_objects``."""
        body = await self._get_json("/objects")
        if isinstance(body, Failure):
            return body
        items = body or {"revision": 0, "objects": []}
        return Listing(items["revision"], [_parse_object(each) for each in items["objects"]])

    async def watch(self, after_revision: int) -> list[StoredObject] | Failure:
        """See ``Store.watch``."""
        body = await self._get_json(f"/watch?after={after_revision}&wait={WATCH_WAIT_S}", WATCH_TIMEOUT_S)
        if isinstance(body, Failure):
            return body
        return [] if body is None else [_parse_object(each) for each in body["objects"]]

    async def machines(self) -> list[Machine] | Failure:
        """See ``Store.machines``."""
        body = await self._get_json("/machines")
        if isinstance(body, Failure):
            return body
        items = [] if body is None else body["machines"]
        return [Machine(each["address"], each["kind"], bool(each["leaving"])) for each in items]

    async def _get_json(self, path: str, timeout: float | None = None) -> Any:
        """Send a GET; return the decoded body, ``None`` for a 404, or a failure."""
        reply = await self._client.call("GET", self._url + path, timeout or self._timeout)
        if isinstance(reply, Failure):
            return reply
        if reply.status == HTTP_NOT_FOUND:
            return None
        if reply.status != HTTP_OK:
            return Failure(Reason.BACKEND_ERROR, Verdict.NOT_RUN, f"the store answered {reply.status}")
        return _parse_reply(reply, lambda item: item)


def _parse_object(item: Any) -> StoredObject:
    return StoredObject(item["key"], item["revision"], item["change_id"], item["value"])


def _parse_reply(reply: HttpReply, convert: Callable[[Any], Parsed]) -> Parsed | Failure:
    try:
        return convert(json.loads(reply.body))
    except (ValueError, KeyError, TypeError) as error:
        return Failure(Reason.MALFORMED_REPLY, Verdict.MAY_HAVE_RUN, f"the store's reply: {error!r}")

"""A fake of the platform's metadata store, in memory and in virtual time.

It has paged lists, long polls, a truncated history, conditional writes by revision, and the faults of the
real store: it may be unavailable, unresponsive or throttled, or lose answers after their effect.
"""

import copy
import json
import re
from dataclasses import dataclass, field
from typing import Any, NamedTuple
from urllib.parse import parse_qs, unquote, urlsplit

import anyio
from memory_servers import MemoryServer, MemoryStream, ReceivedRequest

from yokesill.platform.names import POSITION_KIND

PAGE = 3
POSITION_CALL = f"/objects/{POSITION_KIND}"
CRLF = "\r\n"


class StoreCopy(NamedTuple):
    """A copy of the store's state, from which it can be restored."""

    revision: int
    objects: dict[tuple[str, str], dict[str, Any]]
    log: list[tuple[int, str, dict[str, Any], bool]]
    forgotten: int


@dataclass
class StoreStandin:
    """Stores objects by kind and name; ``log`` has the changes since revision ``forgotten``.

    A list has pages of ``page`` objects, and an answer takes ``answer_s`` seconds. ``timeline`` increases
    by one each time that the store is restored from a copy; answers don't name it if it is 0. Stale calls
    show the state of ``stale_s`` seconds ago, of which ``past`` has a copy. A wait that ``silence`` or
    ``lose_waits`` finds is never answered, nor is any call for objects of ``silent_kind``. ``kind_modes``
    says of a kind that its calls are ``silent``, ``busy`` or, with ``one page``, silent after a list's first.
    """

    revision: int = 0
    objects: dict[tuple[str, str], dict[str, Any]] = field(default_factory=dict)
    log: list[tuple[int, str, dict[str, Any], bool]] = field(default_factory=list)
    forgotten: int = 0
    mode: str = "up"
    page: int = PAGE
    answer_s: float = 0.0
    lose_answers: int = 0
    calls: list[str] = field(default_factory=list)
    timeline: int = 0
    stale_s: float = 0.0
    silences: int = 0
    silent_kind: str = ""
    kind_modes: dict[str, str] = field(default_factory=dict)
    lost_waits: dict[str, int] = field(default_factory=dict)
    changed: anyio.Event | None = None
    written_at_s: dict[int, float] = field(default_factory=dict)
    past: list[tuple[float, int, dict[tuple[str, str], dict[str, Any]]]] = field(default_factory=list)

    def full_price_calls(self) -> int:
        """Return the number of calls at full price; stale reads cost a tenth."""
        return len([call for call in self.calls if "stale=1" not in call])

    def calls_for_feeds(self) -> int:
        """Return the number of calls at full price for objects, those of checks left out."""
        return self.full_price_calls() - self.exact_checks()

    def exact_checks(self) -> int:
        """Return the number of exact reads of the position."""
        return self.calls.count(f"GET {POSITION_CALL}")

    def put(self, kind: str, name: str, spec: Any) -> None:
        self.revision += 1
        before = self.objects.get((kind, name), {"meta": {"made": self.revision}, "status": None})
        meta = {"name": name, "revision": self.revision, "made": before["meta"]["made"]}
        item = {"meta": meta, "spec": spec, "status": before["status"]}
        self.objects[(kind, name)] = item
        self._append_to_log(kind, item, False)

    def put_status(self, kind: str, name: str, status: Any) -> None:
        self.revision += 1
        before = self.objects[(kind, name)]
        meta = {**before["meta"], "revision": self.revision}
        item = self.objects[(kind, name)] = {**before, "meta": meta, "status": status}
        self._append_to_log(kind, item, False)

    def remove(self, kind: str, name: str) -> None:
        self.revision += 1
        item = self.objects.pop((kind, name))
        item["meta"]["revision"] = self.revision
        self._append_to_log(kind, item, True)

    def forget_history(self) -> None:
        self.log.clear()
        self.forgotten = self.revision
        self._notify_watches()

    async def silence(self, for_s: float) -> None:
        """Answer no call for some seconds, and none of those that wait now or that come meanwhile, ever."""
        self.mode, self.silences = "silent", self.silences + 1
        await anyio.sleep(for_s)
        self.mode = "up"

    def lose_waits(self, kind: str) -> None:
        """Never answer the waits for changes of a kind that are under way; all other calls are answered."""
        self.lost_waits[kind] = self.lost_waits.get(kind, 0) + 1

    def take_copy(self) -> StoreCopy:
        """Return a copy of the current state."""
        return copy.deepcopy(StoreCopy(self.revision, self.objects, self.log, self.forgotten))

    def restore(self, older: StoreCopy) -> None:
        """Restore the state from a copy: later writes are lost, and their revisions are assigned again."""
        self.revision, self.objects, self.log, self.forgotten = copy.deepcopy(older)
        self.timeline += 1
        self.past.append((anyio.current_time(), self.revision, dict(self.objects)))
        self._notify_watches()

    def _append_to_log(self, kind: str, item: dict[str, Any], gone: bool) -> None:
        self.log.append((self.revision, kind, json.loads(json.dumps(item)), gone))
        self.written_at_s[self.revision] = anyio.current_time()
        self.past.append((anyio.current_time(), self.revision, dict(self.objects)))
        self._notify_watches()

    def _notify_watches(self) -> None:
        if self.changed is not None:
            self.changed.set()

    async def script(self, _server: MemoryServer, stream: MemoryStream, request: ReceivedRequest) -> None:
        """Answer one call."""
        method, target, _ = request.head.split("\r\n")[0].split(" ")
        self.calls.append(f"{method} {target}")
        if self.mode == "silent" or (self.silent_kind and f"/objects/{self.silent_kind}" in target):
            await anyio.sleep_forever()
        kind_mode = self.kind_modes.get(target.partition("?")[0].rpartition("/")[2], "")
        if kind_mode == "silent" or (
            kind_mode == "one page" and "watch" not in target and "after=" in target
        ):
            await anyio.sleep_forever()
        if kind_mode == "one page" and "watch" in target:
            await self._reply(stream, 410, None)
            return
        if kind_mode == "busy" or self.mode in ("busy", "throttled"):
            await self._reply(stream, 429 if self.mode == "throttled" else 503, None)
            return
        silences = self.silences
        status, body = await self._answer(method, target, request.body)
        if silences != self.silences:
            await anyio.sleep_forever()
        await anyio.sleep(self.answer_s)
        if self.lose_answers and method != "GET":
            self.lose_answers -= 1
            await stream.aclose()
            return
        await self._reply(stream, status, body)

    async def _reply(self, stream: MemoryStream, status: int, body: Any) -> None:
        content = json.dumps(body).encode()
        head = (
            f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(content)}\r\n"
            f"{f'Store-Era: {self.timeline}{CRLF}' if self.timeline else ''}\r\n"
        )
        await stream.send(head.encode() + content)

    async def _answer(self, method: str, target: str, content: bytes) -> tuple[int, Any]:
        parts = urlsplit(target)
        query = {name: values[-1] for name, values in parse_qs(parts.query).items()}
        match = re.fullmatch(r"/objects/([^/]+)(?:/([^/]+))?(/status)?", parts.path)
        assert match is not None, target
        kind, name = match[1], unquote(match[2]) if match[2] else None
        if method == "POST":
            body = json.loads(content)
            if (kind, body["meta"]["name"]) in self.objects:
                return 409, self.objects[(kind, body["meta"]["name"])]
            self.put(kind, body["meta"]["name"], body["spec"])
            return 200, self.objects[(kind, body["meta"]["name"])]
        if match[3] is not None and name is not None:
            return self._answer_status(kind, name, json.loads(content))
        if method == "DELETE" and name is not None:
            if (kind, name) not in self.objects:
                return 404, None
            self.remove(kind, name)
            return 200, {}
        if method == "PUT" and name is not None:
            self.put(kind, name, json.loads(content)["spec"])
            return 200, self.objects[(kind, name)]
        if "watch" in query and "stale" in query:
            return self._stale_changes(kind, int(query["watch"]))
        if "watch" in query:
            return await self._watch(kind, int(query["watch"]), int(query["waitMs"]) / 1000)
        return self._list(kind, query.get("after", ""), *self._seen("stale" in query))

    def _answer_status(self, kind: str, name: str, body: Any) -> tuple[int, Any]:
        item = self.objects.get((kind, name))
        if item is None:
            return 404, None
        if body["meta"].get("revision", item["meta"]["revision"]) != item["meta"]["revision"]:
            return 409, item
        self.put_status(kind, name, body["status"])
        return 200, self.objects[(kind, name)]

    def _seen(self, stale: bool) -> tuple[int, dict[tuple[str, str], dict[str, Any]]]:
        """Return the revision and the objects that a list shows."""
        until_s = anyio.current_time() - self.stale_s
        past = [(revision, objects) for at_s, revision, objects in self.past if at_s <= until_s]
        return past[-1] if stale and self.stale_s and past else (self.revision, self.objects)

    def _list(
        self, kind: str, after: str, revision: int, objects: dict[tuple[str, str], dict[str, Any]]
    ) -> tuple[int, Any]:
        names = sorted(each for of, each in objects if of == kind and each > after)
        items = [objects[(kind, each)] for each in names[: self.page]]
        return 200, {"items": items, "more": len(names) > self.page, "at": revision}

    def _stale_changes(self, kind: str, revision: int) -> tuple[int, Any]:
        """Return the changes after a revision, up to those of ``stale_s`` seconds ago."""
        if not self.forgotten <= revision <= self.revision:
            return 410, None
        until_s = anyio.current_time() - self.stale_s
        seen = [each for each in self.log if self.written_at_s[each[0]] <= until_s and each[0] > revision]
        events = [{"object": item, "gone": gone} for _, of, item, gone in seen if of == kind]
        return 200, {"events": events, "at": max([revision, *(at for at, *_ in seen)])}

    async def _watch(self, kind: str, revision: int, wait: float) -> tuple[int, Any]:
        lost = self.lost_waits.get(kind, 0)
        with anyio.move_on_after(wait):
            while True:
                if not self.forgotten <= revision <= self.revision:
                    return 410, None
                events = [
                    {"object": item, "gone": gone}
                    for at, of, item, gone in self.log
                    if of == kind and at > revision
                ]
                if lost != self.lost_waits.get(kind, 0):
                    await anyio.sleep_forever()
                if events:
                    return 200, {"events": events, "at": self.revision}
                if self.changed is None or self.changed.is_set():
                    self.changed = anyio.Event()
                await self.changed.wait()
        if lost != self.lost_waits.get(kind, 0):
            await anyio.sleep_forever()
        return 200, {"events": [], "at": self.revision}

"""Stand-in for the platform's metadata store: paged lists, long polls, conditional writes, and faults.

It can be restored from a copy that is some seconds old: later writes are lost, revisions go back and are
reused, and its answers name the next timeline.
"""

import asyncio
import itertools
import json
import random
import sys
import time
from functools import partial
from pathlib import Path
from typing import Any, NamedTuple
from urllib.parse import parse_qs, unquote, urlsplit

from soak.layout import DESK, OPERATOR_PORT, STORE_PORT
from soak.standin import EventLog, HttpMessage, encode_message, follow_commands, read_message, run_standin

PAGE = 500
HISTORY_S = 20.0
# Less than the encoder bears.
ODD_DEPTH = 400
SLOW_S, DEAF_POLL_S = 0.6, 0.05
# Stale reads are up to 3 s old: their view is refreshed every ``STALE_VIEW_TURNS`` turns of maintenance.
MAINTENANCE_EVERY_S, STALE_VIEW_TURNS = 0.2, 15
# The last ``COPIES_KEPT`` copies are kept; a restore uses one at least ``COPY_AGE_S`` older than the newest.
COPY_TURNS, COPIES_KEPT, COPY_AGE_S = 5, 12, 3.0
TIMELINE_HEADER = "store-era"
HEARTBEAT_S, MAX_MISSED_HEARTBEATS = 1.2, 3
OPERATOR = -1
OK, CREATED, NOT_FOUND, CONFLICT, GONE = 200, 201, 404, 409, 410
REFUSALS = {"down": 503, "throttled": 429}


class Change(NamedTuple):
    """One change in the history."""

    revision: int
    at_s: float
    kind: str
    item: dict[str, Any]
    gone: bool


class Copy(NamedTuple):
    """The state of the store at one time."""

    at_s: float
    revision: int
    items: dict[tuple[str, str], dict[str, Any]]
    forgotten_revision: int


class Objects:
    """The objects, their revisions and the history of changes, without connections or faults."""

    def __init__(self) -> None:
        self.revision = 1
        self.timeline = 1
        self._copies: list[Copy] = []
        self.forgotten_revision = 0
        self.items: dict[tuple[str, str], dict[str, Any]] = {}
        self.history: list[Change] = []
        self.changed = asyncio.Event()
        self._stale_view: tuple[int, dict[tuple[str, str], dict[str, Any]]] = (self.revision, {})

    def put(self, kind: str, name: str, part: str, value: Any, revision: int | None) -> tuple[int, Any]:
        """Set ``spec`` or ``status`` of an object.

        A missing object is created when ``spec`` is set. If ``revision`` is given, it must be the object's
        current one.
        """
        old = self.items.get((kind, name))
        if old is None and part == "status":
            return NOT_FOUND, None
        if revision is not None and (old is None or old["meta"]["revision"] != revision):
            return CONFLICT, old
        if old is not None and old[part] == value:
            return OK, old
        item = dict(old or {"meta": {}, "spec": None, "status": None})
        item[part] = value
        made = old["meta"]["made"] if old else self.revision + 1
        item["meta"] = {"name": name, "revision": self.revision + 1, "made": made}
        item["meta"] |= {"finalizers": [], "deleting": False}
        self.items[(kind, name)] = item
        self._remember(kind, item, gone=False)
        return OK, item

    def remove(self, kind: str, name: str) -> tuple[int, Any]:
        """Remove an object."""
        item = self.items.pop((kind, name), None)
        if item is None:
            return NOT_FOUND, None
        item = item | {"meta": item["meta"] | {"revision": self.revision + 1}}
        self._remember(kind, item, gone=True)
        return OK, item

    def forget_history(self, before_s: float) -> None:
        """Drop the changes made before a time from the history."""
        kept = [change for change in self.history if change.at_s >= before_s]
        if len(kept) < len(self.history):
            self.forgotten_revision = self.history[len(self.history) - len(kept) - 1].revision
            self.history = kept

    def renew_servers(self, service: str, beside: str) -> None:
        """Make the entries of a service's servers anew, but for those of one version."""
        for kind, name in list(self.items):
            spec = self.items[kind, name]["spec"]
            if kind == "servers" and spec["service"] == service and spec["configVersion"] != beside:
                self.remove(kind, name)
                self.put(kind, name, "spec", spec, None)

    def refresh_stale_view(self) -> None:
        """Make the current state the one that stale reads return."""
        self._stale_view = (self.revision, dict(self.items))

    def make_copy(self) -> None:
        """Keep a copy of the current state for a later restore."""
        copy = Copy(time.monotonic(), self.revision, dict(self.items), self.forgotten_revision)
        self._copies = [*self._copies, copy][-COPIES_KEPT:]

    def restore(self) -> None:
        """Return to a copy that is some seconds old, on the next timeline."""
        self.timeline += 1
        old = [each for each in self._copies if self._copies[-1].at_s - each.at_s >= COPY_AGE_S]
        if old:
            copy = old[-1]
            self.revision, self.items, self.forgotten_revision = (
                copy.revision,
                dict(copy.items),
                copy.forgotten_revision,
            )
            self.history = [change for change in self.history if change.revision <= copy.revision]
            # Later copies are dropped as well, so that the next restore does not bring lost writes back.
            self._copies = old
        self.refresh_stale_view()
        self.changed.set()
        self.changed = asyncio.Event()

    def page(self, kind: str, after: str, stale: bool = False) -> dict[str, Any]:
        """Return one page of a list; a stale one shows the state at the last ``refresh_stale_view``."""
        revision, objects = self._stale_view if stale else (self.revision, self.items)
        names = sorted(name for object_kind, name in objects if object_kind == kind and name > after)
        items = [objects[(kind, name)] for name in names[:PAGE]]
        return {"items": items, "more": len(names) > PAGE, "at": revision}

    async def watch(self, kind: str, revision: int, wait_s: float) -> tuple[int, Any]:
        """Return the changes after ``revision`` as soon as there is one, or none after ``wait_s``.

        A revision that is newer than the store's or older than its history is answered with 410 (gone).
        """
        end_s = time.monotonic() + wait_s
        while True:
            status, body = self._changes(kind, revision, self.revision)
            remaining_s = end_s - time.monotonic()
            if status == GONE or body["events"] or remaining_s <= 0:
                return status, body
            try:
                await asyncio.wait_for(self.changed.wait(), remaining_s)
            except TimeoutError:
                continue

    def stale_changes(self, kind: str, revision: int) -> tuple[int, Any]:
        """Return the changes after ``revision`` up to the last ``refresh_stale_view``."""
        return self._changes(kind, revision, max(revision, self._stale_view[0]))

    def _changes(self, kind: str, revision: int, until: int) -> tuple[int, Any]:
        if not self.forgotten_revision <= revision <= self.revision:
            return GONE, None
        found = [each for each in self.history if each.kind == kind and revision < each.revision <= until]
        events = [{"object": change.item, "gone": change.gone} for change in found]
        return OK, {"events": events, "at": until}

    def _remember(self, kind: str, item: dict[str, Any], gone: bool) -> None:
        self.revision += 1
        self.history.append(Change(self.revision, time.monotonic(), kind, item, gone))
        self.changed.set()
        self.changed = asyncio.Event()


def odd_entry(number: int) -> tuple[str, dict[str, Any]]:
    """Return the name and the content of a server's entry as another writer may leave it."""
    nested: Any = []
    for _ in range(ODD_DEPTH):
        nested = [nested]
    good = {"service": DESK, "address": "127.0.0.1:9", "zone": "zone-a", "capacity": 1, "state": "ready"}
    odd_fields: list[dict[str, Any]] = [
        {"capacity": 10**400},
        {"address": "127.0.0.1:65536"},
        {"address": "127.0.0.1:8\N{SUPERSCRIPT TWO}"},
        {"capacity": "four"},
        {"warmupLeftMs": float("inf")},
        {"zone": nested},
        {"service": None},
    ]
    return f"odd-{number}", good | odd_fields[number % len(odd_fields)]


class StoreTerms(NamedTuple):
    """The properties of the store; a rate of 0 is no bound. The rates are of all nodes together."""

    heartbeat_s: float = HEARTBEAT_S
    history_s: float = HISTORY_S
    writes_per_s: float = 0.0
    reads_per_s: float = 0.0


class CallRate:
    """Bounds the calls in each second by the machine's clock."""

    __slots__ = ("_calls", "_most", "_second")

    def __init__(self, per_s: float) -> None:
        self._most = per_s
        self._second = 0
        self._calls = 0

    def admits(self) -> bool:
        """Count a call, and return whether it is within the bound."""
        second = int(time.monotonic())
        if second != self._second:
            self._second, self._calls = second, 0
        self._calls += 1
        return not self._most or self._calls <= self._most


class Fault(NamedTuple):
    """What is wrong with the store: its mode, for some nodes or all (``None``), and how strong it is."""

    mode: str = "sound"
    nodes: frozenset[int] | None = None
    slow_s: float = SLOW_S
    share: float = 1.0

    def strikes(self, node: int) -> bool:
        """Whether the fault is one for this node."""
        return self.nodes is None or node in self.nodes


class Store:
    """Serves the objects to the operator and each node, each on its own port, with faults."""

    def __init__(self, log: EventLog, terms: StoreTerms | None = None) -> None:
        terms = terms or StoreTerms()
        self.objects = Objects()
        self.fault = Fault()
        self._silences: list[Fault] = []
        self._lost_waits = 0
        self._terms = terms
        self._writes, self._reads = CallRate(terms.writes_per_s), CallRate(terms.reads_per_s)
        self.refused: set[int] = set()
        self.calls = 0
        self._log = log
        self._last_heartbeat_s: dict[str, float] = {}

    def apply_command(self, order: dict[str, Any]) -> None:
        """Start or end a fault."""
        match order:
            case {"mode": mode}:
                nodes = order.get("nodes")
                self.fault = Fault(
                    mode,
                    None if nodes is None else frozenset(nodes),
                    order.get("slow_s", SLOW_S),
                    order.get("share", 1.0),
                )
                if mode == "silent":
                    self._silences.append(self.fault)
            case {"renew": service, "beside": version}:
                self.objects.renew_servers(service, version)
            case {"lose": "waits"}:
                self._lost_waits += 1
            case {"refuse": nodes}:
                self.refused = set(nodes)
            case {"restore": True}:
                self.objects.restore()
                # All servers in the copy, also ones that have ended since, get three new heartbeat intervals.
                self._last_heartbeat_s.clear()
                self._log.write("store_restored", timeline=self.objects.timeline)
            case {"odd_entry": number}:
                name, spec = odd_entry(number)
                self.objects.put("servers", name, "spec", spec, None)
            case {"forget": "history"}:
                self.objects.forget_history(time.monotonic())
            case {"forget": "entries"}:
                for _, name in [key for key in self.objects.items if key[0] == "servers"][::3]:
                    self.objects.remove("servers", name)

    async def serve(self, node: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until it ends."""
        try:
            while (request := await read_message(reader)) is not None:
                answer = await self._serve_one(node, request)
                if answer is None:
                    return
                status, body = answer
                content = json.dumps(body).encode()
                headers = {
                    "content-type": "application/json",
                    TIMELINE_HEADER: str(self.objects.timeline),
                }
                writer.write(encode_message(f"HTTP/1.1 {status} X", headers, content))
                await writer.drain()
        except (OSError, ValueError, KeyError) as error:
            self._log.write("store_problem", node=node, error=repr(error))
        finally:
            writer.close()

    async def _serve_one(self, node: int, request: HttpMessage) -> tuple[int, Any] | None:
        """Return the answer; ``None`` closes the connection without an answer."""
        self.calls += 1
        mode = self._mode_for(node)
        if node != OPERATOR and node in self.refused:
            return 503, None
        if mode in REFUSALS and (node != OPERATOR or mode == "down"):
            return REFUSALS[mode], None
        if mode == "reset" and node != OPERATOR:
            return None
        if mode == "silent" and node != OPERATOR:
            await asyncio.sleep(3600)
        if mode == "deaf" and node != OPERATOR and "watch=" in request.start_line[1]:
            await self._wait_while_deaf()
        if mode == "slow" and node != OPERATOR:
            await asyncio.sleep(self.fault.slow_s)
        if node != OPERATOR and not self._admits(request):
            return REFUSALS["throttled"], None
        share = self.fault.share
        silences, lost_waits = len(self._silences), self._lost_waits
        answer = await self._answer(node, request)
        if node != OPERATOR and lost_waits != self._lost_waits and "watch=" in request.start_line[1]:
            await asyncio.sleep(3600)
        if node != OPERATOR and any(each.strikes(node) for each in self._silences[silences:]):
            # What waited when the store fell silent is never answered, not even when it is back.
            await asyncio.sleep(3600)
        loses = mode == "loses_answers" and (share >= 1.0 or random.random() < share)
        if loses and node != OPERATOR and (request.start_line[0] != "GET" or share < 1.0):
            return None
        return answer

    async def _wait_while_deaf(self) -> None:
        """Let a watch hear nothing while the store is deaf."""
        while self.fault.mode == "deaf":
            await asyncio.sleep(DEAF_POLL_S)

    def _mode_for(self, node: int) -> str:
        """Return the mode for a node; a fault of some nodes does not strike the operator."""
        return self.fault.mode if self.fault.strikes(node) else "sound"

    def _admits(self, request: HttpMessage) -> bool:
        """Whether the call is within the rate of its kind; stale reads are outside of it."""
        method, target, _ = request.start_line
        if method != "GET":
            return self._writes.admits()
        return "stale=1" in target or self._reads.admits()

    async def _answer(self, node: int, request: HttpMessage) -> tuple[int, Any]:
        method, target, _ = request.start_line
        parts = urlsplit(target)
        query = {name: values[-1] for name, values in parse_qs(parts.query).items()}
        _, _, kind, *rest = [unquote(each) for each in parts.path.split("/")]
        if method == "GET" and not rest:
            if "watch" in query and query.get("stale") == "1":
                return self.objects.stale_changes(kind, int(query["watch"]))
            if "watch" in query:
                return await self.objects.watch(kind, int(query["watch"]), int(query["waitMs"]) / 1000)
            return OK, self.objects.page(kind, query.get("after", ""), query.get("stale") == "1")
        if method == "GET":
            item = self.objects.items.get((kind, rest[0]))
            return (OK, item) if item else (NOT_FOUND, None)
        body = json.loads(request.body) if request.body else {}
        meta = body.get("meta") or {}
        if method == "DELETE":
            return self.objects.remove(kind, rest[0])
        if method == "POST":
            if (kind, meta["name"]) in self.objects.items:
                return CONFLICT, self.objects.items[(kind, meta["name"])]
            rest = [meta["name"]]
        part = "status" if rest[1:] == ["status"] else "spec"
        revision = meta.get("revision", query.get("revision"))
        expected_revision = None if revision is None else int(revision)
        before = self.objects.revision
        answer = self.objects.put(kind, rest[0], part, body.get(part), expected_revision)
        if kind == "servers":
            self._last_heartbeat_s[rest[0]] = time.monotonic()
        elif self.objects.revision != before:
            self._log_stored(node, kind, rest[0], part, body.get(part))
        return (CREATED, answer[1]) if method == "POST" and answer[0] == OK else answer

    def _log_stored(self, node: int, kind: str, name: str, part: str, value: Any) -> None:
        if kind in ("config", "rollouts"):
            self._log.write("stored", node=node, kind=kind, name=name, part=part, value=value)

    def log_calls(self) -> None:
        """Record the total number of calls."""
        self._log.write("store_calls", calls=self.calls)

    async def maintain(self) -> None:
        """Refresh the stale view, make copies, and drop old history and entries of silent servers."""
        for turn in itertools.count():
            await asyncio.sleep(MAINTENANCE_EVERY_S)
            if turn % STALE_VIEW_TURNS == 0:
                self.objects.refresh_stale_view()
            if turn % COPY_TURNS == 0 and self.fault.mode != "down":
                self.objects.make_copy()
            now_s = time.monotonic()
            self.objects.forget_history(now_s - self._terms.history_s)
            for _, name in [key for key in self.objects.items if key[0] == "servers"]:
                if (
                    now_s - self._last_heartbeat_s.setdefault(name, now_s)
                    > MAX_MISSED_HEARTBEATS * self._terms.heartbeat_s
                ):
                    self.objects.remove("servers", name)


async def run(host: str, nodes: int, log_path: Path, terms: StoreTerms) -> None:
    """Listen for the operator and each node, and apply commands until standard input ends."""
    store = Store(EventLog(log_path), terms)
    for node in range(OPERATOR, nodes):
        port = OPERATOR_PORT if node == OPERATOR else STORE_PORT + node
        await asyncio.start_server(partial(store.serve, node), host, port)
    maintenance = asyncio.create_task(store.maintain())
    print("up", flush=True)
    await follow_commands(store.apply_command)
    maintenance.cancel()
    store.log_calls()


if __name__ == "__main__":
    store_terms = StoreTerms(*json.loads(sys.argv[4])) if sys.argv[4:] else StoreTerms()
    run_standin(run(sys.argv[1], int(sys.argv[2]), Path(sys.argv[3]), store_terms))

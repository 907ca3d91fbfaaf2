"""Shared by the cases' scripts: gateway nodes as processes, and stand-ins of the store, servers and clients.

Uses the standard library only. A node is started by the ``run`` line of ``deploy/system.toml`` with a
settings file, as the platform does. The stand-ins run in the script's own process, on 127.0.0.1 and free
ports, and follow ``PROTOCOL.md``: the store lists, watches and writes objects; a server answers with a
stamp and the request's id, and says ``X-Yokesill-Not-Executed`` where it did not run a request. Every
request sent, arrived, run and answered goes into ``record.txt``.
"""

import asyncio
import contextlib
import itertools
import json
import os
import random
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, NamedTuple
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[1]
HOST = "127.0.0.1"
ROUTE_HOST = "review.example"
ZONE, OTHER_ZONE = "zone-a", "zone-b"
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2
TIME_LIMIT_S = 110.0
HEARTBEAT_S = 1.2
READY_TIMEOUT_S = 20.0


class CaseNotRunError(Exception):
    """The case could not be set up, so it shows nothing."""


# --- record ---


class Record:
    """The lines of ``record.txt``: seconds since the start, what happened, and its details."""

    def __init__(self, path: Path) -> None:
        self.started_s = time.monotonic()
        self.events: list[dict[str, Any]] = []
        self._file = path.open("w", buffering=1)

    def write(self, what: str, **details: Any) -> None:
        """Record one event."""
        at_s = round(time.monotonic() - self.started_s, 4)
        self.events.append({"t": at_s, "what": what, **details})
        text = " ".join(f"{name}={value!r}" for name, value in details.items())
        self._file.write(f"{at_s:9.4f} {what} {text}\n")

    def find(self, what: str, **details: Any) -> list[dict[str, Any]]:
        """Return the events of one kind with the given details."""
        return [
            each
            for each in self.events
            if each["what"] == what and all(each.get(name) == value for name, value in details.items())
        ]


# --- HTTP/1.1 ---


class Message(NamedTuple):
    """A request or an answer: the words of its start line, lower-case headers, and the body."""

    words: tuple[str, str, str]
    headers: dict[str, str]
    body: bytes


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read one message; return ``None`` if the connection ended before it."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ValueError("the connection ended within a head") from None
        return None
    lines = head.decode("latin-1").split("\r\n")
    words = [*lines[0].split(" ", 2), "", ""]
    pairs = (line.partition(":") for line in lines[1:] if line)
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    if headers.get("transfer-encoding", "").lower() == "chunked":
        chunks = []
        while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
            chunks.append(await reader.readexactly(size))
            await reader.readexactly(2)
        await reader.readexactly(2)
        body = b"".join(chunks)
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message((words[0], words[1], words[2]), headers, body)


def encode(start_line: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return a message's bytes, with its length."""
    lines = [start_line, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"content-length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


# --- the platform's store ---


class Store:
    """The platform's store: objects by kind and name, one counter of revisions, lists, watches and writes."""

    def __init__(self, record: Record) -> None:
        self.port = 0
        self._record = record
        self._revision = 10
        self._items: dict[tuple[str, str], dict[str, Any]] = {}
        self._written_s: dict[str, float] = {}
        self._history: list[tuple[int, str, dict[str, Any], bool]] = []
        self._changed = asyncio.Event()
        self._listener: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._listener = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._listener.sockets[0].getsockname()[1]

    def put(
        self, kind: str, name: str, part: str, value: Any, revision: int | None = None
    ) -> tuple[int, Any]:
        """Set ``spec`` or ``status``; a write that changes nothing raises no revision."""
        if kind == "servers":
            self._written_s[name] = time.monotonic()
        old = self._items.get((kind, name))
        if old is None and part == "status":
            return 404, None
        if revision is not None and (old is None or old["meta"]["revision"] != revision):
            return 409, old
        if old is not None and _without_beat(kind, old[part]) == _without_beat(kind, value):
            return 200, old
        item = dict(old or {"spec": None, "status": None})
        item[part] = value
        made = old["meta"]["made"] if old else self._revision + 1
        item["meta"] = {"name": name, "revision": self._revision + 1, "made": made}
        item["meta"] |= {"finalizers": [], "deleting": False}
        self._items[(kind, name)] = item
        self._remember(kind, item, gone=False)
        return 200, item

    def remove(self, kind: str, name: str) -> tuple[int, Any]:
        """Remove an object."""
        item = self._items.pop((kind, name), None)
        if item is None:
            return 404, None
        item = item | {"meta": item["meta"] | {"revision": self._revision + 1}}
        self._remember(kind, item, gone=True)
        return 200, item

    def drop_silent_servers(self) -> None:
        """Remove the servers' entries that nobody has written for three heartbeats."""
        for name, written_s in list(self._written_s.items()):
            if time.monotonic() - written_s > 3 * HEARTBEAT_S:
                del self._written_s[name]
                self.remove("servers", name)

    def configure(self, configuration: dict[str, Any]) -> None:
        """Write the operator's configuration; the acknowledgement is at once."""
        self.put("config", "main", "spec", configuration)
        self._record.write("configuration_acknowledged", version=configuration["configVersion"])

    def _remember(self, kind: str, item: dict[str, Any], gone: bool) -> None:
        self._revision += 1
        self._history.append((self._revision, kind, item, gone))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (request := await read_message(reader)) is not None:
                status, body = await self._answer(request)
                content = json.dumps(body).encode()
                writer.write(encode(f"HTTP/1.1 {status} X", {"content-type": "application/json"}, content))
                await writer.drain()
        except (OSError, ValueError, KeyError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()

    async def _answer(self, request: Message) -> tuple[int, Any]:
        method, target, _ = request.words
        parts = urlsplit(target)
        query = {name: values[-1] for name, values in parse_qs(parts.query).items()}
        _, _, kind, *rest = [unquote(each) for each in parts.path.split("/")]
        if method == "GET" and not rest:
            if "watch" in query:
                return await self._watch(kind, int(query["watch"]), int(query.get("waitMs", "0")) / 1000)
            names = sorted(
                name for each, name in self._items if each == kind and name > query.get("after", "")
            )
            return 200, {"items": [self._items[(kind, name)] for name in names], "at": self._revision}
        if method == "GET":
            item = self._items.get((kind, rest[0]))
            return (200, item) if item else (404, None)
        if method == "DELETE":
            return self.remove(kind, rest[0])
        body = json.loads(request.body) if request.body else {}
        meta = body.get("meta") or {}
        if method == "POST":
            if (kind, meta["name"]) in self._items:
                return 409, self._items[(kind, meta["name"])]
            rest = [meta["name"]]
        elif (kind, rest[0]) not in self._items:
            return 404, None
        part = "status" if rest[1:] == ["status"] else "spec"
        revision = meta.get("revision", query.get("revision"))
        expected = None if revision is None else int(revision)
        status, item = self.put(kind, rest[0], part, body.get(part), expected)
        return (201 if method == "POST" and status == 200 else status), item

    async def _watch(self, kind: str, revision: int, wait_s: float) -> tuple[int, Any]:
        end_s = time.monotonic() + min(wait_s, 30.0)
        while True:
            found = [each for each in self._history if each[1] == kind and each[0] > revision]
            left_s = end_s - time.monotonic()
            if found or left_s <= 0:
                events = [{"object": item, "gone": gone} for _, _, item, gone in found]
                return 200, {"events": events, "at": self._revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)


def _without_beat(kind: str, spec: Any) -> Any:
    """Return what of a server's entry counts as a change: all but its beat."""
    if kind != "servers" or not isinstance(spec, dict):
        return spec
    return {name: value for name, value in spec.items() if name != "callSeq"}


# --- servers ---


class Arrival(NamedTuple):
    """A request as a server got it, with its number on its connection (1 for the first)."""

    request: Message
    request_id: str
    number: int
    writer: asyncio.StreamWriter


class Server:
    """One server: a stamp and the request's id in each answer, 421 for another instance, and a record.

    ``before`` may handle an arrival instead of the usual way: it returns the bytes to send, ``None`` for the
    usual way, or ``b""`` if it has sent everything itself. ``work`` runs before a usual answer.
    """

    def __init__(self, record: Record, instance: str, service: str, zone: str = ZONE) -> None:
        self.instance = instance
        self.service = service
        self.zone = zone
        self.port = 0
        self.state = "ready"
        self.work: Callable[[], Awaitable[None]] = _no_work
        self.before: Callable[[Arrival], Awaitable[bytes | None]] = _usual_way
        self.body: Callable[[str, str], bytes] = lambda stamp, _request_id: (stamp + "\n").encode() * 10
        self._record = record
        self._numbers = itertools.count(1)
        self._writers: set[asyncio.StreamWriter] = set()
        self._listener: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._listener = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._listener.sockets[0].getsockname()[1]

    def crash(self) -> None:
        """Stop listening and reset all connections, as the end of a process does."""
        if self._listener is not None:
            self._listener.close()
        for writer in list(self._writers):
            reset(writer)
        self._record.write("server_crashed", server=self.instance)

    def entry(self, beat: int) -> dict[str, Any]:
        """Return the server's entry in the store."""
        return {
            "service": self.service,
            "address": f"{HOST}:{self.port}",
            "zone": self.zone,
            "configVersion": "s1",
            "capacity": 4,
            "state": self.state,
            "warmupLeftMs": 0,
            "callSeq": beat,
        }

    def run(self, request: Message, request_id: str) -> str:
        """Record that the request runs now, and return the stamp of this run."""
        stamp = f"{self.instance}.{next(self._numbers)}"
        method, target, _ = request.words
        self._record.write(
            "run", server=self.instance, service=self.service, id=request_id, method=method, target=target,
            body=len(request.body), stamp=stamp,
        )  # fmt: skip
        return stamp

    def success(self, request_id: str, stamp: str) -> bytes:
        """Return the answer of a run."""
        headers = {"X-Yokesill-Request-Id": request_id, "X-Yokesill-Server-Stamp": stamp}
        return encode("HTTP/1.1 200 OK", headers, self.body(stamp, request_id))

    def not_executed(self, request_id: str, status: int = 503) -> bytes:
        """Return the answer by which the server says that it did not run the request."""
        headers = {"X-Yokesill-Request-Id": request_id, "X-Yokesill-Not-Executed": "1"}
        return encode(f"HTTP/1.1 {status} X", headers)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            for number in itertools.count(1):
                request = await read_message(reader)
                if request is None:
                    return
                writer.write(await self._answer(request, number, writer))
                await writer.drain()
        except (OSError, ValueError, asyncio.IncompleteReadError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request: Message, number: int, writer: asyncio.StreamWriter) -> bytes:
        if request.words[1] == "/health":
            return encode("HTTP/1.1 200 OK", {"X-Yokesill-Instance-Id": self.instance})
        request_id = request.headers.get("x-yokesill-request-id", "")
        self._record.write(
            "arrived", server=self.instance, service=self.service, id=request_id, target=request.words[1],
            connection=writer.get_extra_info("peername")[1], number=number,
        )  # fmt: skip
        if request.headers.get("x-yokesill-expect-instance", self.instance) != self.instance:
            return self.not_executed(request_id, 421)
        if not request_id:
            return self.not_executed(request_id, 400)
        handled = await self.before(Arrival(request, request_id, number, writer))
        if handled is not None:
            return handled
        stamp = self.run(request, request_id)
        await self.work()
        self._record.write("server_answered", server=self.instance, id=request_id, status=200, stamp=stamp)
        return self.success(request_id, stamp)


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    raw = writer.get_extra_info("socket")
    if raw is not None:
        with contextlib.suppress(OSError):
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def _no_work() -> None:
    await asyncio.sleep(0.01)


async def _usual_way(_arrival: Arrival) -> bytes | None:
    return None


# --- gateway nodes ---


class Node:
    """A gateway node in its own process, started by the deploy file's ``run`` line."""

    def __init__(self, record: Record, number: int, store_port: int, folder: Path) -> None:
        self.number = number
        self.front, self.ready, self.control = free_ports(3)
        self.own_ports = free_range(8)
        self.seeds: list[int] = [self.control]
        self.process: asyncio.subprocess.Process | None = None
        self._record = record
        self._store_port = store_port
        self._folder = folder

    async def start(self) -> None:
        """Start the process, with the settings of this moment."""
        settings = self.write_settings()
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment |= {"YOKESILL_CONFIG": str(settings), "PYTHONPATH": str(ROOT / "target" / "deps")}
        with (self._folder / f"node-{self.number}.log").open("ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                *self._command(), cwd=ROOT, env=environment, stdout=output, stderr=output
            )
        self._record.write("node_started", node=self.number, pid=self.process.pid)

    def write_settings(self) -> Path:
        """Write the settings file and return its path."""
        settings = self._folder / f"node-{self.number}.toml"
        settings.write_text(self._settings())
        return settings

    async def wait_ready(self) -> None:
        """Wait until the node says that it is ready."""
        end_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < end_s:
            status, _ = await call(self.ready, "GET", "/readiness", 1.0)
            if status == 200:
                self._record.write("node_ready", node=self.number)
                return
            if self.process is not None and self.process.returncode is not None:
                break
            await asyncio.sleep(0.05)
        log = (self._folder / f"node-{self.number}.log").read_text(errors="replace")
        raise CaseNotRunError(f"node {self.number} did not become ready: {log[-2000:]}")

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)
            self._record.write("signal", node=self.number, signal=number.name)

    async def end(self) -> None:
        """Kill the process if it runs, and wait for its end."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    def _command(self) -> list[str]:
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        line = deploy["roles"]["gateway"]["run"]
        return [each.replace("{{listenAddrs.front}}", f"{HOST}:{self.front}") for each in line.split()]

    def _settings(self) -> str:
        seeds = json.dumps([f"{HOST}:{port}" for port in self.seeds])
        return f"""nodeName = "node-{self.number}"
role = "gateway"
machineClass = "front"
serves = ["front", "control"]
ip = "{HOST}"
zone = "{ZONE}"
region = "region-a"
portRange = {list(self.own_ports)}
seedNodes = {seeds}
bootstrap = true
lossCounts = false
discovery = "platform"
entryKind = "vip"
heartbeatMs = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", "scatter", "platform"]
[zones]
{ZONE} = "region-a"
{OTHER_ZONE} = "region-a"
[listenAddrs]
front = "{HOST}:{self.front}"
ready = "{HOST}:{self.ready}"
control = "{HOST}:{self.control}"
[limits]
cpuShare = 0.537
cpuCores = 2
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seedLagS = 3
addrReuseS = 2
contactMs = 4000
ackMs = 5000
catchUpS = 4
drainMs = 3000
graceS = 6
lossSlackMs = 200
configApplyMs = 3000
downgradeSlackMs = 250
maxSkewMs = 12000
retryBudgetRatio = 0.2
retryWindowS = 10
retrySlack = 56
recoveryS = 12
[platform]
address = "{HOST}:{self._store_port}"
form = "objects"
writes_per_s = 400
reads_per_s = 2000
historyS = 20
value_bytes = 1048576
ttl_min_ms = 1000
"""


_taken: set[int] = set()


def free_ports(count: int) -> list[int]:
    """Return free ports that were not returned before."""
    found: list[int] = []
    while len(found) < count:
        with socket.socket() as probe:
            probe.bind((HOST, 0))
            port = probe.getsockname()[1]
        if port not in _taken:
            _taken.add(port)
            found.append(port)
    return found


def free_range(count: int) -> tuple[int, int]:
    """Return the first and the last of ``count`` successive ports that are free for TCP and UDP."""
    for _ in range(200):
        first = random.randrange(20_000, 30_000)
        ports = range(first, first + count)
        if not _taken & set(ports) and all(map(_is_free, ports)):
            _taken.update(ports)
            return first, first + count - 1
    raise CaseNotRunError("no free range of ports")


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                return False
    return True


# --- clients and the operator ---


async def call(
    port: int,
    method: str,
    target: str,
    timeout_s: float,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
) -> tuple[int, Message | None]:
    """Make one call on a new connection; the status is 0 if no answer came."""
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(HOST, port)
            try:
                sent = {"Host": ROUTE_HOST} | (headers or {})
                if body:
                    writer.write(encode(f"{method} {target} HTTP/1.1", sent, body))
                else:
                    lines = [
                        f"{method} {target} HTTP/1.1",
                        *(f"{name}: {value}" for name, value in sent.items()),
                    ]
                    writer.write("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n")
                answer = await read_message(reader)
            finally:
                writer.close()
    except (OSError, ValueError, TimeoutError, asyncio.IncompleteReadError):
        return 0, None
    return (int(answer.words[1]), answer) if answer is not None else (0, None)


class Client:
    """A client: each request has an id of its own, and goes on a connection of its own."""

    def __init__(self, record: Record, prefix: str = "q") -> None:
        self._record = record
        self._prefix = prefix
        self._numbers = itertools.count(1)

    async def send(
        self, node: Node, target: str, method: str = "GET", body: bytes = b"", deadline_ms: int = 2000
    ) -> tuple[str, int, Message | None]:
        """Send one request; return its id, the status (0 without an answer) and the answer."""
        request_id = f"{self._prefix}{next(self._numbers)}"
        headers = {"X-Yokesill-Request-Id": request_id, "X-Yokesill-Deadline-Ms": str(deadline_ms)}
        self._record.write(
            "sent", id=request_id, node=node.number, method=method, target=target, body=len(body)
        )
        status, answer = await call(node.front, method, target, deadline_ms / 1000 + 1.0, headers, body)
        stamp = answer.headers.get("x-yokesill-server-stamp", "") if answer is not None else ""
        self._record.write("client_got", id=request_id, status=status, stamp=stamp)
        return request_id, status, answer


def route(name: str, prefix: str, service: str, repeatable: bool, **more: Any) -> dict[str, Any]:
    """Return a route of the operator's configuration to one service."""
    fixed = {
        "name": name,
        "host": ROUTE_HOST,
        "pathPrefix": prefix,
        "routeType": "idempotent" if repeatable else "non_idempotent",
        "maxAttempts": 2,
        "timeoutMs": 2000,
        "targetLatencyMs": 500,
        "priority": 1,
    }
    return fixed | ({} if "gather" in more else {"service": service}) | more


def configuration(version: int, routes: list[dict[str, Any]], services: list[str]) -> dict[str, Any]:
    """Return the operator's configuration."""
    return {
        "configVersion": version,
        "routes": routes,
        "services": [{"name": each, "healthPath": "/health", "maxConnections": 41} for each in services],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 262144,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


# --- a case ---


class Case:
    """The parts of one case: a record, a store, servers and nodes."""

    def __init__(self, folder: Path, record: Record) -> None:
        self.record = record
        self.store = Store(record)
        self.servers: list[Server] = []
        self.nodes: list[Node] = []
        # Entries of kind ``servers`` that another writer writes about every heartbeat, as servers do.
        self.foreign_entries: dict[str, dict[str, Any]] = {}
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self._folder = folder
        self._beats: asyncio.Task[None] | None = None

    async def add_server(self, instance: str, service: str, zone: str = ZONE) -> Server:
        """Start a server and write its entry."""
        server = await self.start_server(instance, service, zone)
        self.list_server(server)
        return server

    async def start_server(self, instance: str, service: str, zone: str = ZONE) -> Server:
        """Start a server that has no entry yet."""
        server = Server(self.record, instance, service, zone)
        await server.start()
        return server

    def list_server(self, server: Server) -> None:
        """Write a server's entry, and keep it up to date from now on."""
        self.servers.append(server)
        self.store.put("servers", server.instance, "spec", server.entry(0))

    def create_nodes(self, count: int) -> list[Node]:
        """Return nodes that are not started yet; the servers' heartbeats start now."""
        nodes = [Node(self.record, number + 1, self.store.port, self._folder) for number in range(count)]
        for node in nodes:
            node.seeds = [each.control for each in nodes[:3]]
        self._beats = asyncio.create_task(self._beat())
        return nodes

    async def start_nodes(self, count: int) -> None:
        """Start the nodes and wait until they are ready."""
        self.nodes = self.create_nodes(count)
        for node in self.nodes:
            await node.start()
        await asyncio.gather(*(node.wait_ready() for node in self.nodes))

    async def _beat(self) -> None:
        for beat in itertools.count(1):
            await asyncio.sleep(HEARTBEAT_S)
            for server in self.servers:
                self.store.put("servers", server.instance, "spec", server.entry(beat))
            for name, entry in self.foreign_entries.items():
                self.store.put("servers", name, "spec", entry | {"callSeq": beat})
            self.store.drop_silent_servers()

    def crash(self, server: Server) -> None:
        """Crash a server; its entry goes after three heartbeats of silence."""
        server.crash()
        self.servers.remove(server)

    async def end(self) -> None:
        """End all processes that the case started."""
        if self._beats is not None:
            self._beats.cancel()
        for node in self.nodes:
            await node.end()


def run_case(folder: Path, play: Callable[[Case], Awaitable[list[str]]]) -> int:
    """Play a case and return its exit status; ``play`` returns the ways in which the rule was broken."""
    if not (ROOT / "target" / "deps").is_dir():
        print("target/deps is missing: run the build line of deploy/system.toml first", file=sys.stderr)
        return EXIT_NOT_RUN
    record = Record(folder / "record.txt")
    return asyncio.run(_run_case(record, play))


async def _run_case(record: Record, play: Callable[[Case], Awaitable[list[str]]]) -> int:
    with tempfile.TemporaryDirectory(prefix="yokesill-review-") as name:
        case = Case(Path(name), record)
        record.write("case", trouble=case.trouble)
        task = asyncio.current_task()
        assert task is not None
        # A script that is stopped early ends its processes too.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            async with asyncio.timeout(TIME_LIMIT_S):
                await case.store.start()
                broken = await play(case)
        except (CaseNotRunError, TimeoutError, asyncio.CancelledError) as error:
            record.write("not_run", why=repr(error))
            print(f"the case could not run: {error!r}", file=sys.stderr)
            return EXIT_NOT_RUN
        finally:
            # Handlers of connections that are still open are cancelled with the loop; that is no error.
            asyncio.get_running_loop().set_exception_handler(lambda _loop, _context: None)
            await case.end()
            if keep := os.environ.get("KEEP_LOGS"):
                _keep_logs(Path(name), Path(keep))
    for each in broken:
        record.write("broken", how=each)
        print(f"BROKEN {each}")
    record.write("result", broken=len(broken))
    print("the rule was broken" if broken else "the rule held")
    return EXIT_BROKEN if broken else EXIT_HELD


def _keep_logs(folder: Path, target: Path) -> None:
    """Copy the nodes' logs, for whoever looks into a run."""
    for log in folder.glob("*.log"):
        (target / log.name).write_bytes(log.read_bytes())

"""Stand-ins of the second review: the platform's store, servers, and raw clients, and how nodes are started.

Standard library only. The store and the servers run in the event loop of the script; each node is a process of
its own, started by the ``run`` line of the deploy file on loopback addresses.
"""

import asyncio
import json
import os
import shutil
import signal
import socket
import struct
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[1]
MAX_BODY = 1 << 20


def now():
    """Return the time by the steady clock, in seconds."""
    return time.monotonic()


def free_ports(host, count):
    """Return ``count`` free ports of a loopback address; consecutive ones."""
    while True:
        probe = socket.socket()
        probe.bind((host, 0))
        start = probe.getsockname()[1]
        probe.close()
        if start + count > 60000:
            continue
        held = []
        try:
            for port in range(start, start + count):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    each = socket.socket(socket.AF_INET, kind)
                    held.append(each)
                    each.bind((host, port))
        except OSError:
            continue
        finally:
            for each in held:
                each.close()
        return list(range(start, start + count))


# --- HTTP ---


class Message:
    """A request as read from a connection."""

    def __init__(self, line, headers, body):
        self.method, self.target, self.version = (line.split(b" ", 2) + [b"", b""])[:3]
        self.raw_headers = headers
        self.headers = {name.lower(): value for name, value in headers}
        self.body = body


async def read_head(reader):
    """Return the start line and the header fields of a message, or ``None`` at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    lines = head[:-4].split(b"\r\n")
    headers = []
    for line in lines[1:]:
        name, _, value = line.partition(b":")
        headers.append((name, value.strip()))
    return lines[0], headers


async def read_body(reader, headers, limit=MAX_BODY):
    """Return the body of a message by its framing."""
    named = {name.lower(): value for name, value in headers}
    if b"chunked" in named.get(b"transfer-encoding", b"").lower():
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                while (await reader.readline()) not in (b"\r\n", b""):
                    pass
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    length = int(named.get(b"content-length", b"0"))
    return await reader.readexactly(length) if length else b""


async def read_message(reader):
    """Return a whole request, or ``None`` at the end of the stream."""
    head = await read_head(reader)
    if head is None:
        return None
    return Message(head[0], head[1], await read_body(reader, head[1]))


def reset(writer):
    """Close a connection with a reset."""
    raw = writer.get_extra_info("socket")
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


# --- the store ---


class Store:
    """The platform's metadata store: objects by kind and name, revisions, watches."""

    def __init__(self):
        self.revision = 10
        self.objects = {}
        self.history = []
        self.changed = asyncio.Event()
        self.address = None
        # Stale reads are answered from the state of so many seconds ago.
        self.stale_s = 0.0
        # While set, nothing is answered; calls that wait then are never answered, also afterwards.
        self.silent = False
        self._silences = 0
        self._past = [(now(), self.revision, {})]
        self._server = None

    def set_silent(self, silent):
        """Begin or end a time in which the store answers nothing."""
        self.silent = silent
        self._silences += silent

    def _state_at(self, at):
        """Return the revision and the objects as of a time."""
        return next(
            ((revision, objects) for when, revision, objects in reversed(self._past) if when <= at),
            self._past[0][1:],
        )

    async def start(self, host="127.0.0.1"):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    def put(self, kind, name, spec=None, status=None):
        """Create or change an object; return its revision."""
        key = (kind, name)
        old = self.objects.get(key)
        new = (
            json.loads(json.dumps(old))
            if old
            else {
                "meta": {
                    "name": name,
                    "revision": 0,
                    "made": self.revision + 1,
                    "finalizers": [],
                    "deleting": False,
                },
                "spec": None,
                "status": None,
            }
        )
        if spec is not None:
            new["spec"] = spec
        if status is not None:
            new["status"] = status
        if old is not None and old["spec"] == new["spec"] and old["status"] == new["status"]:
            return old["meta"]["revision"]
        self.revision += 1
        new["meta"]["revision"] = self.revision
        self.objects[key] = new
        self._note(kind, new, False)
        return self.revision

    def remove(self, kind, name):
        """Remove an object."""
        old = self.objects.pop((kind, name), None)
        if old is not None:
            self.revision += 1
            gone = json.loads(json.dumps(old))
            gone["meta"]["revision"] = self.revision
            self._note(kind, gone, True)

    def _note(self, kind, item, gone):
        self.history.append((self.revision, kind, item, gone))
        self._past.append((now(), self.revision, dict(self.objects)))
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    async def _serve(self, reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                silences = self._silences
                if self.silent:
                    await asyncio.sleep(3600)
                status, body = await self._answer(message)
                if self._silences != silences:
                    await asyncio.sleep(3600)
                data = json.dumps(body).encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
                writer.write(head.encode() + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            writer.close()

    async def _answer(self, message):
        url = urlsplit(message.target.decode())
        query = {name: values[-1] for name, values in parse_qs(url.query).items()}
        parts = [unquote(each) for each in url.path.split("/")[2:]]
        method = message.method.decode()
        body = json.loads(message.body) if message.body else {}
        if method == "GET" and len(parts) == 1:
            stale = query.get("stale") == "1" and self.stale_s
            revision, objects = (
                self._state_at(now() - self.stale_s) if stale else (self.revision, self.objects)
            )
            if "watch" in query and stale:
                since = int(query["watch"])
                events = [
                    {"object": item, "gone": gone}
                    for rev, k, item, gone in self.history
                    if k == parts[0] and since < rev <= revision
                ]
                return 200, {"events": events, "at": max(revision, since)}
            if "watch" in query:
                return await self._watch(parts[0], int(query["watch"]), int(query.get("waitMs", "0")))
            names = sorted(name for kind, name in objects if kind == parts[0])
            names = [name for name in names if name > query.get("after", "")]
            page = names[:500]
            items = [objects[(parts[0], name)] for name in page]
            return 200, {"items": items, "more": len(names) > 500, "at": revision}
        if method == "GET":
            item = self.objects.get((parts[0], parts[1]))
            return (200, item) if item else (404, {})
        name = parts[1] if len(parts) > 1 else body["meta"]["name"]
        old = self.objects.get((parts[0], name))
        wanted = (
            body.get("meta", {}).get("revision", query.get("revision")) if isinstance(body, dict) else None
        )
        if method == "POST":
            if old:
                return 409, old
            self.put(parts[0], name, body.get("spec") or {})
            return 201, self.objects[(parts[0], name)]
        if old is None:
            return 404, {}
        if wanted is not None and int(wanted) != old["meta"]["revision"]:
            return 409, old
        if method == "PUT" and len(parts) == 3:
            self.put(parts[0], name, status=body.get("status"))
        elif method == "PUT":
            self.put(parts[0], name, spec=body.get("spec"))
        elif method == "DELETE":
            self.remove(parts[0], name)
            return 200, {}
        return 200, self.objects[(parts[0], name)]

    async def _watch(self, kind, since, wait_ms):
        end = now() + wait_ms / 1000
        while True:
            at = self.revision
            events = [
                {"object": item, "gone": gone}
                for rev, k, item, gone in self.history
                if k == kind and rev > since
            ]
            left = end - now()
            if events or left <= 0:
                return 200, {"events": events, "at": at}
            changed = self.changed
            try:
                async with asyncio.timeout(left):
                    await changed.wait()
            except TimeoutError:
                pass


# --- servers ---


class Server:
    """One server: answers each request by ``behave``, and records what it has run."""

    def __init__(self, fleet, service, instance, zone, capacity=8):
        self.fleet = fleet
        self.service = service
        self.instance = instance
        self.zone = zone
        self.capacity = capacity
        self.behave = fleet.behave
        self.version = fleet.version
        self.address = None
        self.connections = set()
        self._server = None

    async def start(self, host="127.0.0.1", port=0):
        """Listen, and enter the server into the store."""
        self._server = await asyncio.start_server(self._serve, host, port, limit=1 << 21)
        self.address = "%s:%d" % self._server.sockets[0].getsockname()[:2]
        self.enter("ready")

    def enter(self, state):
        """Write the server's entry."""
        spec = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "configVersion": self.version,
            "capacity": self.capacity,
            "state": state,
            "warmupLeftMs": 0,
            "callSeq": 1,
        }
        self.fleet.store.put("servers", self.instance, spec)

    def close(self, abort=False):
        """End the server."""
        self._server.close()
        for writer in list(self.connections):
            reset(writer) if abort else writer.close()

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                if not await self.behave(self, head, reader, writer):
                    return
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError) as error:
            self.fleet.problems.append((now(), self.instance, repr(error)))
        finally:
            self.connections.discard(writer)
            writer.close()


class Fleet:
    """All servers, and what they have run."""

    def __init__(self, store):
        self.store = store
        self.servers = {}
        self.runs = []
        self.arrivals = []
        self.problems = []
        # The version of the software of servers that are started from now on.
        self.version = "v1"
        self._number = 0

    async def add(self, service, zone, behave=None, port=0):
        """Start a server of a service."""
        self._number += 1
        server = Server(self, service, f"i-{self._number:08x}", zone)
        if behave is not None:
            server.behave = behave
        await server.start(port=port)
        self.servers[server.instance] = server
        return server

    async def behave(self, server, head, reader, writer):
        """Run a request and answer it, as a sound server does."""
        message = Message(head[0], head[1], await read_body(reader, head[1]))
        if not self.expected(server, message, writer):
            return True
        self.ran(server, message)
        writer.write(answer(server, message, b"ok " + message.target))
        await writer.drain()
        return True

    def expected(self, server, message, writer):
        """Whether a request names this server; any other is rejected."""
        self.arrivals.append(
            (now(), server.instance, message.headers.get(b"x-yokesill-request-id", b"").decode())
        )
        expected = message.headers.get(b"x-yokesill-expect-instance", server.instance.encode()).decode()
        if expected == server.instance:
            return True
        writer.write(rejection(message, 421))
        return False

    def ran(self, server, message):
        """Record that a server began to work on a request."""
        request_id = message.headers.get(b"x-yokesill-request-id", b"").decode()
        self.runs.append(
            (now(), server.instance, server.service, request_id, message.method, message.target, message.body)
        )


def stamp(server, request_id):
    """Return a server's signature of an answer."""
    return f"{server.instance}.{request_id}.sig"


def answer(server, message, body, status=200, extra=(), length=True):
    """Return the bytes of a whole answer."""
    request_id = message.headers.get(b"x-yokesill-request-id", b"").decode()
    lines = [f"HTTP/1.1 {status} X", f"X-Yokesill-Request-Id: {request_id}"]
    lines.append(f"X-Yokesill-Server-Stamp: {stamp(server, request_id)}")
    lines += list(extra)
    if length:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def rejection(message, status=503):
    """Return the bytes of a rejection: the request has not run."""
    request_id = message.headers.get(b"x-yokesill-request-id", b"").decode()
    text = f"HTTP/1.1 {status} X\r\nX-Yokesill-Request-Id: {request_id}\r\nX-Yokesill-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
    return text.encode()


# --- nodes ---

BOUNDS = {
    "seedLagS": 3, "addrReuseS": 2, "contactMs": 5000, "ackMs": 6000, "catchUpS": 4, "drainMs": 3000, "graceS": 6,
    "lossSlackMs": 200, "configApplyMs": 3000, "downgradeSlackMs": 250, "maxSkewMs": 15000,
    "retryBudgetRatio": 0.2, "retryWindowS": 10, "retrySlack": 58, "recoveryS": 12,
}  # fmt: skip
CONTRACTS = ["base", "drain", "config", "cost", "retry", "recover", "scatter", "platform"]


class Node:
    """One gateway node, in a process of its own."""

    def __init__(
        self,
        name,
        store,
        zone="upper-hill",
        zones=None,
        host="127.0.0.1",
        seeds=(),
        memory_mb=300,
        max_fds=4100,
        bounds=None,
        contracts=None,
        cores=2,
    ):
        self.name, self.store, self.zone, self.host = name, store, zone, host
        self.zones = zones or {"upper-hill": "nairobi"}
        ports = free_ports(host, 8)
        self.front, self.ready, self.control = ports[0], ports[1], ports[2]
        self.ports = [ports[3], ports[7]]
        self.seeds = list(seeds)
        self.memory_mb, self.max_fds, self.cores = memory_mb, max_fds, cores
        self.bounds = {**BOUNDS, **(bounds or {})}
        self.contracts = contracts or CONTRACTS
        self.process = None
        self.folder = Path(tempfile.mkdtemp(prefix="yokesill-review-"))
        self.log_path = self.folder / "log"
        self.first = True

    def settings(self):
        """Return the settings file's text."""

        def line(name, value):
            return f"{name} = {json.dumps(value)}"

        store = "%s:%d" % tuple(self.store.address)
        rows = [
            line("nodeName", self.name), line("role", "gateway"), line("machineClass", "front"),
            line("serves", ["front", "control"]), line("ip", self.host), line("zone", self.zone),
            line("region", self.zones[self.zone]), line("portRange", self.ports),
            line("seedNodes", self.seeds), line("bootstrap", self.first), line("lossCounts", False),
            line("discovery", "platform"), line("entryKind", "vip"), line("heartbeatMs", 1200),
            line("contracts", self.contracts), "[zones]", *(line(a, b) for a, b in self.zones.items()),
            "[listenAddrs]", line("front", f"{self.host}:{self.front}"), line("ready", f"{self.host}:{self.ready}"),
            line("control", f"{self.host}:{self.control}"), "[limits]", line("cpuShare", 0.537), line("cpuCores", self.cores),
            line("memoryMb", self.memory_mb), line("maxFds", self.max_fds), line("linkMbps", 1000.0), line("diskMb", 0),
            "[faultTolerance]", line("machines", 1), line("zones", 0), line("regions", 0),
            "[bounds]", *(line(a, b) for a, b in self.bounds.items()),
            "[platform]", line("address", store), line("form", "objects"), line("writes_per_s", 400),
            line("reads_per_s", 2000), line("historyS", 20), line("value_bytes", 1048576), line("ttl_min_ms", 1000),
        ]  # fmt: skip
        return "\n".join(rows) + "\n"

    async def start(self):
        """Start the process."""
        path = self.folder / "node.toml"
        path.write_text(self.settings())
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment |= {"YOKESILL_CONFIG": str(path), "PYTHONPATH": str(ROOT / "target" / "deps")}
        roles = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]
        line = next(iter(roles.values()))["run"].replace("{{listenAddrs.front}}", f"{self.host}:{self.front}")
        with self.log_path.open("ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                *line.split(),
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=output,
                stdin=asyncio.subprocess.DEVNULL,
            )
        self.first = False

    async def until_ready(self, timeout_s=15.0):
        """Wait until the readiness address answers 200; return whether it did."""
        end = now() + timeout_s
        while now() < end:
            status, *_ = await http(self.host, self.ready, b"GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n", 1.0)
            if status == 200:
                return True
            await asyncio.sleep(0.05)
        return False

    def signal(self, number):
        """Send a signal."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self):
        """Kill the process if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()

    def remove_folder(self):
        """Remove the settings and the log."""
        shutil.rmtree(self.folder, ignore_errors=True)

    def log(self):
        """Return the lines of the node's log."""
        return self.log_path.read_text(errors="replace").splitlines() if self.log_path.exists() else []


# --- clients ---


async def read_answer(reader, head_only=False):
    """Return the answer to one request: status, headers, body, and what is wrong with it."""
    try:
        head = await read_head(reader)
    except (asyncio.IncompleteReadError, OSError) as error:
        return 0, {}, b"", f"broken head {error!r}"
    if head is None:
        return 0, {}, b"", "closed"
    headers = {name.lower(): value for name, value in head[1]}
    status = int(head[0].split(b" ")[1])
    if status == 100:
        return await read_answer(reader, head_only)
    try:
        body = b"" if head_only else await read_body(reader, head[1], 1 << 26)
    except (asyncio.IncompleteReadError, OSError, ValueError) as error:
        return status, headers, b"", f"broken body {error!r}"
    return status, headers, body, ""


async def http(host, port, data, timeout_s=20.0):
    """Send one request on a new connection and return its answer."""
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port, limit=1 << 21)
            try:
                writer.write(data)
                return await read_answer(reader)
            finally:
                writer.close()
    except TimeoutError:
        return 0, {}, b"", "timeout"
    except OSError as error:
        return 0, {}, b"", repr(error)


def request(method, path, host, request_id, deadline_ms=4000, body=b"", chunked=False, extra=()):
    """Return the bytes of a client's request."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"X-Yokesill-Request-Id: {request_id}"]
    lines.append(f"X-Yokesill-Deadline-Ms: {deadline_ms}")
    lines += list(extra)
    if chunked:
        lines.append("Transfer-Encoding: chunked")
        data = b"".join(
            b"%x\r\n%s\r\n" % (len(body[i : i + 700]), body[i : i + 700]) for i in range(0, len(body), 700)
        )
        data += b"0\r\n\r\n"
    else:
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        data = body
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + data


def configuration(version, routes, services, limits=None):
    """Return the spec of ``config/main``."""
    return {
        "configVersion": version,
        "routes": routes,
        "services": [{"name": name, "healthPath": "/health", "maxConnections": 110} for name in services],
        "limits": limits
        or {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    }


def route(
    name, host, prefix, kind="idempotent", timeout_ms=4000, target_ms=300, attempts=2, priority=1, **to
):
    """Return a route; ``to`` is ``service``, ``backends`` or ``gather`` with ``topK`` and ``minCoverage``."""
    return {
        "name": name, "host": host, "pathPrefix": prefix, "routeType": kind, "timeoutMs": timeout_ms,
        "targetLatencyMs": target_ms, "maxAttempts": attempts, "priority": priority, **to,
    }  # fmt: skip


# --- cases ---


class Record:
    """The case's ``record.txt``: what was sent, answered and run."""

    def __init__(self, path):
        self._path = Path(path)
        self._start = now()
        self._lines = []

    def write(self, text, at=None):
        """Add a line, with the seconds since the start."""
        self._lines.append(((at or now()) - self._start, text))

    def save(self):
        """Write all lines in the order of their times."""
        rows = [f"{at:9.3f}  {text}" for at, text in sorted(self._lines, key=lambda row: row[0])]
        self._path.write_text("\n".join(rows) + "\n")


def most_in_window(times, window_s):
    """Return the largest number of times within any window of this length."""
    ordered = sorted(times)
    return max(
        (sum(1 for each in ordered if first <= each < first + window_s) for first in ordered), default=0
    )


def run_case(main, record_path, limit_s=110.0):
    """Run a case: exit with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(record_path)
    nodes = []

    async def bounded():
        try:
            async with asyncio.timeout(limit_s):
                return await main(record, nodes, trouble)
        finally:
            for node in nodes:
                await node.end()
                node.remove_folder()

    try:
        broken = asyncio.run(bounded())
        record.write(f"RESULT: {'broken' if broken else 'held'}")
        code = 1 if broken else 0
    except BaseException as error:  # noqa: BLE001 (the case could not run, whatever the reason)
        record.write(f"could not run: {error!r}")
        code = 2
    record.save()
    print(record._lines[-1][1])
    raise SystemExit(code)

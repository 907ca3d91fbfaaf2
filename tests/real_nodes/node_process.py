"""A gateway node as a real process, with stand-ins of the platform's store and of servers in threads.

The node is started by the program of the deploy file's ``run`` line, with a settings file and nothing else of
the caller's environment. Tests send it signals, limit it, and let any of its peers send whatever bytes.
"""

import contextlib
import itertools
import json
import os
import re
import signal
import socket
import socketserver
import subprocess
import sys
import sysconfig
import threading
import time
from collections.abc import Callable, Iterator, Sequence
from pathlib import Path
from typing import Any, NamedTuple
from urllib.parse import parse_qs, unquote, urlsplit

from ports import free_port_range, free_ports

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
ROUTE_HOST, SERVICE, ZONE = "search.example", "desk", "zone-a"
READY_TIMEOUT_S, EXIT_TIMEOUT_S, POLL_S = 15.0, 12.0, 0.02
OWN_PORTS = 3
CONTRACTS = ("base", "drain", "config", "retry", "recover", "platform")
# How the system numbers the clock of a process's processor time: ``CPUCLOCK_SCHED`` of the kernel.
CPU_CLOCK, CPU_TIME_POLL_S = 2, 0.0002
# What a stand-in sends instead of its usual answer; ``None`` means the usual one.
Reply = Callable[[socket.socket], None]


class Request(NamedTuple):
    """A request as a stand-in read it; names of ``headers`` are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


class _Listener(socketserver.ThreadingTCPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 512


class HttpStandin:
    """Reads requests on a free port and answers each one in ``answer`` or by ``special``.

    ``special`` gets each request first; it returns ``None``, or a function that sends bytes of its choice,
    after which the connection is closed.
    """

    def __init__(self) -> None:
        self.special: Callable[[Request], Reply | None] = lambda _request: None
        self.requests: list[Request] = []
        standin = self

        class Handler(socketserver.StreamRequestHandler):
            def handle(self) -> None:
                with contextlib.suppress(OSError, ValueError):
                    standin._serve(self.rfile, self.connection)

        self._listener = _Listener((HOST, 0), Handler)
        self.port = int(self._listener.server_address[1])
        threading.Thread(target=self._listener.serve_forever, args=(POLL_S,), daemon=True).start()

    def answer(self, request: Request) -> bytes:
        """Return the usual answer to a request."""
        raise NotImplementedError

    def close(self) -> None:
        """Stop listening."""
        self._listener.shutdown()
        self._listener.server_close()

    def _serve(self, reader: Any, connection: socket.socket) -> None:
        while (request := _read_request(reader)) is not None:
            self.requests.append(request)
            reply = self.special(request)
            if reply is not None:
                reply(connection)
                return
            connection.sendall(self.answer(request))


def _read_request(reader: Any) -> Request | None:
    start = reader.readline()
    if not start:
        return None
    method, target, _ = start.decode("latin-1").split(" ", 2)
    headers: dict[str, str] = {}
    while (line := reader.readline().strip()) != b"":
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    return Request(method, target, headers, reader.read(int(headers.get("content-length", "0"))))


def message(start_line: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of an answer with its length."""
    lines = [start_line, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"content-length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class Store(HttpStandin):
    """The platform's store: lists, watches and writes of objects by kind and name.

    ``raw_items`` are texts of JSON that stand among a kind's objects as they are, as another writer's.
    """

    def __init__(self) -> None:
        self.revision = 10
        self.items: dict[tuple[str, str], dict[str, Any]] = {}
        self.raw_items: dict[str, list[str]] = {}
        self._changes: list[tuple[int, str, str, bool]] = []
        self._lock = threading.RLock()
        super().__init__()

    def put(self, kind: str, name: str, spec: Any, status: Any = None) -> None:
        """Create or replace an object."""
        with self._lock:
            self.revision += 1
            made = self.items.get((kind, name), {"meta": {"made": self.revision}})["meta"]["made"]
            meta = {"name": name, "revision": self.revision, "made": made, "finalizers": []}
            self.items[(kind, name)] = {"meta": meta, "spec": spec, "status": status}
            self._changes.append((self.revision, kind, json.dumps(self.items[(kind, name)]), False))

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        with self._lock:
            self.revision += 1
            item = self.items.pop((kind, name))
            item["meta"]["revision"] = self.revision
            self._changes.append((self.revision, kind, json.dumps(item), True))

    def put_raw(self, kind: str, item: str) -> None:
        """Add the JSON of an object as another writer left it; ``REVISION`` in it stands for its revision."""
        with self._lock:
            self.revision += 1
            item = item.replace("REVISION", str(self.revision))
            self.raw_items.setdefault(kind, []).append(item)
            self._changes.append((self.revision, kind, item, False))

    def answer(self, request: Request) -> bytes:
        """See ``HttpStandin.answer``."""
        parts = urlsplit(request.target)
        query = {name: values[-1] for name, values in parse_qs(parts.query).items()}
        _, _, kind, *rest = [unquote(each) for each in parts.path.split("/")]
        if request.method == "GET" and not rest:
            return _json(self._watch(kind, query) if "watch" in query else self._list(kind))
        body = json.loads(request.body) if request.body else {}
        if request.method in ("POST", "PUT") and rest[1:] != ["status"]:
            name = rest[0] if rest else body["meta"]["name"]
            with self._lock:
                known = (kind, name) in self.items
                revision = body.get("meta", {}).get("revision")
                if request.method == "POST" and known:
                    return _json("null", 409)
                if revision is not None and revision != self.items[(kind, name)]["meta"]["revision"]:
                    return _json(json.dumps(self.items[(kind, name)]), 409)
                self.put(kind, name, body.get("spec"))
            return _json(json.dumps(self.items[(kind, name)]), 201 if request.method == "POST" else 200)
        return _json("null", 404)

    def _list(self, kind: str) -> str:
        with self._lock:
            items = [json.dumps(item) for (each, _), item in sorted(self.items.items()) if each == kind]
            items += self.raw_items.get(kind, [])
            return f'{{"items": [{", ".join(items)}], "at": {self.revision}, "more": false}}'

    def _watch(self, kind: str, query: dict[str, str]) -> str:
        end_s = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        while True:
            with self._lock:
                events = [
                    f'{{"object": {item}, "gone": {json.dumps(gone)}}}'
                    for revision, each, item, gone in self._changes
                    if each == kind and revision > int(query["watch"])
                ]
                if events or time.monotonic() >= end_s:
                    return f'{{"events": [{", ".join(events)}], "at": {self.revision}}}'
            time.sleep(POLL_S)


def _json(text: str, status: int = 200) -> bytes:
    return message(f"HTTP/1.1 {status} X", {"content-type": "application/json"}, text.encode())


class Server(HttpStandin):
    """One server of ``SERVICE``, whose answers carry the request's id and a signature.

    ``status``, ``fields`` and ``body`` are those of its answers.
    """

    def __init__(self, instance: str) -> None:
        self.instance = instance
        self.status, self.body = 200, b"0123456789abcdef"
        self.fields: dict[str, str] = {}
        self._numbers = itertools.count(1)
        super().__init__()

    def entry(self) -> dict[str, Any]:
        """Return its entry in the store."""
        return {
            "service": SERVICE,
            "address": f"{HOST}:{self.port}",
            "zone": ZONE,
            "configVersion": "s1",
            "capacity": 8,
            "state": "ready",
            "warmupLeftMs": 0,
        }

    def head(self, request: Request) -> dict[str, str]:
        """Return the headers of an answer that counts."""
        return {
            "x-yokesill-request-id": request.headers.get("x-yokesill-request-id", ""),
            "x-yokesill-server-stamp": f"{self.instance}.{next(self._numbers)}",
        }

    def answer(self, request: Request) -> bytes:
        """See ``HttpStandin.answer``."""
        return message(f"HTTP/1.1 {self.status} X", self.head(request) | self.fields, self.body)


def configuration(**limits: int) -> dict[str, Any]:
    """Return the operator's configuration with one route."""
    defaults = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 65536,
        "headerTimeoutMs": 2000,
        "idleTimeoutMs": 5000,
    }
    route = {
        "name": "read", "host": ROUTE_HOST, "pathPrefix": "/read/", "routeType": "idempotent",
        "maxAttempts": 2, "timeoutMs": 2000, "targetLatencyMs": 500, "priority": 1, "service": SERVICE,
    }  # fmt: skip
    services = [{"name": SERVICE, "healthPath": "/health", "maxConnections": 60}]
    return {"configVersion": 1, "routes": [route], "services": services, "limits": defaults | limits}


def with_wide_route(config: dict[str, Any], shards: Sequence[str]) -> dict[str, Any]:
    """Return a newer configuration with one more route, over many services."""
    wide = {"name": "wide", "pathPrefix": "/wide/", "gather": list(shards), "topK": 5, "minCoverage": 0.1}
    services = [{"name": each, "healthPath": "/h", "maxConnections": 60} for each in shards]
    return config | {
        "configVersion": config["configVersion"] + 1,
        "routes": [*config["routes"], {**config["routes"][0], **wide}],
        "services": [*config["services"], *services],
    }


class Answer(NamedTuple):
    """A node's answer to a caller; ``status`` is 0 if there was none."""

    status: int
    headers: dict[str, str]
    body: bytes


class Node:
    """One node's process, its settings file and its output files."""

    def __init__(self, folder: Path, store: Store, **settings: Any) -> None:
        self.folder = folder
        self.front, self.ready_port, self.control = free_ports(3)
        first_own = free_port_range(OWN_PORTS)
        self.own = first_own, first_own + OWN_PORTS - 1
        self.settings_path = folder / "node.toml"
        self.python = sys.executable
        self.environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        self.environment["YOKESILL_CONFIG"] = str(self.settings_path)
        self.environment["PYTHONPATH"] = sysconfig.get_paths()["purelib"]
        self.process: subprocess.Popen[bytes] | None = None
        self._store = store
        self.limits = {"memoryMb": 200, "maxFds": 4100} | settings.pop("limits", {})
        self.contracts = [*CONTRACTS, *settings.pop("contracts", ())]
        self.name = settings.pop("name", "node-1")
        self.seeds = [f"{HOST}:{each.control}" for each in (self, *settings.pop("seeds", ()))]
        self.settings = settings
        self.write_settings()

    def settings_text(self) -> str:
        """Return the text of the settings file."""
        limits = "\n".join(f"{name} = {value}" for name, value in self.limits.items())
        top = "\n".join(f"{name} = {json.dumps(value)}" for name, value in self.settings.items())
        return f"""nodeName = "{self.name}"
zone = "{ZONE}"
ip = "{HOST}"
portRange = [{self.own[0]}, {self.own[1]}]
seedNodes = {json.dumps(self.seeds)}
contracts = {json.dumps(self.contracts)}
{top}
[zones]
{ZONE} = "region"
[listenAddrs]
front = "{HOST}:{self.front}"
ready = "{HOST}:{self.ready_port}"
control = "{HOST}:{self.control}"
[limits]
cpuShare = 1.0
cpuCores = 1
{limits}
[bounds]
graceS = 6
contactMs = 4000
[platform]
address = "{HOST}:{self._store.port}"
"""

    def write_settings(self, text: str | None = None) -> None:
        """Write the settings file."""
        self.settings_path.write_text(self.settings_text() if text is None else text)

    def start(self, **options: Any) -> "Node":
        """Start the process; ``options`` go to ``subprocess.Popen``."""
        return self._start([self.python, "-S", "deploy/serve.py", f"{HOST}:{self.front}"], **options)

    def start_as_deployed(self, checkout: Path, command: Sequence[str]) -> "Node":
        """Start the process by the words of a ``run`` line, in a checkout that is built."""
        environment = self.environment | {"PYTHONPATH": str(checkout / "target" / "deps")}
        return self._start(command, cwd=checkout, env=environment)

    def _start(self, command: Sequence[str], **options: Any) -> "Node":
        defaults = {"cwd": ROOT, "env": self.environment, "stdin": subprocess.DEVNULL}
        with (self.folder / "node.out").open("ab") as output, (self.folder / "node.err").open("ab") as errors:
            options = defaults | {"stdout": output, "stderr": errors} | options
            self.process = subprocess.Popen(command, **options)
        return self

    @property
    def running(self) -> subprocess.Popen[bytes]:
        """The process; raises ``AssertionError`` before ``start``."""
        assert self.process is not None
        return self.process

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal."""
        self.running.send_signal(number)

    def wait_for_cpu_time(self, used_s: float) -> None:
        """Return once the process has used so much processor time."""
        clock = (~self.running.pid << 3) | CPU_CLOCK
        while time.clock_gettime(clock) < used_s:
            time.sleep(CPU_TIME_POLL_S)

    def exit_code(self, timeout_s: float = EXIT_TIMEOUT_S) -> int | None:
        """Return the exit code, or ``None`` if the process still runs after ``timeout_s``."""
        try:
            return self.running.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return None

    def stop(self) -> int | None:
        """Ask the process to stop; return its exit code."""
        self.send_signal(signal.SIGTERM)
        return self.exit_code()

    def kill(self) -> None:
        """End the process if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def is_ready(self) -> bool:
        """Whether a readiness probe is answered with 200."""
        with contextlib.suppress(OSError, ValueError):
            return call(self.ready_port, "GET", "/readiness", {}, 1.0).status == 200
        return False

    def wait_until_ready(self, timeout_s: float = READY_TIMEOUT_S) -> "Node":
        """Return once the node is ready; raises ``AssertionError`` with the node's output if it ends."""
        end_s = time.monotonic() + timeout_s
        while not self.is_ready():
            assert self.running.poll() is None, f"ended with {self.running.returncode}: {self.output()}"
            assert time.monotonic() < end_s, f"not ready within {timeout_s} s: {self.output()}"
            time.sleep(POLL_S)
        return self

    def ask(
        self,
        path: str = "/read/x",
        request_id: str = "r1",
        timeout_s: float = 5.0,
        deadline_ms: str = "4000",
        method: str = "GET",
    ) -> Answer:
        """Send a caller's request on a new connection."""
        headers = {"host": ROUTE_HOST, "x-yokesill-request-id": request_id}
        headers["x-yokesill-deadline-ms"] = deadline_ms
        return call(self.front, method, path, headers, timeout_s)

    def memory_mb(self, field: str = "VmHWM") -> float:
        """Return the peak resident memory in MB of a million bytes, as the settings count them."""
        text = Path(f"/proc/{self.running.pid}/status").read_text()
        found = re.search(rf"^{field}:\s+(\d+) kB", text, re.MULTILINE)
        return int(found[1]) * 1024 / 1e6 if found else 0.0

    def descriptors(self) -> int:
        """Return the number of open descriptors."""
        return len(os.listdir(f"/proc/{self.running.pid}/fd"))

    def output(self) -> str:
        """Return what the process has written."""
        files = (self.folder / "node.out", self.folder / "node.err")
        return "".join(each.read_text(errors="replace")[-4000:] for each in files if each.exists())

    def events(self, name: str) -> list[dict[str, Any]]:
        """Return the log lines of one event."""
        lines = (self.folder / "node.out").read_text(errors="replace").splitlines()
        parsed = [json.loads(line) for line in lines if line.startswith("{")]
        return [each for each in parsed if each.get("event") == name]


def call(port: int, method: str, path: str, headers: dict[str, str], timeout_s: float) -> Answer:
    """Make one call on a new connection; raises ``OSError`` if it fails."""
    lines = [f"{method} {path} HTTP/1.1", *(f"{name}: {value}" for name, value in headers.items())]
    with socket.create_connection((HOST, port), timeout=timeout_s) as connection:
        connection.sendall("\r\n".join([*lines, "connection: close", "", ""]).encode("latin-1"))
        return read_answer(connection)


def read_answer(connection: socket.socket) -> Answer:
    """Read one answer; its status is 0 if the connection ends before it is whole."""
    with connection.makefile("rb") as reader:
        start = reader.readline()
        headers: dict[str, str] = {}
        while (line := reader.readline()) not in (b"\r\n", b""):
            name, _, value = line.decode("latin-1").partition(":")
            headers[name.strip().lower()] = value.strip()
        length = int(headers.get("content-length", "0"))
        body = reader.read(length)
    whole = start.startswith(b"HTTP/1.1 ") and len(body) == length
    return Answer(int(start.split()[1]) if whole else 0, headers, body)


def wait_until_signals_are_held(pid: int, timeout_s: float = 5.0) -> None:
    """Return once the process holds its signals, which its first lines do."""
    bit = 1 << (signal.SIGHUP - 1)
    end_s = time.monotonic() + timeout_s
    while time.monotonic() < end_s:
        with contextlib.suppress(OSError), open(f"/proc/{pid}/status") as status:
            held = next(line for line in status if line.startswith("SigBlk:"))
            if int(held.split()[1], 16) & bit:
                return
        time.sleep(0.0005)
    raise AssertionError("signals are not held")


class Surroundings(NamedTuple):
    """The store and the servers around a node."""

    store: Store
    servers: tuple[Server, ...]

    def spread_over_shards(self, config: dict[str, Any]) -> None:
        """Make each server but the first two the only one of a shard, and add a route over all shards."""
        shards = [f"shard-{number}" for number in range(len(self.servers) - 2)]
        self.store.put("config", "main", with_wide_route(config, shards))
        for server, shard in zip(self.servers[2:], shards, strict=True):
            self.store.put("servers", server.instance, server.entry() | {"service": shard})


@contextlib.contextmanager
def surroundings(servers: int = 2, **limits: int) -> Iterator[Surroundings]:
    """Provide a store that has a configuration and the entries of some servers."""
    store = Store()
    started = tuple(Server(f"i-{number}") for number in range(servers))
    store.put("config", "main", configuration(**limits))
    for each in started:
        store.put("servers", each.instance, each.entry())
    try:
        yield Surroundings(store, started)
    finally:
        for standin in (store, *started):
            standin.close()

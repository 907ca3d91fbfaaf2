"""Generates load on ready nodes; every request has its own id, and every outcome is recorded."""

import asyncio
import itertools
import json
import random
import sys
import time
from pathlib import Path
from typing import Any, NamedTuple

from soak.layout import (
    DEADLY_PATH_MARKER,
    FRONT_PORT,
    HOST,
    LONG_PATH_MARKER,
    READY_PORT,
    READY_URL_PATH,
    ROUTES,
    Layout,
)
from soak.standin import (
    EventLog,
    HttpMessage,
    TruncatedMessageError,
    call,
    encode_message,
    follow_commands,
    read_message,
    run_standin,
)
from yokesill.platform.names import HEADER_NAMES

RATES_PER_S = {"wide": 12.0, "read": 10.0, "once": 10.0}
LONG_REQUEST_EVERY_S, REUSE_EVERY_S, DEADLY_EVERY_S = 0.15, 0.25, 0.35
PROBE_EVERY_S, READY_EVERY_S, MAX_READINESS_MISSES = 0.35, 1.0, 2
CONNECT_TIMEOUT_S = 1.0
# Longer than any bound on an answer, so that a late answer is recorded as late.
PAST_DEADLINE_S = 1.5
MAX_IDLE_S, KEPT_SHARE = 4.0, 0.7
# This share of callers reuses a connection although its last answer said ``connection: close``.
IGNORE_CLOSE_SHARE = 0.3
REQUEST_ID, DEADLINE, SIGNATURE, PARTS, MISSING = (
    name.decode()
    for name in (
        HEADER_NAMES.request_id,
        HEADER_NAMES.deadline,
        HEADER_NAMES.signature,
        HEADER_NAMES.parts,
        HEADER_NAMES.missing,
    )
)


class Connection(NamedTuple):
    """An open connection to a node."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


class Callers:
    """Sends requests to the nodes until cancelled."""

    def __init__(self, layout: Layout, log: EventLog, seed: int) -> None:
        self._layout = layout
        self._log = log
        self._rng = random.Random(seed)
        self._numbers = itertools.count(1)
        self._prefix = f"{self._rng.getrandbits(32):08x}"
        self._version = 1
        self._factor = 1.0
        self._stopping_node: int | None = None
        self._deadly: set[int] = set()
        self._misses = [0] * layout.nodes
        self._idle: dict[int, list[tuple[float, Connection]]] = {node: [] for node in range(layout.nodes)}
        self._tasks: set[asyncio.Task[None]] = set()

    def apply_command(self, command: dict[str, Any]) -> None:
        """Set the configuration version, the load factor, the stopping node, and the deadly requests."""
        self._version = command.get("version", self._version)
        self._factor = command.get("factor", self._factor)
        self._stopping_node = command.get("press", self._stopping_node)
        self._deadly |= set(command.get("deadly", ()))
        self._deadly -= set(command.get("harmless", ()))

    async def run(self) -> None:
        """Send load until cancelled, then wait for the requests in flight."""
        streams = [self._send_route(route, rate) for route, rate in RATES_PER_S.items()]
        streams += [self._watch_readiness(), self._send_probes(), self._send_to_stopping_node()]
        streams += [self._reuse_held_connections(), self._send_deadly()]
        try:
            await asyncio.gather(*streams)
        finally:
            await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _send_route(self, route: str, rate_per_s: float) -> None:
        due_s = time.monotonic()
        while True:
            due_s += self._rng.expovariate(rate_per_s * self._factor)
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            terms = ROUTES[route]
            self._send_unique(route, self._choose_node(), terms.path, terms.timeout_s)

    async def _send_probes(self) -> None:
        """Request, at each node, the newest probe route and one that the newest configuration dropped."""
        for turn in itertools.count():
            await asyncio.sleep(PROBE_EVERY_S)
            version = self._version - 2 * (turn % 2)
            for node in range(self._layout.nodes):
                if version > 0 and self._misses[node] < MAX_READINESS_MISSES:
                    self._send_unique(f"probe-{version}", node, f"/probe-{version}/", 2.0)

    async def _send_to_stopping_node(self) -> None:
        """Send long-running requests to the node that is being stopped, whether or not it is ready."""
        while True:
            await asyncio.sleep(LONG_REQUEST_EVERY_S)
            if self._stopping_node is not None:
                terms = ROUTES["once"]
                self._send_unique(
                    "once", self._stopping_node, terms.path + LONG_PATH_MARKER.lstrip("/"), terms.timeout_s
                )

    async def _reuse_held_connections(self) -> None:
        """Reuse open connections until they end, whether or not their node is ready."""
        while True:
            await asyncio.sleep(REUSE_EVERY_S)
            nodes = [node for node, kept in self._idle.items() if kept]
            if nodes:
                terms = ROUTES["read"]
                self._send_unique("read", self._rng.choice(nodes), terms.path, terms.timeout_s)

    async def _send_deadly(self) -> None:
        """Send the deadly requests repeatedly to random nodes, some wide and some not."""
        while True:
            await asyncio.sleep(DEADLY_EVERY_S * self._rng.uniform(0.2, 1.8))
            for number in sorted(self._deadly):
                route = ("wide", "read")[number % 2]
                path = f"{ROUTES[route].path.rstrip('/')}{DEADLY_PATH_MARKER}{number}"
                self._send(f"deadly-{route}", self._choose_node(), path, ROUTES[route].timeout_s)

    async def _watch_readiness(self) -> None:
        while True:
            await asyncio.gather(*(self._probe_readiness(node) for node in range(self._layout.nodes)))
            await asyncio.sleep(READY_EVERY_S)

    async def _probe_readiness(self, node: int) -> None:
        host = self._layout.node(node)
        status, _ = await call(host, READY_PORT, "GET", READY_URL_PATH, None, 0.8)
        self._misses[node] = 0 if status == 200 else self._misses[node] + 1

    def _choose_node(self) -> int:
        ready = [node for node, misses in enumerate(self._misses) if misses < MAX_READINESS_MISSES]
        return self._rng.choice(ready or range(self._layout.nodes))

    def _send_unique(self, route: str, node: int, path: str, deadline_s: float) -> None:
        self._send(route, node, path, deadline_s, unique_path=True)

    def _send(self, route: str, node: int, path: str, deadline_s: float, unique_path: bool = False) -> None:
        """Send a request; ``unique_path`` appends its id to the path."""
        request_id = f"{self._prefix}-{next(self._numbers)}"
        path += request_id if unique_path else ""
        task = asyncio.create_task(self._request(route, node, path, request_id, deadline_s))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _request(self, route: str, node: int, path: str, request_id: str, deadline_s: float) -> None:
        request_fields = {"id": request_id, "route": route, "node": node, "path": path}
        connect_started_s = time.monotonic()
        connection = await self._connect(node)
        if connection is None:
            self._log.write("answer", **request_fields, asked_s=connect_started_s, ending="refused", status=0)
            return
        headers = {"host": HOST, REQUEST_ID: request_id, DEADLINE: str(round(deadline_s * 1000))}
        asked_s = time.monotonic()
        ending, message = "silent", None
        try:
            async with asyncio.timeout(deadline_s + PAST_DEADLINE_S):
                connection.writer.write(encode_message(f"GET {path} HTTP/1.1", headers))
                message = await read_message(connection.reader)
                ending = "answered" if message else "closed"
            if message and not (message.start_line[0] == "HTTP/1.1" and message.start_line[1].isdigit()):
                ending, message = "broken", None
        except (OSError, TruncatedMessageError):
            ending = "closed"
        except ValueError:
            ending = "broken"
        except TimeoutError:
            ending = "silent"
        self._keep(node, connection, message)
        self._log.write("answer", **request_fields, asked_s=asked_s, ending=ending, **_answer_fields(message))

    async def _connect(self, node: int) -> Connection | None:
        kept = self._idle[node]
        while kept:
            idle_since_s, connection = kept.pop()
            if time.monotonic() - idle_since_s < MAX_IDLE_S and not connection.reader.at_eof():
                return connection
            connection.writer.close()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                return Connection(*await asyncio.open_connection(self._layout.address(6, node), FRONT_PORT))
        except (OSError, TimeoutError):
            return None

    def _keep(self, node: int, connection: Connection, message: HttpMessage | None) -> None:
        closing = message is None or message.headers.get("connection", "").lower() == "close"
        ignores_close = message is not None and self._rng.random() < IGNORE_CLOSE_SHARE
        if (closing and not ignores_close) or self._rng.random() > KEPT_SHARE:
            connection.writer.close()
        else:
            self._idle[node].append((time.monotonic(), connection))


def _answer_fields(message: HttpMessage | None) -> dict[str, Any]:
    if message is None:
        return {"status": 0}
    parts = message.headers.get(PARTS, "")
    return {
        "status": int(message.start_line[1]),
        "signature": message.headers.get(SIGNATURE, ""),
        "echo": message.headers.get(REQUEST_ID, ""),
        "parts": [each.strip() for each in parts.split(",") if each.strip()],
        "missing": int(message.headers.get(MISSING, "0")),
        "body": message.body.hex(),
    }


async def run(layout: Layout, log_path: Path, seed: int) -> None:
    """Send load until standard input ends."""
    callers = Callers(layout, EventLog(log_path), seed)
    load = asyncio.create_task(callers.run())
    print("up", flush=True)
    await follow_commands(callers.apply_command)
    load.cancel()
    await asyncio.gather(load, return_exceptions=True)


if __name__ == "__main__":
    run_standin(run(Layout(*json.loads(sys.argv[1])), Path(sys.argv[2]), int(sys.argv[3])))

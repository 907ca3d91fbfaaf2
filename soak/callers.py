"""Load: callers that reach ready nodes only, each request with its own id, each end recorded."""

import asyncio
import itertools
import json
import random
import sys
import time
from pathlib import Path
from typing import Any, NamedTuple

from soak.layout import DEADLY_WORD, FRONT_PORT, HOST, LONG_WORD, READY_PORT, READY_URL_PATH, ROUTES, Layout
from soak.standin import (
    BrokenOff,
    EventLog,
    HttpMessage,
    call,
    encode_message,
    follow_orders,
    read_message,
    run_standin,
)
from yokesill.platform.names import HEADER_NAMES

RATES_PER_S = {"wide": 12.0, "read": 10.0, "once": 10.0}
PRESS_EVERY_S, CLING_EVERY_S, DEADLY_EVERY_S = 0.15, 0.25, 0.35
PROBE_EVERY_S, READY_EVERY_S, MISSES = 0.35, 1.0, 2
CONNECT_S = 1.0
# Longer than any bound on an answer, so that a late one is seen as late.
BEYOND_S = 1.5
REUSED_UP_TO_S, KEPT_SHARE = 4.0, 0.7
# So many callers go on using a connection although they were told that it closes.
STUBBORN_SHARE = 0.3
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
    """Sends requests to nodes until told to end."""

    def __init__(self, layout: Layout, log: EventLog, seed: int) -> None:
        self._layout = layout
        self._log = log
        self._source = random.Random(seed)
        self._numbers = itertools.count(1)
        self._prefix = f"{self._source.getrandbits(32):08x}"
        self._version = 1
        self._factor = 1.0
        self._pressed: int | None = None
        self._deadly: set[int] = set()
        self._misses = [0] * layout.nodes
        self._kept: dict[int, list[tuple[float, Connection]]] = {node: [] for node in range(layout.nodes)}
        self._jobs: set[asyncio.Task[None]] = set()

    def obey(self, order: dict[str, Any]) -> None:
        """Learn the configuration, how much more load is wanted, whom to press, and what ends servers."""
        self._version = order.get("version", self._version)
        self._factor = order.get("factor", self._factor)
        self._pressed = order.get("press", self._pressed)
        self._deadly |= set(order.get("deadly", ()))
        self._deadly -= set(order.get("harmless", ()))

    async def run(self) -> None:
        """Send load until cancelled, then wait for what is under way."""
        streams = [self._send_route(route, rate) for route, rate in RATES_PER_S.items()]
        streams += [self._watch_readiness(), self._send_probes(), self._press()]
        streams += [self._cling(), self._send_deadly()]
        try:
            await asyncio.gather(*streams)
        finally:
            await asyncio.gather(*self._jobs, return_exceptions=True)

    async def _send_route(self, route: str, per_s: float) -> None:
        due_s = time.monotonic()
        while True:
            due_s += self._source.expovariate(per_s * self._factor)
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            terms = ROUTES[route]
            self._start(route, self._node(), terms.path, terms.timeout_s)

    async def _send_probes(self) -> None:
        """Ask each node for the newest route and for one that the newest configuration dropped."""
        for turn in itertools.count():
            await asyncio.sleep(PROBE_EVERY_S)
            version = self._version - 2 * (turn % 2)
            for node in range(self._layout.nodes):
                if version > 0 and self._misses[node] < MISSES:
                    self._start(f"probe-{version}", node, f"/probe-{version}/", 2.0)

    async def _press(self) -> None:
        """Send long requests to a node whether or not it is ready."""
        while True:
            await asyncio.sleep(PRESS_EVERY_S)
            if self._pressed is not None:
                terms = ROUTES["once"]
                self._start("once", self._pressed, terms.path + LONG_WORD.lstrip("/"), terms.timeout_s)

    async def _cling(self) -> None:
        """Go on using open connections, whether or not their node is ready, until it is gone."""
        while True:
            await asyncio.sleep(CLING_EVERY_S)
            held = [node for node, kept in self._kept.items() if kept]
            if held:
                terms = ROUTES["read"]
                self._start("read", self._source.choice(held), terms.path, terms.timeout_s)

    async def _send_deadly(self) -> None:
        """Send the same requests again and again, at any node: wide ones and others."""
        while True:
            await asyncio.sleep(DEADLY_EVERY_S * self._source.uniform(0.2, 1.8))
            for number in sorted(self._deadly):
                route = ("wide", "read")[number % 2]
                path = f"{ROUTES[route].path.rstrip('/')}{DEADLY_WORD}{number}"
                self._begin(f"deadly-{route}", self._node(), path, ROUTES[route].timeout_s)

    async def _watch_readiness(self) -> None:
        while True:
            await asyncio.gather(*(self._ask_ready(node) for node in range(self._layout.nodes)))
            await asyncio.sleep(READY_EVERY_S)

    async def _ask_ready(self, node: int) -> None:
        host = self._layout.node(node)
        status, _ = await call(host, READY_PORT, "GET", READY_URL_PATH, None, 0.8)
        self._misses[node] = 0 if status == 200 else self._misses[node] + 1

    def _node(self) -> int:
        ready = [node for node, misses in enumerate(self._misses) if misses < MISSES]
        return self._source.choice(ready or range(self._layout.nodes))

    def _start(self, route: str, node: int, path: str, deadline_s: float) -> None:
        self._begin(route, node, path, deadline_s, alone=True)

    def _begin(self, route: str, node: int, path: str, deadline_s: float, alone: bool = False) -> None:
        """Send a request; ``alone`` if its path is to be its own."""
        request_id = f"{self._prefix}-{next(self._numbers)}"
        path += request_id if alone else ""
        job = asyncio.create_task(self._request(route, node, path, request_id, deadline_s))
        self._jobs.add(job)
        job.add_done_callback(self._jobs.discard)

    async def _request(self, route: str, node: int, path: str, request_id: str, deadline_s: float) -> None:
        about = {"id": request_id, "route": route, "node": node, "path": path}
        began_s = time.monotonic()
        connection = await self._connect(node)
        if connection is None:
            self._log.write("answer", **about, asked_s=began_s, ending="refused", status=0)
            return
        headers = {"host": HOST, REQUEST_ID: request_id, DEADLINE: str(round(deadline_s * 1000))}
        asked_s = time.monotonic()
        ending, message = "silent", None
        try:
            async with asyncio.timeout(deadline_s + BEYOND_S):
                connection.writer.write(encode_message(f"GET {path} HTTP/1.1", headers))
                message = await read_message(connection.reader)
                ending = "answered" if message else "closed"
            if message and not (message.first[0] == "HTTP/1.1" and message.first[1].isdigit()):
                ending, message = "broken", None
        except (OSError, BrokenOff):
            ending = "closed"
        except ValueError:
            ending = "broken"
        except TimeoutError:
            ending = "silent"
        self._keep(node, connection, message)
        self._log.write("answer", **about, asked_s=asked_s, ending=ending, **_told(message))

    async def _connect(self, node: int) -> Connection | None:
        kept = self._kept[node]
        while kept:
            rested_since_s, connection = kept.pop()
            if time.monotonic() - rested_since_s < REUSED_UP_TO_S and not connection.reader.at_eof():
                return connection
            connection.writer.close()
        try:
            async with asyncio.timeout(CONNECT_S):
                return Connection(*await asyncio.open_connection(self._layout.address(6, node), FRONT_PORT))
        except (OSError, TimeoutError):
            return None

    def _keep(self, node: int, connection: Connection, message: HttpMessage | None) -> None:
        closing = message is None or message.headers.get("connection", "").lower() == "close"
        stubborn = message is not None and self._source.random() < STUBBORN_SHARE
        if (closing and not stubborn) or self._source.random() > KEPT_SHARE:
            connection.writer.close()
        else:
            self._kept[node].append((time.monotonic(), connection))


def _told(message: HttpMessage | None) -> dict[str, Any]:
    if message is None:
        return {"status": 0}
    parts = message.headers.get(PARTS, "")
    return {
        "status": int(message.first[1]),
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
    await follow_orders(callers.obey)
    load.cancel()
    await asyncio.gather(load, return_exceptions=True)


if __name__ == "__main__":
    run_standin(run(Layout(*json.loads(sys.argv[1])), Path(sys.argv[2]), int(sys.argv[3])))

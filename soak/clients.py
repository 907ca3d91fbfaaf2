"""Clients' side of a deployment: sends single requests over kept connections and records every outcome."""

import asyncio
import itertools
import random
import time
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from soak.layout import FRONT_PORT, HOST
from soak.standin import EventLog, HttpMessage, TruncatedMessageError, encode_message, read_message
from yokesill.platform.names import HEADER_NAMES

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


class Clients:
    """Sends requests to nodes, each at the address that ``front`` gives, and keeps some connections open."""

    def __init__(
        self, nodes: Iterable[int], front: Callable[[int], str], log: EventLog, rng: random.Random
    ) -> None:
        self.rng = rng
        self.idle: dict[int, list[tuple[float, Connection]]] = {node: [] for node in nodes}
        self._front = front
        self._log = log
        self._numbers = itertools.count(1)
        self._prefix = f"{rng.getrandbits(32):08x}"
        self._tasks: set[asyncio.Task[Any]] = set()

    def run_in_background(self, work: Any) -> None:
        """Run a coroutine that sends requests."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def finish(self) -> None:
        """Wait for the requests in flight."""
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def send(self, route: str, node: int, path: str, deadline_s: float, unique_path: bool = False) -> None:
        """Send a request in the background; ``unique_path`` appends its id to the path."""
        request_id = self.new_id()
        path += request_id if unique_path else ""
        self.run_in_background(self.request(route, node, path, request_id, deadline_s))

    def new_id(self) -> str:
        """Return the id of another request."""
        return f"{self._prefix}-{next(self._numbers)}"

    async def request(
        self,
        route: str,
        node: int,
        path: str,
        request_id: str,
        deadline_s: float,
        give_up_s: float | None = None,
    ) -> HttpMessage | None:
        """Send a request, record its outcome and return the answer, ``None`` if there was none.

        A client that gives up closes the connection if there is no answer after ``give_up_s``.
        """
        request_fields = {"id": request_id, "route": route, "node": node, "path": path}
        connect_started_s = time.monotonic()
        connection = await self._connect(node)
        if connection is None:
            self._log.write("answer", **request_fields, asked_s=connect_started_s, ending="refused", status=0)
            return None
        headers = {"host": HOST, REQUEST_ID: request_id, DEADLINE: str(round(deadline_s * 1000))}
        asked_s = time.monotonic()
        ending, message = "silent", None
        try:
            async with asyncio.timeout(deadline_s + PAST_DEADLINE_S if give_up_s is None else give_up_s):
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
            ending = "silent" if give_up_s is None else "gave_up"
        self._keep(node, connection, message)
        self._log.write("answer", **request_fields, asked_s=asked_s, ending=ending, **_answer_fields(message))
        return message

    async def _connect(self, node: int) -> Connection | None:
        kept = self.idle[node]
        while kept:
            idle_since_s, connection = kept.pop()
            if time.monotonic() - idle_since_s < MAX_IDLE_S and not connection.reader.at_eof():
                return connection
            connection.writer.close()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                return Connection(*await asyncio.open_connection(self._front(node), FRONT_PORT))
        except (OSError, TimeoutError):
            return None

    def _keep(self, node: int, connection: Connection, message: HttpMessage | None) -> None:
        closing = message is None or message.headers.get("connection", "").lower() == "close"
        ignores_close = message is not None and self.rng.random() < IGNORE_CLOSE_SHARE
        if (closing and not ignores_close) or self.rng.random() > KEPT_SHARE:
            connection.writer.close()
        else:
            self.idle[node].append((time.monotonic(), connection))


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

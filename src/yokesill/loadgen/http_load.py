"""Sends planned arrivals to nodes over HTTP, open-loop, and collects the outcomes."""

import json
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
import httpcore

from yokesill.backends.connections import ConnectionPool
from yokesill.backends.http_backend import exchange
from yokesill.comm.network import split_address
from yokesill.loadgen.outcomes import Outcome, fill_from_reply
from yokesill.loadgen.plan import Arrival

CONNECTIONS_PER_NODE = 512
REPLY_GRACE_S = 2.0


@dataclass(slots=True)
class HttpLoad:
    """One load run on some nodes; a node that refuses connections is skipped for a while."""

    nodes: list[str]
    namespace: str
    token: str
    outcomes: list[Outcome] = field(default_factory=list)
    refused_until: dict[str, float] = field(default_factory=dict)
    sets: dict[str, ConnectionPool] = field(default_factory=dict)
    killed: Callable[[str], bool] = lambda _node: False

    async def run(self, arrivals: list[Arrival], progress: Callable[[int, int], None]) -> None:
        """Send each arrival at its time and wait for all outcomes."""
        started = anyio.current_time()
        async with anyio.create_task_group() as task_group:
            for number, arrival in enumerate(arrivals):
                await anyio.sleep(max(0.0, started + arrival.at - anyio.current_time()))
                task_group.start_soon(self._send, number, arrival, started)
                progress(number + 1, len(arrivals))

    async def _send(self, number: int, arrival: Arrival, started: float) -> None:
        load = arrival.load
        outcome = Outcome(
            arrival.service, load.request_class, load.repeatable, load.keyed, arrival.at, 0.0, "unknown"
        )
        for attempt in range(len(self.nodes)):
            node = self.nodes[(number + attempt) % len(self.nodes)]
            if self.refused_until.get(node, 0.0) > anyio.current_time():
                continue
            if await self._try_node(node, arrival, outcome):
                break
        else:
            outcome.verdict, outcome.reason = "not_run", "no_node"
        outcome.latency = anyio.current_time() - started - arrival.at
        self.outcomes.append(outcome)

    async def _try_node(self, node: str, arrival: Arrival, outcome: Outcome) -> bool:
        """Send to one node; return ``False`` if nothing ran, so that another node can be tried."""
        connections = self._connections_of(node)
        connection = await connections.acquire()
        if connection is None:
            return False
        path = f"/v1/namespaces/{self.namespace}/services/{arrival.service}/query"
        headers = [(b"Authorization", f"Bearer {self.token}".encode())]
        if arrival.idempotency_key is not None:
            headers.append((b"Idempotency-Key", arrival.idempotency_key.encode()))
        load = arrival.load
        body = json.dumps(
            {
                "class": load.request_class,
                "query": {},
                "key": arrival.key,
                "deadline_ms": load.deadline_ms,
                "repeatable": load.repeatable,
            }
        ).encode()
        limit = load.deadline_ms / 1000 + REPLY_GRACE_S
        try:
            with anyio.fail_after(limit):
                status, content = await exchange(connection, connections, b"POST", path, body, headers)
        except (httpcore.ConnectError, httpcore.ConnectTimeout):
            await connections.drop(connection)
            self.refused_until[node] = anyio.current_time() + 0.2
            return False
        except (httpcore.NetworkError, httpcore.ProtocolError, TimeoutError) as error:
            await connections.drop(connection)
            outcome.verdict, outcome.reason = "may_have_run", type(error).__name__
            # A killed node cuts its callers off; a planned stop must not.
            outcome.cut = not self.killed(node)
            return True
        await connections.release(connection)
        fill_from_reply(outcome, status, json.loads(content))
        # ``not_ready`` from a draining node means that nothing ran: try another node.
        return outcome.reason != "not_ready"

    def _connections_of(self, node: str) -> ConnectionPool:
        if node not in self.sets:
            host, port = split_address(node)
            origin = httpcore.Origin(b"http", host.encode(), port)
            self.sets[node] = ConnectionPool(origin, CONNECTIONS_PER_NODE)
        return self.sets[node]

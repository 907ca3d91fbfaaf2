"""Stand-ins for the platform's store and for servers, over loopback, for benchmarks of whole processes.

The store answers lists in one page, long polls with no changes and writes with success. Each server
answers at once with one part of 60 records. All run in one event loop of the benchmark's process, so that
they do not count towards the node's CPU time.
"""

import asyncio
import json
from collections.abc import Sequence
from typing import Any
from urllib.parse import parse_qs, urlsplit

BODY = bytes(range(16)) * 60
STORE, SERVERS = "127.0.0.2", "127.0.0.3"
GATHERED, SERVICES, REPLICAS = 90, 225, 3
HOST, ZONES = "records.example", ("z1", "z2", "z3")


class Configuration:
    """Content of the store: two routes that get requests, ``routes`` that get none, and their servers.

    ``REPLICAS`` servers per service listen on ``ports``; ``gathering`` of the services are shards.
    """

    def __init__(self, routes: int, ports: Sequence[int], gathering: int = GATHERED) -> None:
        self.services = [f"service-{number}" for number in range(len(ports) // REPLICAS)]
        gathered, others = self.services[:gathering], self.services[gathering:]
        self.ports = ports
        single = [
            self._route(f"route-{number}", f"/r{number}/", service=others[number % len(others)])
            for number in range(routes)
        ]
        wide = self._route("wide", "/wide/", gather=gathered, topK=50, minCoverage=0.9)
        one = self._route("one", "/one/", service=others[0])
        self.objects = {"config": [self._object("main", self._spec([wide, one, *single]))]}
        self.objects["servers"] = [
            self._object(f"i-{place:08x}", self._server(place)) for place in range(len(self.ports))
        ]

    def _spec(self, routes: list[dict[str, Any]]) -> dict[str, Any]:
        limits = {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 1048576,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        }
        services = [{"name": name, "maxConnections": 64} for name in self.services]
        return {"configVersion": 7, "routes": routes, "services": services, "limits": limits}

    def _server(self, place: int) -> dict[str, Any]:
        return {
            "service": self.services[place // REPLICAS],
            "address": f"{SERVERS}:{self.ports[place]}",
            "zone": ZONES[place % REPLICAS],
            "configVersion": 3,
            "capacity": 4,
            "state": "ready",
            "warmupLeftMs": 0,
            "callSeq": 9,
        }

    def _route(self, name: str, prefix: str, **destination: Any) -> dict[str, Any]:
        fixed = {"host": HOST, "routeType": "idempotent", "timeoutMs": 4000, "targetLatencyMs": 400}
        return {"name": name, "pathPrefix": prefix, "maxAttempts": 3, "priority": 2, **fixed, **destination}

    def _object(self, name: str, spec: dict[str, Any]) -> dict[str, Any]:
        return {"meta": {"name": name, "revision": 1, "made": 1}, "spec": spec, "status": None}


class _HttpProtocol(asyncio.Protocol):
    """Reads HTTP requests, with a body only if they have a content length; ``answer`` replies to each."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self._data = b""

    def data_received(self, data: bytes) -> None:
        self._data += data
        while (end := self._data.find(b"\r\n\r\n")) >= 0:
            head = self._data[:end]
            length = int(_header(head, b"content-length") or b"0")
            if len(self._data) < end + 4 + length:
                return
            self._data = self._data[end + 4 + length :]
            self.answer(head)

    def answer(self, head: bytes) -> None:
        """Reply to the request with this head."""
        raise NotImplementedError


class Part(_HttpProtocol):
    """A server that answers at once with one part of 60 records."""

    def answer(self, head: bytes) -> None:
        """Reply to one request."""
        request_id = _header(head, b"x-yokesill-request-id")
        head = b"HTTP/1.1 200 OK\r\nx-yokesill-request-id: " + request_id
        head += b"\r\nx-yokesill-server-stamp: " + request_id + b".%d" % id(self)
        self.transport.write(head + b"\r\ncontent-length: %d\r\n\r\n" % len(BODY) + BODY)


class Store(_HttpProtocol):
    """The metadata store, filled with ``configuration``."""

    def __init__(self, configuration: Configuration) -> None:
        self._objects = configuration.objects

    def answer(self, head: bytes) -> None:
        """Reply to one call."""
        method, target, _ = head.split(b"\r\n", 1)[0].decode().split(" ")
        parts = urlsplit(target)
        query = parse_qs(parts.query)
        kind = parts.path.split("/")[2]
        if method != "GET":
            self._reply({"meta": {"name": "x", "revision": 2}})
        elif "watch" in query:
            wait_s = int(query["waitMs"][0]) / 1000
            asyncio.get_running_loop().call_later(wait_s, self._reply, {"events": [], "at": 1})
        else:
            self._reply({"items": self._objects.get(kind, []), "more": False, "at": 1})

    def _reply(self, body: Any) -> None:
        content = json.dumps(body).encode()
        head = b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: "
        self.transport.write(head + b"%d\r\n\r\n" % len(content) + content)


def _header(head: bytes, name: bytes) -> bytes:
    for line in head.split(b"\r\n")[1:]:
        key, _, value = line.partition(b":")
        if key.lower() == name:
            return value.strip()
    return b""


async def serve(configuration: Configuration, store_port: int) -> None:
    """Start listening as the store and as all servers."""
    loop = asyncio.get_running_loop()
    await loop.create_server(lambda: Store(configuration), STORE, store_port)
    for port in configuration.ports:
        await loop.create_server(Part, SERVERS, port)

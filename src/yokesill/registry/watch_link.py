"""Carries a zone's watch over UDP datagrams and HTTP calls between nodes."""

from collections.abc import Callable

import anyio
import anyio.abc

from yokesill.clock import running_clock
from yokesill.registry.api_client import ApiClient
from yokesill.registry.awaited_connection import connect_tcp
from yokesill.registry.zone_watch import ZoneWatch
from yokesill.serving.datagrams import open_datagrams, send_datagram
from yokesill.serving.settings import Address
from yokesill.verdict import Failure, Reason, Verdict

STATE_PATH = "/state/"
FETCH_TIMEOUT_S = 1.0
OK = 200


class WatchLink:
    """Sends and receives for a ``ZoneWatch``; without its port every feed is watched here."""

    def __init__(self, address: Address) -> None:
        self._address = address
        self._socket: anyio.abc.UDPSocket | None = None
        self._clients: dict[str, ApiClient] = {}

    async def run(self, watch: ZoneWatch, watch_alone: Callable[[], None]) -> None:
        """Carry until cancelled."""
        self._socket = await open_datagrams(self._address)
        if self._socket is None:
            watch_alone()
            return
        async with self._socket, anyio.create_task_group() as task_group:
            task_group.start_soon(watch.run)
            clock = running_clock()
            async for data, (host, port) in self._socket:
                watch.take(data, f"{host}:{port}", clock())

    async def send(self, address: str, data: bytes) -> None:
        """Send a datagram to ``IP:PORT``."""
        if self._socket is not None:
            await send_datagram(self._socket, address, data)

    async def fetch(self, address: str, feed: str) -> bytes | Failure:
        """Ask the node at ``IP:PORT`` for a whole feed."""
        client = self._clients.get(address)
        if client is None:
            host, _, port = address.rpartition(":")
            client = self._clients[address] = ApiClient(Address(host, int(port)), connect_tcp)
        reply = await client.fetch("GET", STATE_PATH + feed, FETCH_TIMEOUT_S)
        if isinstance(reply, Failure):
            return reply
        if reply.status != OK:
            return Failure(Reason.BACKEND_ERROR, Verdict.NOT_RUN, f"the node answered {reply.status}")
        return reply.body

"""Transport of a zone's watch: UDP datagrams and HTTP calls between nodes."""

from collections.abc import Callable

from yokesill.logs import get_logger
from yokesill.registry.api_client import ApiClient
from yokesill.registry.stream_connection import connect_tcp
from yokesill.registry.zone_watch import ZoneWatch
from yokesill.serving.datagrams import DatagramSocket
from yokesill.serving.settings import Address
from yokesill.verdict import Failure, Reason, Verdict

STATE_PATH = "/state/"
FETCH_TIMEOUT_S = 1.0
OK = 200


class WatchLink:
    """Sends and receives for a ``ZoneWatch``; if its port can't be bound, this node watches every feed."""

    def __init__(self, address: Address) -> None:
        self._datagrams = DatagramSocket(address, get_logger("watch"))
        self._clients: dict[str, ApiClient] = {}

    async def run(self, watch: ZoneWatch, watch_alone: Callable[[], None]) -> None:
        """Receive datagrams and run the watch until cancelled; call ``watch_alone`` if there is no port."""
        if not await self._datagrams.run(watch.receive, watch.run):
            watch_alone()

    async def send(self, address: str, data: bytes) -> None:
        """Send a datagram to ``IP:PORT``."""
        await self._datagrams.send(address, data)

    async def fetch(self, address: str, feed: str) -> bytes | Failure:
        """Fetch a whole feed from the node at ``IP:PORT``."""
        client = self._clients.get(address)
        if client is None:
            host, _, port = address.rpartition(":")
            client = self._clients[address] = ApiClient(Address(host, int(port)), connect_tcp)
        reply = await client.fetch("GET", STATE_PATH + feed, FETCH_TIMEOUT_S)
        if isinstance(reply, Failure):
            return reply
        if reply.status != OK:
            return Failure(Reason.BACKEND_ERROR, Verdict.NOT_RUN, f"the node returned status {reply.status}")
        return reply.body

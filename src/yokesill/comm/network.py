"""Transport over the network: UDP datagrams, and HTTP requests with CBOR bodies for larger messages.

Requests arrive through the node's own HTTP server, under ``/internal/v1/{kind}``.
"""

import anyio
import anyio.abc

from yokesill.comm import http_status
from yokesill.comm.base import Transport
from yokesill.comm.http_client import HttpClient
from yokesill.verdict import Failure, Reason, Verdict

INTERNAL_PATH = "/internal/v1/"
# Total over all peers; further calls wait for a free connection.
MAX_PEER_CONNECTIONS = 64


def split_address(address: str) -> tuple[str, int]:
    """Split ``IP:PORT`` into the host and the port number."""
    host, _, port = address.rpartition(":")
    return host, int(port)


class NetworkTransport(Transport):
    """Communicates with peers over UDP and TCP at the same ``IP:PORT``."""

    def __init__(self, address: str) -> None:
        super().__init__(address)
        self._client = HttpClient(MAX_PEER_CONNECTIONS)
        self._socket: anyio.abc.UDPSocket | None = None

    async def run(self) -> None:
        """Receive datagrams until cancelled."""
        host, port = split_address(self.address)
        async with await anyio.create_udp_socket(local_host=host, local_port=port) as self._socket:
            async for data, _source in self._socket:
                self.deliver_datagram(data)

    async def send(self, address: str, datagram: bytes) -> None:
        """Send a datagram; errors are ignored, since membership detects an unreachable peer."""
        if self._socket is None:
            return
        host, port = split_address(address)
        self.bytes_sent += len(datagram)
        try:
            await self._socket.sendto(datagram, host, port)
        except (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError):
            # Not logged: datagrams may be lost anyway, and membership detects a peer that does not reply.
            return

    async def request(self, address: str, kind: str, body: bytes, timeout: float) -> bytes | Failure:
        """Send a request over HTTP."""
        self.bytes_sent += len(body)
        url = f"http://{address}{INTERNAL_PATH}{kind}"
        reply = await self._client.call("POST", url, timeout, body)
        if isinstance(reply, Failure):
            return reply
        self.bytes_received += len(reply.body)
        if reply.status == http_status.OK:
            return reply.body
        verdict = Verdict.NOT_RUN if reply.status == http_status.UNAVAILABLE else Verdict.MAY_HAVE_RUN
        return Failure(Reason.NOT_READY, verdict, f"{address} answered {reply.status} to {kind}")

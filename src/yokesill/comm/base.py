"""Abstract transport between nodes: unreliable datagrams, and requests with answers.

A node's address is ``IP:PORT``; datagrams use UDP and requests TCP at that same address.
"""

import abc
from collections.abc import Awaitable, Callable

from yokesill.verdict import Failure

DatagramHandler = Callable[[bytes], None]
RequestHandler = Callable[[str, bytes], Awaitable[bytes | Failure]]


class Transport(abc.ABC):
    """Carries sealed frames between nodes without interpreting them."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.bytes_sent = 0
        self.bytes_received = 0
        self._on_datagram: DatagramHandler | None = None
        self._on_request: RequestHandler | None = None

    def serve(self, on_datagram: DatagramHandler, on_request: RequestHandler) -> None:
        """Set the handlers for incoming datagrams and requests."""
        self._on_datagram = on_datagram
        self._on_request = on_request

    def deliver_datagram(self, datagram: bytes) -> None:
        """Pass an incoming datagram to its handler, if one is set."""
        self.bytes_received += len(datagram)
        if self._on_datagram is not None:
            self._on_datagram(datagram)

    async def deliver_request(self, kind: str, body: bytes) -> bytes | Failure | None:
        """Pass an incoming request to its handler; ``None`` when the node does not serve yet."""
        self.bytes_received += len(body)
        if self._on_request is None:
            return None
        return await self._on_request(kind, body)

    @abc.abstractmethod
    async def run(self) -> None:
        """Receive until cancelled."""

    @abc.abstractmethod
    async def send(self, address: str, datagram: bytes) -> None:
        """Send a datagram; it may be lost, and errors are not reported."""

    @abc.abstractmethod
    async def request(self, address: str, kind: str, body: bytes, timeout: float) -> bytes | Failure:
        """Send a request; return its answer, or a failure with a verdict, within ``timeout`` seconds."""

"""UDP datagrams between nodes: a socket, and a multiplexer for links that share one.

Owns the sockets. Datagrams may be lost, so senders must not rely on their delivery. Datagrams that can't be
sent or read are logged and dropped.
"""

import socket
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

import anyio
import anyio.abc

from yokesill.clock import running_clock
from yokesill.logs import Logger, get_logger
from yokesill.peers.dissemination import Datagram
from yokesill.peers.frame import kind_of
from yokesill.serving.settings import Address

# Observations of many requests at about the same time are batched into a few datagrams. Short compared to the
# 100 ms within which a detector counts observations as one.
BATCHING_DELAY_S = 0.015

Receive = Callable[[bytes, str, float], None]

_log = get_logger("datagrams")


async def open_datagrams(address: Address) -> anyio.abc.UDPSocket | None:
    """Open a socket; log the failure and return ``None`` if its port can't be bound.

    Binds the socket directly: anyio would first resolve the address as a host name, which starts a thread
    that lives until the process ends.
    """
    opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        opened.setblocking(False)
        opened.bind((address.host, address.port))
        return await anyio.abc.UDPSocket.from_socket(opened)
    except OSError as error:
        opened.close()
        _log.error("datagrams_unavailable", address=str(address), problem=repr(error))
        return None


class DatagramSocket:
    """Sends datagrams to other nodes and receives theirs.

    Parameters
    ----------
    address
        Address that the socket is bound to; ``None`` if this node has no port for datagrams.
    log
        Logs each rejected datagram.
    """

    def __init__(self, address: Address | None, log: Logger) -> None:
        self._address = address
        self._log = log
        self._socket: anyio.abc.UDPSocket | None = None

    async def run(self, receive: Receive, serve: Callable[[], Coroutine[Any, Any, None]]) -> bool:
        """Run ``serve`` and receive datagrams until cancelled.

        Parameters
        ----------
        receive
            Called with each datagram, its sender (``IP:PORT``) and the node's clock in seconds; raises
            ``ValueError`` to reject the datagram.
        serve
            Task that runs while the socket is open.

        Returns
        -------
        bool
            False, immediately, if there is no port or it can't be bound.
        """
        if self._address is not None:
            self._socket = await open_datagrams(self._address)
        if self._socket is None:
            return False
        clock = running_clock()
        async with self._socket, anyio.create_task_group() as task_group:
            task_group.start_soon(serve)
            async for data, (host, port) in self._socket:
                sender = f"{host}:{port}"
                try:
                    receive(data, sender, clock())
                except ValueError as error:
                    self._log.warning("datagram_rejected", sender=sender, problem=str(error))
        return True

    async def send(self, address: str, data: bytes) -> None:
        """Send to ``IP:PORT``; a datagram that can't be sent is logged and dropped."""
        if self._socket is None:
            return
        host, _, port = address.rpartition(":")
        try:
            await self._socket.sendto(data, host, int(port))
        except OSError as error:
            _log.info("datagram_lost", address=address, problem=repr(error))


class DatagramLink(Protocol):
    """One of several components that share a socket; each handles its own kinds of datagrams."""

    @property
    def kinds(self) -> frozenset[int]:
        """The kinds of datagrams that this link receives."""

    @property
    def pending(self) -> bool:
        """Whether ``flush`` would return anything."""

    @property
    def urgent(self) -> bool:
        """Whether something must be sent without waiting for more to batch with it."""

    def receive(self, data: bytes, sender: str, now: float) -> None:
        """Handle a datagram from ``sender`` (``IP:PORT``); raises ``ValueError`` to reject it."""

    def flush(self) -> list[Datagram]:
        """Return the datagrams to send now."""


class SharedDatagramSocket:
    """Sends and receives the datagrams of several links over one socket.

    Parameters
    ----------
    datagrams
        Socket that the links share.
    """

    def __init__(self, datagrams: DatagramSocket) -> None:
        self._datagrams = datagrams
        self._links: list[DatagramLink] = []
        self._by_kind: dict[int, DatagramLink] = {}
        self._send_requested = anyio.Event()
        self._has_no_port = False

    def add(self, link: DatagramLink) -> None:
        """Add a link, which must call ``wake`` when it has something to send."""
        self._links.append(link)
        self._by_kind.update(dict.fromkeys(link.kinds, link))

    async def run(self) -> None:
        """Send and receive until cancelled; return if the node has no port for datagrams."""
        self._has_no_port = not await self._datagrams.run(self._receive, self._send)
        self.wake()

    def wake(self) -> None:
        """Send pending datagrams soon; without a port drop them, since they would accumulate indefinitely."""
        if self._has_no_port:
            self._take_pending()
        elif any(link.pending for link in self._links):
            self._send_requested.set()

    def _receive(self, data: bytes, sender: str, now: float) -> None:
        kind = kind_of(data)
        link = self._by_kind.get(kind)
        if link is None:
            raise ValueError(f"datagram kind {kind} is unknown")
        link.receive(data, sender, now)
        self.wake()

    async def _send(self) -> None:
        while True:
            await self._send_requested.wait()
            await self._wait_for_batch()
            self._send_requested = anyio.Event()
            for datagram in self._take_pending():
                await self._datagrams.send(datagram.address, datagram.data)

    def _take_pending(self) -> list[Datagram]:
        return [datagram for link in self._links for datagram in link.flush()]

    async def _wait_for_batch(self) -> None:
        """Wait ``BATCHING_DELAY_S`` for more to send, or until something is urgent."""
        with anyio.move_on_after(BATCHING_DELAY_S):
            while not any(link.urgent for link in self._links):
                self._send_requested = anyio.Event()
                await self._send_requested.wait()

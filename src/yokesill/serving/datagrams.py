"""Datagrams between nodes over UDP: a socket, and a sender for parts that share one.

Owns the sockets. A datagram may be lost on its way, so whoever sends one must not rely on its arrival; what
can't be sent or read is logged and dropped.
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

# What many requests see in one moment goes out together, in a few datagrams: it is short beside the 100 ms
# within which a detector takes observations for one.
GATHERING_S = 0.015

Receive = Callable[[bytes, str, float], None]

_log = get_logger("datagrams")


async def open_datagrams(address: Address) -> anyio.abc.UDPSocket | None:
    """Open a socket; ``None``, with a line in the log, when the port can't be had.

    Bound here, and not by a library that first looks the address up as a name: that starts a thread,
    which a node would keep until its end.
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
        Where this node's datagrams arrive; ``None`` if it has no port for them.
    log
        Gets a line for each datagram that is rejected.
    """

    def __init__(self, address: Address | None, log: Logger) -> None:
        self._address = address
        self._log = log
        self._socket: anyio.abc.UDPSocket | None = None

    async def run(self, receive: Receive, serve: Callable[[], Coroutine[Any, Any, None]]) -> bool:
        """Receive until cancelled, while ``serve`` runs.

        Parameters
        ----------
        receive
            Gets each datagram, its sender (``IP:PORT``) and the node's clock in seconds; raises
            ``ValueError`` for one that it rejects.
        serve
            What the node does while it can send.

        Returns
        -------
        bool
            False, at once, when there is no port or it can't be had.
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
        """Send to ``IP:PORT``; a datagram that can't be sent is lost, as others are on their way."""
        if self._socket is None:
            return
        host, _, port = address.rpartition(":")
        try:
            await self._socket.sendto(data, host, int(port))
        except OSError as error:
            _log.info("datagram_lost", address=address, problem=repr(error))


class DatagramLink(Protocol):
    """One of several parts of a node that share a socket; each has its own kinds of datagrams."""

    @property
    def kinds(self) -> frozenset[int]:
        """Which kinds of datagrams it reads."""

    @property
    def pending(self) -> bool:
        """Whether there is something to send."""

    @property
    def urgent(self) -> bool:
        """Whether it can't wait for more to go with it."""

    def receive(self, data: bytes, sender: str, now: float) -> None:
        """Read a datagram from ``sender`` (``IP:PORT``); raises ``ValueError`` to reject it."""

    def flush(self) -> list[Datagram]:
        """Return what is to be sent now."""


class SharedDatagramSocket:
    """Sends and receives the datagrams of several parts over one socket.

    Parameters
    ----------
    datagrams
        The socket.
    """

    def __init__(self, datagrams: DatagramSocket) -> None:
        self._datagrams = datagrams
        self._parts: list[DatagramLink] = []
        self._by_kind: dict[int, DatagramLink] = {}
        self._wanted = anyio.Event()
        self._alone = False

    def add(self, part: DatagramLink) -> None:
        """Add a part; it calls ``wake`` when it has something to send."""
        self._parts.append(part)
        self._by_kind.update(dict.fromkeys(part.kinds, part))

    async def run(self) -> None:
        """Send and receive until cancelled; without a port the node goes on alone."""
        self._alone = not await self._datagrams.run(self._receive, self._send)
        self.wake()

    def wake(self) -> None:
        """Send soon what is pending; without a port drop it: it would grow as long as the node runs."""
        if self._alone:
            self._take_pending()
        elif any(part.pending for part in self._parts):
            self._wanted.set()

    def _receive(self, data: bytes, sender: str, now: float) -> None:
        kind = kind_of(data)
        part = self._by_kind.get(kind)
        if part is None:
            raise ValueError(f"a datagram of kind {kind}")
        part.receive(data, sender, now)
        self.wake()

    async def _send(self) -> None:
        while True:
            await self._wanted.wait()
            await self._gather()
            self._wanted = anyio.Event()
            for datagram in self._take_pending():
                await self._datagrams.send(datagram.address, datagram.data)

    def _take_pending(self) -> list[Datagram]:
        return [datagram for part in self._parts for datagram in part.flush()]

    async def _gather(self) -> None:
        """Wait a moment for more to go along, unless there is something urgent."""
        with anyio.move_on_after(GATHERING_S):
            while not any(part.urgent for part in self._parts):
                self._wanted = anyio.Event()
                await self._wanted.wait()

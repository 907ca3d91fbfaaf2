"""Carries a node's part in finding outliers over UDP datagrams, and what else goes by the same socket."""

from collections.abc import Callable, Iterable
from typing import Protocol

import anyio
import anyio.abc

from yokesill.clock import running_clock
from yokesill.gateway.events import ServerObserved
from yokesill.logs import get_logger
from yokesill.outliers.exchange import OutlierExchange
from yokesill.outliers.messages import OUTLIER_KINDS, Observation, Suspicion
from yokesill.peers.dissemination import Datagram
from yokesill.peers.frame import kind_of
from yokesill.serving.datagrams import open_datagrams, send_datagram
from yokesill.serving.settings import Address

# What many requests see at one moment goes out together.
GATHERING_S = 0.015


class DatagramPart(Protocol):
    """What else is told by the same socket; ``wanted`` is called when there is something to send."""

    wanted: Callable[[], None]

    @property
    def pending(self) -> bool:
        """Whether there is something to send."""

    @property
    def urgent(self) -> bool:
        """Whether it can't wait for more to go with it."""

    def receive(self, data: bytes, sender: str) -> None:
        """Take a datagram from ``sender`` (``IP:PORT``); raises ``ValueError`` if it is none of its own."""

    def flush(self) -> list[Datagram]:
        """Return what is to be sent now."""


class OutlierLink:
    """Sends what this node saw, and hands ``suspect`` what is found here or told by others.

    ``beside`` sends and takes the datagrams of other kinds.
    """

    def __init__(
        self,
        exchange: OutlierExchange,
        address: Address | None,
        suspect: Callable[[Iterable[Suspicion]], None],
        beside: DatagramPart | None = None,
    ) -> None:
        self._exchange = exchange
        self._address = address
        self._suspect = suspect
        self._beside = beside
        if beside is not None:
            beside.wanted = self._want_flush
        self._wanted = anyio.Event()
        self._log = get_logger("outliers")

    async def run(self) -> None:
        """Send and receive until cancelled; without a port the node goes on alone."""
        if self._address is None:
            return
        socket = await open_datagrams(self._address)
        if socket is None:
            return
        async with socket, anyio.create_task_group() as task_group:
            task_group.start_soon(self._send, socket)
            clock = running_clock()
            async for data, (host, port) in socket:
                self._take(data, f"{host}:{port}", clock())

    def observe(self, seen: ServerObserved) -> None:
        """Tell that a server was late, failed or silent."""
        observation = Observation(seen.instance, seen.good_answers)
        self._suspect(self._exchange.observe(observation, anyio.current_time()))
        self._want_flush()

    def _take(self, data: bytes, sender: str, now: float) -> None:
        try:
            if self._beside is not None and kind_of(data) not in OUTLIER_KINDS:
                self._beside.receive(data, sender)
                self._want_flush()
                return
            suspicions = self._exchange.receive(data, now)
        except ValueError as error:
            self._log.warning("datagram_rejected", problem=str(error))
            return
        self._suspect(suspicions)
        self._want_flush()

    def _want_flush(self) -> None:
        if self._exchange.pending or (self._beside is not None and self._beside.pending):
            self._wanted.set()

    async def _send(self, socket: anyio.abc.UDPSocket) -> None:
        while True:
            await self._wanted.wait()
            await self._gather()
            self._wanted = anyio.Event()
            beside = [] if self._beside is None else self._beside.flush()
            for datagram in (*self._exchange.flush(), *beside):
                await send_datagram(socket, datagram.address, datagram.data)

    async def _gather(self) -> None:
        """Wait a moment for more to go along, unless there is something urgent."""
        beside = self._beside
        with anyio.move_on_after(GATHERING_S):
            while beside is None or not beside.urgent:
                self._wanted = anyio.Event()
                await self._wanted.wait()

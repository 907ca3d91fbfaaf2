"""Carries a node's part in finding outliers over UDP datagrams."""

from collections.abc import Callable, Iterable

import anyio
import anyio.abc

from yokesill.clock import running_clock
from yokesill.gateway.events import ServerObserved
from yokesill.logs import get_logger
from yokesill.outliers.exchange import OutlierExchange
from yokesill.outliers.messages import Observation, Suspicion
from yokesill.serving.datagrams import open_datagrams, send_datagram
from yokesill.serving.settings import Address

# What many requests see at one moment goes out together.
GATHERING_S = 0.015


class OutlierLink:
    """Sends what this node saw, and hands ``suspect`` what is found here or told by others."""

    def __init__(
        self,
        exchange: OutlierExchange,
        address: Address | None,
        suspect: Callable[[Iterable[Suspicion]], None],
    ) -> None:
        self._exchange = exchange
        self._address = address
        self._suspect = suspect
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
            async for data, _source in socket:
                self._take(data, clock())

    def observe(self, seen: ServerObserved) -> None:
        """Tell that a server was late, failed or silent."""
        observation = Observation(seen.instance, seen.good_answers)
        self._suspect(self._exchange.observe(observation, anyio.current_time()))
        self._want_flush()

    def _take(self, data: bytes, now: float) -> None:
        try:
            suspicions = self._exchange.receive(data, now)
        except ValueError as error:
            self._log.warning("datagram_rejected", problem=str(error))
            return
        self._suspect(suspicions)
        self._want_flush()

    def _want_flush(self) -> None:
        if self._exchange.pending:
            self._wanted.set()

    async def _send(self, socket: anyio.abc.UDPSocket) -> None:
        while True:
            await self._wanted.wait()
            await anyio.sleep(GATHERING_S)
            self._wanted = anyio.Event()
            for datagram in self._exchange.flush():
                await send_datagram(socket, datagram.address, datagram.data)

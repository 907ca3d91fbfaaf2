"""Connects a node's router to the exchange that detects slow and failing servers."""

from collections.abc import Callable, Iterable

import anyio

from yokesill.gateway.events import ServerObserved
from yokesill.outliers.exchange import OutlierExchange
from yokesill.outliers.messages import OUTLIER_KINDS, Observation, Suspicion
from yokesill.peers.dissemination import Datagram


class OutlierLink:
    """Reports this node's observations of servers and applies suspicions from this node and others.

    Parameters
    ----------
    exchange
        Detects outliers and selects the nodes to notify.
    suspect
        Called with the suspicions that apply at this node from now on.
    wake
        Called when there is something to send.
    """

    kinds = OUTLIER_KINDS
    urgent = False

    def __init__(
        self,
        exchange: OutlierExchange,
        suspect: Callable[[Iterable[Suspicion]], None],
        wake: Callable[[], None],
    ) -> None:
        self._exchange = exchange
        self._suspect = suspect
        self._wake = wake

    @property
    def pending(self) -> bool:
        """Whether ``flush`` would return anything."""
        return self._exchange.pending

    def flush(self) -> list[Datagram]:
        """Return the datagrams to send now."""
        return self._exchange.flush()

    def observe(self, observed: ServerObserved) -> None:
        """Report a server that was late, failed or did not answer."""
        observation = Observation(observed.instance, observed.good_answers)
        self._suspect(self._exchange.observe(observation, anyio.current_time()))
        self._wake()

    def receive(self, data: bytes, sender: str, now: float) -> None:
        """Handle a datagram; raises ``ValueError`` if it is not a valid message."""
        self._suspect(self._exchange.receive(data, now))

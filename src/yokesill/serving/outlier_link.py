"""Connects a node's router to the other nodes in finding slow and failing servers."""

from collections.abc import Callable, Iterable

import anyio

from yokesill.gateway.events import ServerObserved
from yokesill.outliers.exchange import OutlierExchange
from yokesill.outliers.messages import OUTLIER_KINDS, Observation, Suspicion
from yokesill.peers.dissemination import Datagram


class OutlierLink:
    """Reports what this node saw of servers, and passes on what is found here or elsewhere.

    Parameters
    ----------
    exchange
        Detects, and knows whom to tell.
    suspect
        Gets the suspicions that hold here from now on.
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
        """Whether there is something to send."""
        return self._exchange.pending

    def flush(self) -> list[Datagram]:
        """Return what is to be sent now."""
        return self._exchange.flush()

    def observe(self, seen: ServerObserved) -> None:
        """Report that a server was late, failed or silent."""
        observation = Observation(seen.instance, seen.good_answers)
        self._suspect(self._exchange.observe(observation, anyio.current_time()))
        self._wake()

    def receive(self, data: bytes, sender: str, now: float) -> None:
        """Read a datagram; raises ``ValueError`` if it is no message."""
        self._suspect(self._exchange.receive(data, now))

"""What a node finds together with the others: servers to avoid, requests to quarantine."""

import random
from collections.abc import Iterable

import anyio

from yokesill.gateway.events import ServerSuspected
from yokesill.logs import get_logger
from yokesill.outliers.exchange import OutlierExchange
from yokesill.outliers.messages import Suspicion
from yokesill.peers.dissemination import Peer
from yokesill.quarantine.exchange import QuarantineExchange
from yokesill.registry.feeds import NodeContact, QuarantineRecords
from yokesill.serving.datagrams import DatagramSocket, SharedDatagramSocket
from yokesill.serving.driver import GatewayDriver
from yokesill.serving.outlier_link import OutlierLink
from yokesill.serving.quarantine_link import QuarantineLink
from yokesill.serving.settings import Address


class Findings:
    """Connects both to the node's router; their datagrams share one socket.

    Parameters
    ----------
    own
        This node, as the others know it.
    address
        Where its datagrams arrive; without one it finds for itself alone.
    driver
        Feeds its router.
    records
        Where quarantined requests are recorded; ``None`` if nowhere.
    source
        Chooses relays and spreads calls.
    """

    def __init__(
        self,
        own: NodeContact,
        address: Address | None,
        driver: GatewayDriver,
        records: QuarantineRecords | None,
        source: random.Random,
    ) -> None:
        peer = Peer(own.node, own.datagrams, own.zone)
        self._driver = driver
        self._outliers = OutlierExchange(peer, source)
        self._requests = QuarantineExchange(peer, source)
        self._datagrams = SharedDatagramSocket(DatagramSocket(address, get_logger("outliers")))
        wake = self._datagrams.wake
        outliers = OutlierLink(self._outliers, self._suspect, wake)
        self._quarantine = QuarantineLink(
            self._requests, driver.router.quarantine, driver.feed, records, source, wake
        )
        self._datagrams.add(outliers)
        self._datagrams.add(self._quarantine)
        driver.on_server_observed = outliers.observe
        driver.on_server_forgotten = self._outliers.forget
        driver.on_crash_finding = self._quarantine.on_finding

    async def run(self) -> None:
        """Send and receive until cancelled."""
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(self._datagrams.run)
            task_group.start_soon(self._quarantine.run)

    def set_nodes(self, contacts: Iterable[NodeContact]) -> None:
        """Set which nodes there are."""
        peers = [Peer(each.node, each.datagrams, each.zone) for each in contacts if each.datagrams]
        self._outliers.set_peers(peers)
        self._requests.set_peers(peers)

    def record_again(self) -> None:
        """Record again what the registry may have lost."""
        self._quarantine.record_again()

    def _suspect(self, suspicions: Iterable[Suspicion]) -> None:
        for suspicion in suspicions:
            self._driver.feed(ServerSuspected(suspicion.instance, suspicion.for_s))

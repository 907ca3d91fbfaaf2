"""Detects, together with the other nodes, servers to avoid and requests to quarantine."""

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
    """Connects outlier detection and quarantine to the node's router; their datagrams share one socket.

    Parameters
    ----------
    own
        This node's contact.
    address
        Address for datagrams; without one this node uses only its own observations.
    driver
        Feeds the node's router.
    records
        The registry's records of quarantined requests; ``None`` if there are none.
    source
        Random source that chooses relays and spreads calls over time.
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
        self._outlier_exchange = OutlierExchange(peer, source)
        self._quarantine_exchange = QuarantineExchange(peer, source)
        self._datagrams = SharedDatagramSocket(DatagramSocket(address, get_logger("outliers")))
        wake = self._datagrams.wake
        outlier_link = OutlierLink(self._outlier_exchange, self._suspect, wake)
        self._quarantine_link = QuarantineLink(
            self._quarantine_exchange, driver.router.quarantine, driver.feed, records, source, wake
        )
        self._datagrams.add(outlier_link)
        self._datagrams.add(self._quarantine_link)
        driver.on_server_observed = outlier_link.observe
        driver.on_server_forgotten = self._outlier_exchange.forget
        driver.on_crash_finding = self._quarantine_link.on_finding

    async def run(self) -> None:
        """Exchange datagrams and maintain the registry's records until cancelled."""
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(self._datagrams.run)
            task_group.start_soon(self._quarantine_link.run)

    def set_nodes(self, contacts: Iterable[NodeContact]) -> None:
        """Replace the known nodes."""
        peers = [Peer(each.node, each.datagrams, each.zone) for each in contacts if each.datagrams]
        self._outlier_exchange.set_peers(peers)
        self._quarantine_exchange.set_peers(peers)

    def record_again(self) -> None:
        """Record quarantined requests again, since the registry may have lost them."""
        self._quarantine_link.record_again()

    def _suspect(self, suspicions: Iterable[Suspicion]) -> None:
        for suspicion in suspicions:
            self._driver.feed(ServerSuspected(suspicion.instance, suspicion.for_s))

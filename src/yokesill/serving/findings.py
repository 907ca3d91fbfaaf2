"""What a node finds together with the others: servers to go around, requests to keep from servers."""

import random
from collections.abc import Iterable

import anyio

from yokesill.gateway.events import ServerSuspected
from yokesill.outliers.exchange import OutlierExchange
from yokesill.outliers.messages import Suspicion
from yokesill.peers.dissemination import Peer
from yokesill.quarantine.exchange import QuarantineExchange
from yokesill.registry.feeds import NodeContact, QuarantineRecords
from yokesill.serving.driver import GatewayDriver
from yokesill.serving.outlier_link import OutlierLink
from yokesill.serving.quarantine_link import QuarantineLink
from yokesill.serving.settings import Address


class Findings:
    """Wires a node's part in both to its router; both go by one socket.

    Parameters
    ----------
    own
        This node, as the others know it.
    address
        Where its datagrams come to; without one it finds for itself alone.
    driver
        Feeds its router.
    records
        Where requests that are kept from servers are recorded; ``None`` if nowhere.
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
        self._quarantine = QuarantineLink(
            self._requests, driver.router.quarantine, driver.feed, records, source
        )
        self._link = OutlierLink(self._outliers, address, self._suspect, self._quarantine)
        driver.observed = self._link.observe
        driver.forgotten = self._outliers.forget
        driver.crashed = self._quarantine.take

    async def run(self) -> None:
        """Tell and be told until cancelled."""
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(self._link.run)
            task_group.start_soon(self._quarantine.run)

    def set_nodes(self, contacts: Iterable[NodeContact]) -> None:
        """Take which nodes there are."""
        peers = [Peer(each.node, each.datagrams, each.zone) for each in contacts if each.datagrams]
        self._outliers.set_peers(peers)
        self._requests.set_peers(peers)

    def _suspect(self, suspicions: Iterable[Suspicion]) -> None:
        for suspicion in suspicions:
            self._driver.feed(ServerSuspected(suspicion.instance, suspicion.for_s))

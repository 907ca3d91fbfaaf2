"""Checks whether a node that depends on other zones still reaches any of their nodes or servers.

Opens connections and closes them at once, few and only without answers of servers elsewhere; the decision is
``gateway.partition``'s. Owns the list of nodes of other zones.
"""

import contextlib
import random
from collections.abc import Callable, Iterable, Sequence
from typing import TypeVar

import anyio

from yokesill.gateway.partition import PartitionDetector, depends_on_others
from yokesill.gateway.router import GatewayRouter
from yokesill.registry.feeds import NodeContact
from yokesill.serving.settings import Address
from yokesill.upstreams.wires import StreamConnector

# Ten times the longest way between regions: a place that needs longer can't serve a request in time.
CONNECT_TIMEOUT_S = 0.25
# Places of each kind that one check tries after a check that reached none: two nodes, since one may be dead.
NODES_TRIED = 2
SERVERS_TRIED = 1

Place = TypeVar("Place")


class Reachability:
    """Checks one node's ways to servers and nodes of other zones.

    Parameters
    ----------
    zone
        This node's.
    router
        Has the services and servers.
    answered_at_s
        Return when a server of another zone last answered this node, in seconds of its clock.
    connect
        Open a connection.
    changed
        Called with whether the node is partitioned, when that changes.
    source
        Chooses the places to try.
    """

    def __init__(
        self,
        zone: str,
        router: GatewayRouter,
        answered_at_s: Callable[[], float],
        connect: StreamConnector,
        changed: Callable[[bool], object],
        source: random.Random,
    ) -> None:
        self.detector = PartitionDetector()
        self._zone = zone
        self._router = router
        self._answered_at_s = answered_at_s
        self._connect = connect
        self._changed = changed
        self._random = source
        self._nodes: tuple[Address, ...] = ()

    def set_nodes(self, contacts: Iterable[NodeContact]) -> None:
        """Replace the nodes that can be tried."""
        others = (each.peers for each in contacts if each.zone != self._zone and each.peers)
        self._nodes = tuple(_address(each) for each in others)

    async def run(self) -> None:
        """Check until cancelled."""
        while True:
            await anyio.sleep(self.detector.interval_s * (0.9 + 0.2 * self._random.random()))
            before = self.detector.partitioned
            reached = await self._reaches_anything()
            now = anyio.current_time()
            if reached:
                self.detector.record_reachable(now)
            else:
                self.detector.record_unreachable(now)
            if self.detector.partitioned != before:
                self._changed(self.detector.partitioned)

    async def _reaches_anything(self) -> bool:
        """Whether a server elsewhere answered since the last check, or a place accepts a connection.

        Without nodes elsewhere a partition can't be told from servers that are dark for all nodes.
        """
        since_s = anyio.current_time() - self.detector.interval_s
        if self._answered_at_s() >= since_s or not self._nodes:
            return True
        records = self._router.servers.records()
        if not depends_on_others(self._zone, self._router.configuration, records):
            return True
        places = self._some(self._nodes, NODES_TRIED if self.detector.last_check_failed else 1)
        if self.detector.last_check_failed:
            far = [each for each in records if each.zone != self._zone]
            places += [Address(each.host, each.port) for each in self._some(far, SERVERS_TRIED)]
        return await self._connects_to_any(places)

    def _some(self, places: Sequence[Place], count: int) -> list[Place]:
        return self._random.sample(places, min(count, len(places)))

    async def _connects_to_any(self, places: list[Address]) -> bool:
        reached: list[Address] = []

        async def try_one(place: Address) -> None:
            # Not logged: one place that refuses says nothing; the life cycle logs when the decision changes.
            with contextlib.suppress(OSError, anyio.BrokenResourceError):
                stream = await self._connect(place.host, place.port)
                await anyio.aclose_forcefully(stream)
                reached.append(place)
                tasks.cancel_scope.cancel()

        with anyio.move_on_after(CONNECT_TIMEOUT_S):
            async with anyio.create_task_group() as tasks:
                for place in places:
                    tasks.start_soon(try_one, place)
        return bool(reached)


def _address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    return Address(host, int(port))

"""Checks whether a node that depends on other zones can reach any of their nodes or servers.

Opens connections and closes them immediately; it opens few, and only while no server of another zone answers.
``gateway.partition`` makes the decision. Owns the list of nodes of other zones.
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

# Ten times the longest latency between regions: a slower endpoint can't serve a request in time.
CONNECT_TIMEOUT_S = 0.25
# Endpoints that a check tries if the previous check reached none: two nodes, since one may be dead.
RECHECKED_NODES = 2
RECHECKED_SERVERS = 1

Endpoint = TypeVar("Endpoint")


class Reachability:
    """Checks one node's connectivity to servers and nodes of other zones.

    Parameters
    ----------
    zone
        This node's zone.
    router
        Holds the configuration and the servers.
    last_remote_answer_s
        Returns when a server of another zone last answered this node, in seconds of the node's clock.
    connect
        Opens a connection.
    on_change
        Called with whether the node is partitioned, when this changes.
    source
        Random source that chooses the endpoints to try.
    """

    def __init__(
        self,
        zone: str,
        router: GatewayRouter,
        last_remote_answer_s: Callable[[], float],
        connect: StreamConnector,
        on_change: Callable[[bool], object],
        source: random.Random,
    ) -> None:
        self.detector = PartitionDetector()
        self._zone = zone
        self._router = router
        self._last_remote_answer_s = last_remote_answer_s
        self._connect = connect
        self._on_change = on_change
        self._random = source
        self._nodes: tuple[Address, ...] = ()

    def set_nodes(self, contacts: Iterable[NodeContact]) -> None:
        """Replace the known nodes; those of other zones can be tried."""
        others = (each.peers for each in contacts if each.zone != self._zone and each.peers)
        self._nodes = tuple(_parse_address(each) for each in others)

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
                self._on_change(self.detector.partitioned)

    async def _reaches_anything(self) -> bool:
        """Whether a server of another zone answered since the last check or an endpoint accepts connections.

        True if there are no nodes in other zones: a partition can't be distinguished from servers that are
        unreachable for all nodes.
        """
        since_s = anyio.current_time() - self.detector.interval_s
        if self._last_remote_answer_s() >= since_s or not self._nodes:
            return True
        records = self._router.servers.records()
        if not depends_on_others(self._zone, self._router.configuration, records):
            return True
        endpoints = self._sample(self._nodes, RECHECKED_NODES if self.detector.last_check_failed else 1)
        if self.detector.last_check_failed:
            remote = [each for each in records if each.zone != self._zone]
            endpoints += [Address(each.host, each.port) for each in self._sample(remote, RECHECKED_SERVERS)]
        return await self._connects_to_any(endpoints)

    def _sample(self, endpoints: Sequence[Endpoint], count: int) -> list[Endpoint]:
        return self._random.sample(endpoints, min(count, len(endpoints)))

    async def _connects_to_any(self, endpoints: list[Address]) -> bool:
        reached: list[Address] = []

        async def try_connect(endpoint: Address) -> None:
            # Not logged: a single refusal is not significant; the life cycle logs when the decision changes.
            with contextlib.suppress(OSError, anyio.BrokenResourceError):
                stream = await self._connect(endpoint.host, endpoint.port)
                await anyio.aclose_forcefully(stream)
                reached.append(endpoint)
                tasks.cancel_scope.cancel()

        with anyio.move_on_after(CONNECT_TIMEOUT_S):
            async with anyio.create_task_group() as tasks:
                for endpoint in endpoints:
                    tasks.start_soon(try_connect, endpoint)
        return bool(reached)


def _parse_address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    return Address(host, int(port))

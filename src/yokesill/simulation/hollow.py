"""Hollow nodes: the real membership and replication code of many nodes in one process, and nothing else."""

import random
import statistics
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import anyio
import anyio.abc

from yokesill.cluster.gossip import Gossip
from yokesill.cluster.sync import Synchroniser
from yokesill.comm.memory import MemoryTransport, Network
from yokesill.comm.sealing import Sealer
from yokesill.membership.detector import DetectorOptions
from yokesill.membership.records import MemberRecord, MemberStatus
from yokesill.membership.rumors import ServerNotice
from yokesill.membership.table import MemberTable
from yokesill.replication.replica import ConfigurationReplica
from yokesill.resources.objects import StoredObject
from yokesill.verdict import Failure, Reason, Verdict

ZONES = ("r1z1", "r1z2", "r1z3", "r1z4", "r2z1", "r2z2", "r2z3")
KEY = bytes(32)
POLL = 0.05
START_SPREAD = 0.2
FIRST_INCARNATION = 1


def region_of(zone: str) -> str:
    """Return the region that a zone's name begins with."""
    return zone[:2]


@dataclass(slots=True)
class HollowNode:
    """One node's control plane."""

    table: MemberTable
    replica: ConfigurationReplica
    gossip: Gossip
    sync: Synchroniser
    transport: MemoryTransport
    scope: anyio.CancelScope
    leaving_servers: set[str] = field(default_factory=set)


class HollowCluster:
    """Many hollow nodes over one in-memory network; create within a running task group."""

    def __init__(self, count: int, task_group: anyio.abc.TaskGroup, seed: int) -> None:
        self.random = random.Random(seed)
        self.network = Network(self.random, task_group)
        self.nodes: dict[str, HollowNode] = {}
        self._task_group = task_group
        self._incarnation = FIRST_INCARNATION - 1
        for index in range(count):
            self.start(index, known=count)

    def start(self, index: int, known: int) -> HollowNode:
        """Start a node that knows ``known`` members from the beginning (0: only a seed)."""
        self._incarnation += 1
        address = self.address(index)
        own = self._record(index, self._incarnation)
        transport = MemoryTransport(address, own.zone, self.network)
        table, replica = MemberTable(own), ConfigurationReplica()
        for other in range(known):
            if other != index:
                table.merge(self._record(other, other + FIRST_INCARNATION), 0.0)
        source = random.Random(self.random.random())
        sealer = Sealer([KEY])
        gossip = Gossip(transport, sealer, table, replica, source, DetectorOptions())
        sync = Synchroniser(transport, sealer, gossip, replica, source)
        node = HollowNode(table, replica, gossip, sync, transport, anyio.CancelScope())
        gossip.on_server = lambda notice: self._server_leaving(node, notice)
        transport.serve(gossip.received, lambda kind, body: _answer(node, sealer, kind, body))
        self.network.down.discard(address)
        self.nodes[address] = node
        self._task_group.start_soon(self._run, node)
        return node

    def stop(self, index: int) -> None:
        """End a node at once, as a lost machine would."""
        address = self.address(index)
        self.network.down.add(address)
        self.nodes.pop(address).scope.cancel()

    def address(self, index: int) -> str:
        """Return the address of the ``index``-th node."""
        return f"10.{index // 62500}.{index // 250 % 250}.{index % 250 + 1}:7101"

    def load_objects(self, objects: list[StoredObject]) -> None:
        """Give every node the same configuration, without traffic."""
        for node in self.nodes.values():
            node.replica.merge(objects, float("-inf"))

    def cut_regions(self) -> None:
        """Cut the two regions off from each other."""
        for zone in ZONES:
            for other in ZONES:
                if region_of(zone) != region_of(other):
                    self.network.cut(zone, other)

    def bytes_sent(self) -> int:
        """Return what all nodes sent so far."""
        return sum(node.transport.bytes_sent for node in self.nodes.values())

    def false_suspicions(self) -> int:
        """Return how many suspicions were refuted, over all nodes' views."""
        return sum(node.gossip.detector.false_suspicions for node in self.nodes.values())

    async def spread_times(self, reached: Callable[[HollowNode], bool], limit: float) -> dict[str, Any]:
        """Wait until ``reached`` holds at every node; return the median and the last time (seconds)."""
        started = anyio.current_time()
        times: dict[str, float] = {}
        while len(times) < len(self.nodes) and anyio.current_time() - started < limit:
            for address, node in self.nodes.items():
                if address not in times and reached(node):
                    times[address] = anyio.current_time() - started
            await anyio.sleep(POLL)
        missing = len(self.nodes) - len(times)
        last = max(times.values(), default=limit) if not missing else None
        middle = statistics.median(times.values()) if times else None
        return {"p50": middle, "p100": last, "missing": missing}

    def _record(self, index: int, incarnation: int) -> MemberRecord:
        zone = ZONES[index % len(ZONES)]
        return MemberRecord(self.address(index), zone, region_of(zone), incarnation, MemberStatus.ALIVE)

    def _server_leaving(self, node: HollowNode, notice: ServerNotice) -> None:
        if notice.address not in node.leaving_servers:
            node.leaving_servers.add(notice.address)
            node.gossip.spread([notice])

    async def _run(self, node: HollowNode) -> None:
        with node.scope:
            # Nodes do not start in step: without this every tick of every node would coincide.
            await anyio.sleep(START_SPREAD * self.random.random())
            async with anyio.create_task_group() as task_group:
                task_group.start_soon(node.gossip.run)
                task_group.start_soon(node.sync.run)


async def _answer(node: HollowNode, sealer: Sealer, kind: str, frame: bytes) -> bytes | Failure:
    body = sealer.open(frame)
    answer = None if body is None else node.sync.answer(kind, body)
    if answer is None:
        return Failure(Reason.MALFORMED_REPLY, Verdict.NOT_RUN, kind)
    return answer if isinstance(answer, Failure) else sealer.seal(answer)

"""An in-memory network with faults, for tests and simulations.

Delays, losses and duplicates are drawn from the given seeded random source, so that a run in virtual
time has the same result every time.
"""

import random
from dataclasses import dataclass, field

import anyio
import anyio.abc

from yokesill.comm.base import Transport
from yokesill.verdict import Failure, Reason, Verdict


@dataclass(slots=True)
class Network:
    """Network that connects ``MemoryTransport`` objects; times are in seconds."""

    random_source: random.Random
    task_group: anyio.abc.TaskGroup
    delay: float = 0.0005
    zone_delay: float = 0.001
    loss: float = 0.0
    duplication: float = 0.0
    transports: dict[str, "MemoryTransport"] = field(default_factory=dict)
    cut_zones: set[frozenset[str]] = field(default_factory=set)
    down: set[str] = field(default_factory=set)
    paused: set[str] = field(default_factory=set)

    def cut(self, zone: str, other: str) -> None:
        """Cut the connection between two zones."""
        self.cut_zones.add(frozenset((zone, other)))

    def heal(self) -> None:
        """Remove every cut."""
        self.cut_zones.clear()

    def connected(self, source: "MemoryTransport", target: "MemoryTransport") -> bool:
        """Whether a packet can currently pass between two transports."""
        if source.address in self.down or target.address in self.down:
            return False
        return frozenset((source.zone, target.zone)) not in self.cut_zones

    def latency(self, source: "MemoryTransport", target: "MemoryTransport") -> float:
        """Draw the random delay of one packet."""
        base = self.delay if source.zone == target.zone else self.delay + self.zone_delay
        return base * (0.5 + self.random_source.random())


class MemoryTransport(Transport):
    """A node's connection to a ``Network``."""

    def __init__(self, address: str, zone: str, network: Network) -> None:
        super().__init__(address)
        self.zone = zone
        self._network = network
        network.transports[address] = self

    async def run(self) -> None:
        """Sleep forever, since the network delivers incoming packets."""
        await anyio.sleep_forever()

    async def send(self, address: str, datagram: bytes) -> None:
        """Deliver the datagram after a random delay, unless it is lost."""
        self.bytes_sent += len(datagram)
        network = self._network
        target = network.transports.get(address)
        if target is None or network.random_source.random() < network.loss:
            return
        copies = 2 if network.random_source.random() < network.duplication else 1
        for _ in range(copies):
            network.task_group.start_soon(self._deliver, target, datagram)

    async def _deliver(self, target: "MemoryTransport", datagram: bytes) -> None:
        await anyio.sleep(self._network.latency(self, target))
        while target.address in self._network.paused:
            await anyio.sleep(0.05)
        if self._network.connected(self, target):
            target.deliver_datagram(datagram)

    async def request(self, address: str, kind: str, body: bytes, timeout: float) -> bytes | Failure:
        """Call the target's handler, with a delay in each direction."""
        network = self._network
        target = network.transports.get(address)
        self.bytes_sent += len(body)
        if target is None or not network.connected(self, target):
            return Failure(Reason.CONNECT_FAILED, Verdict.NOT_RUN, f"no way to {address}")
        with anyio.move_on_after(timeout):
            await anyio.sleep(network.latency(self, target))
            while target.address in network.paused:
                await anyio.sleep(0.05)
            answer = await target.deliver_request(kind, body)
            await anyio.sleep(network.latency(target, self))
            if not network.connected(self, target):
                return Failure(Reason.CONNECTION_LOST, Verdict.MAY_HAVE_RUN, f"lost {address}")
            if answer is None:
                return Failure(Reason.NOT_READY, Verdict.NOT_RUN, f"{address} does not serve yet")
            if isinstance(answer, bytes):
                self.bytes_received += len(answer)
            return answer
        return Failure(Reason.TIMED_OUT, Verdict.MAY_HAVE_RUN, f"{address} did not answer in {timeout} s")

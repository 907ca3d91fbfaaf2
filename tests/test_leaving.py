"""A node that is asked to stop announces it to its peers, even while other packets are being sent.

Guards against a node that ends immediately, with exit code 1 and its queries aborted, if a planned stop
coincides with a tick's sends. Two tasks sent over one socket, but only one task may send at a time: the
second send raised an exception. The log showed ``lame_duck`` and, right after it, ``BusyResourceError:
Another task is already writing to this resource`` from ``announce_leaving``.
"""

import random

import anyio
import anyio.abc
import anyio.lowlevel
import pytest

from yokesill.cluster.gossip import Gossip
from yokesill.comm.network import NetworkTransport
from yokesill.comm.sealing import Sealer
from yokesill.membership.detector import DetectorOptions
from yokesill.membership.packets import decode_packet, rumor_from_wire
from yokesill.membership.records import MemberRecord, MemberStatus
from yokesill.membership.rumors import Rumor
from yokesill.membership.table import MemberTable
from yokesill.replication.replica import ConfigurationReplica

KEY = bytes(32)
OWN = "127.0.0.1:0"
PEER_COUNT = 8
TIMEOUT_S = 2.0


class ObservedTransport(NetworkTransport):
    """The real transport; ``sending`` is set when a send begins."""

    def __init__(self) -> None:
        super().__init__(OWN)
        self.sending = anyio.Event()

    async def send(self, address: str, datagram: bytes) -> None:
        self.sending.set()
        await super().send(address, datagram)


def create_gossip(transport: NetworkTransport, peers: list[str]) -> Gossip:
    table = MemberTable(MemberRecord(OWN, "z1", "r1", 1, MemberStatus.ALIVE))
    for number, address in enumerate(peers):
        table.merge(MemberRecord(address, f"z{number % 3}", "r1", 1, MemberStatus.ALIVE), 0.0)
    return Gossip(
        transport, Sealer([KEY]), table, ConfigurationReplica(), random.Random(1), DetectorOptions()
    )


def is_leaving_announcement(rumor: Rumor | None) -> bool:
    leaving = isinstance(rumor, MemberRecord) and rumor.status is MemberStatus.LEAVING
    return leaving and rumor.address == OWN


async def await_announcement(socket: anyio.abc.UDPSocket, announced: anyio.Event) -> None:
    """Set ``announced`` once this peer receives the announcement that the node is leaving."""
    async for data, _ in socket:
        packet = decode_packet(Sealer([KEY]).open(data) or b"")
        if packet is not None and any(
            is_leaving_announcement(rumor_from_wire(each)) for each in packet.rumors
        ):
            announced.set()


@pytest.mark.parametrize("turns", range(4))
def test_stop_during_a_ticks_sends_is_announced_to_peers(turns: int) -> None:
    """The stop comes ``turns`` turns of the event loop after a send begins."""

    async def main() -> None:
        transport, announced = ObservedTransport(), anyio.Event()
        sockets = [await anyio.create_udp_socket(local_host="127.0.0.1") for _ in range(PEER_COUNT)]
        peers = [f"127.0.0.1:{each.extra(anyio.abc.SocketAttribute.local_port)}" for each in sockets]
        gossip = create_gossip(transport, peers)
        with anyio.fail_after(TIMEOUT_S):
            async with anyio.create_task_group() as task_group:
                for each in sockets:
                    task_group.start_soon(await_announcement, each, announced)
                task_group.start_soon(transport.run)
                await anyio.sleep(0.05)
                task_group.start_soon(gossip.run)
                await transport.sending.wait()
                for _ in range(turns):
                    await anyio.lowlevel.checkpoint()
                await gossip.announce_leaving()
                await announced.wait()
                task_group.cancel_scope.cancel()
        for each in sockets:
            await each.aclose()

    anyio.run(main)

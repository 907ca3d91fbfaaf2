"""A node that is asked to stop tells its peers, whatever it is sending in that moment.

A planned stop ended the node at once, with exit code 1 and its queries cut, whenever it fell into a tick's
sends. Two tasks sent over one socket, and a socket lets one task send at a time: the second one's send raised
and ended the node. The log showed ``lame_duck`` and, right after it, ``BusyResourceError: Another task is
already writing to this resource`` out of ``announce_leaving``.
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
PEERS = 8
SOON_S = 2.0


class WatchedTransport(NetworkTransport):
    """The real transport, which says when a send begins."""

    def __init__(self) -> None:
        super().__init__(OWN)
        self.sending = anyio.Event()

    async def send(self, address: str, datagram: bytes) -> None:
        self.sending.set()
        await super().send(address, datagram)


def gossip_over(transport: NetworkTransport, peers: list[str]) -> Gossip:
    table = MemberTable(MemberRecord(OWN, "z1", "r1", 1, MemberStatus.ALIVE))
    for number, address in enumerate(peers):
        table.merge(MemberRecord(address, f"z{number % 3}", "r1", 1, MemberStatus.ALIVE), 0.0)
    return Gossip(
        transport, Sealer([KEY]), table, ConfigurationReplica(), random.Random(1), DetectorOptions()
    )


def tells_of_leaving(rumor: Rumor | None) -> bool:
    leaving = isinstance(rumor, MemberRecord) and rumor.status is MemberStatus.LEAVING
    return leaving and rumor.address == OWN


async def told_of_leaving(socket: anyio.abc.UDPSocket, told: anyio.Event) -> None:
    """Set ``told`` once this peer was told that the node leaves."""
    async for data, _ in socket:
        packet = decode_packet(Sealer([KEY]).open(data) or b"")
        if packet is not None and any(tells_of_leaving(rumor_from_wire(each)) for each in packet.rumors):
            told.set()


@pytest.mark.parametrize("turns", range(4))
def test_a_stop_that_falls_into_a_ticks_sends_is_told_to_peers(turns: int) -> None:
    """``turns`` of other tasks pass between the beginning of a send and the stop."""

    async def main() -> None:
        transport, told = WatchedTransport(), anyio.Event()
        sockets = [await anyio.create_udp_socket(local_host="127.0.0.1") for _ in range(PEERS)]
        peers = [f"127.0.0.1:{each.extra(anyio.abc.SocketAttribute.local_port)}" for each in sockets]
        gossip = gossip_over(transport, peers)
        with anyio.fail_after(SOON_S):
            async with anyio.create_task_group() as task_group:
                for each in sockets:
                    task_group.start_soon(told_of_leaving, each, told)
                task_group.start_soon(transport.run)
                await anyio.sleep(0.05)
                task_group.start_soon(gossip.run)
                await transport.sending.wait()
                for _ in range(turns):
                    await anyio.lowlevel.checkpoint()
                await gossip.announce_leaving()
                await told.wait()
                task_group.cancel_scope.cancel()
        for each in sockets:
            await each.aclose()

    anyio.run(main)

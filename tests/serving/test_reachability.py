"""What a node without near servers looks at before it says that it is cut off."""

import random
from dataclasses import replace

import anyio
import pytest
from conftest import run_virtual
from harness import configuration, gather_route, server
from memory_servers import MemoryStream, connected_pair

from yokesill.gateway import events as ev
from yokesill.gateway.documents import ServerRecord
from yokesill.gateway.options import GatewayOptions
from yokesill.gateway.router import GatewayRouter
from yokesill.registry.feeds import NodeContact
from yokesill.serving.reachability import Reachability

ROUTE = gather_route()
SERVERS = tuple(server(f"{name}-{zone}", name, zone) for name in ROUTE.services for zone in ("z2", "z3"))


NEAR_HOST = "10.9.0.1"


class Network:
    """Whether nodes (at 10.1.*) and servers let the node connect, and how often it tried."""

    def __init__(self, nodes: bool, servers: bool, silent: bool = False) -> None:
        self.nodes, self.servers, self.silent = nodes, servers, silent
        self.tried = 0

    async def connect(self, host: str, _port: int) -> MemoryStream:
        self.tried += 1
        if host == NEAR_HOST:
            return connected_pair()[0]
        open_ = self.nodes if host.startswith("10.1.") else self.servers
        if open_:
            return connected_pair()[0]
        if self.silent:
            await anyio.sleep_forever()
        raise OSError("refused")


def play(
    network: Network,
    seconds: float,
    own_zone: str = "z1",
    answers: bool = False,
    other_nodes: int = 4,
    then: Network | None = None,
    near: ServerRecord | None = None,
) -> tuple[list[tuple[float, bool]], int]:
    """Let a node look for a while; return what changed when, and how often it tried to connect."""

    async def run() -> tuple[list[tuple[float, bool]], int]:
        router = GatewayRouter(GatewayOptions(zone=own_zone), random.Random(1), 0.0)
        started = anyio.current_time()
        router.on_event(ev.ConfigurationReceived(configuration(1, ROUTE)), started)
        router.on_event(ev.ServersReplaced(SERVERS), started)
        if near is not None:
            router.on_event(
                ev.ServerListed(replace(near, instance="near", zone=own_zone, host=NEAR_HOST)), started
            )
        changes: list[tuple[float, bool]] = []
        current = [network]

        async def connect(host: str, port: int) -> MemoryStream:
            return await current[0].connect(host, port)

        def answered_at_s() -> float:
            return anyio.current_time() if answers else float("-inf")

        def changed(cut: bool) -> None:
            changes.append((anyio.current_time() - started, cut))

        reachability = Reachability(own_zone, router, answered_at_s, connect, changed, random.Random(2))
        contacts = [NodeContact(f"o{n}", "z9", "", "", f"10.1.0.{n}:80") for n in range(other_nodes)]
        reachability.set_nodes([*contacts, NodeContact("n2", own_zone, "", "", "10.0.0.2:80")])
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(reachability.run)
            await anyio.sleep(seconds)
            if then is not None:
                current[0] = then
                await anyio.sleep(2.0)
            tasks.cancel_scope.cancel()
        return changes, network.tried

    return run_virtual(run)  # type: ignore[no-any-return]


@pytest.mark.parametrize("silent", [False, True])
def test_a_node_that_reaches_neither_servers_nor_other_zones_says_so_within_seconds_and_comes_back(
    silent: bool,
) -> None:
    changes, _ = play(Network(False, False, silent), 5.0, then=Network(True, True))
    assert [cut for _, cut in changes] == [True, False]
    assert changes[0][0] < 4.0
    assert changes[1][0] < 6.0


def test_servers_that_are_dark_for_everybody_leave_every_node_ready() -> None:
    assert play(Network(True, False), 30.0)[0] == []


def test_other_zones_nodes_that_are_gone_leave_a_node_ready_whose_servers_can_be_reached() -> None:
    assert play(Network(False, True), 30.0)[0] == []


def test_a_zone_with_servers_of_its_own_is_never_cut_off() -> None:
    assert play(Network(False, False), 30.0, own_zone="z2") == ([], 0)


def test_a_zone_with_too_few_servers_of_its_own_is_cut_off_too() -> None:
    changes, _ = play(Network(False, False), 15.0, own_zone="z4", near=SERVERS[0])
    assert [cut for _, cut in changes] == [True]


def test_a_node_whose_servers_answer_looks_at_nothing() -> None:
    assert play(Network(False, False), 30.0, answers=True) == ([], 0)


def test_without_nodes_elsewhere_a_node_cannot_tell_and_stays_ready() -> None:
    assert play(Network(False, False), 30.0, other_nodes=0) == ([], 0)


def test_looking_costs_a_connection_a_second() -> None:
    assert play(Network(True, True), 60.0)[1] <= 70

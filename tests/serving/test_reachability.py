"""Connectivity checks of a node in a zone without servers, and when it counts as partitioned."""

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


LOCAL_SERVER_HOST = "10.9.0.1"


class Network:
    """Accepts connections to nodes (at 10.1.*) and servers as configured, and counts the attempts.

    Other connections are refused, or never answered if the network is ``unresponsive``.
    """

    def __init__(self, nodes: bool, servers: bool, unresponsive: bool = False) -> None:
        self.nodes, self.servers, self.unresponsive = nodes, servers, unresponsive
        self.connection_attempts = 0

    async def connect(self, host: str, _port: int) -> MemoryStream:
        self.connection_attempts += 1
        if host == LOCAL_SERVER_HOST:
            return connected_pair()[0]
        accepts = self.nodes if host.startswith("10.1.") else self.servers
        if accepts:
            return connected_pair()[0]
        if self.unresponsive:
            await anyio.sleep_forever()
        raise OSError("refused")


def run_checks(
    network: Network,
    seconds: float,
    own_zone: str = "z1",
    servers_answer: bool = False,
    other_nodes: int = 4,
    later_network: Network | None = None,
    local_server: ServerRecord | None = None,
) -> tuple[list[tuple[float, bool]], int]:
    """Run a node's checks; return the changes with their times, and the number of connection attempts."""

    async def run() -> tuple[list[tuple[float, bool]], int]:
        router = GatewayRouter(GatewayOptions(zone=own_zone), random.Random(1), 0.0)
        started = anyio.current_time()
        router.on_event(ev.ConfigurationReceived(configuration(1, ROUTE)), started)
        router.on_event(ev.ServersReplaced(SERVERS), started)
        if local_server is not None:
            router.on_event(
                ev.ServerListed(
                    replace(local_server, instance="near", zone=own_zone, host=LOCAL_SERVER_HOST)
                ),
                started,
            )
        changes: list[tuple[float, bool]] = []
        current = [network]

        async def connect(host: str, port: int) -> MemoryStream:
            return await current[0].connect(host, port)

        def last_remote_answer_s() -> float:
            return anyio.current_time() if servers_answer else float("-inf")

        def on_change(partitioned: bool) -> None:
            changes.append((anyio.current_time() - started, partitioned))

        reachability = Reachability(
            own_zone, router, last_remote_answer_s, connect, on_change, random.Random(2)
        )
        contacts = [NodeContact(f"o{n}", "z9", "", "", f"10.1.0.{n}:80") for n in range(other_nodes)]
        reachability.set_nodes([*contacts, NodeContact("n2", own_zone, "", "", "10.0.0.2:80")])
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(reachability.run)
            await anyio.sleep(seconds)
            if later_network is not None:
                current[0] = later_network
                await anyio.sleep(2.0)
            tasks.cancel_scope.cancel()
        return changes, network.connection_attempts

    return run_virtual(run)  # type: ignore[no-any-return]


@pytest.mark.parametrize("unresponsive", [False, True])
def test_node_that_reaches_no_other_zone_is_partitioned_within_seconds_and_recovers(
    unresponsive: bool,
) -> None:
    changes, _ = run_checks(Network(False, False, unresponsive), 5.0, later_network=Network(True, True))
    assert [partitioned for _, partitioned in changes] == [True, False]
    assert changes[0][0] < 4.0
    assert changes[1][0] < 6.0


def test_servers_unreachable_for_all_nodes_leave_a_node_ready() -> None:
    assert run_checks(Network(True, False), 30.0)[0] == []


def test_unreachable_remote_nodes_leave_a_node_ready_if_remote_servers_are_reachable() -> None:
    assert run_checks(Network(False, True), 30.0)[0] == []


def test_node_in_a_zone_with_servers_is_never_partitioned() -> None:
    assert run_checks(Network(False, False), 30.0, own_zone="z2") == ([], 0)


def test_node_in_a_zone_with_too_few_servers_is_partitioned() -> None:
    changes, _ = run_checks(Network(False, False), 15.0, own_zone="z4", local_server=SERVERS[0])
    assert [partitioned for _, partitioned in changes] == [True]


def test_node_with_answers_from_remote_servers_opens_no_connections() -> None:
    assert run_checks(Network(False, False), 30.0, servers_answer=True) == ([], 0)


def test_node_without_nodes_in_other_zones_stays_ready_and_opens_no_connections() -> None:
    assert run_checks(Network(False, False), 30.0, other_nodes=0) == ([], 0)


def test_checks_open_at_most_about_one_connection_per_second() -> None:
    assert run_checks(Network(True, True), 60.0)[1] <= 70

"""A wide request from a zone without servers: gathered elsewhere, and what happens when that fails."""

from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import NamedTuple

import anyio
import pytest
from conftest import run_virtual
from harness import configuration, gather_route, server
from memory_servers import MemoryServer, MemoryStream, ReceivedRequest
from test_coordinator import ANSWER, HEAD, WANTING, Notes, a_request

from yokesill.callers.answers import HttpAnswer
from yokesill.coordinators.client import CONNECT_TIMEOUT_S, CoordinatorClient
from yokesill.coordinators.forwarding import Forwarder
from yokesill.coordinators.messages import GatheredAnswer, encode_answer
from yokesill.coordinators.remote_coordinators import (
    HOP_MEASURE_INTERVAL_S,
    RETRY_PAUSE_S,
    RemoteCoordinators,
)
from yokesill.gateway.forwarding import MIN_WIDE_SERVICES, Coordinator, CoordinatorChoice
from yokesill.gateway.messages import GatewayRequest
from yokesill.gateway.options import GatewayOptions
from yokesill.gateway.servers.server_table import ServerTable
from yokesill.registry.feeds import NodeContact
from yokesill.upstreams.wires import dial_streams

NAMES = tuple(f"s{number}" for number in range(MIN_WIDE_SERVICES))
ROUTE = replace(gather_route(services=NAMES), objective_s=0.3)
REGIONS = {"a": "r1", "b": "r1", "d": "r1", "x": "r2"}
OPTIONS = GatewayOptions(zone="d", node="d9", regions=REGIONS)


def nodes_of(zone: str, strong: int, count: int = 6) -> list[NodeContact]:
    """A zone's nodes, the first ones strong; their addresses begin with the zone's letter."""
    return [
        NodeContact(f"{zone}{n}", zone, "", "", f"{zone}.{n}:80", 2.0 if n < strong else 0.5)
        for n in range(count)
    ]


NODES = [*nodes_of("a", 2), *nodes_of("b", 2), *nodes_of("d", 2), *nodes_of("x", 2)]


def near_servers(options: GatewayOptions = OPTIONS, zones: str = "ab") -> RemoteCoordinators:
    servers = ServerTable(options)
    servers.replace([server(f"{name}-{zone}", name, zone) for name in NAMES for zone in zones], 0.0)
    near = RemoteCoordinators(options, servers)
    near.set_nodes(NODES)
    return near


def test_the_strong_nodes_of_the_zones_with_servers_gather() -> None:
    assert set(near_servers().coordinators(ROUTE, 10.0)) == {"a0", "a1", "b0", "b1"}


def test_a_node_near_servers_or_told_not_to_gathers_as_before() -> None:
    assert near_servers(zones="ad").coordinators(ROUTE, 10.0) == {}
    assert near_servers(OPTIONS.without(["gathers_near_servers"])).coordinators(ROUTE, 10.0) == {}


def test_zones_whose_nodes_are_all_alike_gather_for_nobody() -> None:
    near = near_servers()
    near.set_nodes([*nodes_of("a", 0), *nodes_of("b", 2)])
    assert set(near.coordinators(ROUTE, 10.0)) == {"b0", "b1"}


def test_nodes_of_other_regions_are_neither_asked_nor_listened_to() -> None:
    near = near_servers(zones="abx")
    assert all(node[0] in "ab" for node in near.coordinators(ROUTE, 10.0))
    assert near.is_remote_node("a.5") and not near.is_remote_node("x.1") and not near.is_remote_node("e.1")


def test_a_hop_that_takes_too_much_of_the_aim_is_only_measured_now_and_then() -> None:
    near = near_servers()
    for _ in range(60):
        near.choice.record_hop(0.2)
    assert near.coordinators(ROUTE, 10.0) != {}
    assert near.coordinators(ROUTE, 10.1) == {}
    assert near.coordinators(ROUTE, 10.0 + HOP_MEASURE_INTERVAL_S) != {}


def test_strong_nodes_of_zones_without_servers_take_no_coordinators_part() -> None:
    assert near_servers().gathering(NODES) == {"a0", "a1", "b0", "b1"}
    assert near_servers(zones="abdx").gathering(NODES) == {f"{zone}{n}" for zone in "abdx" for n in (0, 1)}
    assert near_servers(zones="").gathering(NODES) == near_servers(zones="abdx").gathering(NODES)
    off = near_servers(OPTIONS.without(["gathers_near_servers"]))
    assert off.gathering(NODES) == near_servers(zones="abdx").gathering(NODES)


# --- handing over ---


class Ending(NamedTuple):
    result: HttpAnswer | GatewayRequest
    asked: list[str]
    took_s: float


Dialling = Callable[[str, int], Awaitable[MemoryStream]]


def hand_over(
    faults: dict[str, str], home: bool = True, times: int = 1, pause_s: float = 0.0
) -> list[Ending]:
    """Hand requests over while hosts that begin with some letters are refused, dark, mute, full."""

    async def run() -> list[Ending]:
        endings: list[Ending] = []
        asked: list[str] = []

        async with anyio.create_task_group() as tasks:

            async def dial(host: str, port: int) -> MemoryStream:
                fault = faults.get(host[0], "")
                asked.append(host)
                if fault == "refused":
                    raise OSError("refused")
                if fault == "dark":
                    await anyio.sleep_forever()

                async def script(
                    _server: MemoryServer, stream: MemoryStream, _heard: ReceivedRequest
                ) -> None:
                    if fault == "mute":
                        return
                    if fault == "full":
                        await stream.send(b"HTTP/1.1 503 X\r\ncontent-length: 5\r\n\r\nbusy\n")
                        return
                    await anyio.sleep(0.005)
                    answer = WANTING if fault == "hole" else ANSWER
                    body = encode_answer("id-1", GatheredAnswer(answer, 0.001))
                    await stream.send(HEAD % len(body) + body)

                return await MemoryServer(script, tasks).connect(host, port)

            known = configuration(7, ROUTE)
            at_home = {"d0": Coordinator("d.0:80", 0.0)} if home else {}

            def reports() -> dict[str, Coordinator]:
                return {
                    name: each._replace(reported_at_s=anyio.current_time()) for name, each in at_home.items()
                }

            hand = Forwarder(
                CoordinatorChoice("d9"),
                CoordinatorClient(dial_streams(dial, tasks)),
                reports,
                lambda: known,
                Notes(),  # type: ignore[arg-type]
                near_servers(),
            )
            for _ in range(times):
                asked.clear()
                started = anyio.current_time()
                result = await hand(a_request(started))
                endings.append(Ending(result, [*asked], anyio.current_time() - started))
                await anyio.sleep(pause_s)
            tasks.cancel_scope.cancel()
        return endings

    return run_virtual(run)  # type: ignore[no-any-return]


def test_a_request_from_a_zone_without_servers_is_gathered_where_they_are() -> None:
    (ending,) = hand_over({})
    assert ending.result == ANSWER
    assert ending.asked[0][0] in "ab"


def test_a_strong_node_of_such_a_zone_hands_over_as_well() -> None:
    (ending,) = hand_over({}, home=False)
    assert ending.result == ANSWER


@pytest.mark.parametrize("fault", ["refused", "dark", "full", "hole"])
def test_zones_that_cannot_gather_are_gone_around_to_the_own_coordinator(fault: str) -> None:
    (ending,) = hand_over({"a": fault, "b": fault})
    assert ending.result == ANSWER
    assert [each[0] for each in ending.asked][-1] == "d"
    assert ending.took_s <= CONNECT_TIMEOUT_S + 0.02


@pytest.mark.parametrize("fault", ["refused", "dark", "full"])
def test_without_any_coordinator_the_request_is_run_here_as_if_new(fault: str) -> None:
    (ending,) = hand_over({"a": fault, "b": fault}, home=False)
    assert isinstance(ending.result, GatewayRequest)
    assert not ending.result.possibly_sent


def test_a_coordinator_elsewhere_that_falls_silent_may_have_run_it() -> None:
    (ending,) = hand_over({"a": "mute", "b": "mute"})
    assert isinstance(ending.result, GatewayRequest)
    assert ending.result.possibly_sent


def test_one_lost_coordinator_costs_one_request_and_the_next_goes_to_another_zone() -> None:
    first, second = hand_over({}, times=2)
    chosen = first.asked[0][0]
    first, second = hand_over({chosen: "dark"}, times=2)
    assert [each[0] for each in first.asked] == [chosen, "d"]
    assert second.asked[0][0] not in (chosen, "d")
    assert second.took_s < CONNECT_TIMEOUT_S / 2


def test_zones_that_are_all_lost_cost_each_node_a_wait_now_and_then_only() -> None:
    endings = hand_over({"a": "dark", "b": "dark"}, times=40, pause_s=0.05)
    waited = [ending for ending in endings if ending.took_s > CONNECT_TIMEOUT_S / 2]
    assert all(ending.result == ANSWER for ending in endings)
    assert len(waited) <= 4 * (1 + (40 * 0.1) / RETRY_PAUSE_S)

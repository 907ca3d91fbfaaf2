"""Wide requests from a zone without servers are gathered in other zones, or locally if that fails."""

from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import NamedTuple

import anyio
import pytest
from conftest import run_virtual
from harness import configuration, gather_route, server
from memory_servers import MemoryServer, MemoryStream, ReceivedRequest
from test_coordinator import ANSWER, HEAD, NO_SERVER_ANSWER, RecordingObserver, create_request

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
    """Return a zone's nodes, the first ones strong; their addresses start with the zone's letter."""
    return [
        NodeContact(f"{zone}{n}", zone, "", "", f"{zone}.{n}:80", 2.0 if n < strong else 0.5)
        for n in range(count)
    ]


NODES = [*nodes_of("a", 2), *nodes_of("b", 2), *nodes_of("d", 2), *nodes_of("x", 2)]


def create_remote(options: GatewayOptions = OPTIONS, zones: str = "ab") -> RemoteCoordinators:
    servers = ServerTable(options)
    servers.replace([server(f"{name}-{zone}", name, zone) for name in NAMES for zone in zones], 0.0)
    remote = RemoteCoordinators(options, servers)
    remote.set_nodes(NODES)
    return remote


def test_strong_nodes_of_zones_with_servers_are_coordinators() -> None:
    assert set(create_remote().coordinators(ROUTE, 10.0)) == {"a0", "a1", "b0", "b1"}


def test_no_remote_coordinators_near_servers_or_if_switched_off() -> None:
    assert create_remote(zones="ad").coordinators(ROUTE, 10.0) == {}
    assert create_remote(OPTIONS.without(["gathers_near_servers"])).coordinators(ROUTE, 10.0) == {}


def test_zones_without_strong_nodes_have_no_coordinators() -> None:
    remote = create_remote()
    remote.set_nodes([*nodes_of("a", 0), *nodes_of("b", 2)])
    assert set(remote.coordinators(ROUTE, 10.0)) == {"b0", "b1"}


def test_nodes_of_other_regions_are_neither_coordinators_nor_accepted_senders() -> None:
    remote = create_remote(zones="abx")
    assert all(node[0] in "ab" for node in remote.coordinators(ROUTE, 10.0))
    assert (
        remote.is_remote_node("a.5") and not remote.is_remote_node("x.1") and not remote.is_remote_node("e.1")
    )


def test_a_hop_that_is_too_slow_for_the_objective_is_only_measured_periodically() -> None:
    remote = create_remote()
    for _ in range(60):
        remote.choice.record_hop(0.2)
    assert remote.coordinators(ROUTE, 10.0) != {}
    assert remote.coordinators(ROUTE, 10.1) == {}
    assert remote.coordinators(ROUTE, 10.0 + HOP_MEASURE_INTERVAL_S) != {}


def test_strong_nodes_of_zones_without_servers_get_no_coordinators_share() -> None:
    assert create_remote().gathering(NODES) == {"a0", "a1", "b0", "b1"}
    assert create_remote(zones="abdx").gathering(NODES) == {f"{zone}{n}" for zone in "abdx" for n in (0, 1)}
    assert create_remote(zones="").gathering(NODES) == create_remote(zones="abdx").gathering(NODES)
    off = create_remote(OPTIONS.without(["gathers_near_servers"]))
    assert off.gathering(NODES) == create_remote(zones="abdx").gathering(NODES)


# --- forwarding ---


class Ending(NamedTuple):
    result: HttpAnswer | GatewayRequest
    asked: list[str]
    took_s: float


Dial = Callable[[str, int], Awaitable[MemoryStream]]


def forward(faults: dict[str, str], home: bool = True, times: int = 1, pause_s: float = 0.0) -> list[Ending]:
    """Forward requests while hosts have the fault that ``faults`` names for their first letter.

    ``refused`` refuses the connection, ``dark`` never opens it, ``mute`` sends no reply, ``full`` replies
    503, and ``hole`` has no servers.
    """

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
                    answer = NO_SERVER_ANSWER if fault == "hole" else ANSWER
                    body = encode_answer("id-1", GatheredAnswer(answer, 0.001))
                    await stream.send(HEAD % len(body) + body)

                return await MemoryServer(script, tasks).connect(host, port)

            known = configuration(7, ROUTE)
            local = {"d0": Coordinator("d.0:80", 0.0)} if home else {}

            def reports() -> dict[str, Coordinator]:
                return {
                    name: each._replace(reported_at_s=anyio.current_time()) for name, each in local.items()
                }

            forwarder = Forwarder(
                CoordinatorChoice("d9"),
                CoordinatorClient(dial_streams(dial, tasks)),
                reports,
                lambda: known,
                RecordingObserver(),  # type: ignore[arg-type]
                create_remote(),
            )
            for _ in range(times):
                asked.clear()
                started = anyio.current_time()
                result = await forwarder(create_request(started))
                endings.append(Ending(result, [*asked], anyio.current_time() - started))
                await anyio.sleep(pause_s)
            tasks.cancel_scope.cancel()
        return endings

    return run_virtual(run)  # type: ignore[no-any-return]


def test_a_request_from_a_zone_without_servers_is_gathered_near_them() -> None:
    (ending,) = forward({})
    assert ending.result == ANSWER
    assert ending.asked[0][0] in "ab"


def test_a_strong_node_of_a_zone_without_servers_also_forwards() -> None:
    (ending,) = forward({}, home=False)
    assert ending.result == ANSWER


@pytest.mark.parametrize("fault", ["refused", "dark", "full", "hole"])
def test_if_remote_zones_fail_the_own_zones_coordinator_gets_the_request(fault: str) -> None:
    (ending,) = forward({"a": fault, "b": fault})
    assert ending.result == ANSWER
    assert [each[0] for each in ending.asked][-1] == "d"
    assert ending.took_s <= CONNECT_TIMEOUT_S + 0.02


@pytest.mark.parametrize("fault", ["refused", "dark", "full"])
def test_without_any_coordinator_the_request_runs_here_as_new(fault: str) -> None:
    (ending,) = forward({"a": fault, "b": fault}, home=False)
    assert isinstance(ending.result, GatewayRequest)
    assert not ending.result.possibly_sent


def test_a_remote_coordinator_that_does_not_answer_may_have_run_the_request() -> None:
    (ending,) = forward({"a": "mute", "b": "mute"})
    assert isinstance(ending.result, GatewayRequest)
    assert ending.result.possibly_sent


def test_after_a_lost_coordinator_the_next_request_goes_to_another_zone() -> None:
    first, second = forward({}, times=2)
    chosen = first.asked[0][0]
    first, second = forward({chosen: "dark"}, times=2)
    assert [each[0] for each in first.asked] == [chosen, "d"]
    assert second.asked[0][0] not in (chosen, "d")
    assert second.took_s < CONNECT_TIMEOUT_S / 2


def test_lost_zones_delay_only_periodic_retries() -> None:
    endings = forward({"a": "dark", "b": "dark"}, times=40, pause_s=0.05)
    waited = [ending for ending in endings if ending.took_s > CONNECT_TIMEOUT_S / 2]
    assert all(ending.result == ANSWER for ending in endings)
    assert len(waited) <= 4 * (1 + (40 * 0.1) / RETRY_PAUSE_S)

"""A node that starts while the registry is unreachable gets its state from a peer's snapshot."""

import random
from dataclasses import replace
from typing import Any

import anyio
import cbor2
import pytest
from conftest import run_virtual
from harness import gather_route, server, single_route
from memory_servers import MemoryServer, MemoryStream, ReceivedRequest, Script

from yokesill.gateway import events as ev
from yokesill.gateway.documents import Configuration, ServiceLimits
from yokesill.registry.peer_bootstrap import PeerBootstrap
from yokesill.registry.snapshots import decode_snapshot, encode_snapshot
from yokesill.registry.version_settlement import CALL_TIMEOUT_S, VersionSettlement
from yokesill.rollouts.orders import RolloutOrder, RolloutState
from yokesill.rollouts.versions import ServiceVersions
from yokesill.serving.settings import Address

STATE = Configuration(
    9,
    (replace(gather_route(), regions=("r1", "r2")), single_route()),
    {"s1": ServiceLimits(100, 4.0), "desk": ServiceLimits(20)},
)
RECORDS = [replace(server("a", "s1"), version="7"), server("b", "desk", leaving=True)]
ORDERS = (
    RolloutOrder("s1", "8", 12.0, 40, 44, RolloutState.CANARY, 0.7, "taken up"),
    RolloutOrder("desk", "", 0.0, 41, 41, problem="rollouts.desk.targetVersion: is missing"),
)
ESTABLISHED = {"s1": ("7",), "desk": ("3", "4")}
QUARANTINED = frozenset({"00ff", "11ee"})
SNAPSHOT = encode_snapshot(STATE, RECORDS, frozenset({"z1"}), ORDERS, ESTABLISHED, QUARANTINED)


def test_a_snapshot_round_trips_unchanged() -> None:
    configuration, established, orders, quarantined, replaced, evacuated = decode_snapshot(SNAPSHOT)
    assert configuration == ev.ConfigurationReceived(STATE)
    assert established == ev.VersionsEstablished(ESTABLISHED)
    assert orders == ev.RolloutsReplaced(ORDERS)
    assert quarantined == ev.QuarantineReplaced(QUARANTINED)
    assert replaced == ev.ServersReplaced(tuple(RECORDS))
    assert evacuated == ev.EvacuationsReplaced(frozenset({"z1"}))


@pytest.mark.parametrize(
    "data", [b"", b"\xff", cbor2.dumps([]), cbor2.dumps({"format": 3}), cbor2.dumps({"format": 4})]
)
def test_a_malformed_snapshot_is_rejected(data: bytes) -> None:
    with pytest.raises(ValueError, match="snapshot"):
        decode_snapshot(data)


def bootstrap_from(body: bytes, registry_answers_after: float | None = None) -> list[ev.Event]:
    """Start a bootstrap whose seeds answer with ``body``; return the events that it applied."""
    applied: list[ev.Event] = []
    synchronised = [False]

    async def script(_server: MemoryServer, stream: MemoryStream, _heard: ReceivedRequest) -> None:
        await stream.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            peer = MemoryServer(script, tasks)
            seeds = (Address("10.0.0.1", 1), Address("10.0.0.2", 1))
            bootstrap = PeerBootstrap(
                seeds,
                peer.connect,
                lambda: synchronised[0] or bool(applied),
                applied.append,
                random.Random(1),
            )
            tasks.start_soon(bootstrap.run)
            if registry_answers_after is not None:
                await anyio.sleep(registry_answers_after)
                synchronised[0] = True
            await anyio.sleep(10.0)
            tasks.cancel_scope.cancel()

    run_virtual(run)
    return applied


def test_without_the_registry_one_peers_snapshot_is_applied_once() -> None:
    assert [type(each) for each in bootstrap_from(SNAPSHOT)] == [
        ev.ConfigurationReceived,
        ev.VersionsEstablished,
        ev.RolloutsReplaced,
        ev.QuarantineReplaced,
        ev.ServersReplaced,
        ev.EvacuationsReplaced,
    ]


def test_no_snapshot_is_fetched_if_the_registry_answers_first() -> None:
    assert bootstrap_from(SNAPSHOT, registry_answers_after=0.1) == []


def test_no_event_is_applied_from_a_malformed_snapshot() -> None:
    assert bootstrap_from(b"nonsense") == []


def settled_by(seeds: dict[int, bytes | None]) -> tuple[list[ev.Event], float]:
    """Settle versions by seeds, which answer with the bytes given or never; return events and seconds."""
    applied: list[ev.Event] = []
    lasted_s = 0.0

    def answer_with(body: bytes | None) -> Script:
        async def script(_server: MemoryServer, stream: MemoryStream, _heard: ReceivedRequest) -> None:
            if body is None:
                await anyio.sleep_forever()
            else:
                await stream.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)

        return script

    async def run() -> None:
        nonlocal lasted_s
        async with anyio.create_task_group() as tasks:
            peers = {port: MemoryServer(answer_with(body), tasks) for port, body in seeds.items()}

            async def connect(host: str, port: int, *rest: Any) -> Any:
                return await peers[port].connect(host, port, *rest)

            addresses = tuple(Address("10.0.0.1", port) for port in seeds)
            source = random.Random(1)
            bootstrap = PeerBootstrap(addresses, connect, lambda: True, applied.append, source)
            versions = ServiceVersions(True, 1.0)
            versions.set_listed("s1", {"v1": 1, "v2": 1}, ("v1", "v2"), 0.0)

            def apply(event: ev.Event) -> None:
                applied.append(event)
                if isinstance(event, ev.VersionsEstablished):
                    versions.adopt_established(event.versions)

            settlement = VersionSettlement(
                versions, None, bootstrap.fetch_snapshot, apply, lambda: False, None, addresses, source
            )
            began_s = anyio.current_time()
            await settlement.settle()
            lasted_s = anyio.current_time() - began_s
            tasks.cancel_scope.cancel()

    run_virtual(run)
    return applied, lasted_s


@pytest.mark.parametrize("others", [{}, {1: b"nonsense"}, {1: None}, {1: None, 2: None}])
# Guards against a restarted node that guesses which version serves although another node knows it.
def test_established_versions_are_taken_from_the_first_seed_that_knows_them(
    others: dict[int, bytes | None],
) -> None:
    applied, lasted_s = settled_by({**others, 3: SNAPSHOT})
    assert applied == [ev.VersionsEstablished(ESTABLISHED)]
    assert lasted_s <= len(others) * CALL_TIMEOUT_S + 0.1


# Guards against a node that stays out of service for good since no other node can tell which version serves.
def test_start_goes_on_if_no_seed_knows_the_established_versions() -> None:
    applied, lasted_s = settled_by({1: None, 2: None, 3: b"nonsense"})
    assert applied == []
    assert lasted_s <= 2 * CALL_TIMEOUT_S + 0.1

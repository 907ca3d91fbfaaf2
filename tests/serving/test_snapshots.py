"""A node that starts while the registry is out of reach learns from a peer."""

import random
from dataclasses import replace

import anyio
import cbor2
import pytest
from conftest import run_virtual
from harness import gather_route, server, single_route
from memory_servers import MemoryServer, MemoryStream, ReceivedRequest

from yokesill.gateway import events as ev
from yokesill.gateway.documents import Configuration, ServiceLimits
from yokesill.registry.peer_bootstrap import PeerBootstrap
from yokesill.registry.snapshots import decode_snapshot, encode_snapshot
from yokesill.rollouts.orders import RolloutOrder, RolloutState
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


def test_a_snapshot_comes_back_as_it_was() -> None:
    learnt, established, orders, quarantined, replaced, evacuated = decode_snapshot(SNAPSHOT)
    assert learnt == ev.ConfigurationReceived(STATE)
    assert established == ev.VersionsEstablished(ESTABLISHED)
    assert orders == ev.RolloutsReplaced(ORDERS)
    assert quarantined == ev.QuarantineReplaced(QUARANTINED)
    assert replaced == ev.ServersReplaced(tuple(RECORDS))
    assert evacuated == ev.EvacuationsReplaced(frozenset({"z1"}))


@pytest.mark.parametrize(
    "data", [b"", b"\xff", cbor2.dumps([]), cbor2.dumps({"format": 3}), cbor2.dumps({"format": 4})]
)
def test_a_malformed_snapshot_is_refused(data: bytes) -> None:
    with pytest.raises(ValueError, match="snapshot"):
        decode_snapshot(data)


def learn_from(body: bytes, registry_answers_after: float | None = None) -> list[ev.Event]:
    """Start a learner whose seeds answer with ``body``; return what it fed."""
    fed: list[ev.Event] = []
    known = [False]

    async def script(_server: MemoryServer, stream: MemoryStream, _heard: ReceivedRequest) -> None:
        await stream.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            peer = MemoryServer(script, tasks)
            seeds = (Address("10.0.0.1", 1), Address("10.0.0.2", 1))
            learner = PeerBootstrap(
                seeds, peer.connect, lambda: known[0] or bool(fed), fed.append, random.Random(1)
            )
            tasks.start_soon(learner.run)
            if registry_answers_after is not None:
                await anyio.sleep(registry_answers_after)
                known[0] = True
            await anyio.sleep(10.0)
            tasks.cancel_scope.cancel()

    run_virtual(run)
    return fed


def test_without_the_registry_the_state_comes_from_a_peer_once() -> None:
    assert [type(each) for each in learn_from(SNAPSHOT)] == [
        ev.ConfigurationReceived,
        ev.VersionsEstablished,
        ev.RolloutsReplaced,
        ev.QuarantineReplaced,
        ev.ServersReplaced,
        ev.EvacuationsReplaced,
    ]


def test_a_registry_that_answers_leaves_nothing_to_ask_peers() -> None:
    assert learn_from(SNAPSHOT, registry_answers_after=0.1) == []


def test_a_peer_that_answers_nonsense_teaches_nothing() -> None:
    assert learn_from(b"nonsense") == []

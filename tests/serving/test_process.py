"""A whole node over real sockets: readiness, serving, rejected malformed requests, and the planned stop."""

import asyncio
import contextlib
import random
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import replace

import anyio
import pytest
from harness import configuration, single_route
from ports import free_ports

from yokesill.gateway.documents import RequestLimits, ServerRecord
from yokesill.gateway.events import (
    ConfigurationReceived,
    Event,
    QuarantineReplaced,
    RolloutsReplaced,
    ServersReplaced,
    VersionsEstablished,
)
from yokesill.logs import LogOutput
from yokesill.positions import Position
from yokesill.registry.feeds import Batch, Feed, NodeContact, NodeDirectory, NodeEntry
from yokesill.registry.snapshots import decode_snapshot, encode_snapshot
from yokesill.rollouts.orders import RolloutLimits, RolloutOrder, RolloutState
from yokesill.serving.dependencies import Dependencies
from yokesill.serving.header_names import HeaderNames
from yokesill.serving.process import GatewayProcess
from yokesill.serving.settings import Address, GatewaySettings
from yokesill.verdict import Failure, Reason, Verdict

LOOPBACK = "127.0.0.1"
DOWN = Failure(Reason.CONNECT_FAILED, Verdict.NOT_RUN, "down")
REQUEST_HEADERS = "Host: shop.example\r\nRequest-Id: r1\r\nRequest-Deadline-Ms: 5000\r\n"


class FixedFeed(Feed):
    """Returns one batch and never any changes; unavailable while ``events`` is ``None``."""

    def __init__(self, name: str, *events: Event) -> None:
        self.name = name
        self.events: tuple[Event, ...] | None = events

    async def list(self, stale: bool = False) -> Batch | Failure:
        return DOWN if self.events is None else Batch(Position(0, 1), self.events)

    async def changes(self, position: Position, wait: float) -> Batch | Failure:
        await anyio.sleep(wait)
        return Batch(position, ())


class UnavailableDirectory(NodeDirectory):
    """A node directory whose calls all fail."""

    async def announce(self, contact: NodeContact, beat: int) -> Failure | None:
        return DOWN

    async def nodes(self) -> tuple[NodeEntry, ...] | Failure:
        return DOWN


# A busy machine may take this long to start a node.
START_LIMIT_S = 5.0


class Backend:
    """A server that answers while ``open`` is set and keeps the request heads that it read."""

    def __init__(self) -> None:
        self.open = asyncio.Event()
        self.open.set()
        self.received_heads: list[bytes] = []

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.received_heads.append(head)
                await self.open.wait()
                request_id = next(line for line in head.split(b"\r\n") if line.startswith(b"request-id: "))
                writer.write(b"HTTP/1.1 200 OK\r\n" + request_id + b"\r\nserver-signature: s\r\n")
                writer.write(b"content-length: 2\r\n\r\nok")
                await writer.drain()


class Node:
    """A node under test, with methods that send requests to it."""

    def __init__(
        self,
        backend: Backend,
        backend_port: int,
        has_configuration: bool = True,
        order: RolloutOrder | None = None,
    ) -> None:
        callers, probes, peers, registry = free_ports(4)
        self.backend = backend
        self.settings = GatewaySettings(
            node="n1",
            zone="z1",
            callers=Address(LOOPBACK, callers),
            probes=Address(LOOPBACK, probes),
            peers=Address(LOOPBACK, peers),
            registry=Address(LOOPBACK, registry),
            stop_grace_s=1.6,
            rollouts=None if order is None else RolloutLimits(),
        )
        record = ServerRecord("i-1", "desk", LOOPBACK, backend_port, "z1", 2)
        routes = replace(configuration(1, single_route()), limits=RequestLimits(header_timeout_s=0.3))
        self.configuration = FixedFeed("configuration", ConfigurationReceived(routes))
        if not has_configuration:
            self.configuration.events = None
        servers = FixedFeed("servers", ServersReplaced((record,)))
        dependencies = Dependencies(
            self.configuration, servers, UnavailableDirectory(), HeaderNames(), "/ready"
        )
        if order is not None:
            dependencies = replace(dependencies, rollouts=FixedFeed("rollouts", RolloutsReplaced((order,))))
        self.process = GatewayProcess(self.settings, dependencies, random.Random(1), LogOutput(1))

    async def exchange(self, data: bytes, address: Address | None = None) -> bytes:
        """Send bytes on a new connection; return the answer, or what arrived before the connection closed."""
        target = address or self.settings.callers
        reader, writer = await asyncio.open_connection(target.host, target.port)
        writer.write(data)
        answer = b""
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            answer += await reader.readuntil(b"\r\n\r\n")
            lengths = [line for line in answer.lower().split(b"\r\n") if line.startswith(b"content-length: ")]
            answer += await reader.readexactly(int(lengths[0].split(b": ")[1])) if lengths else b""
        writer.close()
        return answer

    async def get(self, path: str = "/one/x") -> bytes:
        return await self.exchange(f"GET {path} HTTP/1.1\r\n{REQUEST_HEADERS}\r\n".encode())

    async def ready(self) -> bool:
        answer = await self.exchange(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n", self.settings.probes)
        return answer.startswith(b"HTTP/1.1 200")

    async def wait_until_listening(self) -> None:
        """Wait until the start has come as far as the probes' port, some seconds at most."""
        probes = self.settings.probes
        with anyio.move_on_after(START_LIMIT_S):
            while True:
                with contextlib.suppress(ConnectionRefusedError):
                    _, writer = await asyncio.open_connection(probes.host, probes.port)
                    writer.close()
                    return
                await asyncio.sleep(0.02)

    async def wait_until(self, condition: Callable[[], Awaitable[bool]]) -> None:
        while not await condition():
            await asyncio.sleep(0.02)


def run_with_node(
    main: Callable[[Node], Awaitable[None]], has_configuration: bool = True, order: RolloutOrder | None = None
) -> None:
    async def run() -> None:
        backend = Backend()
        server = await asyncio.start_server(backend.serve, LOOPBACK, 0)
        node = Node(backend, server.sockets[0].getsockname()[1], has_configuration, order)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(node.process.run)
            await asyncio.sleep(0.2)
            await node.wait_until_listening()
            await main(node)
            tasks.cancel_scope.cancel()
        server.close()

    anyio.run(run)


@pytest.fixture(autouse=True)
def _discard_log_output(monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    monkeypatch.setattr(LogOutput, "write", lambda _self, _line: None)
    yield


def test_node_becomes_ready_serves_and_exposes_metrics_and_state() -> None:
    async def main(node: Node) -> None:
        await node.wait_until(node.ready)
        answer = await node.get()
        assert answer.startswith(b"HTTP/1.1 200 OK\r\n")
        assert answer.endswith(b"ok")
        metrics = await node.exchange(b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n", node.settings.probes)
        assert b'yokesill_requests_total{outcome="answered",route="one"} 1.0' in metrics
        state = await node.exchange(b"GET /snapshot HTTP/1.1\r\nHost: x\r\n\r\n", node.settings.peers)
        assert state.startswith(b"HTTP/1.1 200")
        unknown_path = await node.exchange(b"GET /else HTTP/1.1\r\nHost: x\r\n\r\n", node.settings.probes)
        assert unknown_path.startswith(b"HTTP/1.1 404")

    run_with_node(main)


def test_feed_learns_the_configuration_that_another_node_has_sent(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against: a node that calls the store again reads it by a configuration that is out of date.
    learnt: list[Event] = []
    monkeypatch.setattr(FixedFeed, "learn", lambda _self, event: learnt.append(event), raising=False)

    async def main(node: Node) -> None:
        await node.wait_until(node.ready)
        sent = ConfigurationReceived(configuration(2, single_route()))
        node.process.node.updates.apply(sent)
        assert learnt[-1] == sent

    run_with_node(main)


def test_node_follows_rollouts_and_includes_them_in_its_snapshot() -> None:
    order = RolloutOrder("desk", "v2", 12.0, 5, 6, RolloutState.CANARY)

    async def main(node: Node) -> None:
        await node.wait_until(node.ready)
        assert node.process.node.router.open_orders() == (order,)
        state = await node.exchange(b"GET /snapshot HTTP/1.1\r\nHost: x\r\n\r\n", node.settings.peers)
        events = decode_snapshot(state.partition(b"\r\n\r\n")[2])
        assert RolloutsReplaced((order,)) in events
        assert VersionsEstablished({"desk": ("",)}) in events

    run_with_node(main, order=order)


def test_node_is_not_synchronised_before_it_has_the_rollout_orders() -> None:
    async def main(node: Node) -> None:
        node.process.node.router.rollouts.synchronised = False
        assert not node.process.node.updates.synchronised()
        node.process.node.driver.feed(RolloutsReplaced(()))
        assert node.process.node.updates.synchronised()

    run_with_node(main, order=RolloutOrder("desk", "v2", 12.0, 5, 6))


def test_node_is_not_synchronised_before_it_has_the_quarantined_requests() -> None:
    async def main(node: Node) -> None:
        await node.wait_until(node.ready)
        node.process.node.updates.awaits_quarantine = True
        assert not node.process.node.updates.synchronised()
        node.process.node.driver.feed(QuarantineReplaced(frozenset()))
        assert node.process.node.updates.synchronised()

    run_with_node(main)


def test_snapshot_of_a_peer_with_fewer_servers_removes_none_listed_by_the_registry() -> None:
    async def main(node: Node) -> None:
        snapshot = encode_snapshot(configuration(1, single_route()), [], frozenset())

        async def serve_snapshot(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(snapshot) + snapshot)

        peer = await asyncio.start_server(serve_snapshot, LOOPBACK, 0)
        seed = Address(LOOPBACK, peer.sockets[0].getsockname()[1])
        while not len(node.process.node.router.servers):
            await anyio.sleep(0.02)
        node.process.apply_settings(replace(node.settings, seeds=(seed,)))
        await node.wait_until(node.ready)
        assert [each.instance for each in node.process.node.router.servers.records()] == ["i-1"]
        assert (await node.get()).startswith(b"HTTP/1.1 200")
        peer.close()

    run_with_node(main, has_configuration=False)


def test_node_without_a_configuration_is_not_ready_and_answers_with_retry_after() -> None:
    async def main(node: Node) -> None:
        assert not await node.ready()
        answer = await node.get()
        assert answer.startswith(b"HTTP/1.1 503")
        assert b"retry-after: " in answer.lower()

    run_with_node(main, has_configuration=False)


@pytest.mark.parametrize(
    "data",
    [
        b"GET /one/x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: r\r\nContent-Length: 3\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /one/smuggled HTTP/1.1\r\n\r\n",
        b"GET /one/x HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
        b"POST /one/x HTTP/1.1\r\nHost: shop.example\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        b"GET /one/x HTTP/1.1\r\nHost shop.example\r\n\r\n",
        b"GET /one/x HTTP/1.1\r\nHost: shop.example\r\nBad\x00Name: 1\r\n\r\n",
        b"NONSENSE\r\n\r\n",
    ],
)
def test_malformed_and_smuggled_requests_reach_no_server(data: bytes) -> None:
    async def main(node: Node) -> None:
        await node.wait_until(node.ready)
        answer = await node.exchange(data)
        assert answer.startswith(b"HTTP/1.1 400") or answer == b""
        assert (await node.get()).startswith(b"HTTP/1.1 200")
        assert len(node.backend.received_heads) == 1

    run_with_node(main)


def test_incomplete_request_head_times_out_and_reaches_no_server() -> None:
    async def main(node: Node) -> None:
        await node.wait_until(node.ready)
        answer = await node.exchange(b"GET /one/x HTTP/1.1\r\nHost: shop.example\r\n")
        assert answer.startswith(b"HTTP/1.1 408")
        assert node.backend.received_heads == []

    run_with_node(main)


def test_partitioned_node_is_not_ready_but_still_serves_requests() -> None:
    async def main(node: Node) -> None:
        await node.wait_until(node.ready)
        node.process.life_cycle.apply_event("cut_off")
        assert not await node.ready()
        assert (await node.get()).startswith(b"HTTP/1.1 200")
        node.process.life_cycle.apply_event("reached")
        assert await node.ready()

    run_with_node(main)


def test_planned_stop_answers_all_requests() -> None:
    async def main(node: Node) -> None:
        await node.wait_until(node.ready)
        node.backend.open.clear()
        in_flight = asyncio.create_task(node.get())
        await asyncio.sleep(0.1)
        node.process.stop()
        await asyncio.sleep(0.1)
        assert not await node.ready()
        late = asyncio.create_task(node.get())
        await asyncio.sleep(0.1)
        node.backend.open.set()
        for answer in (await in_flight, await late):
            assert answer.startswith(b"HTTP/1.1 200 OK\r\n")
            assert b"connection: close" in answer.lower()
        while node.process.life_cycle.state != "stopped":
            await asyncio.sleep(0.02)
        with pytest.raises(ConnectionError):
            await node.get()

    run_with_node(main)


def test_body_that_is_not_whole_at_the_end_of_a_stop_is_refused_as_not_run() -> None:
    # Guards against: the caller is answered 500 by the end of the process, which may mean that it ran.
    async def main(node: Node) -> None:
        await node.wait_until(node.ready)
        head = f"POST /one/x HTTP/1.1\r\n{REQUEST_HEADERS}Content-Length: 9\r\n\r\n"
        unfinished = asyncio.create_task(node.exchange(head.encode() + b"x"))
        await asyncio.sleep(0.1)
        node.process.stop()
        answer = await unfinished
        assert answer.startswith(b"HTTP/1.1 503 ") and b"retry-after: " in answer
        assert not node.backend.received_heads

    run_with_node(main)


def test_request_that_waits_to_be_read_is_answered_when_unused_connections_close() -> None:
    # Guards against: a stopping node whose event loop was held closed kept connections on which a whole
    # request had arrived meanwhile.
    async def main(node: Node) -> None:
        await node.wait_until(node.ready)
        request = f"GET /one/x HTTP/1.1\r\n{REQUEST_HEADERS}\r\n".encode()
        connections = [await asyncio.open_connection(LOOPBACK, node.settings.callers.port) for _ in range(3)]
        for reader, writer in connections:
            writer.write(request)
            await reader.readuntil(b"ok")
        for _, writer in connections[:2]:
            writer.write(request)
        # The loop has not turned since, as when it is held, so that the node has read nothing.
        node.process.node.listener.close_unused_connections()
        answers = [await reader.read() for reader, _ in connections[2:]]
        answers += [await reader.readuntil(b"ok") for reader, _ in connections[:2]]
        assert [answer[:15] for answer in answers] == [b"", b"HTTP/1.1 200 OK", b"HTTP/1.1 200 OK"]
        for _, writer in connections:
            writer.close()

    run_with_node(main)

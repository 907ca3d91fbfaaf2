"""Binds the names in the forms' tables to what reads and writes them.

The only file here that imports yokesill: it follows the sources as their names move. What it hands to
the test may not change with them, since the tables hold it by position.
"""

import asyncio
import json
import random
import tempfile
from collections.abc import Awaitable, Callable, Iterable, Mapping
from pathlib import Path
from types import SimpleNamespace
from typing import Any, NamedTuple
from unittest import mock

import anyio
import anyio.abc
import anyio.lowlevel
import cbor2
from prometheus_client.parser import text_string_to_metric_families

from yokesill import logs, rendezvous, settings as serve_settings
from yokesill.callers import answers, application as callers, refusals, sockets
from yokesill.callers.closings import CloseReason
from yokesill.cli import (
    base,
    gateway as gateway_command,
    gateway_file,
    main as cli,
    rollouts as rollouts_command,
)
from yokesill.comm import http_reply, network, sealing
from yokesill.coordinators import client as coordinators, messages as handed
from yokesill.frontend import app, figures as node_figures, queries
from yokesill.gateway import events as ev, messages as gateway, options
from yokesill.gateway.documents import RequestLimits, ServerRecord
from yokesill.gateway.requests import fingerprints
from yokesill.membership import packets, records, rumors
from yokesill.node import Node
from yokesill.outliers import messages as outliers
from yokesill.peers import chunks, frame
from yokesill.platform import feeds, main as platform_main, names, rollouts as platform_rollouts, settings
from yokesill.platform.store import MetadataStore
from yokesill.positions import Position
from yokesill.quarantine import messages as quarantine
from yokesill.query import calls, owned
from yokesill.registry import api_client, feed_states, feeds as registry, snapshots
from yokesill.replication import messages as replication
from yokesill.resources import hashing
from yokesill.rollouts import (
    datagrams as rollout_datagrams,
    messages as rollouts,
    order_figures,
    orders,
    version_record,
)
from yokesill.serving import rollout_view
from yokesill.serving.builder import build_node
from yokesill.serving.header_names import HeaderNames
from yokesill.serving.life_cycle import LifeCycle
from yokesill.serving.probes import METRICS_PATH, ProbeApplication
from yokesill.serving.settings import Address
from yokesill.telemetry.figures import GatewayMetrics
from yokesill.telemetry.observer import Observer
from yokesill.upstreams import attempt_bytes
from yokesill.verdict import Failure, Reason, Verdict
from yokesill.watchers import digests, messages as watchers

LONG = 200


class Codec(NamedTuple):
    """What reads one kind of message, and what writes it."""

    decode: Callable[[bytes], Any]
    encode: Callable[[Any], bytes]


# --- messages ---


class _Message(tuple[Any, ...]):
    """A message as the tables hold it; ``whole`` is what its encoder takes."""

    whole: Any


def _by_position(value: Any) -> Any:
    """Return a value without what stands behind messages: the tables are older than that.

    A timeline that is named stays: in front of a revision, at the end of all else. So does a time that was
    not measured.
    """
    if isinstance(value, Position):
        return [*value] if value.timeline else value.revision
    if isinstance(value, watchers.FeedReport | orders.RolloutOrder) and not value.timeline:
        value = value[:-1]
    if isinstance(value, rollouts.OrderDecision) and value.time_measured:
        value = value[:-1]
    if isinstance(value, list | tuple):
        return [_by_position(each) for each in value]
    return value


def _extended(decode: Callable[[bytes], Any], encode: Callable[[Any], bytes]) -> Codec:
    """Return the codec of a message that may have more behind it: timelines, or how times are known."""

    def read(data: bytes) -> _Message:
        whole = decode(data)
        message = _Message(_by_position(whole))
        message.whole = whole
        return message

    return Codec(read, lambda message: encode(message.whole))


def _something(read: Callable[[Any], Any], data: Any) -> Any:
    value = read(data)
    if value is None:
        raise ValueError("it is no message")
    return value


def _encode_snapshot(events: tuple[Any, ...]) -> bytes:
    configuration, established, ordered, quarantined, servers, evacuated = (each[0] for each in events)
    told = (configuration, list(servers), evacuated, ordered, established, quarantined)
    return snapshots.encode_snapshot(*told)


MESSAGES = {
    "outliers.datagram": Codec(outliers.decode, outliers.encode),
    "quarantine.datagram": Codec(quarantine.decode, quarantine.encode),
    "rollouts.datagram": _extended(rollouts.decode, rollouts.encode),
    "watchers.report": _extended(watchers.decode_report, watchers.encode_report),
    "registry.changes": _extended(
        lambda data: feed_states.changes_from_wire(cbor2.loads(data)),
        lambda events: cbor2.dumps(feed_states.changes_to_wire(events)),
    ),
    "registry.whole_feed": _extended(
        feed_states.decode_state, lambda batch: feed_states.encode_state(batch.events[0], batch.position)
    ),
    "registry.snapshot": _extended(snapshots.decode_snapshot, _encode_snapshot),
    "coordinators.request": Codec(
        lambda data: handed.decode_forwarded(data, "n1-1", 100.0), handed.encode_forwarded
    ),
    "coordinators.answer": Codec(
        lambda data: handed.decode_answer(data, "req-1"),
        lambda answer: handed.encode_answer("req-1", answer),
    ),
    "membership.packet": Codec(lambda data: _something(packets.decode_packet, data), packets.encode_packet),
    "membership.rumor": Codec(
        lambda data: _something(packets.rumor_from_wire, cbor2.loads(data)),
        lambda rumor: cbor2.dumps(rumors.rumor_to_wire(rumor)),
    ),
    "replication.compare_request": Codec(
        replication.decode_compare_request, replication.encode_compare_request
    ),
    "replication.compare_reply": Codec(replication.decode_compare_reply, replication.encode_compare_reply),
    "replication.exchange_request": Codec(
        replication.decode_exchange_request, replication.encode_exchange_request
    ),
    "replication.objects": Codec(replication.decode_objects, replication.encode_objects),
    "replication.status": Codec(replication.decode_status, replication.encode_status),
    "query.call": Codec(calls.decode_call, calls.encode_call),
    "query.final": Codec(calls.decode_final, calls.encode_final),
}


# --- how much goes into one datagram ---


def _sizes(pieces: Iterable[Any]) -> list[int]:
    return [len(each) for each in pieces]


def _largest_report(entries: int, bytes_each: int) -> list[Any]:
    feed = watchers.FeedReport("servers", 1, 9, ["x" * bytes_each] * entries, 5)
    data = watchers.encode_report(watchers.Report("n1", True, (feed,)))
    return [len(data) <= 1200, _by_position(watchers.decode_report(data).feeds)]


def _words(count: int) -> list[int]:
    order = orders.OrderId("service-with-a-name", 1764722678, "version-2")
    word = rollouts.OrderDecision(order, orders.RolloutState.CANARY, 0.1, 12.5)
    return _sizes(rollout_datagrams.split_into_datagrams([word] * count))


def _samples(count: int) -> list[int]:
    seen = (rollouts.Sample("wide", f"i-{number}", True, True, 0.0123) for number in range(count))
    order = orders.OrderId("s1", 5, "v2")
    report = rollouts.OrderReport(order, orders.RolloutState.CANARY, 90, 10, 3, tuple(seen))
    return [
        _sizes(each.samples for each in piece) for piece in rollout_datagrams.split_into_datagrams([report])
    ]


def _rumors(count: int) -> int:
    queue = rumors.RumorQueue()
    for number in range(count):
        address = f"10.0.0.{number}:7101"
        queue.add(records.MemberRecord(address, "z1", "r1", 1764722678000, records.MemberStatus.ALIVE))
    return len(queue.take(9))


# --- requests that carry a key, at the node that keeps a reservation ---


def _owned(
    run: Callable[[owned.OwnedQueries], Awaitable[Any]], answer: bytes, owner: bool = True
) -> list[Any]:
    """Run at one of two members; return the outcome, and what was sent to the other without its seals."""
    sent: list[Any] = []
    sealer = sealing.Sealer([bytes(16)])

    async def request(address: str, kind: str, body: bytes, _timeout: float) -> bytes:
        sent.append([address, kind, (sealer.open(body) or b"").hex()])
        return sealer.seal(answer)

    other, own = (SimpleNamespace(address=each) for each in ("10.0.0.2:7101", "10.0.0.1:7101"))
    members = SimpleNamespace(own=own, serving=list, rank=lambda *_: [own, other] if owner else [other, own])

    async def execute(_call: Any, query_id: str) -> Any:
        return calls.decode_final(cbor2.dumps(["a", query_id, [3, 41], [1, 1, []], ["r"]]))

    async def main() -> Any:
        part = owned.OwnedQueries(members, SimpleNamespace(request=request), sealer, execute)  # type: ignore[arg-type]
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(part.run)
            await anyio.lowlevel.checkpoint()
            outcome = await run(part)
            await anyio.lowlevel.checkpoint()
            tasks.cancel_scope.cancel()
        return outcome

    return [asyncio.run(main()), sent]


def _kept_for_others(messages: list[Any]) -> Any:
    async def run(part: owned.OwnedQueries) -> list[Any]:
        replies = [await part.answer(kind, bytes.fromhex(body)) for kind, body in messages]
        return [each if each is None else each.hex() for each in replies]

    return _owned(run, cbor2.dumps(["new", b""]))


def _keyed(call: str, answer: str, owner: bool) -> Any:
    request = calls.decode_call(bytes.fromhex(call))
    return _owned(lambda part: part.handle(request, "q-1"), bytes.fromhex(answer), owner)


# --- the registry ---


class _Wire(anyio.abc.ByteStream):
    """A connection that keeps what is sent and gives replies of a status and JSON each."""

    def __init__(self, replies: list[Any]) -> None:
        self.sent: list[bytes] = []
        self._replies = list(replies)

    async def send(self, item: bytes) -> None:
        self.sent.append(item)

    async def receive(self, max_bytes: int = 65536) -> bytes:
        status, body = self._replies.pop(0)
        content = json.dumps(body).encode()
        return b"HTTP/1.1 %d X\r\ncontent-length: %d\r\n\r\n%s" % (status, len(content), content)

    async def send_eof(self) -> None:
        raise NotImplementedError

    async def aclose(self) -> None:
        pass


def _told(outcome: Any) -> Any:
    """Return an outcome with a word for each event, as nodes tell it to one another."""
    if isinstance(outcome, registry.HistoryLost):
        return "history lost"
    if isinstance(outcome, Failure):
        return [outcome.reason, outcome.verdict]
    if isinstance(outcome, Position):
        return list(outcome)
    if not isinstance(outcome, registry.Batch):
        return _by_position(outcome)
    changes = feed_states.changes_to_wire(outcome.events)
    if changes is None:
        changes = cbor2.loads(feed_states.encode_state(outcome.events[0], outcome.position))
    return [_by_position(outcome.position), changes, outcome.problems]


def _with_store(act: Callable[..., Awaitable[Any]]) -> Callable[..., Any]:
    """Return a function of replies and arguments to what was sent and what came of it."""

    def run(replies: list[Any], *arguments: Any) -> list[Any]:
        wire = _Wire(replies)

        async def connect(_host: str, _port: int) -> _Wire:
            return wire

        async def main() -> Any:
            store = MetadataStore(api_client.ApiClient(Address("10.0.0.1", 80), connect))
            return await act(store, *arguments)

        return [wire.sent, _told(asyncio.run(main()))]

    return run


async def _read_versions(store: MetadataStore, stale: bool) -> Any:
    stored = await feeds.StoredVersionRecord(store).read(stale)
    assert not isinstance(stored, Failure)
    recorded = version_record.decode_record(stored.value)
    revision = None if stored.position is None else stored.position.revision
    return [revision, {name: [list(each.versions), list(each.since)] for name, each in recorded.items()}]


async def _write_versions(store: MetadataStore, revision: int | None, versions: list[str], since: int) -> Any:
    before = registry.StoredVersions(None if revision is None else Position(0, revision), None)
    record = {"s1": version_record.RecordedVersions(tuple(versions), Position(0, since))}
    return await feeds.StoredVersionRecord(store).write(before, version_record.encode_record(record))


FEEDS: dict[str, Callable[[MetadataStore], registry.Feed]] = {
    "configuration": feeds.configuration_feed,
    "servers": feeds.server_feed,
    "evacuations": feeds.evacuation_feed,
    "quarantine": feeds.quarantine_feed,
    "rollouts": platform_rollouts.rollout_feed,
}


def _order(fields: list[Any]) -> orders.RolloutOrder:
    order = orders.RolloutOrder(*fields)
    return order._replace(state=orders.RolloutState(order.state))


# --- HTTP with callers, servers and other nodes ---


def _refusal(reason: str, verdict: int, detail: str, retry_after_ms: int) -> Any:
    failure = Failure(Reason(reason), Verdict(verdict), detail, retry_after_ms)
    return answers.to_http(ev.Refuse("k", failure), "req-1", names.HEADER_NAMES)


def _own_refusal(reason: str, verdict: int, detail: str, retry_after_ms: int) -> Any:
    failure = Failure(Reason(reason), Verdict(verdict), detail, retry_after_ms)
    reply = queries.refusal_response(queries.Refuse("q-1", failure))
    return [reply.status_code, reply.headers["retry-after"], json.loads(bytes(reply.body))]


def _statuses(refusal: Callable[..., Any], reasons: list[str]) -> dict[str, Any]:
    return {each: [refusal(each, verdict, "", 0)[0] for verdict in (0, 1, 2)] for each in reasons}


_SUMMARY = gateway.RequestSummary("wide", 7, Verdict.RAN, 0.1)


def _pairs(headers: list[Any]) -> gateway.Headers:
    return tuple((name, value) for name, value in headers)


def _passed_on(status: int, headers: list[Any], body: bytes, signature: bytes | None) -> Any:
    reply = gateway.ServerReply(status, _pairs(headers), body, signature)
    return answers.to_http(ev.PassOn("k", reply, _SUMMARY), "req-1", names.HEADER_NAMES)


def _gathered(records_: bytes, signatures: list[bytes], missing: int) -> Any:
    final = ev.Gathered("k", records_, tuple(signatures), missing, _SUMMARY)
    return answers.to_http(final, "req-1", names.HEADER_NAMES)


async def _asked(
    served: Callable[..., Awaitable[None]], method: str, path: str, headers: list[Any], body: bytes
) -> list[Any]:
    said: list[Any] = []
    scope = {
        "type": "http",
        "method": method,
        "path": path,
        "raw_path": path.encode(),
        "query_string": b"q=1",
        "headers": list(_pairs(headers)),
        "client": ("10.9.9.9", 5),
    }
    messages = [{"type": "http.request", "body": body, "more_body": False}]

    async def receive() -> Any:
        return messages.pop() if messages else await anyio.sleep_forever()

    async def send(message: Any) -> None:
        said.append(message)

    await served(scope, receive, send)
    return [said[0]["status"], said[0]["headers"], said[1]["body"]]


def _caller(headers: list[Any], body: bytes) -> Any:
    """Return what a caller is answered, and its request as the node's decisions get it."""
    seen: list[Any] = []

    async def execute(request: gateway.GatewayRequest) -> Any:
        fields = (request.request_id, request.method, request.host, request.path, request.target)
        seen.extend([*fields, request.headers, request.body, request.caller_timeout_s])
        return ev.Refuse(request.key, Failure(Reason.OVERLOADED, Verdict.NOT_RUN, "busy", 1500))

    known = SimpleNamespace(limits=RequestLimits(500, 20))
    driver: Any = SimpleNamespace(router=SimpleNamespace(configuration=known), execute=execute)
    observer = Observer(logs.get_logger("forms"), GatewayMetrics())

    async def main() -> list[Any]:
        served = callers.GatewayApplication(driver, names.HEADER_NAMES, observer, "n1")
        served.synchronised.set()
        return await _asked(served, "GET", "/x/a", headers, body)

    return [asyncio.run(main()), seen]


def _attempt(method: bytes, headers: list[Any], body: bytes) -> gateway.Attempt:
    asked = ("n1-1", "req-1", method, "a.example", "/x/a", b"/x/a?q=1", _pairs(headers), body, 100.0, 0.8)
    server = ServerRecord("i-1", "s1", "10.0.0.9", 8107, "z1", 4)
    return gateway.Attempt(1, gateway.GatewayRequest(*asked), server, 8, 100.8)


def _server_request(method: bytes, headers: list[Any], body: bytes, left_s: float) -> bytes:
    return attempt_bytes.encode_attempt(_attempt(method, headers, body), names.HEADER_NAMES, left_s)


def _server_reply(data: bytes) -> Any:
    reader = http_reply.HttpReplyReader()
    reader.feed(data)
    attempt = _attempt(b"GET", [], b"")
    read = attempt_bytes.read_reply(
        attempt, reader, dict(reader.headers), names.HEADER_NAMES, first_exchange=True
    )
    return read[:2] if isinstance(read, Failure) else read


def _with_node(act: Callable[[Any], Awaitable[Any]], text: str) -> Any:
    """Wire a node as the platform starts it, without starting it."""
    read: Any = settings.parse_settings(text)

    async def main() -> Any:
        dependencies = platform_main._dependencies(read, None)
        life_cycle = LifeCycle(logs.get_logger("gateway"))
        source, output = random.Random(1), logs.LogOutput(1)
        node = build_node(read, dependencies, life_cycle, source, output, anyio.current_time())
        return await act(node)

    return asyncio.run(main())


async def _learn(node: Any, snapshot: bytes) -> None:
    for event in snapshots.decode_snapshot(snapshot) if snapshot else ():
        node.driver.feed(event)


def _probe(text: str, path: str, state: str, snapshot: bytes) -> Any:
    async def ask(node: Any) -> list[Any]:
        node.life_cycle.state = state
        await _learn(node, snapshot)
        status, headers, body = await _asked(node.probes, "GET", path, [], b"")
        return [status, headers, body] if len(body) < LONG else [status, headers[0]]

    return _with_node(ask, text)


def _state(path: str) -> Any:
    """Return the answer of a node that knows each feed as the bytes of its name."""
    probes = ProbeApplication("/", lambda: True, lambda: b"", lambda: None, lambda feed: feed.encode())
    return asyncio.run(_asked(probes, "GET", path, [], b""))


def _coordinate(text: str, path: str, body: bytes, member: bool, stopping: bool, snapshot: bytes) -> Any:
    async def ask(node: Any) -> Any:
        node.application.stopping = stopping
        node.coordinator._is_member = lambda _host: member
        await _learn(node, snapshot)
        with anyio.fail_after(5):
            return (await _asked(node.peers, "POST", path, [], body))[0]

    return _with_node(ask, text)


def _paths_of_own_interface() -> dict[str, list[str]]:
    routes: Any = app.create_app(mock.Mock()).routes
    return {each.path: sorted(each.methods or ()) for each in reversed(routes)}


# --- figures ---


def _families(text: str) -> dict[str, Any]:
    """Return each figure's type and labels."""
    return {
        each.name: [each.type, sorted({label for sample in each.samples for label in sample.labels} - {"le"})]
        for each in text_string_to_metric_families(text)
        if each.name.startswith("yokesill") and not each.name.endswith("_created")
    }


def _gateway_figures(text: str) -> Any:
    async def render(node: Any) -> str:
        node.metrics.count_event(ev.LogEvent("hedged", {}))
        node.metrics.count_request("wide", "answered", _SUMMARY)
        node.metrics.closed_connections["memory"] += 1
        status, _headers, body = await _asked(node.probes, "GET", METRICS_PATH, [], b"")
        assert status == 200
        return str(body.decode())

    return _families(_with_node(render, text))


def _own_figures(text: str) -> Any:
    read: Any = serve_settings.parse_settings(text)

    async def main() -> str:
        transport = network.NetworkTransport("10.0.0.1:7101")
        node = Node(read, mock.Mock(), transport, mock.Mock(), random.Random(1), 1)
        node_figures.update_gauges(node)
        node.metrics.queries.labels("a", "b", "c", "d", "e").inc()
        node.metrics.latency.labels("a", "b", "c").observe(0.1)
        return node.metrics.render().decode()

    return _families(asyncio.run(main()))


def _view(fields: list[Any], identity: list[Any], state: str) -> Any:
    told = order_figures.OrderFigures(orders.OrderId(*identity), orders.RolloutState(state), *fields)
    return rollout_view.order_view(told)


# --- settings, commands and environment ---


def _problems(read: Any) -> Any:
    """Return a reader's problems by their places, or what it read."""
    return {"wrong": sorted(each.place for each in read)} if isinstance(read, list) else read


def _gateway_file(text: str) -> Any:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "gateway.toml"
        path.write_text(text)
        read = gateway_file.read_gateway_file(path)
    if isinstance(read, list):
        return _problems(read)
    return [read.settings(), read.configuration(), read.records()]


def _serve_settings(text: str) -> Any:
    read = serve_settings.parse_settings(text)
    return _problems(read) if isinstance(read, list) else read.model_dump(mode="json")


def _switched_off(switches: list[str]) -> Any:
    """Return how many of a node's options the switches change."""
    usual = options.GatewayOptions("z1")
    try:
        without = usual.without(switches)
    except ValueError:
        return "refused"
    rest = [each for each in usual.__slots__ if each != "switches"]
    changed = sum(getattr(usual, each) != getattr(without, each) for each in rest)
    before, after = usual.switches, without.switches
    return changed + sum(getattr(before, each) != getattr(after, each) for each in before.__slots__)


def _command(name: str) -> Any:
    """Return its arguments (name, required, many) and options (name, letter, with a value, default)."""
    definition = cli._factory(name)().definition
    takes = [[each.name, each.is_required(), each.is_list()] for each in definition.arguments]
    flags = [[each.name, each.shortcut, each.accepts_value(), each.default] for each in definition.options]
    return [takes, flags]


def _node_asked(environment: Mapping[str, str]) -> list[str]:
    unsaid: Any = SimpleNamespace(option=lambda _name: None)
    with mock.patch.dict("os.environ", environment, clear=True):
        client = base.BaseCommand.client(unsaid)
    return [client.node, client.token]


def _listens_early(address: str) -> Any:
    listening = sockets.listen_early(address)
    if listening is None:
        return None
    with listening:
        return listening.getsockname()[0]


CALLS: dict[str, Callable[..., Any]] = {
    "outliers.entries_a_datagram": lambda count: _sizes(
        chunks.by_count(range(count), outliers.ENTRIES_PER_DATAGRAM)
    ),
    "outliers.kind": frame.kind_of,
    "quarantine.entries_a_datagram": lambda count: _sizes(
        chunks.by_count(range(count), quarantine.ENTRIES_PER_DATAGRAM)
    ),
    "rollouts.words_a_datagram": _words,
    "rollouts.samples_a_datagram": _samples,
    "watchers.changes_a_datagram": _largest_report,
    "membership.rumors_a_datagram": _rumors,
    "datagram_bytes": lambda: [chunks.DATAGRAM_BYTES] * 3,
    "query.fingerprint": lambda call: calls.decode_call(call).fingerprint(),
    "query.reservations": _kept_for_others,
    "query.keyed": _keyed,
    "peers.kinds": lambda: [replication.COMPARE, replication.EXCHANGE, replication.PUSH, replication.STATUS],
    "peers.path": lambda: network.INTERNAL_PATH,
    "peers.seal": lambda key, body: sealing.Sealer([key]).seal(body),
    "hash.key": hashing.hash_key,
    "hash.rank": hashing.rendezvous_weight,
    "hash.coordinator": lambda *nodes: rendezvous.weight(*map(rendezvous.name_hash, nodes)),
    "hash.request": lambda *asked: fingerprints.fingerprint(_attempt(*asked).request),
    "hash.feed": digests.digest_of,
    "registry.list": _with_store(lambda store, feed, stale: FEEDS[feed](store).list(stale)),
    "registry.changes": _with_store(
        lambda store, feed, at, wait_s: FEEDS[feed](store).changes(Position(0, at), wait_s)
    ),
    "registry.position": _with_store(lambda store, stale: store.read_position(stale, 1.0)),
    "registry.versions": _with_store(_read_versions),
    "registry.write_versions": _with_store(_write_versions),
    "registry.peek": _with_store(lambda store, feed, at: FEEDS[feed](store).peek(Position(0, at))),
    "registry.record_quarantine": _with_store(lambda store, name: feeds.StoredQuarantine(store).record(name)),
    "registry.lift_quarantine": _with_store(lambda store, name: feeds.StoredQuarantine(store).lift(name)),
    "registry.record_rollout": _with_store(
        lambda store, order: platform_rollouts.StoredRollouts(store).record(_order(order))
    ),
    "registry.announce_node": _with_store(
        lambda store, contact, beat: feeds.StoredNodes(store).announce(registry.NodeContact(*contact), beat)
    ),
    "registry.nodes": _with_store(lambda store: feeds.StoredNodes(store).nodes()),
    "http.headers": lambda: [names.HEADER_NAMES, HeaderNames()],
    "http.own_paths": lambda: [names.READY_PATH, gateway_command.READY_PATH, rollouts_command.PATH],
    "http.refusal": _refusal,
    "http.refusal_statuses": lambda reasons: _statuses(_refusal, reasons),
    "http.passed_on": _passed_on,
    "http.gathered": _gathered,
    "http.caller": _caller,
    "http.head_too_slow": lambda: refusals.REFUSALS[CloseReason.HEAD_TIMEOUT],
    "http.server_request": _server_request,
    "http.server_reply": _server_reply,
    "http.probe": _probe,
    "http.state": _state,
    "http.coordinate": _coordinate,
    "http.coordinate_request": coordinators._encode_request,
    "http.rollouts_view": _view,
    "own_http.paths": _paths_of_own_interface,
    "own_http.refusal": _own_refusal,
    "own_http.refusal_statuses": lambda reasons: _statuses(_own_refusal, reasons),
    "figures.gateway": _gateway_figures,
    "figures.serve": _own_figures,
    "settings.platform": lambda text: _problems(settings.parse_settings(text)),
    "settings.gateway_file": _gateway_file,
    "settings.serve": _serve_settings,
    "settings.switched_off": _switched_off,
    "commands.names": lambda: sorted(cli.COMMANDS),
    "commands.takes": _command,
    "commands.exit_codes": lambda: [each.value for each in base.ExitCode],
    "commands.environment": _node_asked,
    "deploy.listens_early": _listens_early,
}

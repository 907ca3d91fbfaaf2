"""The stand-ins for links, store and servers follow their commands, over real loopback sockets."""

import asyncio
import json
import random
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest

from soak.layout import SERVER_PORT
from soak.network import Link, Mode
from soak.server import Server
from soak.slow_callers import CONNECTIONS_EACH, WAYS, hold_connections
from soak.standin import EventLog, HttpMessage, TruncatedMessageError, encode_message, read_message
from soak.store import OPERATOR, Objects, Store

LIMIT_S = 20.0


def run(scenario: Callable[[], Awaitable[None]]) -> None:
    async def bounded() -> None:
        async with asyncio.timeout(LIMIT_S):
            await scenario()

    asyncio.run(bounded())


async def echo_server(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while data := await reader.read(100):
        echoed.append(data)
        writer.write(data)
    writer.close()


echoed: list[bytes] = []


async def open_link() -> tuple[Link, asyncio.StreamReader, asyncio.StreamWriter]:
    """Return a link to an echo server, and an open connection over it that has already carried bytes."""
    echoed.clear()
    target = await asyncio.start_server(echo_server, "127.0.0.1", 0)
    link = Link(target.sockets[0].getsockname()[:2])
    proxy = await asyncio.start_server(link.serve, "127.0.0.1", 0)
    reader, writer = await asyncio.open_connection(*proxy.sockets[0].getsockname()[:2])
    writer.write(b"one")
    assert await reader.readexactly(3) == b"one"
    return link, reader, writer


@pytest.mark.parametrize(("mode", "arrives"), [("silent", False), ("one_way", True)])
def test_cut_link_holds_bytes_back_until_sound(mode: Mode, arrives: bool) -> None:
    async def scenario() -> None:
        link, reader, writer = await open_link()
        link.set_mode(mode)
        writer.write(b"two")
        answer = asyncio.create_task(reader.readexactly(3))
        while arrives and b"two" not in echoed:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.05)
        assert (b"two" in echoed, answer.done()) == (arrives, False)
        link.set_mode("sound")
        assert await answer == b"two"

    run(scenario)


def test_reset_link_aborts_its_connections() -> None:
    async def scenario() -> None:
        link, reader, _ = await open_link()
        link.set_mode("reset")
        with pytest.raises(ConnectionResetError):
            if not await reader.read(1):
                raise ConnectionResetError

    run(scenario)


def test_delayed_link_still_forwards_bytes() -> None:
    async def scenario() -> None:
        link, reader, writer = await open_link()
        link.set_mode("delay")
        writer.write(b"two")
        assert await reader.readexactly(3) == b"two"

    run(scenario)


# Guards against slow callers that send nothing, or that don't come back once they were closed.
def test_slow_callers_send_in_all_ways_and_come_back(monkeypatch: pytest.MonkeyPatch) -> None:
    begun: Counter[bytes] = Counter()
    came_back = asyncio.Event()
    expected = Counter(b"POST" if way.opening.startswith(b"POST") else b"GET " for way in WAYS)

    async def close_after_first_bytes(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        begun[(await reader.read(1000))[:4]] += 1
        if all(begun[method] > ways * CONNECTIONS_EACH for method, ways in expected.items()):
            came_back.set()
        writer.transport.abort()

    async def scenario() -> None:
        listening = await asyncio.start_server(close_after_first_bytes, "127.0.0.1", 0, backlog=512)
        monkeypatch.setattr("soak.slow_callers.FRONT_PORT", listening.sockets[0].getsockname()[1])
        callers = asyncio.create_task(hold_connections("127.0.0.1", seconds=2 * LIMIT_S))
        await came_back.wait()
        assert set(begun) == {b"GET ", b"POST"}
        callers.cancel()

    run(scenario)


@pytest.mark.parametrize(
    ("came", "problem"),
    [
        (b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf", TruncatedMessageError),
        (b"HTTP/1.1 200 OK\r\nconte", TruncatedMessageError),
        (b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n", ValueError),
    ],
)
def test_truncated_message_is_distinguished_from_invalid_one(came: bytes, problem: type[Exception]) -> None:
    async def scenario() -> None:
        reader = asyncio.StreamReader()
        reader.feed_data(came)
        reader.feed_eof()
        with pytest.raises(ValueError) as raised:
            await read_message(reader)
        assert raised.type is problem

    run(scenario)


# --- store ---


def store_in(folder: Path) -> Store:
    return Store(EventLog(folder / "events.jsonl"))


async def ask(store: Store, node: int, method: str, target: str, body: Any = None) -> tuple[int, Any] | None:
    """Make one call over a new connection; return ``None`` if it ended without an answer."""
    server = await asyncio.start_server(lambda r, w: store.serve(node, r, w), "127.0.0.1", 0)
    reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname()[:2])
    content = b"" if body is None else json.dumps(body).encode()
    writer.write(encode_message(f"{method} {target} HTTP/1.1", {}, content))
    answer = await read_message(reader)
    writer.close()
    return answer and (int(answer.start_line[1]), json.loads(answer.body))


def test_write_succeeds_only_at_its_revision(tmp_path: Path) -> None:
    async def scenario() -> None:
        store = store_in(tmp_path)
        created = await ask(store, OPERATOR, "PUT", "/objects/rollouts/desk", {"spec": {"n": 1}})
        assert created is not None
        revision = created[1]["meta"]["revision"]
        path, body = (
            "/objects/rollouts/desk/status",
            {"meta": {"revision": revision}, "status": {"state": "x"}},
        )
        first, second = await ask(store, 0, "PUT", path, body), await ask(store, 0, "PUT", path, body)
        assert first is not None
        assert second is not None
        assert (first[0], second[0], second[1]["status"]) == (200, 409, {"state": "x"})

    run(scenario)


def test_watch_returns_as_soon_as_object_changes() -> None:
    async def scenario() -> None:
        objects = Objects()
        waiting = asyncio.create_task(objects.watch("servers", objects.revision, LIMIT_S))
        await asyncio.sleep(0)
        objects.put("servers", "i-1", "spec", {"a": 1}, None)
        status, body = await waiting
        assert (status, [each["object"]["spec"] for each in body["events"]]) == (200, [{"a": 1}])

    run(scenario)


def test_write_of_equal_value_is_no_change() -> None:
    objects = Objects()
    for _ in range(2):
        objects.put("servers", "i-1", "spec", {"a": 1}, None)
    assert len(objects.history) == 1


def test_watch_from_forgotten_revision_is_gone() -> None:
    async def scenario() -> None:
        objects = Objects()
        objects.put("servers", "i-1", "spec", {"a": 1}, None)
        objects.forget_history(time.monotonic() + 1)
        assert (await objects.watch("servers", 1, 0.0))[0] == 410
        assert (await objects.watch("servers", objects.revision, 0.0))[0] == 200

    run(scenario)


def test_lists_are_paged(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("soak.store.PAGE", 2)
    objects = Objects()
    for name in "abc":
        objects.put("servers", name, "spec", {}, None)
    first = objects.page("servers", "")
    second = objects.page("servers", "b")
    names = [[each["meta"]["name"] for each in page["items"]] for page in (first, second)]
    assert (names, first["more"], second["more"]) == ([["a", "b"], ["c"]], True, False)


def test_stale_list_shows_earlier_state() -> None:
    objects = Objects()
    objects.put("servers", "a", "spec", {}, None)
    objects.refresh_stale_view()
    objects.put("servers", "b", "spec", {}, None)
    stale, fresh = objects.page("servers", "", stale=True), objects.page("servers", "")
    assert [len(page["items"]) for page in (stale, fresh)] == [1, 2]
    assert stale["at"] < fresh["at"]


@pytest.mark.parametrize(
    ("order", "node", "status"),
    [
        ({"mode": "down"}, 0, 503),
        ({"mode": "down"}, OPERATOR, 503),
        ({"mode": "throttled"}, 0, 429),
        ({"mode": "throttled"}, OPERATOR, 200),
        ({"refuse": [1]}, 1, 503),
        ({"refuse": [1]}, 0, 200),
    ],
)
def test_store_refuses_calls_by_mode_and_node(
    tmp_path: Path, order: dict[str, Any], node: int, status: int
) -> None:
    async def scenario() -> None:
        store = store_in(tmp_path)
        store.apply_command(order)
        answer = await ask(store, node, "GET", "/objects/servers")
        assert answer is not None
        assert answer[0] == status

    run(scenario)


def test_write_with_lost_answer_takes_effect(tmp_path: Path) -> None:
    async def scenario() -> None:
        store = store_in(tmp_path)
        store.apply_command({"mode": "loses_answers"})
        assert await ask(store, 0, "PUT", "/objects/nodes/n1", {"spec": {"a": 1}}) is None
        assert ("nodes", "n1") in store.objects.items

    run(scenario)


# --- servers ---


def events(folder: Path) -> list[dict[str, Any]]:
    return [json.loads(line) for line in (folder / "events.jsonl").read_text().splitlines()]


async def answers(
    folder: Path, mode: str, headers: dict[str, str], times: int = 1, on_one_connection: bool = False
) -> list[HttpMessage | ValueError | None]:
    """Send requests to a shard server in a mode; return its answers, or the errors from reading them."""
    server = Server("i-1", "a0", "s1", EventLog(folder / "events.jsonl"), random.Random(3))
    server.mode = mode
    listener = await asyncio.start_server(server._serve, "127.0.0.1", 0)
    address = listener.sockets[0].getsockname()[:2]
    found: list[HttpMessage | ValueError | None] = []
    for number in range(times):
        if not (number and on_one_connection):
            reader, writer = await asyncio.open_connection(*address)
        writer.write(encode_message("GET /wide/x HTTP/1.1", headers))
        try:
            found.append(await read_message(reader))
        except (ValueError, ConnectionResetError) as error:
            found.append(ValueError(str(error)))
        if not on_one_connection:
            writer.close()
    writer.close()
    return found


ID = {"x-yokesill-request-id": "x"}


def test_stale_wait_shows_changes_up_to_the_last_refresh() -> None:
    objects = Objects()
    objects.put("config", "main", "spec", {"v": 1}, None)
    objects.refresh_stale_view()
    objects.put("config", "main", "spec", {"v": 2}, None)
    status, body = objects.stale_changes("config", 0)
    shown = [each["object"]["spec"] for each in body["events"]]
    assert (status, body["at"], shown) == (200, objects.revision - 1, [{"v": 1}])
    assert objects.stale_changes("config", objects.revision)[1] == {"events": [], "at": objects.revision}


def test_sound_server_signs_and_records_request(tmp_path: Path) -> None:
    async def scenario() -> None:
        (answer,) = await answers(tmp_path, "sound", ID)
        assert isinstance(answer, HttpMessage)
        signature = answer.headers["x-yokesill-server-stamp"]
        logged = [(each["what"], each["signature"]) for each in events(tmp_path)]
        assert logged == [("arrived", signature), ("done", signature)]

    run(scenario)


@pytest.mark.parametrize("mode", ["odd_status", "false_promises", "late_rejections"])
def test_server_with_a_wrong_status_runs_each_request(tmp_path: Path, mode: str) -> None:
    async def scenario() -> None:
        first, second = await answers(tmp_path, mode, ID, times=2, on_one_connection=True)
        logged = events(tmp_path)
        assert [each["ran"] for each in logged if each["what"] == "arrived"] == [True, True]
        statuses = {each["status"] for each in logged if each["what"] == "done"}
        assert isinstance(first, HttpMessage) and isinstance(second, HttpMessage)
        if mode == "false_promises":
            assert int(first.start_line[1]) in statuses <= {408, 429, 503}
            assert "x-yokesill-not-executed" not in first.headers
        elif mode == "late_rejections":
            assert (first.start_line[1], second.start_line[1]) == ("200", "503")
            assert second.headers.get("x-yokesill-request-id") != ID["x-yokesill-request-id"]
        else:
            assert (first.start_line[0], first.start_line[1]) != ("HTTP/1.1", "200")
            assert statuses == {0}

    run(scenario)


@pytest.mark.parametrize(
    ("mode", "headers", "status"),
    [
        ("full", ID, "503"),
        ("sound", ID | {"x-yokesill-expect-instance": "i-0"}, "421"),
        ("sound", {}, "400"),
    ],
)
def test_refused_request_has_not_run(tmp_path: Path, mode: str, headers: dict[str, str], status: str) -> None:
    async def scenario() -> None:
        (answer,) = await answers(tmp_path, mode, headers)
        assert isinstance(answer, HttpMessage)
        assert (answer.start_line[1], "x-yokesill-not-executed" in answer.headers) == (status, True)
        echoed, sent = (each.get("x-yokesill-request-id") for each in (answer.headers, headers))
        assert echoed == sent
        assert [each["ran"] for each in events(tmp_path)] == [False]

    run(scenario)


def test_request_with_lost_answer_has_run(tmp_path: Path) -> None:
    async def scenario() -> None:
        assert not isinstance((await answers(tmp_path, "loses_answers", ID))[0], HttpMessage)
        assert [each["ran"] for each in events(tmp_path)] == [True]

    run(scenario)


def test_garbling_server_does_not_record_bad_answer_as_good(tmp_path: Path) -> None:
    async def scenario() -> None:
        found = await answers(tmp_path, "garbles", ID, times=20)
        whole = [each for each in found if isinstance(each, HttpMessage) and each.start_line[0] == "HTTP/1.1"]
        good = {each["signature"] for each in events(tmp_path) if each.get("status") == 200}
        read = {each.headers.get("x-yokesill-server-stamp") for each in whole if len(each.body) == 128}
        assert 0 < len(good) < 20
        assert good <= read

    run(scenario)


def test_restored_store_loses_latest_writes_and_reuses_revisions(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("soak.store.COPY_AGE_S", 0.0)

    async def scenario() -> None:
        objects = Objects()
        objects.put("config", "main", "spec", {"v": 1}, None)
        objects.make_copy()
        objects.put("config", "main", "spec", {"v": 2}, None)
        lost = objects.revision
        objects.restore()
        assert objects.page("config", "")["items"][0]["spec"] == {"v": 1}
        assert (await objects.watch("config", lost, 0.0))[0] == 410
        _, item = objects.put("config", "main", "spec", {"v": 3}, None)
        assert item["meta"]["revision"] == lost
        assert (await objects.watch("config", lost - 1, 0.0))[1]["events"][0]["object"]["spec"] == {"v": 3}
        assert objects.timeline == 2

    run(scenario)


# Guards against: watches that hear of changes at once although the store is to keep them back.
def test_watches_of_nodes_hear_nothing_while_the_store_is_deaf(tmp_path: Path) -> None:
    async def scenario() -> None:
        store = Store(EventLog(tmp_path / "events.jsonl"))
        store.apply_command({"mode": "deaf"})
        store.objects.put("config", "main", "spec", {}, None)
        read = HttpMessage(("GET", "/objects/config", "HTTP/1.1"), {}, b"")
        assert await store._serve_one(0, read) is not None
        call = HttpMessage(("GET", "/objects/config?watch=1&waitMs=10", "HTTP/1.1"), {}, b"")
        watch = asyncio.create_task(store._serve_one(0, call))
        await asyncio.sleep(0.1)
        assert not watch.done()
        store.apply_command({"mode": "sound"})
        assert await watch is not None

    run(scenario)


# Guards against: a server that was dark and refuses connections afterwards, since old ones hold its places.
def test_a_server_that_was_dark_takes_connections_again(tmp_path: Path) -> None:
    async def scenario() -> None:
        server = Server("i-0-1", "a0", "s1", EventLog(tmp_path / "events.jsonl"), random.Random(1))
        server.terms = server.terms._replace(max_connections=1)
        await server.start("127.77.3.1")
        server.mode = "dark"
        request = encode_message("GET /read/1 HTTP/1.1", {"x-yokesill-request-id": "1"})
        _, first = await asyncio.open_connection("127.77.3.1", SERVER_PORT)
        first.write(request)
        await asyncio.sleep(0.1)
        first.close()
        server.mode = "sound"
        await asyncio.sleep(0.3)
        reader, second = await asyncio.open_connection("127.77.3.1", SERVER_PORT)
        second.write(request)
        answer = await read_message(reader)
        assert answer is not None
        second.close()
        server.end()

    run(scenario)

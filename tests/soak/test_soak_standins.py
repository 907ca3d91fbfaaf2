"""The stand-ins do what they are told: links, store and servers over real loopback sockets."""

import asyncio
import json
import random
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest

from soak.network import Link, Mode
from soak.server import Server
from soak.standin import EventLog, HttpMessage, TruncatedMessageError, encode_message, read_message
from soak.store import OPERATOR, Objects, Store

LIMIT_S = 20.0


def run(scene: Callable[[], Awaitable[None]]) -> None:
    async def bounded() -> None:
        async with asyncio.timeout(LIMIT_S):
            await scene()

    asyncio.run(bounded())


async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while data := await reader.read(100):
        heard.append(data)
        writer.write(data)
    writer.close()


heard: list[bytes] = []


async def linked() -> tuple[Link, asyncio.StreamReader, asyncio.StreamWriter]:
    """Return a link to an echo and a connection over it that has carried bytes."""
    heard.clear()
    far = await asyncio.start_server(echo, "127.0.0.1", 0)
    link = Link(far.sockets[0].getsockname()[:2])
    near = await asyncio.start_server(link.serve, "127.0.0.1", 0)
    reader, writer = await asyncio.open_connection(*near.sockets[0].getsockname()[:2])
    writer.write(b"one")
    assert await reader.readexactly(3) == b"one"
    return link, reader, writer


@pytest.mark.parametrize(("mode", "arrives"), [("silent", False), ("one_way", True)])
def test_a_cut_link_holds_back_until_it_is_sound(mode: Mode, arrives: bool) -> None:
    async def scene() -> None:
        link, reader, writer = await linked()
        link.set_mode(mode)
        writer.write(b"two")
        answer = asyncio.create_task(reader.readexactly(3))
        while arrives and b"two" not in heard:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.05)
        assert (b"two" in heard, answer.done()) == (arrives, False)
        link.set_mode("sound")
        assert await answer == b"two"

    run(scene)


def test_a_reset_link_breaks_its_connections_off() -> None:
    async def scene() -> None:
        link, reader, _ = await linked()
        link.set_mode("reset")
        with pytest.raises(ConnectionResetError):
            if not await reader.read(1):
                raise ConnectionResetError

    run(scene)


def test_a_slow_link_carries_all_the_same() -> None:
    async def scene() -> None:
        link, reader, writer = await linked()
        link.set_mode("delay")
        writer.write(b"two")
        assert await reader.readexactly(3) == b"two"

    run(scene)


@pytest.mark.parametrize(
    ("came", "problem"),
    [
        (b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf", TruncatedMessageError),
        (b"HTTP/1.1 200 OK\r\nconte", TruncatedMessageError),
        (b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n", ValueError),
    ],
)
def test_what_broke_off_is_told_from_what_is_no_message(came: bytes, problem: type[Exception]) -> None:
    async def scene() -> None:
        reader = asyncio.StreamReader()
        reader.feed_data(came)
        reader.feed_eof()
        with pytest.raises(ValueError) as raised:
            await read_message(reader)
        assert raised.type is problem

    run(scene)


# --- the store ---


def store_in(folder: Path) -> Store:
    return Store(EventLog(folder / "events.jsonl"))


async def ask(store: Store, node: int, method: str, target: str, body: Any = None) -> tuple[int, Any] | None:
    """Make one call as it comes over a connection; ``None``: it ended without an answer."""
    server = await asyncio.start_server(lambda r, w: store.serve(node, r, w), "127.0.0.1", 0)
    reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname()[:2])
    content = b"" if body is None else json.dumps(body).encode()
    writer.write(encode_message(f"{method} {target} HTTP/1.1", {}, content))
    answer = await read_message(reader)
    writer.close()
    return answer and (int(answer.start_line[1]), json.loads(answer.body))


def test_a_write_holds_only_on_the_revision_that_it_names(tmp_path: Path) -> None:
    async def scene() -> None:
        store = store_in(tmp_path)
        made = await ask(store, OPERATOR, "PUT", "/objects/rollouts/desk", {"spec": {"n": 1}})
        assert made is not None
        revision = made[1]["meta"]["revision"]
        path, body = (
            "/objects/rollouts/desk/status",
            {"meta": {"revision": revision}, "status": {"state": "x"}},
        )
        first, second = await ask(store, 0, "PUT", path, body), await ask(store, 0, "PUT", path, body)
        assert first is not None
        assert second is not None
        assert (first[0], second[0], second[1]["status"]) == (200, 409, {"state": "x"})

    run(scene)


def test_a_watch_returns_as_soon_as_something_changes() -> None:
    async def scene() -> None:
        objects = Objects()
        waiting = asyncio.create_task(objects.watch("servers", objects.revision, LIMIT_S))
        await asyncio.sleep(0)
        objects.put("servers", "i-1", "spec", {"a": 1}, None)
        status, body = await waiting
        assert (status, [each["object"]["spec"] for each in body["events"]]) == (200, [{"a": 1}])

    run(scene)


def test_an_entry_that_says_the_same_is_no_change() -> None:
    objects = Objects()
    for _ in range(2):
        objects.put("servers", "i-1", "spec", {"a": 1}, None)
    assert len(objects.history) == 1


def test_forgotten_history_ends_a_watch_with_gone() -> None:
    async def scene() -> None:
        objects = Objects()
        objects.put("servers", "i-1", "spec", {"a": 1}, None)
        objects.forget_history(time.monotonic() + 1)
        assert (await objects.watch("servers", 1, 0.0))[0] == 410
        assert (await objects.watch("servers", objects.revision, 0.0))[0] == 200

    run(scene)


def test_lists_come_in_pages(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("soak.store.PAGE", 2)
    objects = Objects()
    for name in "abc":
        objects.put("servers", name, "spec", {}, None)
    first = objects.page("servers", "")
    second = objects.page("servers", "b")
    names = [[each["meta"]["name"] for each in page["items"]] for page in (first, second)]
    assert (names, first["more"], second["more"]) == ([["a", "b"], ["c"]], True, False)


def test_stale_lists_are_of_an_earlier_moment() -> None:
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
def test_a_store_refuses_those_that_it_is_told_to(
    tmp_path: Path, order: dict[str, Any], node: int, status: int
) -> None:
    async def scene() -> None:
        store = store_in(tmp_path)
        store.apply_command(order)
        answer = await ask(store, node, "GET", "/objects/servers")
        assert answer is not None
        assert answer[0] == status

    run(scene)


def test_a_lost_answer_comes_after_its_effect(tmp_path: Path) -> None:
    async def scene() -> None:
        store = store_in(tmp_path)
        store.apply_command({"mode": "loses_answers"})
        assert await ask(store, 0, "PUT", "/objects/nodes/n1", {"spec": {"a": 1}}) is None
        assert ("nodes", "n1") in store.objects.items

    run(scene)


# --- servers ---


def events(folder: Path) -> list[dict[str, Any]]:
    return [json.loads(line) for line in (folder / "events.jsonl").read_text().splitlines()]


async def answers(
    folder: Path, mode: str, headers: dict[str, str], times: int = 1
) -> list[HttpMessage | ValueError | None]:
    """Ask a server of a shard and return what a reader makes of its answers."""
    server = Server("i-1", "a0", "s1", EventLog(folder / "events.jsonl"), random.Random(3))
    server.mode = mode
    listener = await asyncio.start_server(server._serve, "127.0.0.1", 0)
    address = listener.sockets[0].getsockname()[:2]
    found: list[HttpMessage | ValueError | None] = []
    for _ in range(times):
        reader, writer = await asyncio.open_connection(*address)
        writer.write(encode_message("GET /wide/x HTTP/1.1", headers))
        try:
            found.append(await read_message(reader))
        except (ValueError, ConnectionResetError) as error:
            found.append(ValueError(str(error)))
        writer.close()
    return found


ID = {"x-yokesill-request-id": "x"}


def test_a_sound_server_signs_and_records_what_it_ran(tmp_path: Path) -> None:
    async def scene() -> None:
        (answer,) = await answers(tmp_path, "sound", ID)
        assert isinstance(answer, HttpMessage)
        signature = answer.headers["x-yokesill-server-stamp"]
        told = [(each["what"], each["signature"]) for each in events(tmp_path)]
        assert told == [("arrived", signature), ("done", signature)]

    run(scene)


@pytest.mark.parametrize(
    ("mode", "headers", "status"),
    [
        ("full", ID, "503"),
        ("sound", ID | {"x-yokesill-expect-instance": "i-0"}, "421"),
        ("sound", {}, "400"),
    ],
)
def test_what_a_server_refuses_has_not_run(
    tmp_path: Path, mode: str, headers: dict[str, str], status: str
) -> None:
    async def scene() -> None:
        (answer,) = await answers(tmp_path, mode, headers)
        assert isinstance(answer, HttpMessage)
        assert (answer.start_line[1], "x-yokesill-not-executed" in answer.headers) == (status, True)
        assert [each["ran"] for each in events(tmp_path)] == [False]

    run(scene)


def test_a_lost_answer_has_run(tmp_path: Path) -> None:
    async def scene() -> None:
        assert not isinstance((await answers(tmp_path, "loses_answers", ID))[0], HttpMessage)
        assert [each["ran"] for each in events(tmp_path)] == [True]

    run(scene)


def test_a_garbling_server_never_records_a_bad_answer_as_good(tmp_path: Path) -> None:
    async def scene() -> None:
        found = await answers(tmp_path, "garbles", ID, times=20)
        whole = [each for each in found if isinstance(each, HttpMessage) and each.start_line[0] == "HTTP/1.1"]
        good = {each["signature"] for each in events(tmp_path) if each.get("status") == 200}
        read = {each.headers.get("x-yokesill-server-stamp") for each in whole if len(each.body) == 128}
        assert 0 < len(good) < 20
        assert good <= read

    run(scene)


def test_a_restored_store_has_lost_the_latest_and_gives_its_revisions_out_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("soak.store.COPY_AGE_S", 0.0)

    async def scene() -> None:
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

    run(scene)

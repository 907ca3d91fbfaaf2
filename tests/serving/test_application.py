"""The callers' side, by ASGI and in virtual time: what is read, refused, answered and broken off."""

import random
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import anyio.lowlevel
import pytest
from conftest import run_virtual
from harness import configuration, server, single_route
from memory_servers import Heard, MemoryServer, MemoryStream, Script, well

from yokesill import logs
from yokesill.callers.application import GatewayApplication
from yokesill.gateway import events as ev
from yokesill.gateway.documents import Configuration
from yokesill.gateway.options import GatewayOptions
from yokesill.gateway.router import GatewayRouter
from yokesill.serving.driver import GatewayDriver
from yokesill.serving.header_names import HeaderNames
from yokesill.telemetry.figures import GatewayFigures
from yokesill.telemetry.observer import Observer
from yokesill.upstreams.server_client import ServerClient
from yokesill.upstreams.wires import dial_streams

CONFIGURATION = configuration(3, single_route())
Headers = list[tuple[bytes, bytes]]
GOOD: Headers = [(b"host", b"Shop.Example:80"), (b"request-id", b"r1"), (b"request-deadline-ms", b"6000")]


class Answer:
    """What the application sent."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[bytes, bytes] = {}
        self.body = b""

    async def send(self, message: Any) -> None:
        if message["type"] == "http.response.start":
            self.status, self.headers = message["status"], dict(message["headers"])
        else:
            self.body += message["body"]


class Caller:
    """One caller's request; ``leaves_after`` (s) it disconnects."""

    def __init__(self, body: list[bytes], leaves_after: float | None) -> None:
        self._messages = [
            {"type": "http.request", "body": chunk, "more_body": index + 1 < len(body)}
            for index, chunk in enumerate(body)
        ]
        self._leaves_after = leaves_after

    async def receive(self) -> Any:
        if self._messages:
            return self._messages.pop(0)
        if self._leaves_after is None:
            await anyio.sleep_forever()
        await anyio.sleep(self._leaves_after or 0.0)
        return {"type": "http.disconnect"}


class Served:
    """An application over one server in memory."""

    def __init__(self, backend: MemoryServer, known: Configuration | None) -> None:
        self.backend = backend
        router = GatewayRouter(GatewayOptions(zone="z1"), random.Random(1), anyio.current_time())
        observer = Observer(logs.get_logger("test"), GatewayFigures())
        client = ServerClient(HeaderNames(), dial_streams(backend.connect, backend.tasks))
        self.driver = GatewayDriver(router, client, observer.log_event)
        self.application = GatewayApplication(self.driver, HeaderNames(), observer, "n1")
        if known is not None:
            self.learn(known)

    def learn(self, known: Configuration) -> None:
        self.driver.feed(ev.ConfigurationReceived(known))
        self.driver.feed(ev.ServerListed(server("i-1", "desk")))
        self.application.synchronised.set()

    async def ask(
        self,
        path: str = "/one/a%20b",
        headers: Headers = GOOD,
        body: list[bytes] | None = None,
        method: str = "GET",
        leaves_after: float | None = None,
    ) -> Answer:
        answer = Answer()
        scope = {
            "type": "http",
            "method": method,
            "path": path,
            "raw_path": path.encode(),
            "query_string": b"q=1",
            "headers": headers,
        }
        await self.application(scope, Caller(body or [b""], leaves_after).receive, answer.send)
        return answer


def serving(
    main: Callable[[Served], Awaitable[None]],
    script: Script = well,
    known: Configuration | None = CONFIGURATION,
) -> None:
    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            served = Served(MemoryServer(script, tasks), known)
            await tasks.start(served.driver.run)
            await anyio.wait_all_tasks_blocked()
            await main(served)
            tasks.cancel_scope.cancel()

    run_virtual(run)


def test_a_request_goes_through_with_path_query_method_body_and_own_headers() -> None:
    async def main(served: Served) -> None:
        extra: Headers = [
            (b"x-own", b"1"),
            (b"connection", b"x-hop"),
            (b"x-hop", b"2"),
            (b"expect-instance", b"e"),
        ]
        answer = await served.ask(headers=GOOD + extra, body=[b"ab", b"c"], method="POST")
        assert (answer.status, answer.body) == (200, b"hello")
        assert answer.headers[b"server-signature"] == b"sig"
        heard = served.backend.heard[0]
        assert heard.head.startswith("POST /one/a%20b?q=1 HTTP/1.1\r\n")
        assert heard.body == b"abc"
        assert (heard.header("x-own"), heard.header("x-hop")) == ("1", None)
        assert (heard.header("host"), heard.header("request-id")) == ("Shop.Example:80", "r1")
        assert heard.header("expect-instance") == "i-1"

    serving(main)


@pytest.mark.parametrize(
    ("headers", "body", "status"),
    [
        ([(b"host", b"shop.example")], [b""], 400),
        ([*GOOD, (b"x-long", b"x" * 20_000)], [b""], 431),
        (GOOD, [b"x" * 600_000, b"x" * 600_000], 413),
    ],
)
def test_a_bad_request_is_answered_and_reaches_no_server(
    headers: Headers, body: list[bytes], status: int
) -> None:
    async def main(served: Served) -> None:
        answer = await served.ask(headers=headers, body=body)
        assert answer.status == status
        assert answer.headers[b"connection"] == b"close"
        assert served.backend.heard == []

    serving(main)


def test_an_unknown_path_is_404_and_no_configuration_503() -> None:
    async def known(served: Served) -> None:
        assert (await served.ask("/none/x")).status == 404

    async def unknown(served: Served) -> None:
        answer = await served.ask(body=[b"some body"], method="POST")
        assert answer.status == 503
        assert float(answer.headers[b"retry-after"]) > 0

    serving(known)
    serving(unknown, known=None)


def test_a_request_that_comes_just_before_the_first_configuration_waits_for_it_a_moment() -> None:
    async def main(served: Served) -> None:
        async def learn() -> None:
            await anyio.sleep(0.1)
            served.learn(CONFIGURATION)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(learn)
            answer = await served.ask()
        assert answer.status == 200

    serving(main, known=None)


def test_a_refusal_promises_no_more_than_the_verdict() -> None:
    async def shed(_server: MemoryServer, stream: MemoryStream, _heard: Heard) -> None:
        await stream.send(b"HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")

    async def lost(_server: MemoryServer, stream: MemoryStream, _heard: Heard) -> None:
        await stream.aclose()

    async def silent(_server: MemoryServer, _stream: MemoryStream, _heard: Heard) -> None:
        return None

    for script, status in ((shed, 503), (lost, 502), (silent, 504)):

        async def main(served: Served, status: int = status) -> None:
            answer = await served.ask()
            assert answer.status == status
            assert float(answer.headers[b"retry-after"]) > 0

        serving(main, script)


def test_a_caller_that_leaves_has_its_request_broken_off_at_the_server() -> None:
    async def silent(_server: MemoryServer, _stream: MemoryStream, _heard: Heard) -> None:
        return None

    async def main(served: Served) -> None:
        started = anyio.current_time()
        answer = await served.ask(leaves_after=0.2)
        assert answer.status == 0
        assert anyio.current_time() - started < 0.4
        assert served.driver.router.in_flight == 0

    serving(main, silent)


def test_while_stopping_every_answer_closes_its_connection() -> None:
    async def main(served: Served) -> None:
        served.application.stopping = True
        assert (await served.ask()).headers[b"connection"] == b"close"

    serving(main)


def test_while_cut_off_every_answer_closes_its_connection() -> None:
    async def main(served: Served) -> None:
        served.application.partitioned = True
        assert (await served.ask()).headers[b"connection"] == b"close"

    serving(main)


def test_connections_to_a_forgotten_server_are_closed() -> None:
    async def main(served: Served) -> None:
        forgotten: list[str] = []
        served.driver.forgotten = forgotten.append
        await served.ask()
        served.driver.feed(ev.ServerRemoved("i-1"))
        await anyio.sleep(10.0)
        served.driver.feed(ev.ServerRemoved("nobody"))
        await anyio.sleep(0.1)
        assert served.backend.closed == 1
        assert forgotten == ["i-1"]

    serving(main)

"""The ASGI application for callers in virtual time: reading, rejecting, answering and cancelling requests."""

import random
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import anyio.lowlevel
import pytest
from conftest import run_virtual
from harness import configuration, server, single_route
from memory_servers import (
    MemoryServer,
    MemoryStream,
    ReceivedRequest,
    Script,
    answer_bytes,
    answer_normally,
)
from odd_start_lines import NO_REPLY, with_start_line

from yokesill import logs
from yokesill.callers.application import GatewayApplication
from yokesill.gateway import events as ev
from yokesill.gateway.documents import Configuration
from yokesill.gateway.options import GatewayOptions
from yokesill.gateway.router import GatewayRouter
from yokesill.serving.driver import GatewayDriver
from yokesill.serving.header_names import HeaderNames
from yokesill.telemetry.figures import GatewayMetrics
from yokesill.telemetry.observer import Observer
from yokesill.upstreams.server_client import ServerClient
from yokesill.upstreams.wires import dial_streams

CONFIGURATION = configuration(3, single_route())
Headers = list[tuple[bytes, bytes]]
GOOD: Headers = [(b"host", b"Shop.Example:80"), (b"request-id", b"r1"), (b"request-deadline-ms", b"6000")]
# Requests after which the budget of extra attempts allows some.
EARNING_REQUESTS = 30


class Answer:
    """The response that the application sent."""

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
    """One caller's request; after ``leaves_after`` seconds the caller disconnects."""

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


class ApplicationHarness:
    """An application with one in-memory server."""

    def __init__(self, backend: MemoryServer, known: Configuration | None) -> None:
        self.backend = backend
        router = GatewayRouter(GatewayOptions(zone="z1"), random.Random(1), anyio.current_time())
        observer = Observer(logs.get_logger("test"), GatewayMetrics())
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


def run_application(
    main: Callable[[ApplicationHarness], Awaitable[None]],
    script: Script = answer_normally,
    known: Configuration | None = CONFIGURATION,
) -> None:
    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            served = ApplicationHarness(MemoryServer(script, tasks), known)
            await tasks.start(served.driver.run)
            await anyio.wait_all_tasks_blocked()
            await main(served)
            tasks.cancel_scope.cancel()

    run_virtual(run)


def test_path_query_method_body_and_end_to_end_headers_are_forwarded() -> None:
    async def main(served: ApplicationHarness) -> None:
        extra: Headers = [
            (b"x-own", b"1"),
            (b"connection", b"x-hop"),
            (b"x-hop", b"2"),
            (b"expect-instance", b"e"),
        ]
        answer = await served.ask(headers=GOOD + extra, body=[b"ab", b"c"], method="POST")
        assert (answer.status, answer.body) == (200, b"hello")
        assert answer.headers[b"server-signature"] == b"sig"
        request = served.backend.received[0]
        assert request.head.startswith("POST /one/a%20b?q=1 HTTP/1.1\r\n")
        assert request.body == b"abc"
        assert (request.header("x-own"), request.header("x-hop")) == ("1", None)
        assert (request.header("host"), request.header("request-id")) == ("Shop.Example:80", "r1")
        assert request.header("expect-instance") == "i-1"

    run_application(main)


@pytest.mark.parametrize(
    ("headers", "body", "status"),
    [
        ([(b"host", b"shop.example")], [b""], 400),
        ([*GOOD, (b"x-long", b"x" * 20_000)], [b""], 431),
        (GOOD, [b"x" * 600_000, b"x" * 600_000], 413),
    ],
)
def test_bad_request_is_rejected_without_reaching_a_server(
    headers: Headers, body: list[bytes], status: int
) -> None:
    async def main(served: ApplicationHarness) -> None:
        answer = await served.ask(headers=headers, body=body)
        assert answer.status == status
        assert answer.headers[b"connection"] == b"close"
        assert served.backend.received == []

    run_application(main)


def test_unknown_path_is_404_and_missing_configuration_is_503() -> None:
    async def known(served: ApplicationHarness) -> None:
        assert (await served.ask("/none/x")).status == 404

    async def unknown(served: ApplicationHarness) -> None:
        answer = await served.ask(body=[b"some body"], method="POST")
        assert answer.status == 503
        assert float(answer.headers[b"retry-after"]) > 0

    run_application(known)
    run_application(unknown, known=None)


def test_request_shortly_before_the_first_configuration_waits_for_it() -> None:
    async def main(served: ApplicationHarness) -> None:
        async def learn() -> None:
            await anyio.sleep(0.1)
            served.learn(CONFIGURATION)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(learn)
            answer = await served.ask()
        assert answer.status == 200

    run_application(main, known=None)


def test_status_of_a_refusal_guarantees_no_more_than_the_verdict() -> None:
    async def shed(_server: MemoryServer, stream: MemoryStream, _request: ReceivedRequest) -> None:
        await stream.send(b"HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")

    async def lost(_server: MemoryServer, stream: MemoryStream, _request: ReceivedRequest) -> None:
        await stream.aclose()

    async def silent(_server: MemoryServer, _stream: MemoryStream, _request: ReceivedRequest) -> None:
        return None

    for script, status in ((shed, 503), (lost, 502), (silent, 504)):

        async def main(served: ApplicationHarness, status: int = status) -> None:
            answer = await served.ask()
            assert answer.status == status
            assert float(answer.headers[b"retry-after"]) > 0

        run_application(main, script)


@pytest.mark.parametrize("named", [True, False])
def test_surplus_rejection_repeats_no_request_and_promises_nothing(named: bool) -> None:
    # Guards against: a late surplus rejection, with another request's id or none, taken for the running
    # request's: it ran twice, or its caller got 503 although it ran.
    ran: Counter[str] = Counter()
    surplus: dict[int, bytes] = {}

    async def script(server: MemoryServer, stream: MemoryStream, request: ReceivedRequest) -> None:
        request_id = request.header("request-id") or ""
        rejection = answer_bytes(request_id if named else None, b"", "503 X", "Not-Executed: 1")
        if len(server.received) % 5 == 0:
            surplus[request.connection] = rejection
            await stream.send(answer_bytes(request_id, b"", "503 X", "Not-Executed: 1"))
            return
        ran[request_id] += 1
        if request.connection in surplus:
            await stream.send(surplus.pop(request.connection))
            await anyio.sleep(0.03)
        await stream.send(answer_bytes(request_id))

    async def main(served: ApplicationHarness) -> None:
        served.driver.feed(ev.ServerListed(server("i-2", "desk")))
        statuses: dict[str, int] = {}
        for number in range(60):
            headers = [each for each in GOOD if each[0] != b"request-id"]
            headers.append((b"request-id", b"q%d" % number))
            statuses[f"q{number}"] = (await served.ask(headers=headers, method="POST")).status
        assert max(ran.values()) == 1
        assert [each for each, status in statuses.items() if status == 503 and ran[each]] == []
        assert 502 in statuses.values(), "no surplus rejection was met"

    run_application(main, script, configuration(3, single_route(repeatable=False)))


def answers_with(status: int, body: bytes = b"why") -> Script:
    """Return a server that runs each request and answers it with ``status``."""

    async def script(_server: MemoryServer, stream: MemoryStream, request: ReceivedRequest) -> None:
        await stream.send(answer_bytes(request.header("request-id"), body, f"{status} X"))

    return script


@pytest.mark.parametrize("repeatable", [True, False])
@pytest.mark.parametrize("status", [408, 429, 503])
def test_status_that_promises_not_run_is_not_passed_on_from_a_server_that_ran_it(
    status: int, repeatable: bool
) -> None:
    # Guards against: a caller told by a server's own status that its request has not run, although it has.
    async def main(served: ApplicationHarness) -> None:
        answer = await served.ask(method="POST")
        assert answer.status == 502
        assert b"server-signature" not in answer.headers
        assert answer.headers[b"request-id"] == b"r1"
        assert b"(ran)" in answer.body and str(status).encode() in answer.body

    run_application(main, answers_with(status), configuration(3, single_route(repeatable)))


@pytest.mark.parametrize("status", [400, 404, 409, 500, 502, 504])
def test_other_failures_of_a_server_reach_the_caller_unchanged(status: int) -> None:
    # Guards against: a server's own answer replaced although its status promises nothing.
    async def main(served: ApplicationHarness) -> None:
        answer = await served.ask(method="POST")
        assert (answer.status, answer.body) == (status, b"why")
        assert answer.headers[b"server-signature"] == b"sig"

    run_application(main, answers_with(status), configuration(3, single_route(repeatable=False)))


@pytest.mark.parametrize("start_line", NO_REPLY)
def test_odd_start_line_sends_an_idempotent_request_elsewhere_and_no_other(start_line: bytes) -> None:
    # Guards against: a status outside 100 to 599 that closed the caller's connection without an answer, or
    # held its request until the deadline.
    def odd_answers(count: int) -> Script:
        async def script(server: MemoryServer, stream: MemoryStream, request: ReceivedRequest) -> None:
            answer = answer_bytes(request.header("request-id"))
            is_odd = 0 < len(server.received) - EARNING_REQUESTS <= count
            await stream.send(with_start_line(answer, start_line) if is_odd else answer)

        return script

    def expecting(status: int, sent: int) -> Callable[[ApplicationHarness], Awaitable[None]]:
        async def main(served: ApplicationHarness) -> None:
            served.driver.feed(ev.ServerListed(server("i-2", "desk")))
            for _ in range(EARNING_REQUESTS):
                assert (await served.ask()).status == 200
            began = anyio.current_time()
            assert (await served.ask(method="POST")).status == status
            assert anyio.current_time() - began < 0.1
            assert len(served.backend.received) - EARNING_REQUESTS == sent

        return main

    repeated, once = (configuration(3, single_route(each)) for each in (True, False))
    run_application(expecting(200, sent=2), odd_answers(1), repeated)
    run_application(expecting(502, sent=2), odd_answers(2), repeated)
    run_application(expecting(502, sent=1), odd_answers(1), once)


@pytest.mark.parametrize(
    "change",
    [
        ev.ServerListed(server("i-1", "desk", leaving=True)),
        ev.ZoneEvacuated("z1"),
        ev.ServerRemoved("i-1"),
    ],
)
def test_request_that_waits_for_a_connection_is_not_sent_to_a_server_that_left_meanwhile(
    change: ev.Event,
) -> None:
    # Guards against: a request that waited half a second for its server's connection was sent without another
    # look at the server, later than the bound for servers that leave, and was lost with it.
    async def script(server: MemoryServer, stream: MemoryStream, request: ReceivedRequest) -> None:
        if len(server.received) == 1:
            await anyio.sleep(0.4)
        await stream.send(answer_bytes(request.header("request-id")))

    async def main(served: ApplicationHarness) -> None:
        if isinstance(change, ev.ServerRemoved):
            # So late in the time for which a removed server is a last resort that the wait outlasts it.
            served.driver.feed(change)
            await anyio.sleep(served.driver.router.options.removed_grace_s - 0.2)
        answers: dict[str, Answer] = {}

        async def ask(name: str) -> None:
            answers[name] = await served.ask(method="POST")

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ask, "running")
            await anyio.sleep(0.05)
            tasks.start_soon(ask, "waiting")
            await anyio.sleep(0.05)
            served.driver.feed(change)
        assert (answers["running"].status, answers["waiting"].status) == (200, 503)
        assert len(served.backend.received) == 1

    run_application(main, script, configuration(3, single_route(repeatable=False), connections=1))


def test_disconnect_of_the_caller_cancels_its_request() -> None:
    async def silent(_server: MemoryServer, _stream: MemoryStream, _request: ReceivedRequest) -> None:
        return None

    async def main(served: ApplicationHarness) -> None:
        started = anyio.current_time()
        answer = await served.ask(leaves_after=0.2)
        assert answer.status == 0
        assert anyio.current_time() - started < 0.4
        assert served.driver.router.in_flight == 0

    run_application(main, silent)


def test_every_answer_closes_its_connection_while_stopping() -> None:
    async def main(served: ApplicationHarness) -> None:
        served.application.stopping = True
        assert (await served.ask()).headers[b"connection"] == b"close"

    run_application(main)


def test_every_answer_closes_its_connection_while_partitioned() -> None:
    async def main(served: ApplicationHarness) -> None:
        served.application.partitioned = True
        assert (await served.ask()).headers[b"connection"] == b"close"

    run_application(main)


def test_connections_to_a_removed_server_are_closed() -> None:
    async def main(served: ApplicationHarness) -> None:
        forgotten: list[str] = []
        served.driver.on_server_forgotten = forgotten.append
        await served.ask()
        served.driver.feed(ev.ServerRemoved("i-1"))
        await anyio.sleep(10.0)
        served.driver.feed(ev.ServerRemoved("nobody"))
        await anyio.sleep(0.1)
        assert served.backend.closed == 1
        assert forgotten == ["i-1"]

    run_application(main)

"""Forwarding of wide requests to coordinators: acknowledged, refused, lost and cancelled ones."""

from collections.abc import Awaitable, Callable, MutableMapping
from dataclasses import replace
from typing import Any

import anyio
import anyio.lowlevel
import pytest
from conftest import run_virtual
from harness import configuration, gather_route
from memory_servers import MemoryServer, MemoryStream, ReceivedRequest

from yokesill.callers.answers import HttpAnswer
from yokesill.coordinators.client import COORDINATE_PATH, CoordinatorClient
from yokesill.coordinators.coordinator import CoordinatorApplication
from yokesill.coordinators.forwarding import Forwarder
from yokesill.coordinators.messages import (
    ForwardedRequest,
    GatheredAnswer,
    decode_answer,
    decode_forwarded,
    encode_answer,
    encode_forwarded,
)
from yokesill.gateway.events import LogEvent
from yokesill.gateway.forwarding import MIN_WIDE_SERVICES, Coordinator, CoordinatorChoice
from yokesill.gateway.messages import GatewayRequest
from yokesill.telemetry.observer import CoordinatedEnding
from yokesill.upstreams.wires import dial_streams
from yokesill.verdict import Failure, Reason, Verdict

ADDRESS = "10.0.0.7:80"
ROUTE = gather_route(services=tuple(f"s{number}" for number in range(MIN_WIDE_SERVICES)))
ANSWER = HttpAnswer(200, ((b"parts", b"a, b"), (b"missing", b"1")), b"records", "partial")
GATHERED = GatheredAnswer(ANSWER, 0.25)
ACKNOWLEDGE_S = 0.04
HEAD = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n"


def create_request(now: float = 0.0) -> GatewayRequest:
    headers = ((b"host", b"shop.example"), (b"x-own", b"1"))
    return GatewayRequest(
        "k1",
        "id-1",
        b"POST",
        "shop.example",
        "/wide/x",
        b"/wide/x?q=1",
        headers,
        b"\x00body",
        now,
        1.5,
        False,
    )


# --- messages ---


def test_a_request_and_its_answer_round_trip_unchanged() -> None:
    request = create_request(100.0)
    decoded = decode_forwarded(encode_forwarded(ForwardedRequest(7, 0.02, request)), "k9", 205.0)
    assert decoded.version == 7
    assert decoded.request == replace(request, key="k9", arrived_at_s=205.0 - 0.02)
    assert decode_answer(encode_answer("id-1", GATHERED), "id-1") == GATHERED


@pytest.mark.parametrize("data", [b"", b"\xff", encode_answer("id-1", GATHERED), b"\x81\x01"])
def test_a_malformed_forwarded_request_is_rejected(data: bytes) -> None:
    with pytest.raises(ValueError, match="malformed"):
        decode_forwarded(data, "k", 0.0)


def test_an_answer_to_another_request_is_rejected() -> None:
    with pytest.raises(ValueError, match="id-2"):
        decode_answer(encode_answer("id-2", GATHERED), "id-1")


@pytest.mark.parametrize(
    "answer",
    [
        *(HttpAnswer(status, (), b"", "answered") for status in (0, 99, 100, 199, 600, 999)),
        HttpAnswer(200, ((b"x y", b"1"),), b"", "answered"),
        HttpAnswer(200, ((b"x", b"1\r\ny: 2"),), b"", "answered"),
        HttpAnswer(200, ((b"", b"1"),), b"", "answered"),
    ],
)
def test_an_answer_that_cannot_be_written_to_a_caller_is_rejected(answer: HttpAnswer) -> None:
    # Guards against: a coordinator's answer whose status or headers end the caller's connection unanswered.
    with pytest.raises(ValueError, match="malformed"):
        decode_answer(encode_answer("id-1", GatheredAnswer(answer, 0.1)), "id-1")


# --- calling a coordinator ---

Script = Callable[[MemoryServer, MemoryStream, ReceivedRequest], Awaitable[None]]


def call_coordinator(
    script: Script, times: int = 1, **faults: bool
) -> tuple[list[GatheredAnswer | Failure], MemoryServer, float]:
    """Send a request repeatedly; return the outcomes, the coordinator, and the elapsed time in seconds."""
    outcomes: list[GatheredAnswer | Failure] = []

    async def run() -> tuple[MemoryServer, float]:
        async with anyio.create_task_group() as tasks:
            server = MemoryServer(script, tasks, **faults)
            client = CoordinatorClient(dial_streams(server.connect, tasks))
            started = anyio.current_time()
            for _ in range(times):
                message = encode_forwarded(ForwardedRequest(7, 0.0, create_request()))
                deadline_at_s = anyio.current_time() + 1.0
                outcomes.append(await client.send(ADDRESS, "id-1", message, ACKNOWLEDGE_S, deadline_at_s))
            took = anyio.current_time() - started
            await anyio.sleep(0.05)
            tasks.cancel_scope.cancel()
        return server, took

    server, took = run_virtual(run)
    return outcomes, server, took


async def answering(_server: MemoryServer, stream: MemoryStream, _heard: ReceivedRequest) -> None:
    body = encode_answer("id-1", GATHERED)
    await stream.send(HEAD % len(body))
    await anyio.sleep(0.3)
    await stream.send(body)


def test_an_acknowledged_request_is_awaited_and_its_connection_reused() -> None:
    outcomes, server, _ = call_coordinator(answering, times=3)
    assert outcomes == [GATHERED] * 3
    assert server.opened == 1


async def silent(_server: MemoryServer, _stream: MemoryStream, _heard: ReceivedRequest) -> None:
    """Read the request and send nothing."""


def test_a_coordinator_that_does_not_acknowledge_times_out_early() -> None:
    outcomes, server, took = call_coordinator(silent)
    assert isinstance(outcomes[0], Failure)
    assert outcomes[0].verdict is Verdict.MAY_HAVE_RUN
    assert took <= ACKNOWLEDGE_S + 0.01
    assert server.closed == 1


async def refusing(_server: MemoryServer, stream: MemoryStream, _heard: ReceivedRequest) -> None:
    await stream.send(b"HTTP/1.1 503 X\r\ncontent-length: 9\r\n\r\nstopping\n")


def test_a_refused_request_was_not_run() -> None:
    outcomes, _, _ = call_coordinator(refusing)
    assert isinstance(outcomes[0], Failure)
    assert outcomes[0].verdict is Verdict.NOT_RUN
    assert "stopping" in outcomes[0].detail


@pytest.mark.parametrize("status", [204, 302, 500, 502])
def test_a_reply_that_no_coordinator_sends_may_have_run(status: int) -> None:
    # Guards against: any status but 200 taken for a coordinator's refusal, so that the request ran twice.
    async def odd(_server: MemoryServer, stream: MemoryStream, _heard: ReceivedRequest) -> None:
        await stream.send(b"HTTP/1.1 %d X\r\ncontent-length: 0\r\n\r\n" % status)

    outcomes, _, _ = call_coordinator(odd)
    assert isinstance(outcomes[0], Failure)
    assert (outcomes[0].reason, outcomes[0].verdict) == (Reason.MALFORMED_REPLY, Verdict.MAY_HAVE_RUN)


def test_a_request_without_a_connection_was_not_run() -> None:
    outcomes, _, _ = call_coordinator(answering, refuse=True)
    assert isinstance(outcomes[0], Failure)
    assert outcomes[0].verdict is Verdict.NOT_RUN


async def breaking(_server: MemoryServer, stream: MemoryStream, _heard: ReceivedRequest) -> None:
    await stream.send(HEAD % 1000)
    await anyio.sleep(0.1)
    await stream.aclose()


def test_a_coordinator_that_disconnects_may_have_run_the_request() -> None:
    outcomes, _, _ = call_coordinator(breaking)
    assert isinstance(outcomes[0], Failure)
    assert outcomes[0].verdict is Verdict.MAY_HAVE_RUN


async def mixing(_server: MemoryServer, stream: MemoryStream, _heard: ReceivedRequest) -> None:
    body = encode_answer("id-2", GATHERED)
    await stream.send(HEAD % len(body) + body)


def test_an_answer_to_another_request_is_a_failure() -> None:
    outcomes, _, _ = call_coordinator(mixing)
    assert isinstance(outcomes[0], Failure)


async def endless(_server: MemoryServer, stream: MemoryStream, _heard: ReceivedRequest) -> None:
    await stream.send(HEAD % 1000)
    await anyio.sleep_forever()


def test_idle_connections_are_not_reused_after_one_was_unresponsive() -> None:
    async def script(_server: MemoryServer, stream: MemoryStream, heard: ReceivedRequest) -> None:
        await anyio.sleep(0.01)
        if heard.connection > silent_up_to[0]:
            body = encode_answer("id-1", GATHERED)
            await stream.send(HEAD % len(body) + body)

    silent_up_to = [0]

    async def run() -> list[GatheredAnswer | Failure]:
        async with anyio.create_task_group() as tasks:
            server = MemoryServer(script, tasks)
            client = CoordinatorClient(dial_streams(server.connect, tasks))

            async def ask_once() -> GatheredAnswer | Failure:
                deadline_at_s = anyio.current_time() + 1.0
                return await client.send(ADDRESS, "id-1", b"x", ACKNOWLEDGE_S, deadline_at_s)

            async with anyio.create_task_group() as calls:
                for _ in range(2):
                    calls.start_soon(ask_once)
            silent_up_to[0] = server.opened
            outcomes = [await ask_once(), await ask_once()]
            tasks.cancel_scope.cancel()
        return outcomes

    first, second = run_virtual(run)
    assert isinstance(first, Failure)
    assert second == GATHERED


def test_an_acknowledged_request_times_out_at_its_deadline() -> None:
    outcomes, _, took = call_coordinator(endless)
    assert isinstance(outcomes[0], Failure)
    assert outcomes[0].verdict is Verdict.MAY_HAVE_RUN
    assert took == pytest.approx(1.0, abs=0.01)


def test_a_cancelled_call_closes_its_connection_to_the_coordinator() -> None:
    async def run() -> int:
        async with anyio.create_task_group() as tasks:
            server = MemoryServer(silent, tasks)
            client = CoordinatorClient(dial_streams(server.connect, tasks))
            with anyio.move_on_after(0.02):
                await client.send(ADDRESS, "id-1", b"x", 1.0, anyio.current_time() + 1.0)
            await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()
        return server.closed

    assert run_virtual(run) == 1


def test_calls_above_the_bound_on_connections_are_not_sent() -> None:
    # Guards against: a crowd's wide requests each open a connection, and the node runs out of descriptors.
    async def run() -> tuple[list[GatheredAnswer | Failure], GatheredAnswer | Failure, int]:
        outcomes: list[GatheredAnswer | Failure] = []
        async with anyio.create_task_group() as tasks:
            server = MemoryServer(answering, tasks)
            client = CoordinatorClient(dial_streams(server.connect, tasks), max_connections=2)

            async def ask(address: str = ADDRESS) -> GatheredAnswer | Failure:
                return await client.send(address, "id-1", b"x", 1.0, anyio.current_time() + 1.0)

            async def ask_and_keep() -> None:
                outcomes.append(await ask())

            async with anyio.create_task_group() as calls:
                for _ in range(5):
                    calls.start_soon(ask_and_keep)
            opened = server.opened
            # An idle connection to one coordinator gives its place up for another one.
            other = await ask("10.0.0.8:80")
            tasks.cancel_scope.cancel()
        return outcomes, other, opened

    outcomes, other, opened = run_virtual(run)
    refused = [each for each in outcomes if isinstance(each, Failure)]
    assert opened == 2
    assert [(each.reason, each.verdict) for each in refused] == [
        (Reason.CONNECTION_LIMIT, Verdict.NOT_RUN)
    ] * 3
    assert [each for each in outcomes if each not in refused] == [GATHERED] * 2
    assert other == GATHERED


# --- forwarding ---


class RecordingObserver:
    """An observer that records its calls."""

    def __init__(self) -> None:
        self.events: list[LogEvent] = []
        self.coordinated_by: list[str] = []

    def log_event(self, event: LogEvent) -> None:
        self.events.append(event)

    def coordinated(self, _request: GatewayRequest, ending: CoordinatedEnding) -> None:
        self.coordinated_by.append(ending.coordinator)


def forward(script: Script, **faults: bool) -> tuple[HttpAnswer | GatewayRequest, RecordingObserver]:
    async def run() -> tuple[HttpAnswer | GatewayRequest, RecordingObserver]:
        observer = RecordingObserver()
        async with anyio.create_task_group() as tasks:
            server = MemoryServer(script, tasks, **faults)
            client = CoordinatorClient(dial_streams(server.connect, tasks))
            known = configuration(7, ROUTE)
            coordinators = {"n7": Coordinator(ADDRESS, anyio.current_time())}
            forwarder = Forwarder(
                CoordinatorChoice("n3"),
                client,
                lambda: coordinators,
                lambda: known,
                observer,  # type: ignore[arg-type]
            )
            result = await forwarder(create_request(anyio.current_time()))
            tasks.cancel_scope.cancel()
        return result, observer

    return run_virtual(run)  # type: ignore[no-any-return]


def test_a_coordinators_answer_is_returned_unchanged() -> None:
    result, observer = forward(answering)
    assert result == ANSWER
    assert observer.coordinated_by == ["n7"]


def test_a_request_without_time_left_does_not_mark_its_coordinator_as_lost() -> None:
    async def run() -> list[str | None]:
        chosen: list[str | None] = []
        async with anyio.create_task_group() as tasks:
            server = MemoryServer(answering, tasks)
            choice = CoordinatorChoice("n3")
            coordinators = {"n7": Coordinator(ADDRESS, anyio.current_time())}
            client = CoordinatorClient(dial_streams(server.connect, tasks))
            known = configuration(7, ROUTE)
            forwarder = Forwarder(
                choice,
                client,
                lambda: coordinators,
                lambda: known,
                RecordingObserver(),  # type: ignore[arg-type]
            )
            result = await forwarder(replace(create_request(anyio.current_time()), caller_timeout_s=0.001))
            assert isinstance(result, GatewayRequest) and not result.possibly_sent
            chosen.append(choice.choose(ROUTE, coordinators, anyio.current_time()))
            tasks.cancel_scope.cancel()
        return chosen

    assert run_virtual(run) == ["n7"]


def test_a_request_above_the_bound_on_connections_runs_here_and_does_not_mark_its_coordinator() -> None:
    # Guards against: a limit of this node counts as a failure of the coordinator, which is passed over then.
    async def run() -> str | None:
        async with anyio.create_task_group() as tasks:
            server = MemoryServer(answering, tasks)
            choice = CoordinatorChoice("n3")
            coordinators = {"n7": Coordinator(ADDRESS, anyio.current_time())}
            known = configuration(7, ROUTE)
            forwarder = Forwarder(
                choice,
                CoordinatorClient(dial_streams(server.connect, tasks), max_connections=0),
                lambda: coordinators,
                lambda: known,
                RecordingObserver(),  # type: ignore[arg-type]
            )
            result = await forwarder(create_request(anyio.current_time()))
            assert isinstance(result, GatewayRequest) and not result.possibly_sent
            tasks.cancel_scope.cancel()
            return choice.choose(ROUTE, coordinators, anyio.current_time())

    assert run_virtual(run) == "n7"


def test_a_request_that_may_crash_servers_is_not_forwarded() -> None:
    async def run() -> tuple[HttpAnswer | GatewayRequest, int]:
        async with anyio.create_task_group() as tasks:
            server = MemoryServer(answering, tasks)
            client = CoordinatorClient(dial_streams(server.connect, tasks))
            coordinators = {"n7": Coordinator(ADDRESS, anyio.current_time())}
            known = configuration(7, ROUTE)
            forwarder = Forwarder(
                CoordinatorChoice("n3"),
                client,
                lambda: coordinators,
                lambda: known,
                RecordingObserver(),  # type: ignore[arg-type]
                runs_here=lambda _request: True,
            )
            result = await forwarder(create_request(anyio.current_time()))
            tasks.cancel_scope.cancel()
        return result, server.opened

    result, opened = run_virtual(run)
    assert isinstance(result, GatewayRequest)
    assert (result.possibly_sent, opened) == (False, 0)


def test_a_request_that_coordinators_refused_runs_here_as_new() -> None:
    result, observer = forward(refusing)
    assert isinstance(result, GatewayRequest)
    assert not result.possibly_sent
    assert [event.name for event in observer.events] == ["coordinator_missed"]


@pytest.mark.parametrize("script", [silent, breaking, mixing, endless])
def test_a_request_that_a_coordinator_may_have_run_is_marked_as_asked_before(script: Script) -> None:
    result, _ = forward(script)
    assert isinstance(result, GatewayRequest)
    assert result.possibly_sent


NO_SERVER_ANSWER = HttpAnswer(503, (), b"no server", "no_replica")


def forward_to_two(
    first: HttpAnswer, attempts: int = 2, patience_s: float = 1.5, took_s: float = 0.001
) -> tuple[HttpAnswer | GatewayRequest, RecordingObserver, list[str | None]]:
    """Forward a request to two coordinators; the first one answers ``first``, the second one ``ANSWER``.

    Return also the nodes that the choice selects before and after the request.
    """

    async def run() -> tuple[HttpAnswer | GatewayRequest, RecordingObserver, list[str | None]]:
        observer = RecordingObserver()
        answers = [first, ANSWER]

        async def script(_server: MemoryServer, stream: MemoryStream, _heard: ReceivedRequest) -> None:
            body = encode_answer("id-1", GatheredAnswer(answers.pop(0), took_s))
            await stream.send(HEAD % len(body))
            await anyio.sleep(took_s)
            await stream.send(body)

        async with anyio.create_task_group() as tasks:
            server = MemoryServer(script, tasks)
            client = CoordinatorClient(dial_streams(server.connect, tasks))
            known = configuration(7, replace(ROUTE, max_attempts=attempts))
            now = anyio.current_time()
            coordinators = {name: Coordinator(ADDRESS, now) for name in ("n7", "n8")}
            choice = CoordinatorChoice("n3")
            chosen = choice.choose(ROUTE, coordinators, now)
            forwarder = Forwarder(
                choice,
                client,
                lambda: coordinators,
                lambda: known,
                observer,  # type: ignore[arg-type]
            )
            result = await forwarder(replace(create_request(now), caller_timeout_s=patience_s))
            next_node = choice.choose(ROUTE, coordinators, anyio.current_time())
            tasks.cancel_scope.cancel()
        return result, observer, [chosen, next_node]

    return run_virtual(run)  # type: ignore[no-any-return]


@pytest.mark.parametrize("outcome", ["no_replica", "not_ready"])
def test_a_coordinator_without_servers_is_followed_by_another_one(outcome: str) -> None:
    result, observer, (before, after) = forward_to_two(NO_SERVER_ANSWER._replace(outcome=outcome))
    assert result == ANSWER
    assert [event.details["reason"] for event in observer.events] == [outcome]
    assert before != after


def test_a_coordinator_without_servers_is_skipped_only_briefly() -> None:
    async def run() -> str | None:
        choice = CoordinatorChoice("n3")
        now = anyio.current_time()
        coordinators = {"n7": Coordinator(ADDRESS, now)}
        choice.refused("n7", now)
        await anyio.sleep(1.0)
        return choice.choose(ROUTE, coordinators, anyio.current_time())

    assert run_virtual(run) == "n7"


def test_a_502_without_servers_runs_here_as_asked_before() -> None:
    result, _, _ = forward_to_two(HttpAnswer(502, (), b"", "no_replica"))
    assert isinstance(result, GatewayRequest)
    assert result.possibly_sent


@pytest.mark.parametrize(
    "case",
    [
        {"first": HttpAnswer(503, (), b"", "replicas_ejected")},
        {"first": HttpAnswer(503, (), b"", "connect_failed")},
        {"first": HttpAnswer(502, (), b"", "coverage_too_low")},
        {"first": HttpAnswer(504, (), b"", "timed_out")},
        {"first": HttpAnswer(502, (), b"", "no_replica"), "attempts": 1},
        {"first": NO_SERVER_ANSWER, "patience_s": 0.3, "took_s": 0.25},
    ],
)
def test_other_refusals_of_a_coordinator_are_final(case: dict[str, Any]) -> None:
    result, _, _ = forward_to_two(**case)
    assert result == case["first"]


def test_no_second_coordinator_is_tried_after_a_slow_refusal() -> None:
    result, _, _ = forward_to_two(NO_SERVER_ANSWER, took_s=0.05)
    assert isinstance(result, GatewayRequest)
    assert not result.possibly_sent


# --- the coordinator's side ---


class FakeApplication:
    """An application that answers each request after 0.1 s."""

    def __init__(self) -> None:
        self.stopping = False
        self.ran: list[GatewayRequest] = []

    def next_key(self) -> str:
        return "k9"

    async def run(self, request: GatewayRequest, receive: Any) -> HttpAnswer | None:
        self.ran.append(request)
        await anyio.sleep(0.1)
        return ANSWER


def coordinate(
    version: int = 7,
    host: str = "10.0.0.3",
    lateness_s: float = 0.0,
    stopping: bool = False,
    at_once: int = 1,
) -> tuple[list[MutableMapping[str, Any]], FakeApplication, list[int]]:
    """Forward requests of version 7 to a coordinator; return its messages and the counts in flight."""
    sent: list[MutableMapping[str, Any]] = []
    fake = FakeApplication()
    fake.stopping = stopping
    counts: list[int] = []

    async def run() -> None:
        application = CoordinatorApplication(
            fake,  # type: ignore[arg-type]
            lambda each: each == "10.0.0.3",
            lambda: version,
            lambda: lateness_s,
        )

        async def receive() -> MutableMapping[str, Any]:
            body = encode_forwarded(ForwardedRequest(7, 0.0, create_request()))
            return {"type": "http.request", "body": body, "more_body": False}

        async def send(message: MutableMapping[str, Any]) -> None:
            sent.append({**message, "at": anyio.current_time()})

        scope = {"type": "http", "path": COORDINATE_PATH, "client": (host, 1)}
        async with anyio.create_task_group() as tasks:
            for _ in range(at_once):
                tasks.start_soon(application, scope, receive, send)
            await anyio.sleep(0.05)
            counts.append(application.in_flight)
        counts.append(application.in_flight)

    run_virtual(run)
    return sent, fake, counts


def test_a_coordinator_acknowledges_immediately_and_counts_requests_in_flight() -> None:
    sent, _, counts = coordinate()
    assert [each["type"] for each in sent] == ["http.response.start", "http.response.body"]
    assert sent[0]["at"] < sent[1]["at"]
    gathered = decode_answer(sent[1]["body"], "id-1")
    assert gathered.answer == ANSWER
    assert gathered.gathering_s == pytest.approx(0.1)
    assert counts == [1, 0]


@pytest.mark.parametrize(
    ("status", "case"),
    [
        (403, {"host": "10.0.0.66"}),
        (503, {"version": 6}),
        (503, {"stopping": True}),
        (503, {"lateness_s": 0.05}),
    ],
)
def test_a_coordinator_refuses_a_request_before_running_it(status: int, case: dict[str, Any]) -> None:
    sent, fake, _ = coordinate(**case)
    assert sent[0]["status"] == status
    assert fake.ran == []


def test_a_coordinator_refuses_requests_beyond_its_in_flight_limit() -> None:
    sent, fake, _ = coordinate(at_once=40)
    refused = [each for each in sent if each.get("status") == 503]
    assert 0 < len(fake.ran) < 40
    assert len(fake.ran) + len(refused) == 40

"""A wide request's way to a coordinator and back: acknowledged, refused, lost, cancelled."""

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
from yokesill.verdict import Failure, Verdict

ADDRESS = "10.0.0.7:80"
ROUTE = gather_route(services=tuple(f"s{number}" for number in range(MIN_WIDE_SERVICES)))
ANSWER = HttpAnswer(200, ((b"parts", b"a, b"), (b"missing", b"1")), b"records", "partial")
GATHERED = GatheredAnswer(ANSWER, 0.25)
ACKNOWLEDGE_S = 0.04
HEAD = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n"


def a_request(now: float = 0.0) -> GatewayRequest:
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


def test_a_request_and_its_answer_come_back_as_they_were() -> None:
    request = a_request(100.0)
    handed = decode_forwarded(encode_forwarded(ForwardedRequest(7, 0.02, request)), "k9", 205.0)
    assert handed.version == 7
    assert handed.request == replace(request, key="k9", arrived_at_s=205.0 - 0.02)
    assert decode_answer(encode_answer("id-1", GATHERED), "id-1") == GATHERED


@pytest.mark.parametrize("data", [b"", b"\xff", encode_answer("id-1", GATHERED), b"\x81\x01"])
def test_a_malformed_request_is_refused(data: bytes) -> None:
    with pytest.raises(ValueError, match="malformed"):
        decode_forwarded(data, "k", 0.0)


def test_an_answer_to_another_request_is_none() -> None:
    with pytest.raises(ValueError, match="id-2"):
        decode_answer(encode_answer("id-2", GATHERED), "id-1")


# --- asking a coordinator ---

Script = Callable[[MemoryServer, MemoryStream, ReceivedRequest], Awaitable[None]]


def ask(
    script: Script, times: int = 1, **faults: bool
) -> tuple[list[GatheredAnswer | Failure], MemoryServer, float]:
    """Hand a request over some times; return what came, the coordinator, and how long it took."""
    outcomes: list[GatheredAnswer | Failure] = []

    async def run() -> tuple[MemoryServer, float]:
        async with anyio.create_task_group() as tasks:
            server = MemoryServer(script, tasks, **faults)
            client = CoordinatorClient(dial_streams(server.connect, tasks))
            started = anyio.current_time()
            for _ in range(times):
                message = encode_forwarded(ForwardedRequest(7, 0.0, a_request()))
                until = anyio.current_time() + 1.0
                outcomes.append(await client.send(ADDRESS, "id-1", message, ACKNOWLEDGE_S, until))
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


def test_an_acknowledged_request_is_waited_for_and_its_connection_kept() -> None:
    outcomes, server, _ = ask(answering, times=3)
    assert outcomes == [GATHERED] * 3
    assert server.opened == 1


async def silent(_server: MemoryServer, _stream: MemoryStream, _heard: ReceivedRequest) -> None:
    """Read the request and say nothing."""


def test_without_an_acknowledgement_a_coordinator_is_gone_around_within_a_fraction_of_the_aim() -> None:
    outcomes, server, took = ask(silent)
    assert isinstance(outcomes[0], Failure)
    assert outcomes[0].verdict is Verdict.MAY_HAVE_RUN
    assert took <= ACKNOWLEDGE_S + 0.01
    assert server.closed == 1


async def refusing(_server: MemoryServer, stream: MemoryStream, _heard: ReceivedRequest) -> None:
    await stream.send(b"HTTP/1.1 503 X\r\ncontent-length: 9\r\n\r\nstopping\n")


def test_a_refusal_says_that_nothing_ran() -> None:
    outcomes, _, _ = ask(refusing)
    assert isinstance(outcomes[0], Failure)
    assert outcomes[0].verdict is Verdict.NOT_RUN
    assert "stopping" in outcomes[0].detail


def test_a_coordinator_that_cannot_be_connected_to_ran_nothing() -> None:
    outcomes, _, _ = ask(answering, refuse=True)
    assert isinstance(outcomes[0], Failure)
    assert outcomes[0].verdict is Verdict.NOT_RUN


async def breaking(_server: MemoryServer, stream: MemoryStream, _heard: ReceivedRequest) -> None:
    await stream.send(HEAD % 1000)
    await anyio.sleep(0.1)
    await stream.aclose()


def test_a_coordinator_that_breaks_off_may_have_asked_servers() -> None:
    outcomes, _, _ = ask(breaking)
    assert isinstance(outcomes[0], Failure)
    assert outcomes[0].verdict is Verdict.MAY_HAVE_RUN


async def mixing(_server: MemoryServer, stream: MemoryStream, _heard: ReceivedRequest) -> None:
    body = encode_answer("id-2", GATHERED)
    await stream.send(HEAD % len(body) + body)


def test_another_requests_answer_is_not_taken() -> None:
    outcomes, _, _ = ask(mixing)
    assert isinstance(outcomes[0], Failure)


async def endless(_server: MemoryServer, stream: MemoryStream, _heard: ReceivedRequest) -> None:
    await stream.send(HEAD % 1000)
    await anyio.sleep_forever()


def test_after_one_silent_connection_to_a_coordinator_no_other_old_one_is_used() -> None:
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
                until = anyio.current_time() + 1.0
                return await client.send(ADDRESS, "id-1", b"x", ACKNOWLEDGE_S, until)

            async with anyio.create_task_group() as two:
                for _ in range(2):
                    two.start_soon(ask_once)
            silent_up_to[0] = server.opened
            outcomes = [await ask_once(), await ask_once()]
            tasks.cancel_scope.cancel()
        return outcomes

    first, second = run_virtual(run)
    assert isinstance(first, Failure)
    assert second == GATHERED


def test_an_acknowledged_request_is_given_up_in_time() -> None:
    outcomes, _, took = ask(endless)
    assert isinstance(outcomes[0], Failure)
    assert outcomes[0].verdict is Verdict.MAY_HAVE_RUN
    assert took == pytest.approx(1.0, abs=0.01)


def test_a_caller_that_leaves_takes_its_request_from_the_coordinator() -> None:
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


# --- handing over ---


class Notes:
    """An observer that keeps what it is told."""

    def __init__(self) -> None:
        self.notes: list[LogEvent] = []
        self.coordinated_by: list[str] = []

    def log_event(self, event: LogEvent) -> None:
        self.notes.append(event)

    def coordinated(self, _request: GatewayRequest, ending: CoordinatedEnding) -> None:
        self.coordinated_by.append(ending.coordinator)


def hand_over(script: Script, **faults: bool) -> tuple[HttpAnswer | GatewayRequest, Notes]:
    async def run() -> tuple[HttpAnswer | GatewayRequest, Notes]:
        notes = Notes()
        async with anyio.create_task_group() as tasks:
            server = MemoryServer(script, tasks, **faults)
            client = CoordinatorClient(dial_streams(server.connect, tasks))
            known = configuration(7, ROUTE)
            reached = {"n7": Coordinator(ADDRESS, anyio.current_time())}
            hand = Forwarder(CoordinatorChoice("n3"), client, lambda: reached, lambda: known, notes)  # type: ignore[arg-type]
            result = await hand(a_request(anyio.current_time()))
            tasks.cancel_scope.cancel()
        return result, notes

    return run_virtual(run)  # type: ignore[no-any-return]


def test_a_coordinators_answer_is_the_final_one_unchanged() -> None:
    result, notes = hand_over(answering)
    assert result == ANSWER
    assert notes.coordinated_by == ["n7"]


def test_a_request_without_time_left_speaks_against_no_coordinator() -> None:
    async def run() -> list[str | None]:
        chosen: list[str | None] = []
        async with anyio.create_task_group() as tasks:
            server = MemoryServer(answering, tasks)
            choice = CoordinatorChoice("n3")
            reached = {"n7": Coordinator(ADDRESS, anyio.current_time())}
            client = CoordinatorClient(dial_streams(server.connect, tasks))
            known = configuration(7, ROUTE)
            hand = Forwarder(choice, client, lambda: reached, lambda: known, Notes())  # type: ignore[arg-type]
            result = await hand(replace(a_request(anyio.current_time()), caller_timeout_s=0.001))
            assert isinstance(result, GatewayRequest) and not result.possibly_sent
            chosen.append(choice.choose(ROUTE, reached, anyio.current_time()))
            tasks.cancel_scope.cancel()
        return chosen

    assert run_virtual(run) == ["n7"]


def test_a_request_that_may_end_servers_is_handed_to_nobody() -> None:
    async def run() -> tuple[HttpAnswer | GatewayRequest, int]:
        async with anyio.create_task_group() as tasks:
            server = MemoryServer(answering, tasks)
            client = CoordinatorClient(dial_streams(server.connect, tasks))
            reached = {"n7": Coordinator(ADDRESS, anyio.current_time())}
            known = configuration(7, ROUTE)
            hand = Forwarder(
                CoordinatorChoice("n3"),
                client,
                lambda: reached,
                lambda: known,
                Notes(),  # type: ignore[arg-type]
                runs_here=lambda _request: True,
            )
            result = await hand(a_request(anyio.current_time()))
            tasks.cancel_scope.cancel()
        return result, server.opened

    result, opened = run_virtual(run)
    assert isinstance(result, GatewayRequest)
    assert (result.possibly_sent, opened) == (False, 0)


def test_a_request_that_no_coordinator_took_is_run_here_as_if_new() -> None:
    result, notes = hand_over(refusing)
    assert isinstance(result, GatewayRequest)
    assert not result.possibly_sent
    assert [note.name for note in notes.notes] == ["coordinator_missed"]


@pytest.mark.parametrize("script", [silent, breaking, mixing, endless])
def test_a_request_that_a_coordinator_may_have_run_is_marked(script: Script) -> None:
    result, _ = hand_over(script)
    assert isinstance(result, GatewayRequest)
    assert result.possibly_sent


WANTING = HttpAnswer(503, (), b"no server", "no_replica")


def hand_over_to_two(
    first: HttpAnswer, attempts: int = 2, patience_s: float = 1.5, took_s: float = 0.001
) -> tuple[HttpAnswer | GatewayRequest, Notes, list[str | None]]:
    """Hand a request to the first of two coordinators; the second answers. Return also who is next."""

    async def run() -> tuple[HttpAnswer | GatewayRequest, Notes, list[str | None]]:
        notes = Notes()
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
            heard = anyio.current_time()
            reached = {name: Coordinator(ADDRESS, heard) for name in ("n7", "n8")}
            choice = CoordinatorChoice("n3")
            chosen = choice.choose(ROUTE, reached, heard)
            hand = Forwarder(choice, client, lambda: reached, lambda: known, notes)  # type: ignore[arg-type]
            result = await hand(replace(a_request(heard), caller_timeout_s=patience_s))
            then = choice.choose(ROUTE, reached, anyio.current_time())
            tasks.cancel_scope.cancel()
        return result, notes, [chosen, then]

    return run_virtual(run)  # type: ignore[no-any-return]


@pytest.mark.parametrize("outcome", ["no_replica", "not_ready"])
def test_a_coordinator_that_knows_no_servers_is_gone_around_to_another(outcome: str) -> None:
    result, notes, (before, after) = hand_over_to_two(WANTING._replace(outcome=outcome))
    assert result == ANSWER
    assert [note.details["reason"] for note in notes.notes] == [outcome]
    assert before != after


def test_a_coordinator_that_knows_no_servers_is_left_alone_for_a_moment_only() -> None:
    async def run() -> str | None:
        choice = CoordinatorChoice("n3")
        heard = anyio.current_time()
        reached = {"n7": Coordinator(ADDRESS, heard)}
        choice.refused("n7", heard)
        await anyio.sleep(1.0)
        return choice.choose(ROUTE, reached, anyio.current_time())

    assert run_virtual(run) == "n7"


def test_what_a_coordinator_without_servers_may_have_run_is_gathered_here_as_asked_before() -> None:
    result, _, _ = hand_over_to_two(HttpAnswer(502, (), b"", "no_replica"))
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
        {"first": WANTING, "patience_s": 0.3, "took_s": 0.25},
    ],
)
def test_a_coordinators_other_refusals_are_final(case: dict[str, Any]) -> None:
    result, _, _ = hand_over_to_two(**case)
    assert result == case["first"]


def test_a_coordinator_that_took_long_to_refuse_is_followed_by_no_other() -> None:
    result, _, _ = hand_over_to_two(WANTING, took_s=0.05)
    assert isinstance(result, GatewayRequest)
    assert not result.possibly_sent


# --- the coordinator's side ---


class Running:
    """An application that answers what it is handed after a while."""

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
) -> tuple[list[MutableMapping[str, Any]], Running, list[int]]:
    """Hand requests of version 7 to a coordinator; return what it sent, and who was under way."""
    sent: list[MutableMapping[str, Any]] = []
    running = Running()
    running.stopping = stopping
    counts: list[int] = []

    async def run() -> None:
        application = CoordinatorApplication(
            running,  # type: ignore[arg-type]
            lambda each: each == "10.0.0.3",
            lambda: version,
            lambda: lateness_s,
        )

        async def receive() -> MutableMapping[str, Any]:
            body = encode_forwarded(ForwardedRequest(7, 0.0, a_request()))
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
    return sent, running, counts


def test_a_coordinator_acknowledges_at_once_and_counts_what_is_under_way() -> None:
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
def test_a_coordinator_refuses_before_it_runs_anything(status: int, case: dict[str, Any]) -> None:
    sent, running, _ = coordinate(**case)
    assert sent[0]["status"] == status
    assert running.ran == []


def test_a_coordinator_takes_so_many_at_once_only() -> None:
    sent, running, _ = coordinate(at_once=40)
    refused = [each for each in sent if each.get("status") == 503]
    assert 0 < len(running.ran) < 40
    assert len(running.ran) + len(refused) == 40

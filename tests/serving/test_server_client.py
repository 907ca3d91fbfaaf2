"""Only a whole answer to this very request counts, and the verdict says what may have run."""

from collections.abc import Awaitable, Callable

import anyio
import pytest
from conftest import run_virtual
from memory_servers import (
    MemoryServer,
    MemoryStream,
    ReceivedRequest,
    Script,
    answer_bytes,
    attempt,
    call,
    well,
)

from yokesill.gateway.events import AttemptAnswered, AttemptFailed
from yokesill.serving.header_names import HeaderNames
from yokesill.upstreams.server_client import ServerClient
from yokesill.upstreams.wires import dial_streams
from yokesill.verdict import Reason, Verdict

Outcome = AttemptAnswered | AttemptFailed


def with_server(script: Script, main: Callable[[MemoryServer, ServerClient], Awaitable[None]]) -> None:
    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            server = MemoryServer(script, tasks)
            client = ServerClient(HeaderNames(), dial_streams(server.connect, tasks))
            await tasks.start(client.run)
            await main(server, client)
            tasks.cancel_scope.cancel()

    run_virtual(run)


def failed(outcome: Outcome, reason: Reason, verdict: Verdict) -> None:
    assert isinstance(outcome, AttemptFailed), outcome
    assert (outcome.failure.reason, outcome.failure.verdict) == (reason, verdict)


def test_an_answer_comes_whole_and_the_connection_is_used_again() -> None:
    async def main(server: MemoryServer, client: ServerClient) -> None:
        first = await call(client, attempt(1))
        second = await call(client, attempt(2))
        assert isinstance(first, AttemptAnswered)
        assert (first.reply.body, first.reply.signature) == (b"hello", b"sig")
        assert isinstance(second, AttemptAnswered)
        assert server.opened == 1

    with_server(well, main)


def test_what_is_sent_is_the_callers_request_with_what_is_left_of_its_time() -> None:
    async def main(server: MemoryServer, client: ServerClient) -> None:
        await call(client, attempt(1, b"POST", b"abc", seconds=0.7))
        heard = server.heard[0]
        assert heard.head.startswith("POST /one/x?q=1 HTTP/1.1\r\n")
        assert (heard.header("x-own"), heard.header("content-length")) == ("1", "3")
        assert heard.header("expect-instance") == "i-1"
        assert 600 <= int(heard.header("request-deadline-ms") or 0) <= 700

    with_server(well, main)


async def _foreign(_server: MemoryServer, stream: MemoryStream, _heard: ReceivedRequest) -> None:
    await stream.send(answer_bytes("another"))


async def _without_id(_server: MemoryServer, stream: MemoryStream, _heard: ReceivedRequest) -> None:
    await stream.send(answer_bytes(None))


async def _coded(_server: MemoryServer, stream: MemoryStream, heard: ReceivedRequest) -> None:
    await stream.send(answer_bytes(heard.header("request-id"), extra="Content-Encoding: gzip"))


async def _cut(_server: MemoryServer, stream: MemoryStream, heard: ReceivedRequest) -> None:
    await stream.send(answer_bytes(heard.header("request-id"))[:-2])
    await stream.aclose()


async def _noise(_server: MemoryServer, stream: MemoryStream, _heard: ReceivedRequest) -> None:
    await stream.send(b"\x00\x01 this is not HTTP\r\n\r\n")


async def _unframed_reset(_server: MemoryServer, stream: MemoryStream, heard: ReceivedRequest) -> None:
    await stream.send(answer_bytes(heard.header("request-id"), framed=False))
    assert stream.peer is not None
    stream.peer.reset = True
    await stream.aclose()


@pytest.mark.parametrize(
    ("script", "reason"),
    [
        (_foreign, Reason.FOREIGN_REPLY),
        (_without_id, Reason.FOREIGN_REPLY),
        (_coded, Reason.MALFORMED_REPLY),
        (_cut, Reason.MALFORMED_REPLY),
        (_noise, Reason.MALFORMED_REPLY),
        (_unframed_reset, Reason.CONNECTION_LOST),
    ],
)
def test_what_is_not_this_requests_whole_answer_is_no_answer(script: Script, reason: Reason) -> None:
    async def main(server: MemoryServer, client: ServerClient) -> None:
        failed(await call(client, attempt(1)), reason, Verdict.MAY_HAVE_RUN)
        await call(client, attempt(2))
        assert server.opened == 2

    with_server(script, main)


def test_an_answer_without_a_length_ends_with_an_orderly_close() -> None:
    async def script(_server: MemoryServer, stream: MemoryStream, heard: ReceivedRequest) -> None:
        await stream.send(answer_bytes(heard.header("request-id"), b"part one, ", framed=False))
        await stream.send(b"part two")
        await stream.aclose()

    async def main(_server: MemoryServer, client: ServerClient) -> None:
        outcome = await call(client, attempt(1))
        assert isinstance(outcome, AttemptAnswered)
        assert outcome.reply.body == b"part one, part two"

    with_server(script, main)


def test_a_surplus_answer_is_never_taken_for_the_next_one() -> None:
    async def script(_server: MemoryServer, stream: MemoryStream, heard: ReceivedRequest) -> None:
        own = answer_bytes(heard.header("request-id"))
        await stream.send(own)
        await stream.send(own)

    async def main(server: MemoryServer, client: ServerClient) -> None:
        for number in (1, 2, 3):
            outcome = await call(client, attempt(number))
            assert isinstance(outcome, AttemptAnswered)
            assert (b"request-id", b"id-%d" % number) in outcome.reply.headers
            await anyio.sleep(0.01)
        assert server.opened == 3

    with_server(script, main)


def test_a_surplus_answer_in_the_place_of_the_next_one_is_nobodys() -> None:
    async def script(server: MemoryServer, stream: MemoryStream, heard: ReceivedRequest) -> None:
        if len(server.heard) == 2:
            await stream.send(answer_bytes("id-1"))
        await stream.send(answer_bytes(heard.header("request-id")))

    async def main(server: MemoryServer, client: ServerClient) -> None:
        assert isinstance(await call(client, attempt(1)), AttemptAnswered)
        failed(await call(client, attempt(2)), Reason.FOREIGN_REPLY, Verdict.MAY_HAVE_RUN)
        assert isinstance(await call(client, attempt(3)), AttemptAnswered)
        assert server.opened == 2

    with_server(script, main)


def test_bytes_after_an_answer_close_the_connection() -> None:
    async def script(_server: MemoryServer, stream: MemoryStream, heard: ReceivedRequest) -> None:
        await stream.send(answer_bytes(heard.header("request-id")) + b"HTTP/1.1 200 OK\r\n")

    async def main(server: MemoryServer, client: ServerClient) -> None:
        assert isinstance(await call(client, attempt(1)), AttemptAnswered)
        assert isinstance(await call(client, attempt(2)), AttemptAnswered)
        assert server.opened == 2

    with_server(script, main)


@pytest.mark.parametrize(
    ("status", "extra", "reason"),
    [
        ("503 Service Unavailable", "Not-Executed: 1", Reason.SHED),
        ("429 Too Many Requests", "Not-Executed: 1", Reason.SHED),
        ("421 Misdirected Request", "Other: 1", Reason.BACKEND_LEAVING),
    ],
)
def test_a_promise_that_it_did_not_run_is_kept_apart(status: str, extra: str, reason: Reason) -> None:
    async def script(_server: MemoryServer, stream: MemoryStream, _heard: ReceivedRequest) -> None:
        await stream.send(answer_bytes(None, b"", status, extra))

    async def main(_server: MemoryServer, client: ServerClient) -> None:
        failed(await call(client, attempt(1)), reason, Verdict.NOT_RUN)

    with_server(script, main)


def test_a_plain_503_promises_nothing() -> None:
    async def script(_server: MemoryServer, stream: MemoryStream, heard: ReceivedRequest) -> None:
        await stream.send(answer_bytes(heard.header("request-id"), b"", "503 Service Unavailable"))

    async def main(_server: MemoryServer, client: ServerClient) -> None:
        outcome = await call(client, attempt(1))
        assert isinstance(outcome, AttemptAnswered)
        assert (outcome.reply.status, outcome.reply.succeeded) == (503, False)

    with_server(script, main)


def test_a_silent_server_ends_the_attempt_at_its_deadline() -> None:
    async def script(_server: MemoryServer, _stream: MemoryStream, _heard: ReceivedRequest) -> None:
        return None

    async def main(_server: MemoryServer, client: ServerClient) -> None:
        started = anyio.current_time()
        failed(await call(client, attempt(1, seconds=0.5)), Reason.TIMED_OUT, Verdict.MAY_HAVE_RUN)
        assert anyio.current_time() - started == pytest.approx(0.5)

    with_server(script, main)


class Silenced:
    """A server whose open connections go silent without a reset, while new ones are answered."""

    def __init__(self) -> None:
        self.silent_up_to = 0

    async def __call__(self, _server: MemoryServer, stream: MemoryStream, heard: ReceivedRequest) -> None:
        await anyio.sleep(0.01)
        if heard.connection > self.silent_up_to:
            await stream.send(answer_bytes(heard.header("request-id")))


def test_after_one_silent_connection_no_other_old_one_is_used() -> None:
    script = Silenced()

    async def main(server: MemoryServer, client: ServerClient) -> None:
        async with anyio.create_task_group() as tasks:
            for number in (1, 2):
                tasks.start_soon(call, client, attempt(number))
        assert server.opened == 2
        script.silent_up_to = 2
        failed(await call(client, attempt(3, seconds=0.6)), Reason.TIMED_OUT, Verdict.MAY_HAVE_RUN)
        assert isinstance(await call(client, attempt(4, seconds=0.3)), AttemptAnswered)
        assert (server.opened, server.closed) == (3, 2)

    with_server(script, main)


def test_a_late_answer_on_a_new_connection_speaks_against_no_other_one() -> None:
    script = Silenced()

    async def main(server: MemoryServer, client: ServerClient) -> None:
        script.silent_up_to = 1
        failed(await call(client, attempt(1, seconds=0.3)), Reason.TIMED_OUT, Verdict.MAY_HAVE_RUN)
        for number in (2, 3):
            assert isinstance(await call(client, attempt(number)), AttemptAnswered)
        assert server.opened == 2

    with_server(script, main)


def test_a_refused_connection_has_not_run() -> None:
    async def main(server: MemoryServer, client: ServerClient) -> None:
        server.refuse = True
        failed(await call(client, attempt(1)), Reason.CONNECT_FAILED, Verdict.NOT_RUN)

    with_server(well, main)


def test_no_more_connections_than_allowed_are_opened_and_the_rest_wait_their_turn() -> None:
    async def script(_server: MemoryServer, stream: MemoryStream, heard: ReceivedRequest) -> None:
        await anyio.sleep(0.1)
        await stream.send(answer_bytes(heard.header("request-id")))

    async def main(server: MemoryServer, client: ServerClient) -> None:
        outcomes: list[Outcome] = []

        async def one(number: int) -> None:
            outcomes.append(await call(client, attempt(number)))

        async with anyio.create_task_group() as tasks:
            for number in range(1, 6):
                tasks.start_soon(one, number)
        assert server.opened == 2
        assert all(isinstance(each, AttemptAnswered) for each in outcomes)
        assert len(outcomes) == 5

    with_server(script, main)


def test_whoever_waits_for_a_connection_until_its_deadline_has_not_run() -> None:
    async def script(_server: MemoryServer, _stream: MemoryStream, _heard: ReceivedRequest) -> None:
        return None

    async def main(server: MemoryServer, client: ServerClient) -> None:
        outcomes: dict[int, Outcome] = {}

        async def one(number: int, seconds: float) -> None:
            outcomes[number] = await call(client, attempt(number, seconds=seconds))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(one, 1, 1.0)
            tasks.start_soon(one, 2, 1.0)
            await anyio.sleep(0.01)
            tasks.start_soon(one, 3, 0.2)
        failed(outcomes[3], Reason.OVERLOADED, Verdict.NOT_RUN)
        assert len(server.heard) == 2

    with_server(script, main)


def test_nobody_waits_long_for_a_connection_since_its_server_may_leave_meanwhile() -> None:
    async def script(_server: MemoryServer, _stream: MemoryStream, _heard: ReceivedRequest) -> None:
        return None

    async def main(server: MemoryServer, client: ServerClient) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(call, client, attempt(1, seconds=20.0))
            tasks.start_soon(call, client, attempt(2, seconds=20.0))
            await anyio.sleep(0.01)
            started = anyio.current_time()
            failed(await call(client, attempt(3, seconds=20.0)), Reason.OVERLOADED, Verdict.NOT_RUN)
            assert anyio.current_time() - started <= 0.5
            tasks.cancel_scope.cancel()

    with_server(script, main)


def test_a_waiter_that_is_cancelled_passes_its_turn_on() -> None:
    async def script(server: MemoryServer, stream: MemoryStream, heard: ReceivedRequest) -> None:
        await anyio.sleep(0.1 if len(server.heard) <= 2 else 0.0)
        await stream.send(answer_bytes(heard.header("request-id")))

    async def main(_server: MemoryServer, client: ServerClient) -> None:
        outcomes: list[Outcome] = []

        async def one(number: int, patience: float) -> None:
            with anyio.move_on_after(patience):
                outcomes.append(await call(client, attempt(number)))

        async with anyio.create_task_group() as tasks:
            for number, patience in ((1, 1.0), (2, 1.0), (3, 0.1), (4, 0.1), (5, 1.0), (6, 1.0)):
                tasks.start_soon(one, number, patience)
        answered = [each.number for each in outcomes if isinstance(each, AttemptAnswered)]
        assert {1, 2, 5, 6} <= set(answered)

    with_server(script, main)


def test_a_cancelled_attempt_closes_its_connection() -> None:
    async def script(_server: MemoryServer, _stream: MemoryStream, _heard: ReceivedRequest) -> None:
        return None

    async def main(server: MemoryServer, client: ServerClient) -> None:
        with anyio.move_on_after(0.05):
            await call(client, attempt(1))
        server.script = well
        assert isinstance(await call(client, attempt(2)), AttemptAnswered)
        assert server.opened == 2

    with_server(script, main)


def test_a_head_request_has_no_body_whatever_length_is_told() -> None:
    async def script(_server: MemoryServer, stream: MemoryStream, heard: ReceivedRequest) -> None:
        head, _, _ = answer_bytes(heard.header("request-id"), b"12345").partition(b"12345")
        await stream.send(head)

    async def main(_server: MemoryServer, client: ServerClient) -> None:
        outcome = await call(client, attempt(1, b"HEAD"))
        assert isinstance(outcome, AttemptAnswered)
        assert outcome.reply.body == b""

    with_server(script, main)


def test_an_answer_before_the_end_of_a_long_body_counts_but_its_connection_is_not_kept() -> None:
    async def main(server: MemoryServer, client: ServerClient) -> None:
        server.window = 20_000
        outcome = await call(client, attempt(1, b"POST", b"x" * 100_000))
        assert isinstance(outcome, AttemptAnswered)
        server.window = None
        assert isinstance(await call(client, attempt(2)), AttemptAnswered)
        assert server.opened == 2

    with_server(well, main)


def test_a_long_body_that_is_read_whole_keeps_its_connection() -> None:
    async def main(server: MemoryServer, client: ServerClient) -> None:
        assert isinstance(await call(client, attempt(1, b"POST", b"x" * 100_000)), AttemptAnswered)
        assert isinstance(await call(client, attempt(2)), AttemptAnswered)
        assert server.opened == 1
        assert len(server.heard[0].body) == 100_000

    with_server(well, main)


def test_a_server_that_breaks_off_a_long_body_may_have_run_it() -> None:
    async def script(_server: MemoryServer, stream: MemoryStream, _heard: ReceivedRequest) -> None:
        await stream.aclose()

    async def main(_server: MemoryServer, client: ServerClient) -> None:
        outcome = await call(client, attempt(1, b"POST", b"x" * 100_000))
        failed(outcome, Reason.CONNECTION_LOST, Verdict.MAY_HAVE_RUN)

    with_server(script, main)


async def _reset_at_once(_server: MemoryServer, stream: MemoryStream, _heard: ReceivedRequest) -> None:
    assert stream.peer is not None
    stream.peer.reset = True
    await stream.aclose()


def test_a_new_connection_that_is_reset_before_any_answer_was_refused() -> None:
    async def main(_server: MemoryServer, client: ServerClient) -> None:
        failed(await call(client, attempt(1)), Reason.CONNECTION_REFUSED, Verdict.MAY_HAVE_RUN)

    with_server(_reset_at_once, main)


def test_after_a_refusal_a_new_connection_is_watched_before_it_is_used() -> None:
    async def main(server: MemoryServer, client: ServerClient) -> None:
        await call(client, attempt(1))
        server.full = True
        failed(await call(client, attempt(2)), Reason.CONNECTION_REFUSED, Verdict.NOT_RUN)
        assert [each.header("request-id") for each in server.heard] == ["id-1"]
        server.full = False
        server.script = well
        assert isinstance(await call(client, attempt(3)), AttemptAnswered)

    with_server(_reset_at_once, main)


def test_a_rested_connection_that_is_reset_when_used_was_forgotten() -> None:
    async def main(server: MemoryServer, client: ServerClient) -> None:
        await call(client, attempt(1))
        await anyio.sleep(2.0)
        server.script = _reset_at_once
        failed(await call(client, attempt(2)), Reason.CONNECTION_FORGOTTEN, Verdict.MAY_HAVE_RUN)

    with_server(well, main)


def test_a_connection_in_steady_use_that_is_reset_speaks_against_its_server() -> None:
    async def main(server: MemoryServer, client: ServerClient) -> None:
        await call(client, attempt(1))
        server.script = _reset_at_once
        failed(await call(client, attempt(2)), Reason.CONNECTION_LOST, Verdict.MAY_HAVE_RUN)

    with_server(well, main)


def test_a_reset_that_comes_while_the_server_works_is_no_refusal() -> None:
    async def ends(server: MemoryServer, stream: MemoryStream, heard: ReceivedRequest) -> None:
        await anyio.sleep(0.03)
        await _reset_at_once(server, stream, heard)

    async def main(_server: MemoryServer, client: ServerClient) -> None:
        failed(await call(client, attempt(1)), Reason.CONNECTION_LOST, Verdict.MAY_HAVE_RUN)

    with_server(ends, main)

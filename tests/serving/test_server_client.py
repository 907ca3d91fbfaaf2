"""Which replies count as answers, verdicts on attempts that failed, and reuse of connections."""

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
    answer_normally,
    attempt,
    call,
)
from odd_start_lines import INTERIM, NO_REPLY, with_start_line

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


def assert_failed(outcome: Outcome, reason: Reason, verdict: Verdict) -> None:
    assert isinstance(outcome, AttemptFailed), outcome
    assert (outcome.failure.reason, outcome.failure.verdict) == (reason, verdict)


def test_answer_is_delivered_and_its_connection_is_reused() -> None:
    async def main(server: MemoryServer, client: ServerClient) -> None:
        first = await call(client, attempt(1))
        second = await call(client, attempt(2))
        assert isinstance(first, AttemptAnswered)
        assert (first.reply.body, first.reply.signature) == (b"hello", b"sig")
        assert isinstance(second, AttemptAnswered)
        assert server.opened == 1

    with_server(answer_normally, main)


def test_sent_request_is_the_callers_with_its_remaining_time() -> None:
    async def main(server: MemoryServer, client: ServerClient) -> None:
        await call(client, attempt(1, b"POST", b"abc", seconds=0.7))
        request = server.received[0]
        assert request.head.startswith("POST /one/x?q=1 HTTP/1.1\r\n")
        assert (request.header("x-own"), request.header("content-length")) == ("1", "3")
        assert request.header("expect-instance") == "i-1"
        assert 600 <= int(request.header("request-deadline-ms") or 0) <= 700

    with_server(answer_normally, main)


async def _foreign_id(_server: MemoryServer, stream: MemoryStream, _request: ReceivedRequest) -> None:
    await stream.send(answer_bytes("another"))


async def _without_id(_server: MemoryServer, stream: MemoryStream, _request: ReceivedRequest) -> None:
    await stream.send(answer_bytes(None))


async def _content_coded(_server: MemoryServer, stream: MemoryStream, request: ReceivedRequest) -> None:
    await stream.send(answer_bytes(request.header("request-id"), extra="Content-Encoding: gzip"))


async def _truncated(_server: MemoryServer, stream: MemoryStream, request: ReceivedRequest) -> None:
    await stream.send(answer_bytes(request.header("request-id"))[:-2])
    await stream.aclose()


async def _garbage(_server: MemoryServer, stream: MemoryStream, _request: ReceivedRequest) -> None:
    await stream.send(b"\x00\x01 this is not HTTP\r\n\r\n")


async def _unframed_reset(_server: MemoryServer, stream: MemoryStream, request: ReceivedRequest) -> None:
    await stream.send(answer_bytes(request.header("request-id"), framed=False))
    assert stream.peer is not None
    stream.peer.reset = True
    await stream.aclose()


@pytest.mark.parametrize(
    ("script", "reason"),
    [
        (_foreign_id, Reason.FOREIGN_REPLY),
        (_without_id, Reason.FOREIGN_REPLY),
        (_content_coded, Reason.MALFORMED_REPLY),
        (_truncated, Reason.MALFORMED_REPLY),
        (_garbage, Reason.MALFORMED_REPLY),
        (_unframed_reset, Reason.CONNECTION_LOST),
    ],
)
def test_foreign_incomplete_or_malformed_reply_fails_the_attempt(script: Script, reason: Reason) -> None:
    async def main(server: MemoryServer, client: ServerClient) -> None:
        assert_failed(await call(client, attempt(1)), reason, Verdict.MAY_HAVE_RUN)
        await call(client, attempt(2))
        assert server.opened == 2

    with_server(script, main)


def test_answer_without_a_length_ends_with_an_orderly_close() -> None:
    async def script(_server: MemoryServer, stream: MemoryStream, request: ReceivedRequest) -> None:
        await stream.send(answer_bytes(request.header("request-id"), b"part one, ", framed=False))
        await stream.send(b"part two")
        await stream.aclose()

    async def main(_server: MemoryServer, client: ServerClient) -> None:
        outcome = await call(client, attempt(1))
        assert isinstance(outcome, AttemptAnswered)
        assert outcome.reply.body == b"part one, part two"

    with_server(script, main)


def test_surplus_answer_closes_its_connection() -> None:
    async def script(_server: MemoryServer, stream: MemoryStream, request: ReceivedRequest) -> None:
        own = answer_bytes(request.header("request-id"))
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


def test_surplus_answer_read_for_the_next_request_is_rejected() -> None:
    async def script(server: MemoryServer, stream: MemoryStream, request: ReceivedRequest) -> None:
        if len(server.received) == 2:
            await stream.send(answer_bytes("id-1"))
        await stream.send(answer_bytes(request.header("request-id")))

    async def main(server: MemoryServer, client: ServerClient) -> None:
        assert isinstance(await call(client, attempt(1)), AttemptAnswered)
        assert_failed(await call(client, attempt(2)), Reason.FOREIGN_REPLY, Verdict.MAY_HAVE_RUN)
        assert isinstance(await call(client, attempt(3)), AttemptAnswered)
        assert server.opened == 2

    with_server(script, main)


def test_bytes_after_an_answer_close_the_connection() -> None:
    async def script(_server: MemoryServer, stream: MemoryStream, request: ReceivedRequest) -> None:
        await stream.send(answer_bytes(request.header("request-id")) + b"HTTP/1.1 200 OK\r\n")

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
def test_declined_request_has_not_run(status: str, extra: str, reason: Reason) -> None:
    async def script(_server: MemoryServer, stream: MemoryStream, _request: ReceivedRequest) -> None:
        await stream.send(answer_bytes(None, b"", status, extra))

    async def main(_server: MemoryServer, client: ServerClient) -> None:
        assert_failed(await call(client, attempt(1)), reason, Verdict.NOT_RUN)

    with_server(script, main)


@pytest.mark.parametrize("start_line", NO_REPLY)
def test_odd_start_line_fails_the_attempt_at_once_and_closes_the_connection(start_line: bytes) -> None:
    # Guards against: a status of 000 taken for an interim reply, so that the attempt took until its deadline,
    # and one of 600 passed on as an answer.
    async def script(_server: MemoryServer, stream: MemoryStream, request: ReceivedRequest) -> None:
        await stream.send(with_start_line(answer_bytes(request.header("request-id")), start_line))

    async def main(server: MemoryServer, client: ServerClient) -> None:
        began = anyio.current_time()
        assert_failed(await call(client, attempt(1)), Reason.MALFORMED_REPLY, Verdict.MAY_HAVE_RUN)
        assert anyio.current_time() - began < 0.01
        await anyio.sleep(0.01)
        assert (server.opened, server.closed) == (1, 1)

    with_server(script, main)


@pytest.mark.parametrize("start_line", INTERIM)
def test_interim_reply_is_skipped_and_waited_on(start_line: bytes) -> None:
    # Guards against: an interim reply taken for the answer, or for none.
    async def script(server: MemoryServer, stream: MemoryStream, request: ReceivedRequest) -> None:
        await stream.send(start_line + b"\r\n\r\n")
        if len(server.received) == 1:
            await stream.send(answer_bytes(request.header("request-id")))

    async def main(_server: MemoryServer, client: ServerClient) -> None:
        answered = await call(client, attempt(1))
        assert isinstance(answered, AttemptAnswered) and answered.reply.status == 200
        assert_failed(await call(client, attempt(2)), Reason.TIMED_OUT, Verdict.MAY_HAVE_RUN)

    with_server(script, main)


REJECTION = answer_bytes(None, b"", "503 Service Unavailable", "Not-Executed: 1")


async def _reject_without_id(_server: MemoryServer, stream: MemoryStream, _request: ReceivedRequest) -> None:
    await stream.send(REJECTION)


def test_rejection_without_an_id_on_a_kept_connection_leaves_doubt_and_closes_it() -> None:
    # Guards against: a late surplus rejection without an id counted as the next request's, which then ran
    # twice or was answered 503 after it ran.
    async def script(server: MemoryServer, stream: MemoryStream, request: ReceivedRequest) -> None:
        surplus = REJECTION if len(server.received) == 2 else b""
        await stream.send(surplus or answer_bytes(request.header("request-id")))

    async def main(server: MemoryServer, client: ServerClient) -> None:
        assert isinstance(await call(client, attempt(1)), AttemptAnswered)
        assert_failed(await call(client, attempt(2)), Reason.FOREIGN_REPLY, Verdict.MAY_HAVE_RUN)
        assert isinstance(await call(client, attempt(3)), AttemptAnswered)
        assert (server.opened, server.closed) == (2, 1)

    with_server(script, main)


def test_rejection_without_an_id_on_a_new_connection_is_believed_and_closes_it() -> None:
    # Guards against: a connection kept whose server doesn't name requests, so that a later rejection on it
    # can't be told from a surplus one.
    async def main(server: MemoryServer, client: ServerClient) -> None:
        for number in (1, 2):
            assert_failed(await call(client, attempt(number)), Reason.SHED, Verdict.NOT_RUN)
            await anyio.sleep(0.01)
        assert (server.opened, server.closed) == (2, 2)

    with_server(_reject_without_id, main)


def test_rejection_without_an_id_is_believed_on_a_connection_that_another_attempt_opened() -> None:
    # Guards against: a connection counted as kept since it was opened for an attempt that ended meanwhile.
    async def main(server: MemoryServer, client: ServerClient) -> None:
        client.send(attempt(1), lambda _outcome: None)
        client.cancel(1)
        await anyio.sleep(0.01)
        assert_failed(await call(client, attempt(2)), Reason.SHED, Verdict.NOT_RUN)
        assert (server.opened, len(server.received)) == (1, 1)

    with_server(_reject_without_id, main)


def test_plain_503_is_an_answer() -> None:
    async def script(_server: MemoryServer, stream: MemoryStream, request: ReceivedRequest) -> None:
        await stream.send(answer_bytes(request.header("request-id"), b"", "503 Service Unavailable"))

    async def main(_server: MemoryServer, client: ServerClient) -> None:
        outcome = await call(client, attempt(1))
        assert isinstance(outcome, AttemptAnswered)
        assert (outcome.reply.status, outcome.reply.succeeded) == (503, False)

    with_server(script, main)


def test_attempt_at_a_silent_server_ends_at_its_deadline() -> None:
    async def script(_server: MemoryServer, _stream: MemoryStream, _request: ReceivedRequest) -> None:
        return None

    async def main(_server: MemoryServer, client: ServerClient) -> None:
        started = anyio.current_time()
        assert_failed(await call(client, attempt(1, seconds=0.5)), Reason.TIMED_OUT, Verdict.MAY_HAVE_RUN)
        assert anyio.current_time() - started == pytest.approx(0.5)

    with_server(script, main)


class SilentConnections:
    """A server that stops answering on its open connections without a reset, but answers on new ones."""

    def __init__(self) -> None:
        self.silent_up_to = 0

    async def __call__(self, _server: MemoryServer, stream: MemoryStream, request: ReceivedRequest) -> None:
        await anyio.sleep(0.01)
        if request.connection > self.silent_up_to:
            await stream.send(answer_bytes(request.header("request-id")))


def test_silent_connection_closes_other_connections_idle_at_that_time() -> None:
    script = SilentConnections()

    async def main(server: MemoryServer, client: ServerClient) -> None:
        async with anyio.create_task_group() as tasks:
            for number in (1, 2):
                tasks.start_soon(call, client, attempt(number))
        assert server.opened == 2
        script.silent_up_to = 2
        assert_failed(await call(client, attempt(3, seconds=0.6)), Reason.TIMED_OUT, Verdict.MAY_HAVE_RUN)
        assert isinstance(await call(client, attempt(4, seconds=0.3)), AttemptAnswered)
        assert (server.opened, server.closed) == (3, 2)

    with_server(script, main)


def test_silent_new_connection_closes_no_other_connection() -> None:
    script = SilentConnections()

    async def main(server: MemoryServer, client: ServerClient) -> None:
        script.silent_up_to = 1
        assert_failed(await call(client, attempt(1, seconds=0.3)), Reason.TIMED_OUT, Verdict.MAY_HAVE_RUN)
        for number in (2, 3):
            assert isinstance(await call(client, attempt(number)), AttemptAnswered)
        assert server.opened == 2

    with_server(script, main)


def test_attempt_on_a_refused_connection_has_not_run() -> None:
    async def main(server: MemoryServer, client: ServerClient) -> None:
        server.refuse = True
        assert_failed(await call(client, attempt(1)), Reason.CONNECT_FAILED, Verdict.NOT_RUN)

    with_server(answer_normally, main)


def test_attempts_above_the_connection_limit_wait_in_turn() -> None:
    async def script(_server: MemoryServer, stream: MemoryStream, request: ReceivedRequest) -> None:
        await anyio.sleep(0.1)
        await stream.send(answer_bytes(request.header("request-id")))

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


def test_attempt_that_waits_for_a_connection_until_its_deadline_has_not_run() -> None:
    async def script(_server: MemoryServer, _stream: MemoryStream, _request: ReceivedRequest) -> None:
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
        assert_failed(outcomes[3], Reason.OVERLOADED, Verdict.NOT_RUN)
        assert len(server.received) == 2

    with_server(script, main)


def test_wait_for_a_connection_is_bounded() -> None:
    async def script(_server: MemoryServer, _stream: MemoryStream, _request: ReceivedRequest) -> None:
        return None

    async def main(server: MemoryServer, client: ServerClient) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(call, client, attempt(1, seconds=20.0))
            tasks.start_soon(call, client, attempt(2, seconds=20.0))
            await anyio.sleep(0.01)
            started = anyio.current_time()
            assert_failed(await call(client, attempt(3, seconds=20.0)), Reason.OVERLOADED, Verdict.NOT_RUN)
            assert anyio.current_time() - started <= 0.5
            tasks.cancel_scope.cancel()

    with_server(script, main)


def test_cancelled_waiter_passes_its_turn_to_the_next() -> None:
    async def script(server: MemoryServer, stream: MemoryStream, request: ReceivedRequest) -> None:
        await anyio.sleep(0.1 if len(server.received) <= 2 else 0.0)
        await stream.send(answer_bytes(request.header("request-id")))

    async def main(_server: MemoryServer, client: ServerClient) -> None:
        outcomes: list[Outcome] = []

        async def one(number: int, wait_s: float) -> None:
            with anyio.move_on_after(wait_s):
                outcomes.append(await call(client, attempt(number)))

        async with anyio.create_task_group() as tasks:
            for number, wait_s in ((1, 1.0), (2, 1.0), (3, 0.1), (4, 0.1), (5, 1.0), (6, 1.0)):
                tasks.start_soon(one, number, wait_s)
        answered = [each.number for each in outcomes if isinstance(each, AttemptAnswered)]
        assert {1, 2, 5, 6} <= set(answered)

    with_server(script, main)


def test_cancelled_attempt_closes_its_connection() -> None:
    async def script(_server: MemoryServer, _stream: MemoryStream, _request: ReceivedRequest) -> None:
        return None

    async def main(server: MemoryServer, client: ServerClient) -> None:
        with anyio.move_on_after(0.05):
            await call(client, attempt(1))
        server.script = answer_normally
        assert isinstance(await call(client, attempt(2)), AttemptAnswered)
        assert server.opened == 2

    with_server(script, main)


def test_reply_to_head_has_no_body_despite_content_length() -> None:
    async def script(_server: MemoryServer, stream: MemoryStream, request: ReceivedRequest) -> None:
        head, _, _ = answer_bytes(request.header("request-id"), b"12345").partition(b"12345")
        await stream.send(head)

    async def main(_server: MemoryServer, client: ServerClient) -> None:
        outcome = await call(client, attempt(1, b"HEAD"))
        assert isinstance(outcome, AttemptAnswered)
        assert outcome.reply.body == b""

    with_server(script, main)


def test_answer_before_the_request_is_sent_counts_and_closes_its_connection() -> None:
    async def main(server: MemoryServer, client: ServerClient) -> None:
        server.window = 20_000
        outcome = await call(client, attempt(1, b"POST", b"x" * 100_000))
        assert isinstance(outcome, AttemptAnswered)
        server.window = None
        assert isinstance(await call(client, attempt(2)), AttemptAnswered)
        assert server.opened == 2

    with_server(answer_normally, main)


def test_connection_is_reused_after_a_long_request_body() -> None:
    async def main(server: MemoryServer, client: ServerClient) -> None:
        assert isinstance(await call(client, attempt(1, b"POST", b"x" * 100_000)), AttemptAnswered)
        assert isinstance(await call(client, attempt(2)), AttemptAnswered)
        assert server.opened == 1
        assert len(server.received[0].body) == 100_000

    with_server(answer_normally, main)


def test_close_during_a_long_request_body_may_have_run() -> None:
    async def script(_server: MemoryServer, stream: MemoryStream, _request: ReceivedRequest) -> None:
        await stream.aclose()

    async def main(_server: MemoryServer, client: ServerClient) -> None:
        outcome = await call(client, attempt(1, b"POST", b"x" * 100_000))
        assert_failed(outcome, Reason.CONNECTION_LOST, Verdict.MAY_HAVE_RUN)

    with_server(script, main)


async def _reset_immediately(_server: MemoryServer, stream: MemoryStream, _request: ReceivedRequest) -> None:
    assert stream.peer is not None
    stream.peer.reset = True
    await stream.aclose()


def test_immediate_reset_of_a_new_connection_is_a_refusal() -> None:
    async def main(_server: MemoryServer, client: ServerClient) -> None:
        assert_failed(await call(client, attempt(1)), Reason.CONNECTION_REFUSED, Verdict.MAY_HAVE_RUN)

    with_server(_reset_immediately, main)


def test_new_connection_after_a_refusal_is_observed_before_its_first_use() -> None:
    async def main(server: MemoryServer, client: ServerClient) -> None:
        await call(client, attempt(1))
        server.full = True
        assert_failed(await call(client, attempt(2)), Reason.CONNECTION_REFUSED, Verdict.NOT_RUN)
        assert [each.header("request-id") for each in server.received] == ["id-1"]
        server.full = False
        server.script = answer_normally
        assert isinstance(await call(client, attempt(3)), AttemptAnswered)

    with_server(_reset_immediately, main)


def test_reset_on_reuse_after_idling_is_a_forgotten_connection() -> None:
    async def main(server: MemoryServer, client: ServerClient) -> None:
        await call(client, attempt(1))
        await anyio.sleep(2.0)
        server.script = _reset_immediately
        assert_failed(await call(client, attempt(2)), Reason.CONNECTION_FORGOTTEN, Verdict.MAY_HAVE_RUN)

    with_server(answer_normally, main)


def test_reset_of_a_connection_in_steady_use_is_a_lost_connection() -> None:
    async def main(server: MemoryServer, client: ServerClient) -> None:
        await call(client, attempt(1))
        server.script = _reset_immediately
        assert_failed(await call(client, attempt(2)), Reason.CONNECTION_LOST, Verdict.MAY_HAVE_RUN)

    with_server(answer_normally, main)


def test_reset_while_the_server_processes_the_request_is_a_lost_connection() -> None:
    async def process_then_reset(
        server: MemoryServer, stream: MemoryStream, request: ReceivedRequest
    ) -> None:
        await anyio.sleep(0.03)
        await _reset_immediately(server, stream, request)

    async def main(_server: MemoryServer, client: ServerClient) -> None:
        assert_failed(await call(client, attempt(1)), Reason.CONNECTION_LOST, Verdict.MAY_HAVE_RUN)

    with_server(process_then_reset, main)

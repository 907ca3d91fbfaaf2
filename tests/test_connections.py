"""The HTTP client of back ends against servers that send correct, malformed and truncated replies."""

import contextlib
from typing import Any

import anyio
import pytest

from yokesill.backends.http_backend import HttpBackendClient
from yokesill.resources.hashing import HashRange
from yokesill.resources.keys import ServiceName
from yokesill.routing.events import AttemptAnswered
from yokesill.routing.messages import Attempt, Snapshot
from yokesill.verdict import Reason, Verdict

BODY = (
    b'{"attempt_id": "q.1", "epoch": 1, "version": 1, "range": [0, 4294967296], "entries": [],'
    b' "truncated": false, "incarnation": "1", "holdings": [[1, 1]], "leaving": false,'
    b' "load": {"slots": 1, "active": 0, "queued": 0}}'
)
GOOD = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(BODY) + BODY
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n" % len(BODY) + BODY + b"\r\n0\r\n\r\n"
CLOSING = GOOD.replace(b"OK\r\n", b"OK\r\nConnection: close\r\n")


def call_server(replies: list[bytes], close: bool = False) -> tuple[list[Any], int]:
    """Send one attempt for each of ``replies`` to a server that sends them in order.

    Returns the outcomes and the number of connections the server accepted.
    """
    connections = 0

    async def main() -> list[Any]:
        nonlocal connections
        waiting = list(replies)

        async def serve(stream: anyio.abc.SocketStream) -> None:
            nonlocal connections
            connections += 1
            # The client may close at any time, which ends only this connection.
            with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
                await answer(stream)

        async def answer(stream: anyio.abc.SocketStream) -> None:
            async with stream:
                while waiting:
                    request = b""
                    while b'"attempt_id"' not in request:
                        request += await stream.receive()
                    await stream.send(waiting.pop(0))
                    if close:
                        return
                await anyio.sleep(5)

        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        client = HttpBackendClient(4)
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(listener.serve, serve)
            results = []
            for _ in replies:
                attempt = Attempt(
                    attempt_id="q.1", query_id="q", address=f"127.0.0.1:{port}",
                    service=ServiceName("n", "s"), shard_id="s0", range=HashRange(start=0, end=2**32),
                    snapshot=Snapshot(1, 1), request_class="c", payload=None,
                    deadline_at_s=anyio.current_time() + 20, repeatable=True,
                )  # fmt: skip
                results.append(await client.call(attempt))
            task_group.cancel_scope.cancel()
        return results

    return anyio.run(main), connections


class TestReplies:
    def test_good_replies_reuse_the_connection(self) -> None:
        results, connections = call_server([GOOD, CHUNKED, GOOD])
        assert all(isinstance(each, AttemptAnswered) for each in results)
        assert connections == 1

    def test_next_attempt_after_closing_reply_opens_another_connection(self) -> None:
        results, connections = call_server([CLOSING, GOOD])
        assert all(isinstance(each, AttemptAnswered) for each in results)
        assert connections == 2

    def test_idle_connection_closed_by_server_is_replaced(self) -> None:
        results, connections = call_server([GOOD, GOOD, GOOD], close=True)
        assert all(isinstance(each, AttemptAnswered) for each in results)
        assert connections == 3

    @pytest.mark.parametrize(
        "reply",
        [
            pytest.param(b"nonsense\r\n\r\n", id="malformed"),
            pytest.param(GOOD.replace(b"200 OK", b"000 X"), id="status-000"),
            pytest.param(GOOD.replace(b"200 OK", b"600 X"), id="status-600"),
            pytest.param(GOOD.replace(b"HTTP/1.1", b"HTTP/2.0"), id="version-2"),
            pytest.param(GOOD[:-20], id="truncated"),
            pytest.param(b"", id="early-closed"),
            pytest.param(b"HTTP/1.1 200 OK\r\n" + b"X: " + b"y" * 200_000 + b"\r\n\r\n", id="oversized-head"),
            pytest.param(
                b"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n" + b"z" * 17_000_000, id="oversized"
            ),
            pytest.param(b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n", id="bad-length"),
            pytest.param(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", id="empty-object"),
        ],
    )
    def test_bad_reply_may_have_run(self, reply: bytes) -> None:
        results, _ = call_server([reply], close=True)
        assert results[0].failure.verdict is Verdict.MAY_HAVE_RUN
        assert results[0].failure.reason in (Reason.CONNECTION_LOST, Reason.MALFORMED_REPLY)

    def test_surplus_reply_is_not_used_for_the_next_attempt(self) -> None:
        foreign = GOOD.replace(b"q.1", b"q.9")
        results, connections = call_server([GOOD + foreign, GOOD, GOOD])
        assert isinstance(results[0], AttemptAnswered)
        assert isinstance(results[1], AttemptAnswered)
        assert isinstance(results[2], AttemptAnswered)
        assert connections == 2

    def test_refused_connection_has_not_run(self) -> None:
        async def main() -> Any:
            client = HttpBackendClient(4)
            attempt = Attempt(
                "q.1", "q", "127.0.0.1:1", ServiceName("n", "s"), "s0", HashRange(start=0, end=1),
                Snapshot(1, 1), "c", None, anyio.current_time() + 20, True,
            )  # fmt: skip
            return await client.call(attempt)

        failure = anyio.run(main).failure
        assert (failure.reason, failure.verdict) == (Reason.CONNECT_FAILED, Verdict.NOT_RUN)

"""The HTTP client of the control path, with peers whose replies have no end."""

import asyncio
from collections.abc import Awaitable, Callable

import anyio
import pytest

from yokesill.comm import http_client
from yokesill.comm.http_client import HttpClient, HttpReply
from yokesill.verdict import Failure, Reason, Verdict

HEAD = b"HTTP/1.1 200 OK\r\n"
TIMEOUT_S, ENOUGH_S = 0.3, 8.0
LIMIT_BYTES, SENT_BYTES, PIECE_BYTES = 100_000, 4_000_000, 10_000

Script = Callable[[asyncio.StreamWriter], Awaitable[None]]


def call(script: Script) -> HttpReply | Failure:
    """Return the result of a call to a peer that answers by ``script``."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        try:
            await script(writer)
            await reader.read()
        except OSError:
            pass
        finally:
            writer.close()

    async def main() -> HttpReply | Failure:
        listening = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = listening.sockets[0].getsockname()[1]
        client = HttpClient()
        with anyio.fail_after(ENOUGH_S):
            result = await client.call("GET", f"http://127.0.0.1:{port}/", TIMEOUT_S)
        await client.aclose()
        listening.close()
        return result

    return anyio.run(main)


async def send_whole(writer: asyncio.StreamWriter) -> None:
    writer.write(HEAD + b"content-length: 2\r\n\r\nok")
    await writer.drain()


async def send_large(writer: asyncio.StreamWriter) -> None:
    writer.write(HEAD + b"transfer-encoding: chunked\r\n\r\n")
    for _ in range(SENT_BYTES // PIECE_BYTES):
        writer.write(b"%x\r\n%s\r\n" % (PIECE_BYTES, b"x" * PIECE_BYTES))
        await writer.drain()


async def drip_body(writer: asyncio.StreamWriter) -> None:
    writer.write(HEAD + b"content-length: 1000000\r\n\r\n")
    while True:
        writer.write(b"x")
        await writer.drain()
        await asyncio.sleep(TIMEOUT_S / 3)


async def drip_interim_replies(writer: asyncio.StreamWriter) -> None:
    while True:
        writer.write(b"HTTP/1.1 102 Processing\r\n\r\n")
        await writer.drain()
        await asyncio.sleep(TIMEOUT_S / 3)


def test_whole_reply_is_returned() -> None:
    assert call(send_whole) == HttpReply(200, {"content-length": "2"}, b"ok")


@pytest.mark.parametrize("status", [b"000", b"099", b"600", b"999"])
def test_reply_whose_status_is_none_is_a_failure(status: bytes) -> None:
    # Guards against: a number that is no status returned as the status of a reply.
    async def send_odd(writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 " + status + b" X\r\ncontent-length: 2\r\n\r\nok")
        await writer.drain()

    result = call(send_odd)
    assert isinstance(result, Failure)
    assert result.verdict is Verdict.MAY_HAVE_RUN
    assert result.reason in (Reason.MALFORMED_REPLY, Reason.CONNECTION_LOST)


def test_reply_above_the_limit_is_given_up_while_it_is_read(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against: the size was checked when the whole reply had been read, and one without end never was.
    monkeypatch.setattr(http_client, "MAX_REPLY_BYTES", LIMIT_BYTES)
    result = call(send_large)
    assert isinstance(result, Failure)
    assert (result.reason, result.verdict) == (Reason.MALFORMED_REPLY, Verdict.MAY_HAVE_RUN)


@pytest.mark.parametrize("script", [drip_body, drip_interim_replies])
def test_reply_that_drips_without_end_is_given_up(script: Script) -> None:
    # Guards against: each byte renewed the timeout, and the call never returned.
    result = call(script)
    assert isinstance(result, Failure)
    assert (result.reason, result.verdict) == (Reason.TIMED_OUT, Verdict.MAY_HAVE_RUN)

"""Objects are freed as soon as they are unused, without garbage collection or waiting for deadlines."""

import contextlib
import gc
import random
import weakref
from collections.abc import Callable, Iterator

import anyio
import pytest
from conftest import run_virtual
from harness import RouterHarness, gather_route
from memory_servers import MemoryServer, answer_normally, attempt, call

from yokesill.comm.http_reply import HttpReplyReader, ReplyError
from yokesill.gateway.events import EvacuationsReplaced, Event
from yokesill.gateway.requests.request import RequestMachine
from yokesill.positions import Position
from yokesill.registry.feeds import Batch, Feed
from yokesill.registry.follower import FeedFollower
from yokesill.serving.header_names import HeaderNames
from yokesill.upstreams.attempt_call import AttemptCall
from yokesill.upstreams.server_client import ServerClient
from yokesill.upstreams.wires import dial_streams

REPLY = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


@pytest.fixture(autouse=True)
def _disable_garbage_collection() -> Iterator[None]:
    gc.collect()
    gc.disable()
    yield
    gc.enable()


def count_live(kind: type) -> int:
    return sum(isinstance(each, kind) for each in gc.get_objects())


def test_reply_is_freed_with_its_last_reference() -> None:
    reader = HttpReplyReader()
    reader.feed(REPLY)
    reference = weakref.ref(reader)
    del reader
    assert reference() is None


ENDINGS_WITHOUT_A_REPLY: dict[str, Callable[[HttpReplyReader], None]] = {
    "too large": lambda reader: reader.feed(b"x" * 1000),
    "no reply": lambda reader: reader.feed(b"1\r\nxyz\r\n"),
    "cut": lambda reader: reader.end_of_stream(),
    "nobody reads on": lambda reader: reader.release(),
}


@pytest.mark.parametrize("ending", ENDINGS_WITHOUT_A_REPLY)
def test_reply_that_is_given_up_is_freed_with_its_last_reference(ending: str) -> None:
    # Guards against: a reply that was given up kept its body until the next collection, and uncounted.
    reader = HttpReplyReader(max_body_bytes=100)
    start = b"content-length: 1000" if ending == "too large" else b"transfer-encoding: chunked"
    reader.feed(b"HTTP/1.1 200 OK\r\n" + start + b"\r\n\r\n")
    reference = weakref.ref(reader)
    with contextlib.suppress(ReplyError):
        ENDINGS_WITHOUT_A_REPLY[ending](reader)
    del reader
    assert reference() is None


def test_late_bytes_after_a_complete_reply_are_surplus() -> None:
    reader = HttpReplyReader()
    reader.feed(REPLY)
    reader.feed(b"x")
    assert (reader.body, reader.surplus) == (b"ok", True)


def test_answered_attempt_is_freed_before_its_deadline() -> None:
    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            client = ServerClient(
                HeaderNames(), dial_streams(MemoryServer(answer_normally, tasks).connect, tasks)
            )
            await tasks.start(client.run)
            await call(client, attempt(1, seconds=60.0))
            await anyio.sleep(0.1)
            assert count_live(AttemptCall) == 0
            tasks.cancel_scope.cancel()

    run_virtual(run)


def test_answered_request_is_freed_after_its_answer() -> None:
    harness = RouterHarness(gather_route())
    key = harness.arrive()
    for sent in harness.attempts(key):
        harness.answer(sent)
    harness.advance(0.01)
    assert key in harness.finals
    assert count_live(RequestMachine) == 0


class QuietFeed(Feed):
    """Lists one evacuated zone, then reports no changes."""

    name = "evacuations"

    async def list(self, stale: bool = False) -> Batch:
        """See ``Feed.list``."""
        zones = frozenset({"z1"})
        self.listed = weakref.ref(zones)
        return Batch(Position(0, 1), (EvacuationsReplaced(zones),))

    async def changes(self, position: Position, wait: float) -> Batch:
        """See ``Feed.changes``."""
        await anyio.sleep(wait)
        return Batch(position, ())


def test_listed_batch_is_freed_while_waiting_for_changes() -> None:
    def take(_event: Event) -> None:
        pass

    async def run() -> None:
        feed = QuietFeed()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(FeedFollower(feed, take, 0.1, random.Random(1)).run)
            await anyio.sleep(1.0)
            assert feed.listed() is None
            tasks.cancel_scope.cancel()

    run_virtual(run)

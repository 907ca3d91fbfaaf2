"""What has ended is let go of at once: not at its deadline, not when garbage is looked for."""

import gc
import random
import weakref
from collections.abc import Iterator

import anyio
import pytest
from conftest import run_virtual
from harness import RouterHarness, gather_route
from memory_servers import MemoryServer, attempt, call, well

from yokesill.comm.http_reply import HttpReplyReader
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
def _without_collections() -> Iterator[None]:
    gc.collect()
    gc.disable()
    yield
    gc.enable()


def alive(kind: type) -> int:
    return sum(isinstance(each, kind) for each in gc.get_objects())


def test_a_reply_goes_with_its_last_user() -> None:
    reader = HttpReplyReader()
    reader.feed(REPLY)
    gone = weakref.ref(reader)
    del reader
    assert gone() is None


def test_bytes_after_a_whole_reply_are_surplus_however_late() -> None:
    reader = HttpReplyReader()
    reader.feed(REPLY)
    reader.feed(b"x")
    assert (reader.body, reader.surplus) == (b"ok", True)


def test_an_answered_attempt_is_not_kept_until_its_deadline() -> None:
    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            client = ServerClient(HeaderNames(), dial_streams(MemoryServer(well, tasks).connect, tasks))
            await tasks.start(client.run)
            await call(client, attempt(1, seconds=60.0))
            await anyio.sleep(0.1)
            assert alive(AttemptCall) == 0
            tasks.cancel_scope.cancel()

    run_virtual(run)


def test_an_answered_request_goes_with_its_answer() -> None:
    harness = RouterHarness(gather_route())
    key = harness.arrive()
    for sent in harness.attempts(key):
        harness.answer(sent)
    harness.advance(0.01)
    assert key in harness.finals
    assert alive(RequestMachine) == 0


class QuietFeed(Feed):
    """Lists one evacuated zone and then knows of no change."""

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


def test_a_list_is_not_held_while_the_next_change_is_waited_for() -> None:
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

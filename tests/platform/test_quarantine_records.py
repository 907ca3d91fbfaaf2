"""Records of quarantined requests in the store, written by the detecting node and read by all nodes."""

import random

import anyio
from conftest import run_virtual
from memory_servers import MemoryServer
from store_standin import StoreStandin

from yokesill.gateway import events as ev
from yokesill.platform.feeds import StoredQuarantine, quarantine_feed
from yokesill.platform.store import MetadataStore
from yokesill.positions import Position
from yokesill.registry.api_client import ApiClient
from yokesill.registry.feed_states import changes_from_wire, changes_to_wire, decode_state, encode_state
from yokesill.registry.feeds import Batch
from yokesill.registry.follower import FeedFollower
from yokesill.serving.settings import Address

KIND = "yokesill-quarantine"


def test_recorded_request_is_quarantined_until_its_object_is_deleted() -> None:
    async def main() -> list[ev.Event]:
        events: list[ev.Event] = []
        async with anyio.create_task_group() as tasks:
            standin = StoreStandin()
            server = MemoryServer(standin.script, tasks)
            store = MetadataStore(ApiClient(Address("10.0.0.1", 80), server.connect))
            follower = FeedFollower(quarantine_feed(store), events.append, 0.3, random.Random(3))
            tasks.start_soon(follower.run)
            await anyio.sleep(1.0)
            records = StoredQuarantine(store)
            for _ in range(2):
                assert await records.record("00ff") is None
            await anyio.sleep(1.0)
            assert standin.revision == 1
            standin.remove(KIND, "00ff")
            await anyio.sleep(1.0)
            assert await records.record("11ee") is None
            for _ in range(2):
                assert await records.lift("11ee") is None
            await anyio.sleep(1.0)
            tasks.cancel_scope.cancel()
        return events

    received = run_virtual(main)
    # Compares type names, because named tuples of different types are equal if their items are.
    assert [(type(each).__name__, each[0]) for each in received] == [
        ("QuarantineReplaced", frozenset()),
        ("RequestQuarantined", "00ff"),
        ("QuarantineLifted", "00ff"),
        ("RequestQuarantined", "11ee"),
        ("QuarantineLifted", "11ee"),
    ]


def test_write_to_an_unavailable_store_is_a_failure() -> None:
    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            standin = StoreStandin(mode="busy")
            server = MemoryServer(standin.script, tasks)
            records = StoredQuarantine(MetadataStore(ApiClient(Address("10.0.0.1", 80), server.connect)))
            assert await records.record("00ff") is not None
            assert await records.lift("00ff") is not None
            tasks.cancel_scope.cancel()

    run_virtual(main)


def test_changes_and_full_state_survive_encoding_for_peers() -> None:
    changes = (ev.RequestQuarantined("00ff"), ev.QuarantineLifted("11ee"))
    read = changes_from_wire(changes_to_wire(changes) or ())
    assert [repr(each) for each in read] == [repr(each) for each in changes]
    whole = ev.QuarantineReplaced(frozenset({"00ff", "11ee"}))
    assert decode_state(encode_state(whole, Position(0, 9))) == Batch(Position(0, 9), (whole,))

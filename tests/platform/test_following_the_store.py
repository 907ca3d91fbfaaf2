"""A node follows the store during faults, restores and lost history."""

import random
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import pytest
from conftest import run_virtual
from memory_servers import MemoryServer
from store_standin import StoreStandin

from yokesill.gateway import events as ev
from yokesill.platform.feeds import StoredNodes, configuration_feed, server_feed
from yokesill.platform.store import MetadataStore
from yokesill.registry.api_client import ApiClient
from yokesill.registry.availability import RegistryAvailability
from yokesill.registry.feeds import NodeContact
from yokesill.registry.follower import FeedFollower
from yokesill.registry.node_presence import REANNOUNCE_SPREAD_S, NodePresence
from yokesill.registry.position_check import PositionCheck
from yokesill.serving.settings import Address
from yokesill.verdict import Failure
from yokesill.watchers.timing import WatchTiming

CONFIG: dict[str, Any] = {
    "configVersion": 7,
    "routes": [
        {
            "name": "r1",
            "host": "a.example",
            "pathPrefix": "/x/",
            "routeType": "idempotent",
            "timeoutMs": 800,
            "service": "s1",
        }
    ],
    "services": [{"name": "s1", "healthPath": "/health", "maxConnections": 26}],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 1000,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
}


# Stale reads may be seconds old. The users' bounds: after how long without disruption the store counts as
# stable, and how soon nothing new may reach a server that leaves.
STALE_READS_S, CONTACT_S, DRAIN_S = 3.0, 5.0, 3.0
CHECK_INTERVAL_S = WatchTiming.within(DRAIN_S).check_interval_s


def most_checks(seconds: float) -> int:
    """Return how many checks a node makes in some seconds at most: one an interval, with its jitter."""
    return 1 + int(seconds / (0.9 * CHECK_INTERVAL_S))


def server_entry(service: str = "s1", state: str = "ready") -> dict[str, Any]:
    return {"service": service, "address": "10.0.0.9:80", "zone": "z1", "capacity": 2, "state": state}


class FeedObserver:
    """Followers of the configuration and server feeds, and the events that they emit."""

    def __init__(self, tasks: anyio.abc.TaskGroup, standin: StoreStandin) -> None:
        self.events: list[ev.Event] = []
        self.server = MemoryServer(standin.script, tasks)
        self.store = MetadataStore(ApiClient(Address("10.0.0.1", 80), self.server.connect))
        source = random.Random(3)
        feeds = (configuration_feed(self.store), server_feed(self.store))
        registry = RegistryAvailability()
        self.followers = [
            FeedFollower(feed, self.events.append, 0.3, source, availability=registry) for feed in feeds
        ]
        for follower in self.followers:
            tasks.start_soon(follower.run)
        check = PositionCheck(self.followers, self.store.read_position, CHECK_INTERVAL_S, registry, source)
        tasks.start_soon(check.run)

    def servers(self) -> dict[str, bool]:
        """Return whether each known server is leaving, from the events alone."""
        known: dict[str, bool] = {}
        for event in self.events:
            if isinstance(event, ev.ServersReplaced):
                known = {record.instance: record.leaving for record in event.records}
            elif isinstance(event, ev.ServerListed):
                known[event.record.instance] = event.record.leaving
            elif isinstance(event, ev.ServerRemoved):
                known.pop(event.instance, None)
        return known

    def versions(self) -> list[int]:
        return [
            each.configuration.version for each in self.events if isinstance(each, ev.ConfigurationReceived)
        ]


def run_with_observer(main: Callable[[StoreStandin, FeedObserver], Awaitable[None]]) -> None:
    async def run() -> None:
        standin = StoreStandin()
        standin.put("config", "main", CONFIG)
        for number in range(8):
            standin.put("servers", f"i-{number}", server_entry())
        async with anyio.create_task_group() as tasks:
            observer = FeedObserver(tasks, standin)
            await anyio.sleep(1.0)
            await main(standin, observer)
            tasks.cancel_scope.cancel()

    run_virtual(run)


def test_all_pages_are_read_at_start() -> None:
    async def main(_standin: StoreStandin, observer: FeedObserver) -> None:
        assert observer.versions() == [7]
        assert len(observer.servers()) == 8

    run_with_observer(main)


def test_servers_are_listed_in_order_of_creation() -> None:
    """The last one in a list replaces the others at its address, but the store lists by name."""

    async def main(standin: StoreStandin, observer: FeedObserver) -> None:
        standin.put("servers", "i-00", server_entry())
        standin.put("servers", "i-5", server_entry(state="draining"))
        batch = await server_feed(observer.store).list()
        assert not isinstance(batch, Failure) and isinstance(batch.events[0], ev.ServersReplaced)
        listed = [record.instance for record in batch.events[0].records]
        assert listed == [f"i-{number}" for number in range(8)] + ["i-00"]

    run_with_observer(main)


def test_changes_arrive_within_the_coalescing_delay_and_idle_feeds_make_few_calls() -> None:
    async def main(standin: StoreStandin, observer: FeedObserver) -> None:
        standin.put("config", "main", {**CONFIG, "configVersion": 9})
        standin.put("servers", "i-0", server_entry(state="draining"))
        standin.remove("servers", "i-1")
        await anyio.sleep(0.7)
        assert observer.versions() == [7, 9]
        assert observer.servers()["i-0"] is True
        assert "i-1" not in observer.servers()
        before, checks = standin.calls_for_feeds(), standin.exact_checks()
        await anyio.sleep(60.0)
        assert standin.calls_for_feeds() - before <= 6
        assert standin.exact_checks() - checks <= most_checks(60.0)

    run_with_observer(main)


def test_changes_in_quick_succession_are_coalesced() -> None:
    async def main(standin: StoreStandin, observer: FeedObserver) -> None:
        before = len(standin.calls)
        for version in range(10, 40):
            standin.put("config", "main", {**CONFIG, "configVersion": version})
            await anyio.sleep(0.05)
        await anyio.sleep(0.5)
        assert observer.versions()[-1] == 39
        assert len(standin.calls) - before <= 12

    run_with_observer(main)


def test_feeds_are_listed_again_after_lost_history_and_removed_servers_are_gone() -> None:
    async def main(standin: StoreStandin, observer: FeedObserver) -> None:
        del standin.objects[("servers", "i-2")]
        standin.revision += 1
        standin.forget_history()
        await anyio.sleep(1.0)
        assert "i-2" not in observer.servers()
        assert len(observer.servers()) == 7

    run_with_observer(main)


def test_store_that_was_unavailable_is_followed_again_within_seconds() -> None:
    async def main(standin: StoreStandin, observer: FeedObserver) -> None:
        for mode in ("busy", "throttled"):
            standin.mode = mode
            standin.forget_history()
            await anyio.sleep(10.0)
            standin.mode = "up"
            standin.put("servers", f"i-{mode}", server_entry())
            await anyio.sleep(2.5)
            assert f"i-{mode}" in observer.servers()
        assert len(observer.servers()) == 10

    run_with_observer(main)


def test_call_to_an_unresponsive_store_times_out_and_is_retried() -> None:
    async def main(standin: StoreStandin, observer: FeedObserver) -> None:
        standin.mode = "silent"
        standin.forget_history()
        await anyio.sleep(8.0)
        standin.mode = "up"
        standin.put("config", "main", {**CONFIG, "configVersion": 11})
        await anyio.sleep(4.0)
        assert observer.versions()[-1] == 11

    run_with_observer(main)


def test_malformed_entries_change_nothing_and_valid_ones_are_applied() -> None:
    async def main(standin: StoreStandin, observer: FeedObserver) -> None:
        broken = {**CONFIG, "configVersion": 12, "routes": [{"name": "r1"}]}
        standin.put("config", "main", broken)
        standin.put("servers", "i-bad", {"service": "s1", "address": "nowhere"})
        standin.put("servers", "i-9", server_entry())
        await anyio.sleep(1.0)
        assert observer.versions() == [7]
        assert "i-bad" not in observer.servers()
        assert "i-9" in observer.servers()

    run_with_observer(main)


def test_lost_watch_is_detected_and_restarted() -> None:
    async def main(standin: StoreStandin, observer: FeedObserver) -> None:
        await anyio.sleep(1.0)
        standin.put("config", "main", {**CONFIG, "configVersion": 8})
        standin.put("servers", "i-2", server_entry())
        await anyio.sleep(0.1)
        standin.mode = "silent"
        await anyio.sleep(2.0)
        standin.mode = "up"
        await anyio.sleep(1.0)
        standin.put("config", "main", {**CONFIG, "configVersion": 9})
        standin.put("servers", "i-1", server_entry(state="draining"))
        await anyio.sleep(3.5)
        assert observer.versions() == [7, 8, 9]
        assert {name for name, leaving in observer.servers().items() if leaving} == {"i-1"}
        standin.put("config", "main", {**CONFIG, "configVersion": 10})
        await anyio.sleep(0.5)
        assert observer.versions()[-1] == 10

    run_with_observer(main)


@pytest.mark.parametrize("tenths", range(0, 30, 3))
def test_lost_watch_is_detected_although_a_check_is_lost_too(tenths: int) -> None:
    async def main(standin: StoreStandin, observer: FeedObserver) -> None:
        await anyio.sleep(10.0 + tenths / 10)
        standin.put("config", "main", {**CONFIG, "configVersion": 8})
        await anyio.sleep(0.1)
        standin.mode = "silent"
        await anyio.sleep(3.0)
        standin.mode = "up"
        standin.put("config", "main", {**CONFIG, "configVersion": 9})
        await anyio.sleep(3.6)
        assert observer.versions() == [7, 8, 9]

    run_with_observer(main)


@pytest.mark.parametrize("tenths", range(0, 50, 5))
def test_change_after_a_silence_is_known_in_time_although_stale_reads_are_seconds_old(tenths: int) -> None:
    # Guards against: waits that a silent store had accepted were relied on for up to 25 s more, so that a
    # change was found by stale reads alone, later than the bound for servers that leave.
    async def main(standin: StoreStandin, observer: FeedObserver) -> None:
        standin.stale_s = STALE_READS_S
        await anyio.sleep(10.0 + tenths / 10)
        await standin.silence(4.5)
        await anyio.sleep(CONTACT_S + 1.0)
        standin.put("servers", "i-1", server_entry(state="draining"))
        await anyio.sleep(DRAIN_S)
        assert observer.servers()["i-1"]

    run_with_observer(main)


def test_silence_costs_each_feed_few_calls_at_full_price() -> None:
    # Guards against: a wait that is given up again and again because checks failed once.
    async def main(standin: StoreStandin, observer: FeedObserver) -> None:
        await anyio.sleep(10.0)
        before, checks = standin.calls_for_feeds(), standin.exact_checks()
        await standin.silence(4.5)
        await anyio.sleep(15.0)
        assert standin.calls_for_feeds() - before <= 2 * len(observer.followers)
        assert standin.exact_checks() - checks <= most_checks(15.0) + 1

    run_with_observer(main)


def test_checks_are_one_small_exact_call_for_all_feeds_and_change_nothing() -> None:
    async def main(standin: StoreStandin, observer: FeedObserver) -> None:
        await anyio.sleep(60.0)
        # Stale reads show nothing: they are made only before this node knows that the store answers.
        assert len([call for call in standin.calls if "stale=1" in call]) <= 1
        assert 50 <= standin.exact_checks() <= most_checks(61.0)
        assert standin.calls_for_feeds() <= 12
        assert observer.versions() == [7]

    run_with_observer(main)


def test_nodes_are_counted_if_answers_to_announcements_are_lost() -> None:
    async def run() -> None:
        standin = StoreStandin(lose_answers=3)
        counts: dict[str, int] = {}
        async with anyio.create_task_group() as tasks:
            for number in range(4):
                server = MemoryServer(standin.script, tasks)
                store = MetadataStore(ApiClient(Address("10.0.0.1", 80), server.connect))
                name = f"n{number}"

                def record_count(count: int, name: str = name) -> None:
                    counts[name] = count

                counter = NodePresence(
                    StoredNodes(store), NodeContact(name), record_count, random.Random(number)
                )
                tasks.start_soon(counter.run)
            await anyio.sleep(30.0)
            assert counts == {f"n{number}": 4 for number in range(4)}
            tasks.cancel_scope.cancel()

    run_virtual(run)


def test_node_without_announcements_is_eventually_not_counted() -> None:
    async def run() -> None:
        standin = StoreStandin()
        standin.put("yokesill-nodes", "gone", {"beat": 1})
        counts: list[int] = []
        async with anyio.create_task_group() as tasks:
            server = MemoryServer(standin.script, tasks)
            store = MetadataStore(ApiClient(Address("10.0.0.1", 80), server.connect))
            tasks.start_soon(
                NodePresence(StoredNodes(store), NodeContact("n1"), counts.append, random.Random(1)).run
            )
            await anyio.sleep(600.0)
            assert counts[-1] == 1
            assert 2 in counts
            tasks.cancel_scope.cancel()

    run_virtual(run)


def test_restarted_node_has_the_node_count_immediately() -> None:
    async def run() -> None:
        standin = StoreStandin()
        for number in range(8):
            standin.put("yokesill-nodes", f"n{number}", {"beat": 1})
        counts: list[int] = []
        async with anyio.create_task_group() as tasks:
            server = MemoryServer(standin.script, tasks)
            store = MetadataStore(ApiClient(Address("10.0.0.1", 80), server.connect))
            tasks.start_soon(
                NodePresence(StoredNodes(store), NodeContact("n1"), counts.append, random.Random(1)).run
            )
            await anyio.sleep(0.1)
            assert counts == [8]
            tasks.cancel_scope.cancel()

    run_virtual(run)


def test_changes_after_a_reassigned_revision_are_not_applied() -> None:
    async def main(standin: StoreStandin, observer: FeedObserver) -> None:
        older = standin.take_copy()
        standin.put("servers", "i-lost", server_entry())
        await anyio.sleep(1.0)
        standin.mode = "busy"
        await anyio.sleep(1.0)
        standin.restore(older)
        standin.put("servers", "i-hidden", server_entry())
        standin.put("servers", "i-told", server_entry())
        before = len(observer.events)
        standin.mode = "up"
        await anyio.sleep(3.0)
        received = [
            each for each in observer.events[before:] if not isinstance(each, ev.ConfigurationReceived)
        ]
        assert isinstance(received[0], ev.ServersRestored)
        assert {record.instance for record in received[0].records} >= {"i-hidden", "i-told"}

    run_with_observer(main)


def test_answer_without_a_timeline_is_not_taken_for_a_restore() -> None:
    async def main(standin: StoreStandin, observer: FeedObserver) -> None:
        standin.restore(standin.take_copy())
        await anyio.sleep(5.0)
        assert {each.position.timeline for each in observer.followers if each.position} == {1}
        standin.timeline = 0
        standin.put("servers", "i-9", server_entry())
        await anyio.sleep(1.5)
        assert "i-9" in observer.servers()
        assert {each.position.timeline for each in observer.followers if each.position} == {1}

    run_with_observer(main)


def test_list_with_pages_from_before_and_after_a_restore_fails() -> None:
    async def main(standin: StoreStandin, observer: FeedObserver) -> None:
        older = standin.take_copy()
        standin.put("servers", "i-late", server_entry())
        standin.answer_s = 0.4
        listing: list[object] = []

        async def read() -> None:
            listing.append(await observer.store.list("servers"))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(read)
            await anyio.sleep(0.6)
            standin.restore(older)
        assert isinstance(listing[0], Failure)
        standin.answer_s = 0.0
        await anyio.sleep(3.0)
        assert "i-late" not in observer.servers()

    run_with_observer(main)


def test_node_whose_entry_the_store_lost_is_counted_and_announces_itself_again() -> None:
    async def run() -> None:
        standin = StoreStandin()
        counts: dict[str, int] = {}
        nodes: list[NodePresence] = []
        async with anyio.create_task_group() as tasks:
            older = standin.take_copy()
            for number in range(4):
                server = MemoryServer(standin.script, tasks)
                store = MetadataStore(ApiClient(Address("10.0.0.1", 80), server.connect))
                name = f"n{number}"

                def record_count(count: int, name: str = name) -> None:
                    counts[name] = count

                nodes.append(
                    NodePresence(StoredNodes(store), NodeContact(name), record_count, random.Random(number))
                )
                tasks.start_soon(nodes[-1].run)
            await anyio.sleep(30.0)
            standin.restore(older)
            # Each node reads the directory twice in this time.
            for _ in range(60):
                await anyio.sleep(0.5)
                assert counts == {f"n{number}": 4 for number in range(4)}
            for node in nodes:
                node.announce_again()
            await anyio.sleep(REANNOUNCE_SPREAD_S + 0.1)
            assert len([name for of, name in standin.objects if of == "yokesill-nodes"]) == 4
            tasks.cancel_scope.cancel()

    run_virtual(run)

"""While the registry doesn't answer, one follower of a node probes it and the others wait."""

import random

import anyio
import pytest
from conftest import run_virtual

from yokesill.gateway.events import Event, ZoneEvacuated
from yokesill.positions import Position
from yokesill.registry.availability import RegistryAvailability
from yokesill.registry.feeds import Batch, Feed, HistoryLost
from yokesill.registry.follower import FeedFollower
from yokesill.verdict import Failure, Reason, Verdict

DOWN = Failure(Reason.BACKEND_ERROR, Verdict.NOT_RUN, "503")


class Registry:
    """A registry behind several feeds; counts calls at full price and cheap ones."""

    def __init__(self) -> None:
        self.down = False
        self.full_price = self.cheap = 0
        self.revision = 1
        self.changed = anyio.Event()

    def go_down(self) -> None:
        self.down = True
        self.wake()

    def wake(self) -> None:
        self.changed.set()
        self.changed = anyio.Event()


class CountedFeed(Feed):
    name = "feed"

    def __init__(self, registry: Registry) -> None:
        self.registry = registry

    async def list(self, stale: bool = False) -> Batch | Failure:
        self.registry.full_price += 1
        return (
            DOWN if self.registry.down else Batch(Position(0, self.registry.revision), (ZoneEvacuated("z"),))
        )

    async def changes(self, position: Position, wait: float) -> Batch | HistoryLost | Failure:
        self.registry.full_price += 1
        if not self.registry.down and position.revision >= self.registry.revision:
            with anyio.move_on_after(wait):
                await self.registry.changed.wait()
        if self.registry.down:
            return DOWN
        events = (ZoneEvacuated("z"),) if position.revision < self.registry.revision else ()
        return Batch(Position(0, self.registry.revision), events)

    async def peek(self, position: Position) -> Batch | HistoryLost | Failure:
        self.registry.cheap += 1
        return DOWN if self.registry.down else Batch(Position(0, self.registry.revision), ())


class Node:
    def __init__(self, registry: Registry) -> None:
        self.events: list[Event] = []
        availability = RegistryAvailability()
        self.followers = [
            FeedFollower(
                CountedFeed(registry), self.events.append, 0.1, random.Random(n), availability=availability
            )
            for n in range(4)
        ]


def test_one_follower_probes_during_an_outage_and_all_recover_soon() -> None:
    async def main() -> None:
        registry = Registry()
        node = Node(registry)
        async with anyio.create_task_group() as tasks:
            for follower in node.followers:
                tasks.start_soon(follower.run)
            await anyio.sleep(2.0)
            before = registry.full_price, registry.cheap
            registry.go_down()
            await anyio.sleep(10.0)
            assert registry.full_price - before[0] <= 4
            assert registry.cheap - before[1] <= 22
            registry.down = False
            registry.revision += 1
            await anyio.sleep(2.0)
            assert [each.revision for each in node.followers] == [2] * 4
            assert all(each.connected for each in node.followers)
            tasks.cancel_scope.cancel()

    run_virtual(main)


def test_a_registry_that_fails_for_one_feed_delays_the_others_only_briefly() -> None:
    async def main() -> None:
        registry, failing = Registry(), Registry()
        failing.down = True
        availability = RegistryAvailability()
        events: list[Event] = []
        feeds = [CountedFeed(failing), CountedFeed(registry), CountedFeed(registry)]
        followers = [
            FeedFollower(feed, events.append, 0.1, random.Random(n), availability=availability)
            for n, feed in enumerate(feeds)
        ]
        async with anyio.create_task_group() as tasks:
            for follower in followers:
                tasks.start_soon(follower.run)
            await anyio.sleep(3.0)
            assert [each.revision for each in followers] == [None, 1, 1]
            registry.revision += 1
            registry.wake()
            await anyio.sleep(3.0)
            assert [each.revision for each in followers] == [None, 2, 2]
            tasks.cancel_scope.cancel()

    run_virtual(main)


@pytest.mark.parametrize("gone", range(4))
def test_probing_continues_when_a_follower_stops_watching(gone: int) -> None:
    async def main() -> None:
        registry = Registry()
        node = Node(registry)
        async with anyio.create_task_group() as tasks:
            for follower in node.followers:
                tasks.start_soon(follower.run)
            await anyio.sleep(2.0)
            registry.go_down()
            await anyio.sleep(3.0)
            node.followers[gone].set_watching(False)
            registry.down = False
            registry.revision += 1
            await anyio.sleep(4.0)
            others = [each for n, each in enumerate(node.followers) if n != gone]
            assert [each.revision for each in others] == [2] * 3
            tasks.cancel_scope.cancel()

    run_virtual(main)

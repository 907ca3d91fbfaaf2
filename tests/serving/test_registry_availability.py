"""While the registry is away one follower of a node looks for its return; the others wait for it."""

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
    """Four feeds of one registry; counts calls at full price (``dear``) and cheap ones."""

    def __init__(self) -> None:
        self.down = False
        self.dear = self.cheap = 0
        self.revision = 1
        self.woken = anyio.Event()

    def fall(self) -> None:
        self.down = True
        self.wake()

    def wake(self) -> None:
        self.woken.set()
        self.woken = anyio.Event()


class CountedFeed(Feed):
    name = "feed"

    def __init__(self, registry: Registry) -> None:
        self.registry = registry

    async def list(self, stale: bool = False) -> Batch | Failure:
        self.registry.dear += 1
        return (
            DOWN if self.registry.down else Batch(Position(0, self.registry.revision), (ZoneEvacuated("z"),))
        )

    async def changes(self, position: Position, wait: float) -> Batch | HistoryLost | Failure:
        self.registry.dear += 1
        if not self.registry.down and position.revision >= self.registry.revision:
            with anyio.move_on_after(wait):
                await self.registry.woken.wait()
        if self.registry.down:
            return DOWN
        events = (ZoneEvacuated("z"),) if position.revision < self.registry.revision else ()
        return Batch(Position(0, self.registry.revision), events)

    async def peek(self, position: Position) -> Batch | HistoryLost | Failure:
        self.registry.cheap += 1
        return DOWN if self.registry.down else Batch(Position(0, self.registry.revision), ())


class Node:
    def __init__(self, registry: Registry) -> None:
        self.heard: list[Event] = []
        availability = RegistryAvailability()
        self.followers = [
            FeedFollower(
                CountedFeed(registry), self.heard.append, 0.1, random.Random(n), availability=availability
            )
            for n in range(4)
        ]


def test_an_outage_costs_one_follower_few_calls_and_all_are_back_soon() -> None:
    async def main() -> None:
        registry = Registry()
        node = Node(registry)
        async with anyio.create_task_group() as tasks:
            for follower in node.followers:
                tasks.start_soon(follower.run)
            await anyio.sleep(2.0)
            before = registry.dear, registry.cheap
            registry.fall()
            await anyio.sleep(10.0)
            assert registry.dear - before[0] <= 4
            assert registry.cheap - before[1] <= 22
            registry.down = False
            registry.revision += 1
            await anyio.sleep(2.0)
            assert [each.revision for each in node.followers] == [2] * 4
            assert all(each.connected for each in node.followers)
            tasks.cancel_scope.cancel()

    run_virtual(main)


def test_a_registry_that_fails_for_one_feed_only_holds_the_others_back_for_a_moment() -> None:
    async def main() -> None:
        registry, broken = Registry(), Registry()
        broken.down = True
        availability = RegistryAvailability()
        heard: list[Event] = []
        feeds = [CountedFeed(broken), CountedFeed(registry), CountedFeed(registry)]
        followers = [
            FeedFollower(feed, heard.append, 0.1, random.Random(n), availability=availability)
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
def test_a_follower_that_need_not_ask_any_more_leaves_the_look_to_another(gone: int) -> None:
    async def main() -> None:
        registry = Registry()
        node = Node(registry)
        async with anyio.create_task_group() as tasks:
            for follower in node.followers:
                tasks.start_soon(follower.run)
            await anyio.sleep(2.0)
            registry.fall()
            await anyio.sleep(3.0)
            node.followers[gone].set_watching(False)
            registry.down = False
            registry.revision += 1
            await anyio.sleep(4.0)
            others = [each for n, each in enumerate(node.followers) if n != gone]
            assert [each.revision for each in others] == [2] * 3
            tasks.cancel_scope.cancel()

    run_virtual(main)

"""A part of ``yokesill serve`` that fails is begun anew: queries go on, and a stop answers what is under way.

One exception in any part ended all of them: the node's task group cancelled every query, and the process
ended with exit code 1, in the seen case just while it was asked to stop.
"""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import pytest
from conftest import run_cluster
from helpers import HOURS, send_queries
from simulation.cluster import RunningNode, SimulatedCluster

from yokesill.emulator.faults import ServerFaults
from yokesill.routing.events import Answer

NODES = 3
LATER_S = 1.0
SLOW_FACTOR = 20.0


class InjectedError(Exception):
    """A bug in a part."""


def failing(run: Callable[[], Awaitable[None]], times: int = 1) -> Callable[[], Awaitable[None]]:
    """Return a part's ``run`` that fails after a while, ``times`` times."""
    left = times

    async def broken() -> None:
        nonlocal left
        if not left:
            return await run()
        left -= 1
        with anyio.move_on_after(LATER_S):
            await run()
        raise InjectedError

    return broken


PARTS: dict[str, Callable[[RunningNode], Any]] = {
    "transport": lambda running: running.node.transport,
    "gossip": lambda running: running.node.gossip,
    "synchronisation": lambda running: running.node.sync,
    "store": lambda running: running.node.watcher,
    "health": lambda running: running.node.health,
}
METHODS = {"resynchronisation": "_resynchronise_when_wanted", "membership": "_follow_membership"}


def break_part(running: RunningNode, part: str, times: int = 1) -> None:
    owner = PARTS[part](running) if part in PARTS else running.node
    method = METHODS.get(part, "run")
    setattr(owner, method, failing(getattr(owner, method), times))


@pytest.mark.part_failures
@pytest.mark.parametrize("part", [*PARTS, *METHODS])
def test_a_part_that_fails_begins_anew_and_nobody_notices(part: str) -> None:
    async def body(cluster: SimulatedCluster) -> None:
        running = cluster.start_node(NODES)
        break_part(running, part)
        await cluster.until(lambda: running.node.ready, 30.0)
        finals = await send_queries(cluster, 60, 0.05)
        assert all(isinstance(each, Answer) for each in finals)
        assert running.node.supervisor.failures == {part: 1}
        assert f"yokesill_failures_{part} 1.0" in running.node.metrics.render().decode()
        assert running.node.ready

    run_cluster(body, nodes=NODES)


@pytest.mark.part_failures
@pytest.mark.parametrize("part", [*PARTS, *METHODS])
def test_a_stop_answers_what_is_under_way_whichever_part_fails(part: str) -> None:
    async def body(cluster: SimulatedCluster) -> None:
        running = cluster.start_node(NODES)
        break_part(running, part, times=100)
        await cluster.until(lambda: running.node.ready, 30.0)
        await anyio.sleep(2 * LATER_S)
        for model in cluster.models.values():
            model.set_faults(ServerFaults(slow_factor=SLOW_FACTOR))
        finals: list[Any] = []

        async def ask() -> None:
            finals.append(await cluster.query(NODES, cluster.call(HOURS.service, "search")))

        async with anyio.create_task_group() as tasks:
            for _ in range(3):
                tasks.start_soon(ask)
            await anyio.sleep(0.02)
            running.node.stop()
        assert all(isinstance(each, Answer) for each in finals)
        await cluster.until(lambda: running.stopped, 30.0)
        assert running.node.supervisor.failures[part] >= 1

    run_cluster(body, nodes=NODES)


@pytest.mark.part_failures
def test_an_attempt_that_fails_by_a_bug_fails_alone() -> None:
    async def body(cluster: SimulatedCluster) -> None:
        running = cluster.nodes[cluster.address_of(0)]
        call, left = running.backends.call, 1

        async def broken(attempt: Any) -> Any:
            nonlocal left
            if left:
                left -= 1
                raise InjectedError
            return await call(attempt)

        running.backends.call = broken  # type: ignore[method-assign]
        finals = await send_queries(cluster, 9, 0.05)
        assert all(isinstance(each, Answer) for each in finals)
        assert running.node.supervisor.failures == {"attempts": 1}

    run_cluster(body, nodes=NODES)


@pytest.mark.part_failures
def test_a_timer_that_fails_by_a_bug_stops_no_other() -> None:
    async def body(cluster: SimulatedCluster) -> None:
        node = cluster.node(0)
        timers, left = node.driver._timers, 1
        fire = timers._fire

        def broken(event: Any) -> None:
            nonlocal left
            if left:
                left -= 1
                raise InjectedError
            fire(event)

        timers._fire = broken
        finals = await send_queries(cluster, 30, 0.1)
        assert all(isinstance(each, Answer) for each in finals)
        assert node.supervisor.failures == {"timers": 1}

    run_cluster(body, nodes=NODES)

"""While a machine is suspended its monotonic clock stops, but the node's clock must not."""

import random
import re
import time
from pathlib import Path

import anyio
import pytest
from harness import RouterHarness, gather_route, single_route

import yokesill
from yokesill import clock
from yokesill.gateway import events as ev
from yokesill.gateway.limits.budget import BudgetLimits, ExtraAttemptBudget
from yokesill.rollouts.canary import Canary
from yokesill.rollouts.messages import OrderDecision, RolloutDecisions
from yokesill.rollouts.orders import OrderId, RolloutState
from yokesill.upstreams.connection_set import ServerConnectionPool
from yokesill.upstreams.connections import ServerConnection
from yokesill.watchers.role import WatchRole, create_group, watch_role
from yokesill.watchers.timing import WatchTiming

SOURCE = Path(yokesill.__file__).parent
SUSPENDED_S = 30.0
OTHER_CLOCKS = re.compile(r"time\.(monotonic|perf_counter|time)\(|\banyio\.run\(|\basyncio\.run\(")


class Suspension:
    """The machine's clocks; ``suspend`` advances only the clock that counts suspensions."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.suspended_s = 0.0
        real_clock_gettime = time.clock_gettime

        def clock_gettime(which: int) -> float:
            return real_clock_gettime(which) + (self.suspended_s if which == time.CLOCK_BOOTTIME else 0.0)

        monkeypatch.setattr(time, "clock_gettime", clock_gettime)

    def suspend(self) -> None:
        self.suspended_s += SUSPENDED_S


def test_node_clock_counts_the_time_of_a_suspension(monkeypatch: pytest.MonkeyPatch) -> None:
    suspension = Suspension(monkeypatch)

    async def main() -> tuple[float, float]:
        anyio_start, clock_start = anyio.current_time(), clock.running_clock()()
        suspension.suspend()
        return anyio.current_time() - anyio_start, clock.running_clock()() - clock_start

    assert min(clock.run_with_boottime_clock(main)) >= SUSPENDED_S


def test_timers_that_came_due_during_a_suspension_fire_immediately(monkeypatch: pytest.MonkeyPatch) -> None:
    suspension = Suspension(monkeypatch)

    async def main() -> list[str]:
        order: list[str] = []

        async def wait(name: str, seconds: float) -> None:
            await anyio.sleep(seconds)
            order.append(name)

        with anyio.move_on_after(SUSPENDED_S + 5.0):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(wait, "deadline", 20.0)
                tasks.start_soon(wait, "hedge", 10.0)
                await anyio.sleep(0.05)
                suspension.suspend()
                with anyio.move_on_after(3.0):
                    while len(order) < 2:
                        await anyio.sleep(0.01)
                tasks.cancel_scope.cancel()
        return order

    assert clock.run_with_boottime_clock(main) == ["hedge", "deadline"]


def test_no_other_module_reads_a_clock_or_starts_an_event_loop() -> None:
    found = [
        f"{path.relative_to(SOURCE)}: {match[0]}"
        for path in SOURCE.rglob("*.py")
        for match in OTHER_CLOCKS.finditer(path.read_text())
    ]
    # The only event loop, and a number that distinguishes starts of a node.
    assert sorted(found) == ["cli/serve.py: time.time(", "clock.py: anyio.run("]


# --- decisions after a suspension: ``now`` jumps, and timers that came due fire in any order ---


def test_request_past_its_deadline_after_a_suspension_is_not_retried() -> None:
    harness = RouterHarness(gather_route(attempts=3))
    harness.warm_up()
    key = harness.arrive(timeout_s=1.5)
    sent = harness.attempts(key)
    harness.now += SUSPENDED_S
    # The connections were lost meanwhile, and the losses are reported before the timers fire.
    for attempt in sent:
        harness.fail(attempt)
    assert harness.attempts(key) == sent
    harness.advance(0.0)
    assert isinstance(harness.finals[key], ev.Refuse)


def test_hedge_due_during_a_suspension_is_not_sent_past_the_deadline() -> None:
    harness = RouterHarness(gather_route(attempts=3))
    harness.warm_up()
    key = harness.arrive(timeout_s=1.5)
    sent = harness.attempts(key)
    harness.now += SUSPENDED_S
    harness.advance(0.0)
    assert harness.attempts(key) == sent
    assert isinstance(harness.finals[key], ev.Refuse)


def test_ejection_and_suspicion_expire_during_a_suspension() -> None:
    harness = RouterHarness(single_route())
    harness.warm_up("/one/x")
    for instance in ("desk-z1", "desk-z2"):
        harness.feed(ev.ServerSuspected(instance, 5.0))
    key = harness.arrive("/one/x")
    harness.fail(harness.attempts(key)[0])
    harness.now += SUSPENDED_S
    again = harness.arrive("/one/x")
    assert len(harness.attempts(again)) == 1


def test_idle_connection_expires_during_a_suspension() -> None:
    connections = ServerConnectionPool("10.0.0.1", 80, lambda _count: None)
    idle = ServerConnection(connections.remove_idle)
    assert connections.reserve(1)
    connections.opened()
    connections.release(idle, reusable_until=110.0)
    assert connections.take_idle(100.0 + SUSPENDED_S, check=False) is None


def test_canary_share_and_watcher_report_expire_during_a_suspension() -> None:
    canary = Canary()
    order = OrderId("desk", 5, "v2")
    canary.receive(
        RolloutDecisions("n1", True, 2.0, (OrderDecision(order, RolloutState.CANARY, 0.1, 1.0),)), 100.0
    )
    assert canary.share(order, 101.0) > 0.0
    assert canary.share(order, 101.0 + SUSPENDED_S) == 0.0
    timing = WatchTiming.within(3.0)
    group = create_group("n9", timing, random.Random(1), 0.0)
    group.set_members([f"n{number}" for number in range(12)])
    for node in group.ranked[:2]:
        group.record_report(node, current=True, synchronised=True, now=100.0)
    assert group.reporting(100.0) != {}
    assert group.reporting(100.0 + SUSPENDED_S) == {}
    assert watch_role(group, 100.0 + SUSPENDED_S) is not WatchRole.FOLLOWING


def test_budget_window_advances_during_a_suspension() -> None:
    budget = ExtraAttemptBudget(BudgetLimits(0.2, 58.0, 10.0), 0.0)
    while budget.take(1, 100.0):
        pass
    assert budget.left(1, 100.0) < 1.0
    assert budget.left(1, 100.0 + SUSPENDED_S) >= 1.0

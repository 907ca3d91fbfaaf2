"""A machine is suspended for seconds: its monotonic clock stands still, the node's clock must not."""

import re
import time
from pathlib import Path

import anyio
import pytest

import yokesill
from yokesill import clock

SOURCE = Path(yokesill.__file__).parent
SUSPENDED_S = 30.0
OTHER_CLOCKS = re.compile(r"time\.(monotonic|perf_counter|time)\(|\banyio\.run\(|\basyncio\.run\(")


class Suspension:
    """The machine's clocks; ``begin`` lets time pass that the monotonic clock does not count."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.passed_s = 0.0
        real = time.clock_gettime

        def clock_gettime(which: int) -> float:
            return real(which) + (self.passed_s if which == time.CLOCK_BOOTTIME else 0.0)

        monkeypatch.setattr(time, "clock_gettime", clock_gettime)

    def begin(self) -> None:
        self.passed_s += SUSPENDED_S


def test_the_nodes_clock_counts_the_time_of_a_suspension(monkeypatch: pytest.MonkeyPatch) -> None:
    suspension = Suspension(monkeypatch)

    async def main() -> tuple[float, float]:
        by_library, by_hot_paths = anyio.current_time(), clock.running_clock()()
        suspension.begin()
        return anyio.current_time() - by_library, clock.running_clock()() - by_hot_paths

    assert min(clock.run_steadily(main)) >= SUSPENDED_S


def test_what_came_due_meanwhile_is_due_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
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
                suspension.begin()
                with anyio.move_on_after(3.0):
                    while len(order) < 2:
                        await anyio.sleep(0.01)
                tasks.cancel_scope.cancel()
        return order

    assert clock.run_steadily(main) == ["hedge", "deadline"]


def test_nothing_else_reads_a_clock_or_starts_a_loop() -> None:
    found = [
        f"{path.relative_to(SOURCE)}: {match[0]}"
        for path in SOURCE.rglob("*.py")
        for match in OTHER_CLOCKS.finditer(path.read_text())
    ]
    # The one loop, and a number that tells two starts of a node apart.
    assert sorted(found) == ["cli/serve.py: time.time(", "clock.py: anyio.run("]

"""Failed parts of a node are restarted: requests still succeed, and a stop answers those in flight."""

from collections.abc import Awaitable, Callable, Iterator
from typing import Any

import anyio
import pytest
from test_process import Node, run_with_node

from yokesill.gateway.messages import GatewayRequest
from yokesill.logs import LogOutput
from yokesill.registry.follower import FeedFollower
from yokesill.registry.node_presence import NodePresence
from yokesill.registry.peer_bootstrap import PeerBootstrap
from yokesill.serving.driver import GatewayDriver
from yokesill.serving.findings import Findings
from yokesill.serving.process import GatewayProcess
from yokesill.serving.reachability import Reachability
from yokesill.serving.rollout_recorder import RolloutRecorder
from yokesill.timers import Timers
from yokesill.upstreams import server_client
from yokesill.verdict import Failure, Verdict

FAILURE_DELAY_S = 0.1
PARTS: dict[str, tuple[type, str]] = {
    "feed_servers": (FeedFollower, "run"),
    "presence": (NodePresence, "run"),
    "findings": (Findings, "run"),
    "reachability": (Reachability, "run"),
    "logs": (GatewayProcess, "_flush_logs"),
}


class InjectedError(Exception):
    """Stands for a bug in a part."""


@pytest.fixture(autouse=True)
def _discard_log_output(monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    monkeypatch.setattr(LogOutput, "write", lambda _self, _line: None)
    yield


def fail_after_delay(method: Callable[..., Awaitable[None]]) -> Callable[..., Awaitable[None]]:
    async def broken(self: Any) -> None:
        with anyio.move_on_after(FAILURE_DELAY_S):
            await method(self)
        raise InjectedError

    return broken


@pytest.mark.part_failures
@pytest.mark.parametrize("part", PARTS)
def test_stop_answers_requests_in_flight_after_any_part_failed(
    part: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    owner, name = PARTS[part]
    monkeypatch.setattr(owner, name, fail_after_delay(getattr(owner, name)))

    async def main(node: Node) -> None:
        await node.wait_until(node.ready)
        await anyio.sleep(2 * FAILURE_DELAY_S)
        assert node.process.node.supervisor.failures[part] >= 1
        assert node.process.node.metrics.decisions["part_failed"] >= 1
        node.backend.open.clear()
        answers: list[bytes] = []

        async def send_request() -> None:
            answers.append(await node.get())

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send_request)
            await anyio.sleep(0.1)
            node.process.stop()
            await anyio.sleep(0.2)
            node.backend.open.set()
        assert answers[0].startswith(b"HTTP/1.1 200")

    run_with_node(main)


@pytest.mark.part_failures
def test_peer_bootstrap_that_fails_is_restarted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(PeerBootstrap, "run", fail_after_delay(PeerBootstrap.run))

    async def main(node: Node) -> None:
        with anyio.fail_after(5.0):
            while node.process.node.supervisor.failures["bootstrap"] < 2:
                await anyio.sleep(0.02)

    run_with_node(main, has_configuration=False)


@pytest.mark.part_failures
def test_bug_in_opening_a_connection_fails_only_its_attempt(monkeypatch: pytest.MonkeyPatch) -> None:
    open_connection, remaining_failures = server_client.open_connection, 1

    async def broken(*arguments: Any) -> Any:
        nonlocal remaining_failures
        if remaining_failures:
            remaining_failures -= 1
            raise InjectedError
        return await open_connection(*arguments)

    monkeypatch.setattr(server_client, "open_connection", broken)

    async def main(node: Node) -> None:
        await node.wait_until(node.ready)
        answers = [await node.get() for _ in range(3)]
        assert answers[-1].startswith(b"HTTP/1.1 200")
        assert node.process.node.supervisor.failures == {"connections": 1}
        assert not node.process.node.router.in_flight

    run_with_node(main)


def test_bug_in_handling_a_request_fails_only_that_request(monkeypatch: pytest.MonkeyPatch) -> None:
    execute = GatewayDriver.execute

    async def broken(self: GatewayDriver, request: GatewayRequest) -> Any:
        if request.path.endswith("/bad"):
            raise InjectedError
        return await execute(self, request)

    monkeypatch.setattr(GatewayDriver, "execute", broken)

    async def main(node: Node) -> None:
        await node.wait_until(node.ready)
        answers = [await node.get(f"/one/{path}") for path in ("good", "bad", "good")]
        assert [each.split(b" ")[1] for each in answers] == [b"200", b"500", b"200"]

    run_with_node(main)


@pytest.mark.part_failures
def test_bug_in_a_timer_does_not_stop_other_timers() -> None:
    fired: list[int] = []

    def fire(number: int) -> None:
        if number == 1:
            raise InjectedError
        fired.append(number)

    async def main() -> None:
        timers: Timers[int] = Timers(fire)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(timers.run)
            for number in range(3):
                timers.set(anyio.current_time() + 0.01 * (number + 1), number)
            await anyio.sleep(0.1)
            tasks.cancel_scope.cancel()

    anyio.run(main)
    assert fired == [0, 2]


class _Decider:
    def __init__(self) -> None:
        self.outcomes: list[Any] = []

    def write_ended(self, _order: Any, outcome: Any, _now: float) -> None:
        self.outcomes.append(outcome)


class _BrokenRecords:
    async def record(self, _order: Any) -> Any:
        raise InjectedError


@pytest.mark.part_failures
def test_decider_gets_the_outcome_of_a_write_that_failed_by_a_bug() -> None:
    """Until it gets the outcome, the decider writes no other record of that order."""
    decider = _Decider()
    recorder = RolloutRecorder(decider, _BrokenRecords(), lambda: True, lambda: None, None)  # type: ignore[arg-type]

    async def main() -> None:
        with pytest.raises(InjectedError):
            await recorder._record(None)  # type: ignore[arg-type]

    anyio.run(main)
    (outcome,) = decider.outcomes
    assert isinstance(outcome, Failure) and outcome.verdict is Verdict.MAY_HAVE_RUN

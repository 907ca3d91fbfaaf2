"""Nodes learn which versions serve from the record or from one another, and one of them writes it for all."""

import random
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import pytest
from conftest import run_virtual

from yokesill.gateway import events as ev
from yokesill.positions import Position
from yokesill.registry.feeds import NodeContact, StoredVersions, VersionRecords
from yokesill.registry.version_settlement import (
    CALL_TIMEOUT_S,
    MAX_PAUSE_S,
    TURN_S,
    WRITE_SPREAD_S,
    VersionSettlement,
)
from yokesill.rollouts.orders import OrderId, RolloutState
from yokesill.rollouts.version_record import RecordedVersions, decode_record, encode_record
from yokesill.rollouts.versions import ServiceVersions
from yokesill.serving.settings import Address
from yokesill.verdict import Failure, Reason, Verdict

GRACE_S, STALE_S = 2.0, 3.0
# A read at full price costs one, a stale one a tenth.
STALE_PRICE = 0.1
SILENT = Failure(Reason.TIMED_OUT, Verdict.MAY_HAVE_RUN, "no answer")


class Records(VersionRecords):
    """The registry's record in memory; ``mode`` is ``up``, ``silent`` or ``failing``; stale reads are old."""

    def __init__(self) -> None:
        self.revision, self.value = 0, None
        self.mode = "up"
        self.writes = 0
        self.price = 0.0
        self._past: list[tuple[float, StoredVersions]] = []

    def stored(self) -> StoredVersions:
        return StoredVersions(Position(0, self.revision) if self.revision else None, self.value)

    def set(self, value: Any) -> None:
        self._past.append((anyio.current_time(), self.stored()))
        self.revision, self.value = self.revision + 1, value

    def services(self) -> dict[str, RecordedVersions]:
        return dict(decode_record(self.value))

    async def read(self, stale: bool) -> StoredVersions | Failure:
        self.price += STALE_PRICE if stale else 1.0
        if self.mode == "silent":
            await anyio.sleep(CALL_TIMEOUT_S * 4)
        if self.mode != "up":
            return SILENT
        since_s = anyio.current_time() - STALE_S
        recent = [before for at_s, before in self._past if at_s > since_s]
        return recent[0] if stale and recent else self.stored()

    async def write(self, before: StoredVersions, value: Any) -> Failure | None:
        self.price += 1.0
        if self.mode != "up":
            return SILENT
        if before.position == self.stored().position:
            self.writes += 1
            self.set(value)
        return None


class Node:
    """One node's versions and settlement; ``stopped`` nodes answer nobody."""

    def __init__(self, fleet: "Fleet", number: int, *listed: str) -> None:
        self.fleet, self.address = fleet, Address("10.0.0.1", number)
        self.stopped = False
        self.asked = 0
        self.versions = ServiceVersions(True, GRACE_S)
        if listed:
            self.set_listed(*listed)
        source = random.Random(number)
        seeds = (self.address, Address("10.0.0.1", 1))
        self.settlement = VersionSettlement(
            self.versions, fleet.records, self._fetch, self._apply, lambda: True, self.address, seeds, source
        )

    def set_listed(self, *listed: str) -> None:
        self.versions.set_listed("s", dict.fromkeys(listed, 1), listed, anyio.current_time())

    def serving(self) -> set[str]:
        return set(self.versions.allowed("s", False, anyio.current_time()))

    async def _fetch(self, address: Address, _timeout_s: float) -> tuple[ev.Event, ...]:
        assert address != self.address
        self.asked += 1
        other = next(each for each in self.fleet.nodes if each.address == address)
        if other.stopped:
            await anyio.sleep_forever()
        return (ev.VersionsEstablished(other.versions.established()),)

    def _apply(self, event: ev.Event) -> None:
        if isinstance(event, ev.VersionsEstablished):
            self.versions.adopt_established(event.versions)
        elif isinstance(event, ev.VersionsRecorded):
            self.versions.adopt_recorded(event.services)


class Fleet:
    """Nodes that share a record."""

    def __init__(self, tasks: anyio.abc.TaskGroup) -> None:
        self.tasks = tasks
        self.records = Records()
        self.nodes: list[Node] = []

    async def start(self, *listed: str) -> Node:
        """Start a node that lists servers of some versions, the oldest first."""
        node = Node(self, 1 + len(self.nodes), *listed)
        self.nodes.append(node)
        for each in self.nodes:
            others = [other for other in self.nodes if other is not each]
            each.settlement.set_nodes(
                NodeContact(f"n{other.address.port}", peers=str(other.address)) for other in others
            )
        await node.settlement.settle()
        self.tasks.start_soon(node.settlement.run)
        return node


def run_fleet(main: Callable[[Fleet], Awaitable[None]]) -> None:
    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            await main(Fleet(tasks))
            tasks.cancel_scope.cancel()

    run_virtual(run)


WRITTEN_S = TURN_S + WRITE_SPREAD_S + 0.1


def test_one_of_many_nodes_records_what_all_know() -> None:
    async def main(fleet: Fleet) -> None:
        for _ in range(14):
            await fleet.start("v1")
        await anyio.sleep(60.0)
        assert fleet.records.services() == {"s": RecordedVersions(("v1",))}
        assert fleet.records.writes == 1
        # Each node reads at its start, after its spread and once more; only those that were misled by the
        # age of a stale read ask exactly.
        assert fleet.records.price <= 14 * (1 + 5 * STALE_PRICE) + 1

    run_fleet(main)


def test_nothing_is_asked_or_written_while_nothing_changes() -> None:
    async def main(fleet: Fleet) -> None:
        await fleet.start("v1")
        await anyio.sleep(30.0)
        before = fleet.records.price
        await anyio.sleep(600.0)
        assert fleet.records.price == before

    run_fleet(main)


@pytest.mark.parametrize("listed", [("v1", "v2"), ("v2", "v1"), ("v2",)])
# Guards against: what nodes know is lost with all of them.
def test_start_of_all_nodes_finds_the_record(listed: tuple[str, ...]) -> None:
    async def main(fleet: Fleet) -> None:
        fleet.records.set(encode_record({"s": RecordedVersions(("v1",))}))
        await anyio.sleep(2 * STALE_S)
        for _ in range(3):
            node = await fleet.start(*listed)
            node.set_listed("v2", "v1")
            assert node.serving() == {"v1"}

    run_fleet(main)


@pytest.mark.parametrize("down_s", [0.5, 4.0, 12.0])
@pytest.mark.parametrize("mode", ["silent", "failing"])
# Guards against: a guess that stands until the next start.
def test_guess_is_given_up_once_the_record_can_be_read(mode: str, down_s: float) -> None:
    async def main(fleet: Fleet) -> None:
        fleet.records.set(encode_record({"s": RecordedVersions(("v1",))}))
        await anyio.sleep(2 * STALE_S)
        fleet.records.mode = mode
        node = await fleet.start("v2", "v1")
        assert node.serving() == {"v2"}
        await anyio.sleep(down_s)
        fleet.records.mode = "up"
        await anyio.sleep(MAX_PAUSE_S + 4 * CALL_TIMEOUT_S + 0.1)
        assert node.serving() == {"v1"}

    run_fleet(main)


@pytest.mark.parametrize("stopped_s", [0.5, 4.0, 12.0])
def test_guess_is_given_up_once_another_node_can_tell(stopped_s: float) -> None:
    async def main(fleet: Fleet) -> None:
        fleet.records.mode = "failing"
        knowing = await fleet.start("v1")
        knowing.set_listed("v2", "v1")
        knowing.stopped = True
        node = await fleet.start("v2", "v1")
        await anyio.sleep(stopped_s)
        assert node.serving() == {"v2"}
        knowing.stopped = False
        await anyio.sleep(MAX_PAUSE_S + 4 * CALL_TIMEOUT_S + 0.1)
        assert node.serving() == {"v1"}

    run_fleet(main)


# Guards against: a node is among its own seeds, and every other question went to itself.
def test_node_asks_others_only() -> None:
    async def main(fleet: Fleet) -> None:
        fleet.records.mode = "failing"
        knowing = await fleet.start("v1")
        knowing.set_listed("v2", "v1")
        for _ in range(10):
            knowing.stopped = True
            node = await fleet.start("v2", "v1")
            knowing.stopped = False
            others = [each for each in fleet.nodes if each not in (knowing, node)]
            for each in others:
                each.stopped = True
            node.settlement.set_nodes([])
            await anyio.sleep(TURN_S + CALL_TIMEOUT_S)
            assert node.serving() == {"v1"}

    run_fleet(main)


def test_questions_become_rare_while_nobody_knows() -> None:
    async def main(fleet: Fleet) -> None:
        nodes = [await fleet.start("v2", "v1") for _ in range(3)]
        await anyio.sleep(600.0)
        assert all(node.asked <= 600.0 / MAX_PAUSE_S + 5 for node in nodes)

    run_fleet(main)


def test_completed_order_is_recorded_and_outweighs_a_node_that_missed_it() -> None:
    async def main(fleet: Fleet) -> None:
        node, other = await fleet.start("v1"), await fleet.start("v1")
        await anyio.sleep(WRITTEN_S + STALE_S)
        node.set_listed("v1", "v2")
        node.versions.set_state(OrderId("s", 5, "v2"), RolloutState.COMPLETED)
        await anyio.sleep(2 * WRITTEN_S + STALE_S)
        assert fleet.records.services() == {"s": RecordedVersions(("v2",), Position(0, 5))}
        other.settlement.record_again()
        await anyio.sleep(2 * WRITTEN_S + STALE_S)
        assert fleet.records.services() == {"s": RecordedVersions(("v2",), Position(0, 5))}

    run_fleet(main)


def test_record_that_a_restored_registry_lost_is_written_again() -> None:
    async def main(fleet: Fleet) -> None:
        node = await fleet.start("v1")
        await anyio.sleep(WRITTEN_S + STALE_S)
        fleet.records.set(None)
        node.settlement.record_again()
        await anyio.sleep(2 * WRITTEN_S + STALE_S)
        assert fleet.records.services() == {"s": RecordedVersions(("v1",))}

    run_fleet(main)


def test_record_of_a_service_survives_a_write_for_another_one() -> None:
    async def main(fleet: Fleet) -> None:
        fleet.records.set(encode_record({"s": RecordedVersions(("v0",))}))
        await anyio.sleep(2 * STALE_S)
        node = await fleet.start("v1", "v0")
        node.versions.set_listed("t", {"w1": 1}, ("w1",), anyio.current_time())
        await anyio.sleep(2 * WRITTEN_S + STALE_S)
        assert fleet.records.services() == {"s": RecordedVersions(("v0",)), "t": RecordedVersions(("w1",))}

    run_fleet(main)

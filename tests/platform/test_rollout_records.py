"""Roll-out orders in the platform's store, and conditional writes of their records."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import pytest
from conftest import run_virtual
from memory_servers import MemoryServer
from store_standin import StoreStandin
from test_reading import SETTINGS

from yokesill.gateway.events import Event, RolloutOrdered, RolloutsReplaced, RolloutWithdrawn
from yokesill.platform.documents import read_server
from yokesill.platform.rollouts import StoredRollouts, read_order, rollout_feed
from yokesill.platform.settings import parse_settings
from yokesill.platform.store import MetadataStore, StoredItem
from yokesill.positions import Position
from yokesill.registry.api_client import ApiClient
from yokesill.registry.feed_states import changes_from_wire, changes_to_wire, decode_state, encode_state
from yokesill.registry.feeds import Batch, RevisionConflict
from yokesill.rollouts.orders import RolloutLimits, RolloutOrder, RolloutState
from yokesill.serving.settings import Address, GatewaySettings
from yokesill.verdict import Failure, Verdict

ORDERED, CANARY, SWITCHING, COMPLETED, ROLLED_BACK = RolloutState
KIND = "rollouts"
SPEC = {"service": "s1", "targetVersion": "v2", "durationS": 12}


def read_stored_order(spec: Any = SPEC, status: Any = None) -> RolloutOrder:
    return read_order(StoredItem("s1", 9, spec, False, 5, status))


def with_store(main: Callable[[StoreStandin, MetadataStore], Awaitable[None]]) -> None:
    async def run() -> None:
        standin = StoreStandin(revision=4)
        standin.put(KIND, "s1", SPEC)
        async with anyio.create_task_group() as tasks:
            server = MemoryServer(standin.script, tasks)
            await main(standin, MetadataStore(ApiClient(Address("10.0.0.1", 80), server.connect)))
            tasks.cancel_scope.cancel()

    run_virtual(run)


# --- reading ---


def test_order_is_read() -> None:
    assert read_stored_order() == RolloutOrder("s1", "v2", 12.0, 5, 9)


@pytest.mark.parametrize(
    ("status", "state"),
    [
        ({"state": "in_progress"}, CANARY),
        ({"state": "in_progress", "stage": "switching"}, SWITCHING),
        ({"state": "in_progress", "stage": "completed"}, CANARY),
        ({"state": "completed", "stage": "canary"}, COMPLETED),
        ({"state": "rolled_back"}, ROLLED_BACK),
        ({"state": "unheard-of"}, ORDERED),
        ({"state": ["completed"]}, ORDERED),
        ({}, ORDERED),
        (None, ORDERED),
        ("completed", ORDERED),
    ],
)
def test_state_of_an_order_is_read_from_its_record(status: Any, state: RolloutState) -> None:
    if isinstance(status, dict):
        status = {"targetVersion": "v2", "elapsedMs": 700, "reason": "why", **status}
    order = read_stored_order(status=status)
    known = (0.7, "why") if state is not ORDERED else (0.0, "")
    assert (order.state, order.elapsed_s, order.reason) == (state, *known)


def test_record_of_another_version_is_ignored() -> None:
    old = {"state": "completed", "targetVersion": "v1", "elapsedMs": 700, "reason": "why"}
    assert read_stored_order(status=old) == read_stored_order()


@pytest.mark.parametrize(
    ("spec", "problem"),
    [
        (None, "rollouts.s1: a table is needed"),
        ([], "rollouts.s1: a table is needed"),
        ({}, "rollouts.s1.targetVersion: is missing"),
        ({**SPEC, "targetVersion": None}, "rollouts.s1.targetVersion: a text is needed"),
        ({**SPEC, "durationS": "soon"}, "rollouts.s1.durationS: a number is needed"),
        ({**SPEC, "durationS": 0}, "rollouts.s1.durationS: a time above 0 is needed"),
        ({**SPEC, "durationS": float("nan")}, "rollouts.s1.durationS: a number up to 1e+15 is needed"),
        ({**SPEC, "service": "s2"}, "rollouts.s1.service: is 's2'"),
        ({"targetVersion": "v2", "durationS": 12}, "rollouts.s1.service: is missing"),
    ],
)
def test_malformed_order_reports_the_problem_and_its_place(spec: Any, problem: str) -> None:
    order = read_stored_order(spec)
    assert (order.service, order.created_revision, order.revision) == ("s1", 5, 9)
    assert order.problem.startswith(problem)


@pytest.mark.parametrize(("written", "read"), [(9, "9"), ("9", "9"), ("v2.1", "v2.1")])
def test_version_is_recorded_in_the_form_of_the_order(written: Any, read: str) -> None:
    async def main(standin: StoreStandin, store: MetadataStore) -> None:
        standin.put(KIND, "s1", {**SPEC, "targetVersion": written})
        batch = await rollout_feed(store).list()
        assert isinstance(batch, Batch)
        (event,) = batch.events
        assert isinstance(event, RolloutsReplaced)
        (order,) = event.orders
        assert order.target == read
        recorded = await StoredRollouts(store).record(order._replace(state=CANARY))
        assert isinstance(recorded, RolloutOrder)
        status = standin.objects[(KIND, "s1")]["status"]
        assert (status["targetVersion"], recorded.state) == (written, CANARY)

    with_store(main)


def test_server_entry_contains_its_version() -> None:
    spec = {"service": "s1", "address": "10.0.0.9:80"}
    versions = [read_server("i", {**spec, **extra}).version for extra in ({}, {"configVersion": 9})]
    assert versions == ["", "9"]


# --- the feed ---


def test_orders_records_and_withdrawals_are_emitted_as_events() -> None:
    async def main(standin: StoreStandin, store: MetadataStore) -> None:
        feed = rollout_feed(store)
        first = await feed.list()
        assert isinstance(first, Batch)
        assert first == Batch(Position(0, 5), (RolloutsReplaced((RolloutOrder("s1", "v2", 12.0, 5, 5),)),))
        standin.put_status(KIND, "s1", {"state": "completed", "targetVersion": "v2"})
        standin.put(KIND, "s2", {})
        standin.remove(KIND, "s2")
        batch = await feed.changes(first.position, 0.1)
        assert isinstance(batch, Batch)
        order = RolloutOrder("s1", "v2", 12.0, 5, 6, COMPLETED)
        assert batch.events == (RolloutOrdered(order), RolloutWithdrawn("s2"))

    with_store(main)


def test_orders_survive_encoding_for_peers_unchanged() -> None:
    order = RolloutOrder("s1", "9", 12.5, 5, 9, SWITCHING, 0.75, "why", "what is wrong", True)
    events: tuple[Event, ...] = (RolloutOrdered(order), RolloutWithdrawn("s2"))
    assert changes_from_wire(changes_to_wire(events) or ()) == events
    whole = RolloutsReplaced((order, read_stored_order()))
    assert decode_state(encode_state(whole, Position(0, 12))) == Batch(Position(0, 12), (whole,))


@pytest.mark.parametrize("item", [["ordered", []], ["ordered", ["s1"] * 10], ["withdrawn", 5], ["ordered"]])
def test_malformed_change_of_an_order_is_rejected(item: Any) -> None:
    with pytest.raises(ValueError, match=r"malformed|order"):
        changes_from_wire([item])


# --- the record ---


def test_record_is_written_with_the_platforms_fields() -> None:
    async def main(standin: StoreStandin, store: MetadataStore) -> None:
        order = RolloutOrder("s1", "v2", 12.0, 5, 5)
        records = StoredRollouts(store)
        for state in (CANARY, SWITCHING, ROLLED_BACK):
            written_order = await records.record(order._replace(state=state, elapsed_s=0.7123, reason="why"))
            assert written_order == order._replace(
                state=state, elapsed_s=0.712, reason="why", revision=order.revision + 1
            )
            assert isinstance(written_order, RolloutOrder)
            order = written_order
            platform_state = "rolled_back" if state is ROLLED_BACK else "in_progress"
            status = {"state": platform_state, "targetVersion": "v2", "stage": state.value}
            expected = {**status, "elapsedMs": 712, "reason": "why"}
            assert standin.objects[(KIND, "s1")]["status"] == expected
        assert standin.objects[(KIND, "s1")]["spec"] == SPEC

    with_store(main)


def test_record_contains_the_wall_clock_time_of_its_order() -> None:
    async def main(standin: StoreStandin, store: MetadataStore) -> None:
        times = iter([1000.7, 1003.0, 1006.2])
        records = StoredRollouts(store, lambda: next(times))
        order = RolloutOrder("s1", "v2", 12.0, 5, 5, CANARY, 0.7)
        written_order = await records.record(order)
        assert standin.objects[(KIND, "s1")]["status"]["orderedAtMs"] == 1_000_000
        assert isinstance(written_order, RolloutOrder) and written_order.elapsed_s == 3.0
        batch = await rollout_feed(store, lambda: next(times)).list()
        assert isinstance(batch, Batch) and isinstance(batch.events[0], RolloutsReplaced)
        assert [each.elapsed_s for each in batch.events[0].orders] == [6.2]

    with_store(main)


@pytest.mark.parametrize("ordered_at_ms", [1_000_100, None, "soon", 1e400, -(10**300), [1_000_000]])
def test_invalid_wall_clock_time_is_ignored(ordered_at_ms: Any) -> None:
    status = {"state": "in_progress", "targetVersion": "v2", "elapsedMs": 700, "orderedAtMs": ordered_at_ms}
    item = StoredItem("s1", 9, SPEC, created_revision=5, status=status)
    assert read_order(item, lambda: 1000.0).elapsed_s == 0.7


def test_outdated_record_is_not_written() -> None:
    async def main(standin: StoreStandin, store: MetadataStore) -> None:
        standin.put_status(KIND, "s1", {"state": "rolled_back", "targetVersion": "v2"})
        late = RolloutOrder("s1", "v2", 12.0, 5, 5, COMPLETED)
        recorded = RolloutOrder("s1", "v2", 12.0, 5, 6, ROLLED_BACK)
        assert await StoredRollouts(store).record(late) == RevisionConflict(recorded)
        assert standin.objects[(KIND, "s1")]["status"]["state"] == "rolled_back"

    with_store(main)


def test_record_of_a_removed_order_is_not_written() -> None:
    async def main(standin: StoreStandin, store: MetadataStore) -> None:
        standin.remove(KIND, "s1")
        late = RolloutOrder("s1", "v2", 12.0, 5, 5, CANARY)
        assert await StoredRollouts(store).record(late) == RevisionConflict(None)

    with_store(main)


@pytest.mark.parametrize(
    ("mode", "verdict"),
    [("busy", Verdict.NOT_RUN), ("throttled", Verdict.NOT_RUN), ("silent", Verdict.MAY_HAVE_RUN)],
)
def test_write_to_a_failing_store_is_a_failure_with_a_verdict(mode: str, verdict: Verdict) -> None:
    async def main(standin: StoreStandin, store: MetadataStore) -> None:
        standin.mode = mode
        failure = await StoredRollouts(store).record(RolloutOrder("s1", "v2", 12.0, 5, 5, CANARY))
        assert isinstance(failure, Failure)
        assert failure.verdict is verdict

    with_store(main)


def test_retry_after_a_lost_answer_finds_the_written_record() -> None:
    async def main(standin: StoreStandin, store: MetadataStore) -> None:
        standin.lose_answers = 1
        order = RolloutOrder("s1", "v2", 12.0, 5, 5, COMPLETED)
        failure = await StoredRollouts(store).record(order)
        assert isinstance(failure, Failure)
        assert failure.verdict is Verdict.MAY_HAVE_RUN
        assert await StoredRollouts(store).record(order) == RevisionConflict(order._replace(revision=6))

    with_store(main)


# --- settings ---


@pytest.mark.parametrize(
    ("contracts", "bounds", "limits"),
    [
        ('["base"]', "canaryShare = 0.2", None),
        ('["base", "rollout"]', "", RolloutLimits()),
        (
            '["rollout"]',
            "canaryShare = 0.2\ncanarySlack = 30\nrollbackMs = 4000",
            RolloutLimits(0.2, 30.0, 4.0),
        ),
    ],
)
def test_roll_outs_are_followed_if_the_contracts_name_them(
    contracts: str, bounds: str, limits: RolloutLimits | None
) -> None:
    text = f"contracts = {contracts}\n" + SETTINGS.replace("[bounds]", f"[bounds]\n{bounds}")
    settings = parse_settings(text)
    assert isinstance(settings, GatewaySettings)
    assert settings.rollouts == limits


def test_record_read_before_a_restore_is_not_written() -> None:
    async def main(standin: StoreStandin, store: MetadataStore) -> None:
        older = standin.take_copy()
        standin.timeline = 1
        feed = rollout_feed(store)
        await feed.list()
        late = RolloutOrder("s1", "v2", 12.0, 5, 5, COMPLETED, timeline=1)
        standin.restore(older)
        batch = await feed.list()
        failure = await StoredRollouts(store).record(late)
        assert isinstance(failure, Failure)
        assert failure.verdict is Verdict.NOT_RUN
        assert standin.objects[(KIND, "s1")]["status"] is None
        assert isinstance(batch, Batch)
        (event,) = batch.events
        assert event == RolloutsReplaced((late._replace(state=ORDERED, timeline=2),))

    with_store(main)

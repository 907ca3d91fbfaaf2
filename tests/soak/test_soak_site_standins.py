"""A site's clients choose nodes as its platform does; its servers leave as the sheet says."""

import asyncio
from pathlib import Path
from typing import Any

import pytest

from soak.fleet import Fleet, FleetTerms, Place
from soak.sheet import read_sheet
from soak.site_callers import RETRY_AFTER_S, SiteCallers, retry_wait_s
from soak.site_layout import SiteLayout
from soak.standin import EventLog, HttpMessage
from soak.store import CallRate, StoreTerms

LAYOUT = SiteLayout(read_sheet(Path(__file__).with_name("small_site.toml")), net=78)
ROOM, ARCHIVE = "reading-room", "archive"
ROOM_NODES, ARCHIVE_NODE, SPARE = {0, 1}, 2, 3
CLIENTS = [f"{ROOM}/{number}" for number in range(40)]


class RecordedFleet(Fleet):
    """A fleet whose calls of the store are recorded and succeed."""

    def __init__(self, abrupt_share: float, folder: Path) -> None:
        self.calls: list[tuple[str, Any]] = []
        terms = FleetTerms(("127.0.0.1", 9), 0.0, 3600.0, abrupt_share)
        address = LAYOUT.address(40, 200)
        super().__init__({0: Place(address, address, ROOM)}, terms, EventLog(folder / "events.jsonl"), 1)

    async def _call_store(self, method: str, instance: str, body: Any) -> bool:
        self.calls.append((method, body and body["spec"]["state"]))
        return True


def callers(tmp_path: Path, ready: set[int]) -> SiteCallers:
    """Return clients to which only some nodes are ready."""
    found = SiteCallers(LAYOUT, LAYOUT.site.traffic, 1.0, EventLog(tmp_path / "events.jsonl"), 1)
    for node in ready:
        found.note_readiness(node, is_ready=True)
    return found


def chosen(clients: SiteCallers, zone: str) -> set[int]:
    return {clients.choose_node(zone, client, attempt=0) for client in CLIENTS}


# Guards against: clients of nodes that are out, and spare nodes with clients before they have joined.
@pytest.mark.parametrize(
    ("ready", "expected"),
    [
        ({0, 1, 2}, ROOM_NODES),
        ({0, 1, 2, SPARE}, ROOM_NODES | {SPARE}),
        ({0, 2}, {0}),
        ({ARCHIVE_NODE}, {ARCHIVE_NODE}),
        ({SPARE}, {0, 1, SPARE}),
        (set(), ROOM_NODES),
    ],
)
def test_clients_use_the_ready_nodes_of_their_zone(
    tmp_path: Path, ready: set[int], expected: set[int]
) -> None:
    assert chosen(callers(tmp_path, ready), ROOM) == expected


# Guards against: repeats that go to the node that has just failed.
def test_each_attempt_goes_to_another_node(tmp_path: Path) -> None:
    clients = callers(tmp_path, {0, 1, 2})
    assert {clients.choose_node(ROOM, CLIENTS[0], attempt) for attempt in (0, 1)} == ROOM_NODES


# Guards against: traffic that moves too much, or not back.
def test_share_of_a_zones_traffic_moves_while_it_is_told_so(tmp_path: Path) -> None:
    clients = callers(tmp_path, {0, 1, 2})
    clients.apply_command({"shift": 0.5, "from": ARCHIVE, "to": ROOM})
    assert {clients.entry_zone(ARCHIVE) for _ in range(50)} == {ARCHIVE, ROOM}
    assert {clients.entry_zone(ROOM) for _ in range(50)} == {ROOM}
    clients.apply_command({"shift": 0.0, "from": ARCHIVE, "to": ROOM})
    assert {clients.entry_zone(ARCHIVE) for _ in range(50)} == {ARCHIVE}


# Guards against: clients that wait longer than they may, or fail on a header that is no number.
@pytest.mark.parametrize(
    ("told", "left_s", "waits_s"),
    [("0.5", 3.0, 0.5), ("9", 3.0, 1.0), ("soon", 3.0, RETRY_AFTER_S), ("", 3.0, RETRY_AFTER_S)],
)
def test_clients_wait_as_told_within_a_third_of_their_time(told: str, left_s: float, waits_s: float) -> None:
    answer = HttpMessage(("HTTP/1.1", "503", "X"), {"retry-after": told}, b"")
    assert retry_wait_s(answer, left_s) == waits_s


# Guards against: servers that all state their leaving although the sheet has some that don't, or the reverse.
@pytest.mark.parametrize(
    ("abrupt_share", "expected"),
    [(0.0, [("PUT", "draining"), ("DELETE", None)]), (1.0, [("DELETE", None), ("DELETE", None)])],
)
def test_leaving_server_states_it_unless_it_leaves_abruptly(
    tmp_path: Path, abrupt_share: float, expected: list[tuple[str, Any]]
) -> None:
    async def scenario() -> list[tuple[str, Any]]:
        fleet = RecordedFleet(abrupt_share, tmp_path)
        await fleet.start(0, "loans")
        await asyncio.sleep(0)
        fleet.calls.clear()
        await fleet.drain(0)
        assert fleet.servers == {}
        return fleet.calls

    assert asyncio.run(scenario()) == expected


# Guards against: a store that bears any rate of calls.
def test_calls_above_the_rate_are_refused_within_a_second(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("soak.store.time.monotonic", lambda: 7.5)
    rate = CallRate(StoreTerms(writes_per_s=2.0).writes_per_s)
    assert [rate.admits() for _ in range(3)] == [True, True, False]
    monkeypatch.setattr("soak.store.time.monotonic", lambda: 8.0)
    assert rate.admits()
    assert all(CallRate(0.0).admits() for _ in range(10))

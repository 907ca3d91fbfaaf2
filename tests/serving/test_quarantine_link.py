"""A node's record of requests that end servers: written until it stands, and lifted after its time."""

import random

import anyio
from conftest import run_virtual

from yokesill.gateway import events as ev
from yokesill.gateway.crash_tracker import CrashTracker
from yokesill.peers.dissemination import Peer
from yokesill.quarantine.detector import QuarantineStatus
from yokesill.quarantine.exchange import QuarantineExchange
from yokesill.registry.feeds import QuarantineRecords
from yokesill.serving.quarantine_link import LIFT_CHECK_S, RECORD_KEPT_S, QuarantineLink
from yokesill.verdict import Failure, Reason, Verdict

DOWN = Failure(Reason.CONNECT_FAILED, Verdict.NOT_RUN, "down")
FOUND = ev.QuarantineStatusDecided("00ff", QuarantineStatus.QUARANTINED)


class Records(QuarantineRecords):
    """Takes nothing for the first ``refused`` calls."""

    def __init__(self, refused: int = 0) -> None:
        self.refused = refused
        self.calls: list[str] = []

    async def record(self, fingerprint: str) -> Failure | None:
        return self._take(f"record {fingerprint}")

    async def lift(self, fingerprint: str) -> Failure | None:
        return self._take(f"lift {fingerprint}")

    def _take(self, call: str) -> Failure | None:
        self.calls.append(call)
        self.refused -= 1
        return DOWN if self.refused >= 0 else None


def with_link(
    records: Records, finding: ev.QuarantineStatusDecided, for_s: float, recorded: frozenset[str]
) -> None:
    """Let a node find something, with what the registry records already, and wait."""

    async def main() -> None:
        crashes = CrashTracker()
        crashes.record(recorded, [])
        exchange = QuarantineExchange(Peer("n1", "10.0.0.1:7", "z1"), random.Random(1))
        link = QuarantineLink(exchange, crashes, lambda _event: None, records, random.Random(1), lambda: None)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(link.run)
            link.on_finding(finding)
            await anyio.sleep(for_s)
            tasks.cancel_scope.cancel()

    run_virtual(main)


def test_what_is_found_is_recorded_as_often_as_it_takes_and_once() -> None:
    records = Records(refused=4)
    with_link(records, FOUND, 30.0, frozenset())
    assert records.calls == ["record 00ff"] * 5


def test_what_others_have_recorded_and_what_is_only_suspected_needs_no_call() -> None:
    records = Records()
    with_link(records, FOUND, 30.0, frozenset({"00ff"}))
    with_link(records, FOUND._replace(status=QuarantineStatus.SUSPECTED), 30.0, frozenset())
    assert records.calls == []


def test_a_record_is_lifted_after_its_time() -> None:
    records = Records()
    with_link(records, FOUND, RECORD_KEPT_S - LIFT_CHECK_S, frozenset({"00ff"}))
    assert records.calls == []
    with_link(records, FOUND, RECORD_KEPT_S + 4 * LIFT_CHECK_S, frozenset({"00ff"}))
    assert set(records.calls) == {"lift 00ff"}


def test_what_a_restored_registry_may_have_lost_is_recorded_again_by_its_owners() -> None:
    records = Records(refused=2)

    async def main() -> None:
        crashes = CrashTracker()
        crashes.record(frozenset({"00ff", "11ee"}), [])
        exchange = QuarantineExchange(Peer("n1", "10.0.0.1:7", "z1"), random.Random(1))
        link = QuarantineLink(exchange, crashes, lambda _event: None, records, random.Random(1), lambda: None)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(link.run)
            link.record_again()
            await anyio.sleep(5.0)
            tasks.cancel_scope.cancel()

    run_virtual(main)
    assert sorted(set(records.calls)) == ["record 00ff", "record 11ee"]
    assert len(records.calls) == 4

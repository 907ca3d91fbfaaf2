"""Registry records of quarantined requests: written with retries, and lifted after their time."""

import random

import anyio
from conftest import run_virtual

from yokesill.gateway import events as ev
from yokesill.gateway.crash_tracker import CrashTracker
from yokesill.peers.dissemination import Peer
from yokesill.quarantine.detector import QuarantineStatus
from yokesill.quarantine.exchange import QuarantineExchange
from yokesill.registry.feeds import QuarantineRecords
from yokesill.serving.quarantine_link import EXPIRY_CHECK_INTERVAL_S, RECORD_TTL_S, QuarantineLink
from yokesill.verdict import Failure, Reason, Verdict

DOWN = Failure(Reason.CONNECT_FAILED, Verdict.NOT_RUN, "down")
FOUND = ev.QuarantineStatusDecided("00ff", QuarantineStatus.QUARANTINED)


class Records(QuarantineRecords):
    """Fails the first ``refused`` calls."""

    def __init__(self, refused: int = 0) -> None:
        self.refused = refused
        self.calls: list[str] = []

    async def record(self, fingerprint: str) -> Failure | None:
        return self._call(f"record {fingerprint}")

    async def lift(self, fingerprint: str) -> Failure | None:
        return self._call(f"lift {fingerprint}")

    def _call(self, call: str) -> Failure | None:
        self.calls.append(call)
        self.refused -= 1
        return DOWN if self.refused >= 0 else None


def run_link(
    records: Records, finding: ev.QuarantineStatusDecided, for_s: float, recorded: frozenset[str]
) -> None:
    """Run a link for ``for_s`` seconds after a finding, with some fingerprints already recorded."""

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


def test_quarantine_is_recorded_with_retries_until_the_first_success() -> None:
    records = Records(refused=4)
    run_link(records, FOUND, 30.0, frozenset())
    assert records.calls == ["record 00ff"] * 5


def test_recorded_quarantine_and_mere_suspicion_cause_no_call() -> None:
    records = Records()
    run_link(records, FOUND, 30.0, frozenset({"00ff"}))
    run_link(records, FOUND._replace(status=QuarantineStatus.SUSPECTED), 30.0, frozenset())
    assert records.calls == []


def test_record_is_lifted_after_its_time() -> None:
    records = Records()
    run_link(records, FOUND, RECORD_TTL_S - EXPIRY_CHECK_INTERVAL_S, frozenset({"00ff"}))
    assert records.calls == []
    run_link(records, FOUND, RECORD_TTL_S + 4 * EXPIRY_CHECK_INTERVAL_S, frozenset({"00ff"}))
    assert set(records.calls) == {"lift 00ff"}


def test_owners_record_quarantines_again_after_a_registry_restore() -> None:
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

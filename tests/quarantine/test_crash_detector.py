"""What servers that ended under a request make of it, and what clears it."""

import pytest

from yokesill.quarantine.detector import (
    EVIDENCE_S,
    LOST_TO_SUSPECT,
    MAX_RECORDS,
    UNRECORDED_S,
    CrashDetector,
    Loss,
    QuarantineStatus,
)

NAME = "00ff"


def suspected(judge: CrashDetector, now: float = 0.0) -> CrashDetector:
    for number in range(LOST_TO_SUSPECT):
        judge.record_loss(NAME, Loss(f"i-{number}", f"s-{number}"), now)
    assert judge.status(NAME, now) is QuarantineStatus.SUSPECTED
    return judge


def test_three_servers_make_it_suspected_and_two_trials_more_quarantined() -> None:
    judge = suspected(CrashDetector())
    assert judge.record_loss(NAME, Loss("i-7", "s-0", trial=True), 1.0) is None
    assert judge.record_loss(NAME, Loss("i-8", "s-0", trial=True), 2.0) is QuarantineStatus.QUARANTINED
    assert judge.quarantined == {NAME}


def test_one_trial_is_enough_after_twice_as_many_servers() -> None:
    judge = suspected(CrashDetector())
    for number in range(3, 5):
        assert judge.record_loss(NAME, Loss(f"i-{number}", f"s-{number}"), 0.0) is None
    assert judge.record_loss(NAME, Loss("i-7", "s-0", trial=True), 1.0) is QuarantineStatus.QUARANTINED


def test_the_same_server_told_by_two_nodes_counts_once() -> None:
    judge = CrashDetector()
    for _ in range(2 * LOST_TO_SUSPECT):
        judge.record_loss(NAME, Loss("i-1", "s-1"), 0.0)
    assert judge.status(NAME, 0.0) is QuarantineStatus.CLEAR


def test_a_trial_before_any_suspicion_counts_as_any_other_loss() -> None:
    judge = CrashDetector()
    for number in range(LOST_TO_SUSPECT):
        judge.record_loss(NAME, Loss(f"i-{number}", "s", trial=True), 0.0)
    assert judge.status(NAME, 0.0) is QuarantineStatus.SUSPECTED


def test_an_answer_clears_where_one_server_ended_and_one_in_a_trial_clears_all() -> None:
    judge = CrashDetector()
    judge.record_loss(NAME, Loss("i-0", "s-0"), 0.0)
    judge.record_loss(NAME, Loss("i-1", "s-1"), 0.0)
    assert judge.record_answer(NAME, "s-9", trial=False)
    assert len(judge) == 0
    judge.record_loss(NAME, Loss("i-1", "s-1"), 0.0)
    judge.record_loss(NAME, Loss("i-2", "s-1"), 0.0)
    assert not judge.record_answer(NAME, "s-9", trial=False)
    assert judge.record_loss(NAME, Loss("i-3", "s-2"), 0.0) is QuarantineStatus.SUSPECTED
    assert judge.record_answer(NAME, "s-3", trial=True)
    assert judge.status(NAME, 0.0) is QuarantineStatus.CLEAR
    assert len(judge) == 0


def test_a_request_that_ends_the_servers_of_one_shard_only_is_found_too() -> None:
    judge = CrashDetector()
    for number in range(2):
        judge.record_loss(NAME, Loss(f"i-{number}", "s-7"), 0.0)
    for service in ("s-1", "s-2"):
        assert not judge.record_answer(NAME, service, trial=False)
    judge.record_loss(NAME, Loss("i-3", "s-7"), 0.0)
    assert judge.status(NAME, 0.0) is QuarantineStatus.SUSPECTED
    assert judge.suspected_services(NAME) == {"s-7"}


def test_nothing_clears_what_is_quarantined_but_its_record() -> None:
    judge = CrashDetector()
    assert judge.receive_status(NAME, QuarantineStatus.QUARANTINED, 0.0)
    assert not judge.record_answer(NAME, "s", trial=True)
    assert not judge.receive_status(NAME, QuarantineStatus.SUSPECTED, 0.0)
    judge.set_recorded(frozenset({"other"}))
    assert judge.quarantined == {NAME, "other"}
    judge.set_recorded(frozenset({NAME}))
    judge.set_recorded(frozenset())
    assert judge.status(NAME, 0.0) is QuarantineStatus.CLEAR


@pytest.mark.parametrize(
    ("standing", "kept_s"),
    [(QuarantineStatus.SUSPECTED, EVIDENCE_S), (QuarantineStatus.QUARANTINED, UNRECORDED_S)],
)
def test_what_nobody_records_is_forgotten_after_a_while(standing: QuarantineStatus, kept_s: float) -> None:
    judge = CrashDetector()
    judge.receive_status(NAME, standing, 10.0)
    assert judge.status(NAME, 10.0 + kept_s) is standing
    assert judge.status(NAME, 10.1 + kept_s) is QuarantineStatus.CLEAR
    assert len(judge) == 0


def test_records_are_bounded_and_the_quarantined_ones_stay() -> None:
    judge = CrashDetector()
    judge.receive_status(NAME, QuarantineStatus.QUARANTINED, 0.0)
    for number in range(2 * MAX_RECORDS):
        judge.record_loss(f"innocent-{number}", Loss("i", "s"), float(number))
    assert len(judge) <= MAX_RECORDS
    assert judge.quarantined == {NAME}

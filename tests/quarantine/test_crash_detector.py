"""Evidence from lost servers: suspicion, quarantine and clearing of a request."""

import pytest

from yokesill.quarantine.detector import (
    EVIDENCE_TTL_S,
    LOSSES_TO_SUSPECT,
    MAX_RECORDS,
    UNRECORDED_QUARANTINE_TTL_S,
    CrashDetector,
    Loss,
    QuarantineStatus,
)

FINGERPRINT = "00ff"


def suspect_request(detector: CrashDetector, now: float = 0.0) -> CrashDetector:
    for number in range(LOSSES_TO_SUSPECT):
        detector.record_loss(FINGERPRINT, Loss(f"i-{number}", f"s-{number}"), now)
    assert detector.status(FINGERPRINT, now) is QuarantineStatus.SUSPECTED
    return detector


def test_three_losses_raise_a_suspicion_and_two_trials_a_quarantine() -> None:
    detector = suspect_request(CrashDetector())
    assert detector.record_loss(FINGERPRINT, Loss("i-7", "s-0", trial=True), 1.0) is None
    assert (
        detector.record_loss(FINGERPRINT, Loss("i-8", "s-0", trial=True), 2.0) is QuarantineStatus.QUARANTINED
    )
    assert detector.quarantined == {FINGERPRINT}


def test_one_trial_quarantines_after_twice_as_many_losses() -> None:
    detector = suspect_request(CrashDetector())
    for number in range(3, 5):
        assert detector.record_loss(FINGERPRINT, Loss(f"i-{number}", f"s-{number}"), 0.0) is None
    assert (
        detector.record_loss(FINGERPRINT, Loss("i-7", "s-0", trial=True), 1.0) is QuarantineStatus.QUARANTINED
    )


def test_loss_of_one_server_reported_twice_counts_once() -> None:
    detector = CrashDetector()
    for _ in range(2 * LOSSES_TO_SUSPECT):
        detector.record_loss(FINGERPRINT, Loss("i-1", "s-1"), 0.0)
    assert detector.status(FINGERPRINT, 0.0) is QuarantineStatus.CLEAR


def test_trial_before_a_suspicion_counts_as_an_ordinary_loss() -> None:
    detector = CrashDetector()
    for number in range(LOSSES_TO_SUSPECT):
        detector.record_loss(FINGERPRINT, Loss(f"i-{number}", "s", trial=True), 0.0)
    assert detector.status(FINGERPRINT, 0.0) is QuarantineStatus.SUSPECTED


def test_answer_clears_services_with_one_loss_and_answer_in_a_trial_clears_all() -> None:
    detector = CrashDetector()
    detector.record_loss(FINGERPRINT, Loss("i-0", "s-0"), 0.0)
    detector.record_loss(FINGERPRINT, Loss("i-1", "s-1"), 0.0)
    assert detector.record_answer(FINGERPRINT, "s-9", trial=False)
    assert len(detector) == 0
    detector.record_loss(FINGERPRINT, Loss("i-1", "s-1"), 0.0)
    detector.record_loss(FINGERPRINT, Loss("i-2", "s-1"), 0.0)
    assert not detector.record_answer(FINGERPRINT, "s-9", trial=False)
    assert detector.record_loss(FINGERPRINT, Loss("i-3", "s-2"), 0.0) is QuarantineStatus.SUSPECTED
    assert detector.record_answer(FINGERPRINT, "s-3", trial=True)
    assert detector.status(FINGERPRINT, 0.0) is QuarantineStatus.CLEAR
    assert len(detector) == 0


def test_request_that_crashes_servers_of_a_single_shard_is_suspected() -> None:
    detector = CrashDetector()
    for number in range(2):
        detector.record_loss(FINGERPRINT, Loss(f"i-{number}", "s-7"), 0.0)
    for service in ("s-1", "s-2"):
        assert not detector.record_answer(FINGERPRINT, service, trial=False)
    detector.record_loss(FINGERPRINT, Loss("i-3", "s-7"), 0.0)
    assert detector.status(FINGERPRINT, 0.0) is QuarantineStatus.SUSPECTED
    assert detector.suspected_services(FINGERPRINT) == {"s-7"}


def test_quarantine_is_cleared_only_by_removing_its_record() -> None:
    detector = CrashDetector()
    assert detector.receive_status(FINGERPRINT, QuarantineStatus.QUARANTINED, 0.0)
    assert not detector.record_answer(FINGERPRINT, "s", trial=True)
    assert not detector.receive_status(FINGERPRINT, QuarantineStatus.SUSPECTED, 0.0)
    detector.set_recorded(frozenset({"other"}))
    assert detector.quarantined == {FINGERPRINT, "other"}
    detector.set_recorded(frozenset({FINGERPRINT}))
    detector.set_recorded(frozenset())
    assert detector.status(FINGERPRINT, 0.0) is QuarantineStatus.CLEAR


@pytest.mark.parametrize(
    ("status", "ttl_s"),
    [
        (QuarantineStatus.SUSPECTED, EVIDENCE_TTL_S),
        (QuarantineStatus.QUARANTINED, UNRECORDED_QUARANTINE_TTL_S),
    ],
)
def test_unrecorded_status_expires(status: QuarantineStatus, ttl_s: float) -> None:
    detector = CrashDetector()
    detector.receive_status(FINGERPRINT, status, 10.0)
    assert detector.status(FINGERPRINT, 10.0 + ttl_s) is status
    assert detector.status(FINGERPRINT, 10.1 + ttl_s) is QuarantineStatus.CLEAR
    assert len(detector) == 0


def test_records_are_bounded_and_quarantined_ones_are_kept() -> None:
    detector = CrashDetector()
    detector.receive_status(FINGERPRINT, QuarantineStatus.QUARANTINED, 0.0)
    for number in range(2 * MAX_RECORDS):
        detector.record_loss(f"innocent-{number}", Loss("i", "s"), float(number))
    assert len(detector) <= MAX_RECORDS
    assert detector.quarantined == {FINGERPRINT}

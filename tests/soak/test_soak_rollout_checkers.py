"""The roll-out checkers accept a sound record and reject a record with a single violation."""

from collections.abc import Callable

import pytest
from run_record import OPERATOR, arrival, good, single, started, with_arrivals, with_ask

from soak.checkers import check
from soak.layout import DESK
from soak.record import Arrival, Record, Stored

NEW_ARRIVALS = [arrival(51.0 + n / 10, DESK, f"n{n}", "i-new", version="s2") for n in range(5)]
SIXTY_NEW_ARRIVALS = [arrival(51.0 + n / 100, DESK, f"n{n}", "i-new", version="s2") for n in range(60)]
EIGHTY_NEW_ARRIVALS = [arrival(51.0 + n / 100, DESK, f"n{n}", "i-new", version="s2") for n in range(80)]
OLD_ARRIVALS = [arrival(51.0 + n / 10, DESK, f"m{n}") for n in range(50)]


def status(at_s: float, state: str) -> Stored:
    return Stored(at_s, 0, "rollouts", DESK, "status", {"state": state, "targetVersion": "s2"})


def record_with_order(
    *states: Stored, new_arrivals: list[Arrival] = NEW_ARRIVALS, bad: bool = False
) -> Record:
    """Return a record with an order at 50 s for 20 s."""
    spec = {"service": DESK, "targetVersion": "s2", "durationS": 20}
    order = Stored(50.0, OPERATOR, "rollouts", DESK, "spec", spec)
    record = with_arrivals(good(), *new_arrivals, *OLD_ARRIVALS)
    done = record.done | {each.signature: (each.at_s + 0.02, 200) for each in (*new_arrivals, *OLD_ARRIVALS)}
    return record._replace(
        stored=(*record.stored, order, *states),
        started=(*record.started, started("i-new", "s2", bad)),
        done=done,
    )


def request_after_rollback_time() -> Record:
    late = arrival(60.0, DESK, "late", "i-new", version="s2")
    record = record_with_order(new_arrivals=[*SIXTY_NEW_ARRIVALS, late], bad=True)
    return record._replace(
        done=record.done | {each.signature: (each.at_s, 500) for each in SIXTY_NEW_ARRIVALS}
    )


def request_cut_by_completion() -> Record:
    record = record_with_order(status(65.0, "in_progress"), status(66.0, "completed"))
    record = with_ask(record, single("c1", at_s=66.0, ending="answered", status=502, signature=""))
    record = with_arrivals(record, arrival(66.05, DESK, "c1"))
    return record._replace(ended={"i-desk": 66.2})


BROKEN_RECORDS: list[tuple[str, str, Callable[[], Record]]] = [
    ("only_ordered_versions", "never ordered", lambda: with_arrivals(good(), *NEW_ARRIVALS)),
    ("only_ordered_versions", "rolled back", lambda: record_with_order(status(45.0, "rolled_back"))),
    (
        "bad_version_exposure",
        "too many",
        lambda: record_with_order(new_arrivals=EIGHTY_NEW_ARRIVALS, bad=True),
    ),
    ("bad_version_exposure", "too long", request_after_rollback_time),
    (
        "one_final_state",
        "both",
        lambda: record_with_order(status(60.0, "completed"), status(61.0, "rolled_back")),
    ),
    (
        "one_final_state",
        "back",
        lambda: record_with_order(status(60.0, "completed"), status(61.0, "in_progress")),
    ),
    ("one_final_state", "a bad one", lambda: record_with_order(status(60.0, "completed"), bad=True)),
    ("one_final_state", "none", lambda: with_ask(record_with_order(), single("z1", at_s=80.0))),
    ("completed_cuts_nothing", "under way", request_cut_by_completion),
]


# A store restored from an older copy had lost an order that all nodes followed from its creation on, and its
# writer created it again 4 s later. The checker kept only the last order of each version, so it reported
# seven requests in between as sent to version s8 without an order.
def created_again(*states: Stored, at_s: float = 58.0) -> Record:
    """Return a record of an order with some states, which is lost and created again, then completed."""
    record = record_with_order(*states)
    order = next(each for each in record.stored if each.kind == "rollouts")
    later = (order._replace(at_s=at_s), status(at_s + 2.0, "in_progress"), status(at_s + 8.0, "completed"))
    return record._replace(stored=(*record.stored, *later))


def test_order_created_again_is_checked_from_its_first_creation() -> None:
    record = created_again(status(52.0, "in_progress"))
    assert [name for name, each in check(record).items() if each.violations] == []
    early = arrival(49.0, DESK, "early", "i-new", version="s2")
    assert check(with_arrivals(record, early))["only_ordered_versions"].violations


def test_requests_between_a_rollback_and_the_next_order_are_violations() -> None:
    record = created_again(status(52.0, "rolled_back"), at_s=62.0)
    between = arrival(61.0, DESK, "between", "i-new", version="s2")
    assert not check(record)["only_ordered_versions"].violations
    assert check(with_arrivals(record, between))["only_ordered_versions"].violations
    after = arrival(63.0, DESK, "after", "i-new", version="s2")
    assert not check(with_arrivals(record, after))["only_ordered_versions"].violations


def test_sound_roll_out_passes() -> None:
    record = record_with_order(status(52.0, "in_progress"), status(66.0, "completed"))
    assert [name for name, each in check(record).items() if each.violations] == []


def test_rolled_back_bad_version_within_its_limit_passes() -> None:
    record = record_with_order(status(52.0, "in_progress"), status(56.0, "rolled_back"), bad=True)
    assert [name for name, each in check(record).items() if each.violations] == []


@pytest.mark.parametrize(
    ("name", "label", "broken"), BROKEN_RECORDS, ids=[f"{b[0]}: {b[1]}" for b in BROKEN_RECORDS]
)
def test_broken_roll_out_is_detected(name: str, label: str, broken: Callable[[], Record]) -> None:
    assert name in {each for each, checked in check(broken()).items() if checked.violations}

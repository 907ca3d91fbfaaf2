"""The checkers of roll-outs pass a sound record and fail on one that was broken in one place."""

from collections.abc import Callable

import pytest
from run_record import OPERATOR, arrival, good, single, started, with_arrivals, with_ask

from soak.checkers import check
from soak.layout import DESK
from soak.record import Arrival, Record, Stored

NEWER = [arrival(51.0 + n / 10, DESK, f"n{n}", "i-new", version="s2") for n in range(5)]
MANY = [arrival(51.0 + n / 100, DESK, f"n{n}", "i-new", version="s2") for n in range(60)]
TOO_MANY = [arrival(51.0 + n / 100, DESK, f"n{n}", "i-new", version="s2") for n in range(80)]
OLDER = [arrival(51.0 + n / 10, DESK, f"m{n}") for n in range(50)]


def status(at_s: float, state: str) -> Stored:
    return Stored(at_s, 0, "rollouts", DESK, "status", {"state": state, "targetVersion": "s2"})


def ordered(*states: Stored, newer: list[Arrival] = NEWER, bad: bool = False) -> Record:
    """Return a record with an order at 50 s for 20 s."""
    spec = {"service": DESK, "targetVersion": "s2", "durationS": 20}
    order = Stored(50.0, OPERATOR, "rollouts", DESK, "spec", spec)
    record = with_arrivals(good(), *newer, *OLDER)
    done = record.done | {each.signature: (each.at_s + 0.02, 200) for each in (*newer, *OLDER)}
    return record._replace(
        stored=(*record.stored, order, *states),
        started=(*record.started, started("i-new", "s2", bad)),
        done=done,
    )


def late_after_fifty_bad() -> Record:
    late = arrival(60.0, DESK, "late", "i-new", version="s2")
    record = ordered(newer=[*MANY, late], bad=True)
    return record._replace(done=record.done | {each.signature: (each.at_s, 500) for each in MANY})


def cut_by_completed() -> Record:
    record = ordered(status(65.0, "in_progress"), status(66.0, "completed"))
    record = with_ask(record, single("c1", at_s=66.0, ending="answered", status=502, signature=""))
    record = with_arrivals(record, arrival(66.05, DESK, "c1"))
    return record._replace(ended={"i-desk": 66.2})


BROKEN: list[tuple[str, str, Callable[[], Record]]] = [
    ("only_ordered_versions", "nobody ordered", lambda: with_arrivals(good(), *NEWER)),
    ("only_ordered_versions", "rolled back", lambda: ordered(status(45.0, "rolled_back"))),
    ("bad_version_exposure", "too many", lambda: ordered(newer=TOO_MANY, bad=True)),
    ("bad_version_exposure", "too long", late_after_fifty_bad),
    ("one_final_state", "both", lambda: ordered(status(60.0, "completed"), status(61.0, "rolled_back"))),
    ("one_final_state", "back", lambda: ordered(status(60.0, "completed"), status(61.0, "in_progress"))),
    ("one_final_state", "a bad one", lambda: ordered(status(60.0, "completed"), bad=True)),
    ("one_final_state", "none", lambda: with_ask(ordered(), single("z1", at_s=80.0))),
    ("completed_cuts_nothing", "under way", cut_by_completed),
]


# A store that came back from an older copy had lost an order, which all nodes obeyed from its making on; its
# writer made it again 4 s later. Seven requests in between were judged by the second making: "at version s8,
# which nobody ordered". The checker kept one order a version, the last.
def made_again(*states: Stored, at_s: float = 58.0) -> Record:
    """Return a record of an order with some states, which is lost and made again, then completed."""
    record = ordered(*states)
    order = next(each for each in record.stored if each.kind == "rollouts")
    later = (order._replace(at_s=at_s), status(at_s + 2.0, "in_progress"), status(at_s + 8.0, "completed"))
    return record._replace(stored=(*record.stored, *later))


def test_an_order_that_is_made_again_is_judged_from_its_first_making() -> None:
    record = made_again(status(52.0, "in_progress"))
    assert [name for name, each in check(record).items() if each.violations] == []
    early = arrival(49.0, DESK, "early", "i-new", version="s2")
    assert check(with_arrivals(record, early))["only_ordered_versions"].violations


def test_nothing_goes_to_a_version_between_its_end_and_the_next_making() -> None:
    record = made_again(status(52.0, "rolled_back"), at_s=62.0)
    between = arrival(61.0, DESK, "between", "i-new", version="s2")
    assert not check(record)["only_ordered_versions"].violations
    assert check(with_arrivals(record, between))["only_ordered_versions"].violations
    after = arrival(63.0, DESK, "after", "i-new", version="s2")
    assert not check(with_arrivals(record, after))["only_ordered_versions"].violations


def test_a_sound_roll_out_passes() -> None:
    record = ordered(status(52.0, "in_progress"), status(66.0, "completed"))
    assert [name for name, each in check(record).items() if each.violations] == []


def test_a_bad_version_that_got_little_and_was_taken_back_passes() -> None:
    record = ordered(status(52.0, "in_progress"), status(56.0, "rolled_back"), bad=True)
    assert [name for name, each in check(record).items() if each.violations] == []


@pytest.mark.parametrize(("name", "how", "broken"), BROKEN, ids=[f"{b[0]}: {b[1]}" for b in BROKEN])
def test_a_broken_roll_out_is_found_out(name: str, how: str, broken: Callable[[], Record]) -> None:
    assert name in {each for each, checked in check(broken()).items() if checked.violations}

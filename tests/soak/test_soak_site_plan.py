"""A day's plan repeats with its seed, lies within the day and has what a day must have."""

import random
from itertools import pairwise

import pytest
from site_values import LEAD_S, SECONDS, site

from soak.site import Day, FinalFault, Trouble
from soak.site_plan import (
    KINDS,
    MAX_TROUBLES,
    MIN_TROUBLES,
    TROUBLES_IN_START,
    Support,
    plan_day,
    plan_standard_day,
)

SEEDS = range(40)

SITE = site(
    *(Trouble(kind, for_s=4.0) for kind in sorted(KINDS)),
    days=(Day("d", 3, (), (Trouble("hup", at_s=5.0), Trouble("scale_out")), FinalFault("kill_all", 2.0)),),
)


# Guards against: a seed that does not repeat its day, or seeds that all give the same day.
def test_a_seed_repeats_its_plan_and_others_differ() -> None:
    state = random.getstate()
    assert plan_day(SITE, 7, SECONDS) == plan_day(SITE, 7, SECONDS)
    assert len({plan_day(SITE, seed, SECONDS).troubles for seed in SEEDS}) == len(SEEDS)
    assert random.getstate() == state


# Guards against: days without troubles, with a flood of them, or with troubles after the final fault.
@pytest.mark.parametrize("seed", SEEDS)
def test_a_day_has_a_few_troubles_within_its_time(seed: int) -> None:
    plan = plan_day(SITE, seed, SECONDS)
    assert MIN_TROUBLES / 2 <= len(plan.troubles) <= 2 * MAX_TROUBLES + TROUBLES_IN_START
    assert all(-LEAD_S <= each.at_s < SECONDS for each in plan.troubles)
    assert [each.at_s for each in plan.troubles] == sorted(each.at_s for each in plan.troubles)


# Guards against: kinds that can't be played and are either played or dropped without a word.
def test_a_kind_that_cannot_be_played_is_listed_with_its_reason() -> None:
    plans = [plan_day(SITE, seed, SECONDS) for seed in SEEDS]
    left_out = {kind for kind, each in KINDS.items() if each.support is Support.LEFT_OUT}
    assert {kind for plan in plans for kind, _ in plan.left_out} == left_out
    assert all(note for plan in plans for _, note in plan.left_out)
    assert not {each.trouble.kind for plan in plans for each in plan.troubles} & left_out


# Guards against: a kind of the sheet or of all deployments that no seed ever draws.
def test_every_playable_kind_is_drawn_by_some_seed() -> None:
    drawn = {each.trouble.kind for seed in range(80) for each in plan_day(SITE, seed, SECONDS).troubles}
    assert drawn == {kind for kind, each in KINDS.items() if each.support is not Support.LEFT_OUT}


# Guards against: days whose troubles never overlap or never strike a start, or that end without a fault.
def test_most_days_overlap_strike_the_start_and_end_with_a_final_fault() -> None:
    plans = [plan_day(SITE, seed, SECONDS) for seed in SEEDS]
    starts = [sum(each.at_s < 0 for each in plan.troubles) for plan in plans]
    assert min(starts) >= TROUBLES_IN_START
    assert len(SEEDS) / 2 < sum(plan.final is not None for plan in plans) < len(SEEDS)
    for plan in plans:
        times = [each.at_s for each in plan.troubles if each.at_s > 0]
        assert any(later - earlier < 4.0 for earlier, later in pairwise(times))


# Guards against: an unknown kind of another sheet of the same form that ends the whole day.
def test_an_unknown_kind_is_left_out() -> None:
    plan = plan_day(site(Trouble("unheard_of")), 1, SECONDS)
    assert dict(plan.left_out) == {"unheard_of": "unknown kind"}


# Guards against: the sheet's own day replayed at other times or with another final fault.
def test_a_standard_day_keeps_its_times_and_its_final_fault() -> None:
    plan = plan_standard_day(SITE, SITE.days[0])
    assert [(each.trouble.kind, each.at_s) for each in plan.troubles] == [("hup", 5.0)]
    assert plan.left_out == (("scale_out", KINDS["scale_out"].note),)
    assert plan.final == FinalFault("kill_all", 2.0)

"""Who watches for a zone: decided by each node alone, from what it hears."""

import random

from yokesill.peers.ranks import RankedGroup
from yokesill.watchers.role import WatchRole, create_group, watch_role
from yokesill.watchers.timing import WatchTiming

TERMS = WatchTiming.within(3.0)
NAMES = [f"n{number}" for number in range(12)]
SETTLED = TERMS.settle_s


def group(own: str, members: list[str] = NAMES, terms: WatchTiming = TERMS) -> RankedGroup:
    made = create_group(own, terms, random.Random(1), 0.0)
    made.set_members(members)
    return made


def ranked() -> list[str]:
    """All names by rank, found by asking who would watch alone among ever fewer."""
    rest: list[str] = list(NAMES)
    order: list[str] = []
    alone = TERMS._replace(watchers=1)
    while rest:
        first = next(
            name for name in rest if watch_role(group(name, rest, alone), SETTLED) is WatchRole.WATCHING
        )
        order.append(first)
        rest.remove(first)
    return order


def test_two_nodes_watch_and_all_agree_on_them() -> None:
    roles = {name: watch_role(group(name), SETTLED) for name in NAMES}
    assert sorted(roles.values()) == [WatchRole.FOLLOWING] * 10 + [WatchRole.WATCHING] * 2


def test_nobody_watches_before_it_can_know_who_else_is_there() -> None:
    assert {watch_role(group(name), 0.5 * SETTLED) for name in NAMES} == {WatchRole.FOLLOWING}


def test_a_strong_node_watches_soon_after_its_start_and_ranks_first() -> None:
    strong = frozenset(NAMES[3:5])
    early = {}
    for name in NAMES:
        member = create_group(name, TERMS, random.Random(1), 0.0)
        member.set_members(NAMES, strong)
        early[name] = watch_role(member, TERMS.strong_settle_s)
        assert (watch_role(member, SETTLED) is WatchRole.WATCHING) == (name in strong)
    assert {name for name, role in early.items() if role is WatchRole.WATCHING} == strong


def test_a_node_without_others_watches_for_itself() -> None:
    assert watch_role(group("n1", []), SETTLED) is WatchRole.WATCHING


def test_after_the_watchers_fall_silent_the_next_in_rank_takes_over_before_the_others() -> None:
    order = ranked()
    taken_over: dict[str, float] = {}
    for rank, name in enumerate(order[2:], 2):
        member = group(name)
        for tick in range(100):
            now = SETTLED + 10 + tick * 0.02
            if tick == 0:
                for watcher in order[:2]:
                    member.record_report(watcher, True, True, now)
            if watch_role(member, now) is WatchRole.WATCHING:
                taken_over[name] = now
                break
        assert taken_over[name] - SETTLED - 10 >= TERMS.takeover_s, rank
    assert list(taken_over.values()) == sorted(taken_over.values())
    assert taken_over[order[2]] < taken_over[order[-1]]


def test_a_node_that_took_over_steps_down_when_those_above_report_again() -> None:
    order = ranked()
    third = group(order[2])
    assert watch_role(third, SETTLED + 10) is WatchRole.WATCHING
    for watcher in order[:2]:
        third.record_report(watcher, True, True, SETTLED + 10)
    assert watch_role(third, SETTLED + 10.1) is WatchRole.FOLLOWING


def test_reports_of_watchers_that_cannot_be_relied_on_do_not_count() -> None:
    order = ranked()
    last = group(order[-1])
    for tenth in range(30):
        now = SETTLED + 10 + tenth / 10
        last.record_report(order[0], False, True, now)
        last.record_report(order[1], True, False, now)
    assert watch_role(last, now) is not WatchRole.FOLLOWING


def test_a_node_without_reports_asks_for_itself_well_within_the_bound() -> None:
    last = group(ranked()[-1])
    last.record_report(ranked()[0], True, True, SETTLED + 10)
    last.record_report(ranked()[1], True, True, SETTLED + 10)
    assert watch_role(last, SETTLED + 10 + 0.9 * TERMS.report_timeout_s) is WatchRole.FOLLOWING
    assert watch_role(last, SETTLED + 10 + 1.3 * TERMS.report_timeout_s) is not WatchRole.FOLLOWING
    assert TERMS.age_limit_s + 1.25 * TERMS.report_timeout_s < 0.85 * 3.0


def test_groups_of_other_subjects_rank_the_same_nodes_otherwise() -> None:
    made = RankedGroup("n1", "something else", TERMS.ranks, random.Random(1), 0.0)
    made.set_members(NAMES)
    assert set(made.ranked) == set(NAMES) and made.ranked != group("n1").ranked

"""Each node decides by itself, from the reports that it receives, which nodes watch for its zone."""

import random

from yokesill.peers.ranks import RankedGroup
from yokesill.watchers.role import WatchRole, create_group, watch_role
from yokesill.watchers.timing import WatchTiming

TIMING = WatchTiming.within(3.0)
NAMES = [f"n{number}" for number in range(12)]
SETTLED = TIMING.settle_s


def group(own: str, members: list[str] = NAMES, timing: WatchTiming = TIMING) -> RankedGroup:
    created = create_group(own, timing, random.Random(1), 0.0)
    created.set_members(members)
    return created


def ranked() -> list[str]:
    """Return all names by rank: repeatedly the node that would watch alone among the remaining ones."""
    remaining: list[str] = list(NAMES)
    order: list[str] = []
    alone = TIMING._replace(watchers=1)
    while remaining:
        first = next(
            name
            for name in remaining
            if watch_role(group(name, remaining, alone), SETTLED) is WatchRole.WATCHING
        )
        order.append(first)
        remaining.remove(first)
    return order


def test_all_nodes_agree_on_the_same_two_watchers() -> None:
    roles = {name: watch_role(group(name), SETTLED) for name in NAMES}
    assert sorted(roles.values()) == [WatchRole.FOLLOWING] * 10 + [WatchRole.WATCHING] * 2


def test_no_node_watches_before_its_settle_time_has_passed() -> None:
    assert {watch_role(group(name), 0.5 * SETTLED) for name in NAMES} == {WatchRole.FOLLOWING}


def test_strong_nodes_rank_first_and_watch_after_the_short_settle_time() -> None:
    strong = frozenset(NAMES[3:5])
    early = {}
    for name in NAMES:
        member = create_group(name, TIMING, random.Random(1), 0.0)
        member.set_members(NAMES, strong)
        early[name] = watch_role(member, TIMING.strong_settle_s)
        assert (watch_role(member, SETTLED) is WatchRole.WATCHING) == (name in strong)
    assert {name for name, role in early.items() if role is WatchRole.WATCHING} == strong


def test_a_node_without_members_watches() -> None:
    assert watch_role(group("n1", []), SETTLED) is WatchRole.WATCHING


def test_silent_watchers_are_replaced_in_order_of_rank() -> None:
    order = ranked()
    takeover_at: dict[str, float] = {}
    for rank, name in enumerate(order[2:], 2):
        member = group(name)
        for tick in range(100):
            now = SETTLED + 10 + tick * 0.02
            if tick == 0:
                for watcher in order[:2]:
                    member.record_report(watcher, True, True, now)
            if watch_role(member, now) is WatchRole.WATCHING:
                takeover_at[name] = now
                break
        assert takeover_at[name] - SETTLED - 10 >= TIMING.takeover_s, rank
    assert list(takeover_at.values()) == sorted(takeover_at.values())
    assert takeover_at[order[2]] < takeover_at[order[-1]]


def test_a_replacement_stops_watching_when_higher_ranks_report_again() -> None:
    order = ranked()
    third = group(order[2])
    assert watch_role(third, SETTLED + 10) is WatchRole.WATCHING
    for watcher in order[:2]:
        third.record_report(watcher, True, True, SETTLED + 10)
    assert watch_role(third, SETTLED + 10.1) is WatchRole.FOLLOWING


def test_reports_that_are_stale_or_not_caught_up_do_not_keep_a_node_following() -> None:
    order = ranked()
    last = group(order[-1])
    for tenth in range(30):
        now = SETTLED + 10 + tenth / 10
        last.record_report(order[0], False, True, now)
        last.record_report(order[1], True, False, now)
    assert watch_role(last, now) is not WatchRole.FOLLOWING


def test_a_node_without_reports_stops_following_well_within_the_bound() -> None:
    last = group(ranked()[-1])
    last.record_report(ranked()[0], True, True, SETTLED + 10)
    last.record_report(ranked()[1], True, True, SETTLED + 10)
    assert watch_role(last, SETTLED + 10 + 0.9 * TIMING.report_timeout_s) is WatchRole.FOLLOWING
    assert watch_role(last, SETTLED + 10 + 1.3 * TIMING.report_timeout_s) is not WatchRole.FOLLOWING
    assert TIMING.age_limit_s + 1.25 * TIMING.report_timeout_s < 0.85 * 3.0


def test_groups_of_different_subjects_rank_the_same_nodes_differently() -> None:
    created = RankedGroup("n1", "something else", TIMING.ranks, random.Random(1), 0.0)
    created.set_members(NAMES)
    assert set(created.ranked) == set(NAMES) and created.ranked != group("n1").ranked

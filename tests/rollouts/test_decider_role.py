"""Election of the deciders of roll-outs, and the nodes that reports go to."""

import random

from yokesill.rollouts.decider_role import REPORT_INTERVAL_S, SUSPENSION_S, DeciderRole

NAMES = [f"n{number}" for number in range(6)]
TIMEOUT_S = 3 * REPORT_INTERVAL_S


def create_role(own: str, cores: dict[str, float] | None = None) -> DeciderRole:
    decider_role = DeciderRole(own, random.Random(1), 0.0)
    decider_role.set_nodes(cores or dict.fromkeys(NAMES, 1.0))
    decider_role.update(True, 0.0)
    return decider_role


def ranked() -> list[str]:
    """Return all names by rank, found by repeatedly taking the first decider among the remaining names."""
    rest, order = list(NAMES), []
    while rest:
        first = min(rest, key=lambda name: create_role(name, dict.fromkeys(rest, 1.0)).deciders_before(0.0))
        order.append(first)
        rest.remove(first)
    return order


def test_first_two_by_rank_decide_immediately_and_know_their_order() -> None:
    order = ranked()
    assert [create_role(name).deciders_before(0.0) for name in order[:2]] == [0, 1]


def test_time_without_an_order_does_not_count_towards_decider_timeouts() -> None:
    _, two, third, *_ = ranked()
    roles = {name: DeciderRole(name, random.Random(1), 0.0) for name in (two, third)}
    for each in roles.values():
        each.set_nodes(dict.fromkeys(NAMES, 1.0))
        each.update(False, 100.0)
        each.update(True, 100.1)
    assert roles[two].deciders_before(100.2) == 1 and not roles[third].deciding


def test_strong_nodes_rank_first() -> None:
    cores = {**dict.fromkeys(NAMES, 1.0), "n4": 3.0, "n2": 3.0}
    assert {name for name in NAMES if create_role(name, cores).deciding} == {"n2", "n4"}


def test_no_node_decides_without_open_orders() -> None:
    decider_role = create_role(ranked()[0])
    decider_role.update(False, 1.0)
    assert not decider_role.deciding and decider_role.report_targets(1.0) == ()


def run(
    decider_role: DeciderRole, seconds: float, announcing: list[str], reaches_registry: bool = True
) -> float:
    now = 0.0
    while now < seconds:
        now = round(now + 0.1, 1)
        for node in announcing:
            decider_role.note_decisions(node, reaches_registry, now)
        decider_role.update(True, now)
    return now


def test_third_decides_only_after_one_of_the_first_two_times_out() -> None:
    one, two, third, *_ = ranked()
    idle = create_role(third)
    run(idle, 5.0, [one, two])
    assert not idle.deciding
    promoted = create_role(third)
    run(promoted, TIMEOUT_S + 2.0, [two])
    assert promoted.deciding


def test_third_decides_when_the_first_cannot_reach_the_registry() -> None:
    one, two, third, *_ = ranked()
    decider_role = create_role(third)
    decider_role.note_decisions(one, False, 0.1)
    run(decider_role, TIMEOUT_S + 2.0, [two])
    assert decider_role.deciding


def test_nodes_report_to_the_first_two_by_rank_until_other_deciders_announce() -> None:
    one, two, third, *_ = ranked()
    decider_role = create_role(ranked()[-1])
    assert set(decider_role.report_targets(0.1)) == {one, two}
    now = run(decider_role, TIMEOUT_S + 1.0, [two, third])
    assert set(decider_role.report_targets(now)) == {two, third}


def test_reports_skip_a_timed_out_decider_for_the_next_by_rank() -> None:
    one, two, *_ = ranked()
    decider_role = create_role(ranked()[-1])
    now = run(decider_role, TIMEOUT_S + 0.1, [two])
    targets = decider_role.report_targets(now)
    assert not decider_role.deciding and len(targets) == 2 and two in targets and one not in targets


def test_resumed_node_does_not_rely_on_its_earlier_counts() -> None:
    decider_role = create_role(ranked()[0])
    now = run(decider_role, 3.0, [])
    assert decider_role.counts_complete(now) and not decider_role.just_resumed(now)
    now += SUSPENSION_S + 0.5
    assert decider_role.just_resumed(now)
    decider_role.update(True, now)
    assert decider_role.just_resumed(now + 0.5) and not decider_role.counts_complete(now + 0.5)


def test_enough_nodes_report_only_from_half_of_the_listed_nodes() -> None:
    decider_role = create_role(ranked()[0])
    now = run(decider_role, 4.0, [])
    assert not decider_role.enough_nodes_report(now)
    for node in NAMES[:3]:
        decider_role.note_report(node, now)
    assert decider_role.enough_nodes_report(now)


def test_newly_listed_node_counts_as_live() -> None:
    decider_role = create_role(ranked()[0])
    now = run(decider_role, 4.0, [])
    assert decider_role.live_nodes(now) == frozenset()
    decider_role.set_nodes(dict.fromkeys([*NAMES, "new"], 1.0))
    decider_role.update(True, now)
    assert decider_role.live_nodes(now) == {"new"}


def test_large_fleet_reports_less_often() -> None:
    decider_role = create_role("n0", {f"n{number}": 1.0 for number in range(770)})
    assert REPORT_INTERVAL_S < decider_role.interval_s < 2 * REPORT_INTERVAL_S

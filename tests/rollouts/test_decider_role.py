"""Who decides on roll-outs, and whom nodes report to."""

import random

from yokesill.rollouts.decider_role import REPORT_INTERVAL_S, SUSPENSION_S, DeciderRole

NAMES = [f"n{number}" for number in range(6)]
PATIENCE_S = 3 * REPORT_INTERVAL_S


def role(own: str, cores: dict[str, float] | None = None) -> DeciderRole:
    made = DeciderRole(own, random.Random(1), 0.0)
    made.set_nodes(cores or dict.fromkeys(NAMES, 1.0))
    made.update(True, 0.0)
    return made


def ranked() -> list[str]:
    """All names by rank, found by asking who would decide alone among ever fewer."""
    rest, order = list(NAMES), []
    while rest:
        first = min(rest, key=lambda name: role(name, dict.fromkeys(rest, 1.0)).deciders_before(0.0))
        order.append(first)
        rest.remove(first)
    return order


def test_the_first_two_decide_at_once_and_know_their_order() -> None:
    order = ranked()
    assert [role(name).deciders_before(0.0) for name in order[:2]] == [0, 1]


def test_the_time_before_there_was_an_order_counts_for_nobodys_silence() -> None:
    _, two, third, *_ = ranked()
    made = {name: DeciderRole(name, random.Random(1), 0.0) for name in (two, third)}
    for each in made.values():
        each.set_nodes(dict.fromkeys(NAMES, 1.0))
        each.update(False, 100.0)
        each.update(True, 100.1)
    assert made[two].deciders_before(100.2) == 1 and not made[third].deciding


def test_strong_nodes_come_first() -> None:
    cores = {**dict.fromkeys(NAMES, 1.0), "n4": 3.0, "n2": 3.0}
    assert {name for name in NAMES if role(name, cores).deciding} == {"n2", "n4"}


def test_nobody_decides_while_there_is_nothing_to_decide() -> None:
    made = role(ranked()[0])
    made.update(False, 1.0)
    assert not made.deciding and made.report_targets(1.0) == ()


def run(made: DeciderRole, seconds: float, speaking: list[str], reaches_registry: bool = True) -> float:
    now = 0.0
    while now < seconds:
        now = round(now + 0.1, 1)
        for node in speaking:
            made.note_decisions(node, reaches_registry, now)
        made.update(True, now)
    return now


def test_the_third_decides_only_when_one_of_the_first_falls_silent() -> None:
    one, two, third, *_ = ranked()
    heard = role(third)
    run(heard, 5.0, [one, two])
    assert not heard.deciding
    silent = role(third)
    run(silent, PATIENCE_S + 2.0, [two])
    assert silent.deciding


def test_the_third_decides_when_the_first_cant_reach_the_registry() -> None:
    one, two, third, *_ = ranked()
    made = role(third)
    made.note_decisions(one, False, 0.1)
    run(made, PATIENCE_S + 2.0, [two])
    assert made.deciding


def test_nodes_report_to_the_first_two_by_rank_until_others_speak() -> None:
    one, two, third, *_ = ranked()
    made = role(ranked()[-1])
    assert set(made.report_targets(0.1)) == {one, two}
    now = run(made, PATIENCE_S + 1.0, [two, third])
    assert set(made.report_targets(now)) == {two, third}


def test_reports_go_past_a_decider_that_fell_silent_to_the_next() -> None:
    one, two, *_ = ranked()
    made = role(ranked()[-1])
    now = run(made, PATIENCE_S + 0.1, [two])
    asked = made.report_targets(now)
    assert not made.deciding and len(asked) == 2 and two in asked and one not in asked


def test_a_node_that_woke_up_does_not_trust_what_it_knew() -> None:
    made = role(ranked()[0])
    now = run(made, 3.0, [])
    assert made.counts_complete(now) and not made.just_resumed(now)
    now += SUSPENSION_S + 0.5
    assert made.just_resumed(now)
    made.update(True, now)
    assert made.just_resumed(now + 0.5) and not made.counts_complete(now + 0.5)


def test_a_node_that_hears_few_of_the_listed_ones_knows_it() -> None:
    made = role(ranked()[0])
    now = run(made, 4.0, [])
    assert not made.enough_nodes_report(now)
    for node in NAMES[:3]:
        made.note_report(node, now)
    assert made.enough_nodes_report(now)


def test_a_node_that_was_just_listed_is_waited_for() -> None:
    made = role(ranked()[0])
    now = run(made, 4.0, [])
    assert made.live_nodes(now) == frozenset()
    made.set_nodes(dict.fromkeys([*NAMES, "new"], 1.0))
    made.update(True, now)
    assert made.live_nodes(now) == {"new"}


def test_a_large_fleet_reports_less_often() -> None:
    made = role("n0", {f"n{number}": 1.0 for number in range(770)})
    assert REPORT_INTERVAL_S < made.interval_s < 2 * REPORT_INTERVAL_S

"""Schedules are reproducible from a seed, contain every kind, and leave the quiet time that checkers need."""

import pytest

from soak.__main__ import SEEDS, read_seeds
from soak.schedule import ALL_KINDS, HERD_QUIET_S, KINDS, ROLLOUT_KINDS, plan

MINUTES = 600.0


def test_same_seed_gives_same_schedule() -> None:
    assert plan(7, MINUTES, 6, 29, tuple(KINDS)) == plan(7, MINUTES, 6, 29, tuple(KINDS))


def test_different_seed_gives_different_schedule() -> None:
    assert plan(7, MINUTES, 6, 29, tuple(KINDS)) != plan(8, MINUTES, 6, 29, tuple(KINDS))


def test_every_kind_occurs_within_ten_minutes() -> None:
    assert {fault.kind for fault in plan(7, MINUTES, 6, 29, tuple(ALL_KINDS))} == set(ALL_KINDS)


@pytest.mark.parametrize("kind", ALL_KINDS)
def test_single_kind_can_be_planned_alone(kind: str) -> None:
    assert {fault.kind for fault in plan(7, MINUTES, 6, 29, (kind,))} == {kind}


def test_rollouts_are_left_out_unless_requested() -> None:
    assert not set(ROLLOUT_KINDS) & {fault.kind for fault in plan(7, MINUTES, 6, 29, tuple(KINDS))}


def test_unknown_kind_is_named_in_error() -> None:
    with pytest.raises(ValueError, match=r"--kinds: .*: node_melt"):
        plan(7, MINUTES, 6, 29, ("node_melt",))


@pytest.mark.parametrize("seed", range(20))
def test_targets_exist_and_faults_end_within_run(seed: int) -> None:
    for fault in plan(seed, MINUTES, 6, 29, tuple(KINDS)):
        limit = 6 if ALL_KINDS[fault.kind][0] in ("node", "front", "store", "nodes", "all") else 29
        assert all(0 <= target < limit for target in fault.targets)
        assert 0 < fault.at_s <= fault.until_s < MINUTES


@pytest.mark.parametrize("seed", range(20))
def test_no_other_fault_during_recovery_from_herd_kill(seed: int) -> None:
    faults = plan(seed, MINUTES, 6, 29, tuple(KINDS))
    others = [each for each in faults if each.kind not in ("config_change", "reshard", "server_drain")]
    for herd in (fault for fault in faults if fault.kind == "herd_kill"):
        beside = [
            x for x in others if x is not herd and herd.at_s - 0.01 < x.at_s < herd.at_s + HERD_QUIET_S - 0.01
        ]
        assert beside == []


def test_seeds_file_can_be_read() -> None:
    assert all(minutes > 0 for _, minutes in read_seeds(SEEDS.read_text()))


def test_invalid_line_of_seeds_is_named_in_error() -> None:
    with pytest.raises(ValueError, match=r"seeds.txt:2: .*'x 1 y'"):
        read_seeds("12 1.5 cause\nx 1 y\n")

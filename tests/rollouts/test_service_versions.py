"""Which versions of a service may be reached in each state of an order, and after a start in each."""

from collections import Counter
from typing import Any

import pytest

from yokesill.rollouts.orders import OrderId, RolloutState
from yokesill.rollouts.versions import ServiceVersions

GRACE_S = 2.0
ORDER = OrderId("s", 5, "v2")
ORDERED, CANARY, SWITCHING, COMPLETED, ROLLED_BACK = RolloutState


def test_a_guess_is_not_told_to_nodes_that_start() -> None:
    versions = ServiceVersions(True, GRACE_S)
    versions.set_listed("s", Counter(v1=2, v2=3), ("v1", "v2"), 100.0)
    versions.set_listed("sure", Counter(v1=3), ("v1",), 100.0)
    assert versions.established() == {"sure": ("v1",)}


class Versions:
    """What one node holds for allowed; ``now`` in seconds."""

    def __init__(self, *listed: str) -> None:
        self.now = 100.0
        self.versions = ServiceVersions(True, GRACE_S)
        if listed:
            self.list(*listed)

    def list(self, *listed: str, vanished: tuple[str, ...] = ()) -> None:
        self.versions.set_listed("s", Counter(listed), (*listed, *vanished), self.now)

    def set_state(self, *states: RolloutState, order: OrderId = ORDER) -> None:
        for state in states:
            self.versions.set_state(order, state)

    def old(self) -> set[str]:
        return self._allowed(False)

    def new(self) -> set[str]:
        return self._allowed(True)

    def _allowed(self, new: bool) -> set[str]:
        if "s" not in self.versions.gated:
            return {"anything"}
        return set(self.versions.allowed("s", new, self.now))


def test_without_an_order_nothing_goes_to_a_version_that_came_later() -> None:
    node = Versions("v1", "v1")
    assert node.old() == {"anything"}
    node.list("v1", "v1", "v2", "v2", "v2")
    assert (node.old(), node.new()) == ({"v1"}, set())


@pytest.mark.parametrize(
    ("listed", "serves"),
    [(("v2", "v1", "v1"), "v1"), (("v2", "v1"), "v1"), (("10", "9"), "9"), (("v2", "v2", "v1"), "v2")],
)
def test_with_nobody_to_tell_the_version_of_most_servers_serves(listed: tuple[str, ...], serves: str) -> None:
    assert Versions(*listed).old() == {serves}


TABLE: list[Any] = [
    (ORDERED, {"v1"}, set()),
    (CANARY, {"v1"}, {"v2"}),
    (SWITCHING, {"v1"}, {"v2"}),
    (COMPLETED, {"v2"}, set()),
    (ROLLED_BACK, {"v1"}, set()),
]


@pytest.mark.parametrize(("state", "old", "new"), TABLE)
def test_what_each_state_lets_reach(state: RolloutState, old: set[str], new: set[str]) -> None:
    node = Versions("v1", "v1")
    node.list("v1", "v1", "v2", "v2")
    node.set_state(state)
    assert (node.old(), node.new()) == (old, new)


@pytest.mark.parametrize("servers_first", [True, False])
@pytest.mark.parametrize(("state", "old", "new"), TABLE)
def test_a_node_that_starts_in_it_does_the_same(
    state: RolloutState, old: set[str], new: set[str], servers_first: bool
) -> None:
    node = Versions(*(("v1", "v2", "v2") if servers_first else ()))
    node.set_state(state)
    node.list("v1", "v2", "v2")
    assert (node.old(), node.new()) == (old, new)


@pytest.mark.parametrize(("listed", "old"), [(("v1", "v2"), {"v1"}), (("v2",), {"v2"})])
def test_a_withdrawn_order_leaves_what_served(listed: tuple[str, ...], old: set[str]) -> None:
    node = Versions("v1", "v2")
    node.set_state(CANARY)
    node.versions.withdraw("s")
    node.list(*listed)
    node.now += GRACE_S
    node.list(*listed)
    assert node.old() == old


def test_a_withdrawn_order_that_was_completed_stays_so() -> None:
    node = Versions("v1", "v2")
    node.set_state(SWITCHING, COMPLETED)
    node.versions.withdraw("s")
    assert node.old() == {"v2"}


def test_an_order_for_another_version_takes_the_place_of_the_first() -> None:
    node = Versions("v1")
    node.list("v1", "v2", "v3")
    node.set_state(SWITCHING)
    node.set_state(CANARY, order=ORDER._replace(target="v3"))
    assert (node.old(), node.new()) == ({"v1"}, {"v3"})


def test_the_way_back_can_be_ordered_after_it_was_completed() -> None:
    node = Versions("v1", "v2")
    node.set_state(SWITCHING, COMPLETED)
    node.set_state(CANARY, order=ORDER._replace(target="v1", created_revision=9))
    assert (node.old(), node.new()) == ({"v2"}, {"v1"})


def test_an_order_that_is_repeated_after_one_that_was_missed_begins_anew() -> None:
    node = Versions("v1", "v2")
    node.set_state(CANARY, ROLLED_BACK, ORDERED, CANARY)
    assert (node.old(), node.new()) == ({"v1"}, {"v2"})
    node.set_state(COMPLETED)
    node.list("v3")
    node.now += GRACE_S
    assert node.old() == {"v3"}
    node.list("v3", "v2")
    node.set_state(CANARY)
    assert (node.old(), node.new()) == ({"v3"}, {"v2"})


@pytest.mark.parametrize(
    ("state", "old"),
    [(ORDERED, {"v1", "v2"}), (CANARY, {"v1", "v2"}), (SWITCHING, {"v1", "v2"}), (ROLLED_BACK, {"v1"})],
)
def test_with_every_old_entry_gone_the_new_version_serves_unless_it_is_halted(
    state: RolloutState, old: set[str]
) -> None:
    node = Versions("v1")
    node.list("v1", "v2")
    node.set_state(state)
    node.list("v2", vanished=("v1",))
    assert node.old() == {"v1"}
    node.now += GRACE_S
    assert node.old() == old


def test_entries_that_lapse_for_a_moment_establish_nothing() -> None:
    node = Versions("v1")
    node.list("v1", "v2")
    node.list("v2", vanished=("v1",))
    node.now += GRACE_S / 2
    assert node.old() == {"v1"}
    node.list("v1", "v2")
    node.now += GRACE_S
    assert node.old() == {"v1"}


def test_what_is_left_serves_in_the_place_of_what_is_gone_until_that_is_back() -> None:
    node = Versions("v1")
    node.list("v2", vanished=("v1",))
    node.now += GRACE_S
    assert node.old() == {"v2"}
    node.list("v1", "v2")
    assert node.old() == {"v1"}


def test_an_order_for_what_took_the_place_of_others_finds_them_again() -> None:
    node = Versions("v1")
    node.list("v2", vanished=("v1",))
    node.now += GRACE_S
    assert node.old() == {"v2"}
    node.set_state(ORDERED)
    node.list("v1", "v2")
    assert (node.old(), node.new()) == ({"v1"}, set())


def test_a_version_that_was_taken_back_never_takes_the_place_of_others() -> None:
    node = Versions("v1", "v2")
    node.set_state(CANARY, ROLLED_BACK)
    node.list("v2")
    node.now += 10 * GRACE_S
    assert node.old().isdisjoint({"v2"})
    node.list("v2", "v3")
    node.now += GRACE_S
    assert node.old() == {"v3"}


def test_what_was_left_never_takes_the_place_of_the_target() -> None:
    node = Versions("v1")
    node.list("v1", "v2")
    node.set_state(CANARY, SWITCHING, COMPLETED)
    node.list("v1", vanished=("v2",))
    node.now += 10 * GRACE_S
    assert node.old() == {"v2"}


@pytest.mark.parametrize("state", [ORDERED, CANARY, SWITCHING, ROLLED_BACK, COMPLETED])
def test_an_order_for_what_serves_changes_nothing(state: RolloutState) -> None:
    node = Versions("v2")
    node.set_state(ORDERED, state)
    node.list("v1", "v2")
    assert node.old() == {"v2"}


def test_a_start_is_told_what_is_established() -> None:
    node, starting = Versions("v1"), Versions()
    node.list("v1", "v2", "v2")
    starting.versions.adopt_established(node.versions.established())
    starting.list("v1", "v2", "v2")
    assert starting.old() == {"v1"}


def test_a_service_that_is_served_by_one_version_again_costs_nothing() -> None:
    node = Versions("v1")
    node.list("v1", "v2")
    node.set_state(CANARY, ROLLED_BACK)
    node.list("v1", vanished=("v2",))
    assert node.old() == {"v1"}
    node.list("v1")
    assert node.old() == {"anything"}


def test_where_nothing_is_rolled_out_versions_do_not_count() -> None:
    versions = ServiceVersions(False, GRACE_S)
    versions.set_listed("s", {"v1": 2, "v2": 1}, ("v1", "v2"), 1.0)
    versions.set_state(ORDER, CANARY)
    versions.adopt_established({"s": ("v1",)})
    assert versions.gated == set()


def test_what_is_named_nowhere_any_more_is_forgotten() -> None:
    node = Versions("v1")
    node.list(vanished=())
    node.versions.retain({"s"})
    assert node.versions.established() == {"s": ("v1",)}
    node.set_state(CANARY)
    node.versions.retain(())
    assert node.versions.established() == {"s": ("v1",)}
    node.versions.withdraw("s")
    node.versions.retain(())
    assert (node.versions.established(), node.versions.gated) == ({}, set())

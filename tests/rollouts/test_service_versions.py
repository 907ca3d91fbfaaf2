"""Versions of a service that may be used in each state of an order, also after a node's start."""

from collections import Counter
from typing import Any

import pytest

from yokesill.positions import Position
from yokesill.rollouts.orders import OrderId, RolloutState
from yokesill.rollouts.version_record import RecordedVersions
from yokesill.rollouts.versions import ServiceVersions

GRACE_S = 2.0
ORDER = OrderId("s", 5, "v2")
ORDERED, CANARY, SWITCHING, COMPLETED, ROLLED_BACK = RolloutState


def test_guessed_version_is_not_sent_to_starting_nodes() -> None:
    versions = ServiceVersions(True, GRACE_S)
    versions.set_listed("s", Counter(v1=2, v2=3), ("v1", "v2"), 100.0)
    versions.set_listed("certain", Counter(v1=3), ("v1",), 100.0)
    assert versions.established() == {"certain": ("v1",)}


class Versions:
    """One node's allowed versions of service ``s``; ``now`` is in seconds."""

    def __init__(self, *listed: str) -> None:
        self.now = 100.0
        self.versions = ServiceVersions(True, GRACE_S)
        if listed:
            self.set_listed(*listed)

    def set_listed(self, *listed: str, vanished: tuple[str, ...] = ()) -> None:
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


def test_later_version_gets_nothing_without_an_order() -> None:
    node = Versions("v1", "v1")
    assert node.old() == {"anything"}
    node.set_listed("v1", "v1", "v2", "v2", "v2")
    assert (node.old(), node.new()) == ({"v1"}, set())


@pytest.mark.parametrize(
    ("listed", "serving"),
    [
        (("v1", "v2"), "v1"),
        (("b41c9e", "b41c9e", "7f20d3", "7f20d3"), "b41c9e"),
        (("v1", "v2", "v2"), "v1"),
        (("10", "9"), "10"),
        (("v2", "v2", "v1"), "v2"),
    ],
)
# Guards against requests to a version that was never ordered, since it has more servers or a lower name.
def test_version_of_the_oldest_server_serves_without_other_information(
    listed: tuple[str, ...], serving: str
) -> None:
    assert Versions(*listed).old() == {serving}


def test_only_versions_that_may_be_wrong_are_guessed() -> None:
    node = Versions("v1", "v1")
    assert not node.versions.has_guesses
    node.set_listed("v1", "v2")
    assert not node.versions.has_guesses
    starting = Versions("v1", "v2")
    assert starting.versions.has_guesses
    starting.versions.adopt_established(node.versions.established())
    assert not starting.versions.has_guesses


ALLOWED_VERSIONS: list[Any] = [
    (ORDERED, {"v1"}, set()),
    (CANARY, {"v1"}, {"v2"}),
    (SWITCHING, {"v1"}, {"v2"}),
    (COMPLETED, {"v2"}, set()),
    (ROLLED_BACK, {"v1"}, set()),
]


@pytest.mark.parametrize(("state", "old", "new"), ALLOWED_VERSIONS)
def test_allowed_versions_in_each_state(state: RolloutState, old: set[str], new: set[str]) -> None:
    node = Versions("v1", "v1")
    node.set_listed("v1", "v1", "v2", "v2")
    node.set_state(state)
    assert (node.old(), node.new()) == (old, new)


@pytest.mark.parametrize("servers_first", [True, False])
@pytest.mark.parametrize("listed", [("v1", "v2", "v2"), ("v2", "v1")])
@pytest.mark.parametrize(("state", "old", "new"), ALLOWED_VERSIONS)
def test_starting_node_allows_the_same_versions_in_each_state(
    state: RolloutState, old: set[str], new: set[str], listed: tuple[str, ...], servers_first: bool
) -> None:
    node = Versions(*(listed if servers_first else ()))
    node.set_state(state)
    node.set_listed(*listed)
    assert (node.old(), node.new()) == (old, new)


@pytest.mark.parametrize(("listed", "old"), [(("v1", "v2"), {"v1"}), (("v2",), {"v2"})])
def test_withdrawn_order_keeps_the_serving_version(listed: tuple[str, ...], old: set[str]) -> None:
    node = Versions("v1", "v2")
    node.set_state(CANARY)
    node.versions.withdraw("s")
    node.set_listed(*listed)
    node.now += GRACE_S
    node.set_listed(*listed)
    assert node.old() == old


def test_withdrawn_completed_order_stays_completed() -> None:
    node = Versions("v1", "v2")
    node.set_state(SWITCHING, COMPLETED)
    node.versions.withdraw("s")
    assert node.old() == {"v2"}


def test_order_for_another_version_replaces_the_first() -> None:
    node = Versions("v1")
    node.set_listed("v1", "v2", "v3")
    node.set_state(SWITCHING)
    node.set_state(CANARY, order=ORDER._replace(target="v3"))
    assert (node.old(), node.new()) == ({"v1"}, {"v3"})


def test_return_to_the_old_version_can_be_ordered_after_completion() -> None:
    node = Versions("v1", "v2")
    node.set_state(SWITCHING, COMPLETED)
    node.set_state(CANARY, order=ORDER._replace(target="v1", created_revision=9))
    assert (node.old(), node.new()) == ({"v2"}, {"v1"})


def test_order_repeated_after_a_missed_one_starts_over() -> None:
    node = Versions("v1", "v2")
    node.set_state(CANARY, ROLLED_BACK, ORDERED, CANARY)
    assert (node.old(), node.new()) == ({"v1"}, {"v2"})
    node.set_state(COMPLETED)
    node.set_listed("v3")
    node.now += GRACE_S
    assert node.old() == {"v3"}
    node.set_listed("v3", "v2")
    node.set_state(CANARY)
    assert (node.old(), node.new()) == ({"v3"}, {"v2"})


@pytest.mark.parametrize(
    ("state", "old"),
    [(ORDERED, {"v1", "v2"}), (CANARY, {"v1", "v2"}), (SWITCHING, {"v1", "v2"}), (ROLLED_BACK, {"v1"})],
)
def test_new_version_serves_without_old_entries_unless_rolled_back(
    state: RolloutState, old: set[str]
) -> None:
    node = Versions("v1")
    node.set_listed("v1", "v2")
    node.set_state(state)
    node.set_listed("v2", vanished=("v1",))
    assert node.old() == {"v1"}
    node.now += GRACE_S
    assert node.old() == old


def test_briefly_lapsed_entries_do_not_change_the_established_version() -> None:
    node = Versions("v1")
    node.set_listed("v1", "v2")
    node.set_listed("v2", vanished=("v1",))
    node.now += GRACE_S / 2
    assert node.old() == {"v1"}
    node.set_listed("v1", "v2")
    node.now += GRACE_S
    assert node.old() == {"v1"}


def test_remaining_version_serves_until_the_lost_one_returns() -> None:
    node = Versions("v1")
    node.set_listed("v2", vanished=("v1",))
    node.now += GRACE_S
    assert node.old() == {"v2"}
    node.set_listed("v1", "v2")
    assert node.old() == {"v1"}


def test_order_for_a_replacement_version_restores_the_replaced_one() -> None:
    node = Versions("v1")
    node.set_listed("v2", vanished=("v1",))
    node.now += GRACE_S
    assert node.old() == {"v2"}
    node.set_state(ORDERED)
    node.set_listed("v1", "v2")
    assert (node.old(), node.new()) == ({"v1"}, set())


def test_rolled_back_version_never_replaces_others() -> None:
    node = Versions("v1", "v2")
    node.set_state(CANARY, ROLLED_BACK)
    node.set_listed("v2")
    node.now += 10 * GRACE_S
    assert node.old().isdisjoint({"v2"})
    node.set_listed("v2", "v3")
    node.now += GRACE_S
    assert node.old() == {"v3"}


def test_old_version_never_replaces_a_completed_target() -> None:
    node = Versions("v1")
    node.set_listed("v1", "v2")
    node.set_state(CANARY, SWITCHING, COMPLETED)
    node.set_listed("v1", vanished=("v2",))
    node.now += 10 * GRACE_S
    assert node.old() == {"v2"}


@pytest.mark.parametrize("state", [ORDERED, CANARY, SWITCHING, ROLLED_BACK, COMPLETED])
def test_order_for_the_serving_version_changes_nothing(state: RolloutState) -> None:
    node = Versions("v2")
    node.set_state(ORDERED, state)
    node.set_listed("v1", "v2")
    assert node.old() == {"v2"}


def test_starting_node_adopts_established_versions() -> None:
    node, starting_node = Versions("v1"), Versions()
    node.set_listed("v1", "v2", "v2")
    starting_node.versions.adopt_established(node.versions.established())
    starting_node.set_listed("v1", "v2", "v2")
    assert starting_node.old() == {"v1"}


def test_service_with_a_single_version_again_is_not_gated() -> None:
    node = Versions("v1")
    node.set_listed("v1", "v2")
    node.set_state(CANARY, ROLLED_BACK)
    node.set_listed("v1", vanished=("v2",))
    assert node.old() == {"v1"}
    node.set_listed("v1")
    assert node.old() == {"anything"}


def test_inactive_versions_are_not_enforced() -> None:
    versions = ServiceVersions(False, GRACE_S)
    versions.set_listed("s", {"v1": 2, "v2": 1}, ("v1", "v2"), 1.0)
    versions.set_state(ORDER, CANARY)
    versions.adopt_established({"s": ("v1",)})
    assert versions.gated == set()


def test_unused_services_are_dropped() -> None:
    node = Versions("v1")
    node.set_listed(vanished=())
    node.versions.retain({"s"})
    assert node.versions.established() == {"s": ("v1",)}
    node.set_state(CANARY)
    node.versions.retain(())
    assert node.versions.established() == {"s": ("v1",)}
    node.versions.withdraw("s")
    node.versions.retain(())
    assert (node.versions.established(), node.versions.gated) == ({}, set())


RECORD = {"s": RecordedVersions(("v1",))}
LISTINGS: list[Any] = [(), ("v1",), ("v2",), ("v1", "v2"), ("v2", "v1"), ("v2", "v3", "v1")]


@pytest.mark.parametrize("others", [("v1", "v2"), ("v2", "v1"), ("v2", "v3", "v1")])
@pytest.mark.parametrize("listed", LISTINGS)
# Guards against: a starting node went by the entries alone, which may have lapsed or been replaced.
def test_record_tells_a_starting_node_which_version_serves(
    listed: tuple[str, ...], others: tuple[str, ...]
) -> None:
    node = Versions(*listed)
    node.versions.adopt_recorded(RECORD)
    node.set_listed(*others)
    assert node.old() == {"v1"}
    assert not node.versions.has_guesses


@pytest.mark.parametrize("record_first", [True, False])
@pytest.mark.parametrize(("state", "old", "new"), ALLOWED_VERSIONS)
def test_record_and_order_together_allow_what_a_running_node_allows(
    state: RolloutState, old: set[str], new: set[str], record_first: bool
) -> None:
    node = Versions("v2", "v1")
    if record_first:
        node.versions.adopt_recorded(RECORD)
    node.set_state(state)
    node.versions.adopt_recorded(RECORD)
    assert (node.old(), node.new()) == (old, new)
    node.versions.withdraw("s")
    assert node.old() == ({"v2"} if state is COMPLETED else {"v1"})


@pytest.mark.parametrize("state", [ORDERED, CANARY, SWITCHING, ROLLED_BACK])
# Guards against: at a start every version but an order's target counted as the one that served before.
def test_order_for_the_recorded_version_changes_nothing(state: RolloutState) -> None:
    node = Versions("v1", "v2")
    node.set_state(state, order=ORDER._replace(target="v1"))
    node.versions.adopt_recorded(RECORD)
    assert node.old() == {"v1"}


def test_what_a_later_order_established_outweighs_the_record() -> None:
    node = Versions("v1", "v2")
    node.set_state(SWITCHING, COMPLETED)
    node.versions.withdraw("s")
    node.versions.adopt_recorded(RECORD)
    assert node.old() == {"v2"}
    assert node.versions.recordable() == {"s": RecordedVersions(("v2",), Position(0, 5))}
    node.versions.adopt_recorded({"s": RecordedVersions(("v3",), Position(0, 9))})
    node.set_listed("v2", "v3")
    assert node.old() == {"v3"}


def test_recorded_version_that_is_gone_is_replaced_and_not_taken_up_again() -> None:
    node = Versions("v2")
    node.versions.adopt_recorded(RECORD)
    node.set_listed("v2")
    assert node.old() == {"v1"}
    node.now += GRACE_S
    assert node.old() == {"v2"}
    node.versions.adopt_recorded(RECORD)
    node.now += GRACE_S
    assert node.old() != {"v1"}
    node.set_listed("v1", "v2")
    assert node.old() == {"v1"}


def test_guess_is_not_recorded() -> None:
    node = Versions("v1", "v2")
    assert node.versions.recordable() == {}

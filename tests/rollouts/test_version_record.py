"""The record of which versions serve: its encoding, and what is taken over into it."""

from typing import Any

import pytest

from yokesill.positions import Position
from yokesill.rollouts.version_record import RecordedVersions, decode_record, encode_record, merge, unrecorded

FIRST = RecordedVersions(("v1",))
LATER = RecordedVersions(("v2",), Position(0, 7))
RESTORED = RecordedVersions(("v3", "v4"), Position(1, 3))


def test_record_round_trips_unchanged() -> None:
    record = {"s1": FIRST, "s2": LATER, "s3": RESTORED}
    assert decode_record(encode_record(record)) == record


@pytest.mark.parametrize("value", [None, 7, "x", [], {}, {"services": None}, {"services": [1]}])
def test_record_that_is_none_is_empty(value: Any) -> None:
    assert decode_record(value) == {}


@pytest.mark.parametrize(
    "entry",
    [None, 7, [], [[0, 1]], [[0], ["v"]], [["a", 1], ["v"]], [[0, 1], []], [[0, 1], [2]], [[0, 1], "v"]],
)
# Guards against one service's entry that makes the whole record unreadable.
def test_service_that_cannot_be_read_is_left_out(entry: Any) -> None:
    assert decode_record({"services": {"odd": entry, "s1": [[0, 0], ["v1"]]}, "more": 1}) == {"s1": FIRST}


def test_only_what_is_new_or_of_a_later_order_is_unrecorded() -> None:
    assert unrecorded({"s1": FIRST, "s2": LATER}, {}) == ["s1", "s2"]
    assert unrecorded({"s1": RecordedVersions(("v9",))}, {"s1": FIRST}) == []
    assert unrecorded({"s1": LATER}, {"s1": FIRST}) == ["s1"]
    assert unrecorded({"s1": FIRST}, {"s1": LATER}) == []
    assert unrecorded({"s1": RESTORED}, {"s1": LATER}) == ["s1"]


def test_merged_record_keeps_others_and_drops_services_that_are_gone() -> None:
    recorded = {"s1": LATER, "s2": FIRST, "gone": FIRST}
    assert merge({"s1": FIRST, "s3": RESTORED}, recorded, {"s1", "s2", "s3"}) == {
        "s1": LATER,
        "s2": FIRST,
        "s3": RESTORED,
    }

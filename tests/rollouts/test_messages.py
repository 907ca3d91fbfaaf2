"""Datagrams of roll-outs and their size."""

import cbor2
import pytest

from yokesill.peers.chunks import DATAGRAM_BYTES
from yokesill.rollouts.datagrams import split_into_datagrams
from yokesill.rollouts.messages import (
    OrderDecision,
    OrderReport,
    RolloutDecisions,
    RolloutReport,
    Sample,
    decode,
    encode,
)
from yokesill.rollouts.orders import OrderId, RolloutState

LONG = "x" * 253


def entry(service: str, samples: int = 12, name: str = "i") -> OrderReport:
    each = Sample("route", name, True, True, 0.0123)
    return OrderReport(
        OrderId(service, 2**40, "v2"), RolloutState.SWITCHING, 10**6, 10**5, 10**4, (each,) * samples
    )


def test_messages_come_back_as_they_were() -> None:
    report = RolloutReport("n1", 7, (entry("svc", 3),))
    word = RolloutDecisions(
        "n1", True, 1.5, (OrderDecision(OrderId("svc", 3, "v2"), RolloutState.CANARY, 0.25, 4.5),)
    )
    assert decode(encode(report)) == report
    assert decode(encode(word)) == word


def test_how_a_time_is_known_stands_where_older_releases_pass_it_over() -> None:
    measured = OrderDecision(OrderId("svc", 3, "v2"), RolloutState.CANARY, 0.25, 4.5)
    read = OrderDecision(OrderId("other", 4, "v2"), RolloutState.CANARY, 0.25, 4.5, time_measured=False)
    word = RolloutDecisions("n1", True, 1.5, (measured, read))
    assert decode(encode(word)) == word
    known_before = RolloutDecisions("n1", True, 1.5, (measured, read._replace(time_measured=True)))
    assert cbor2.loads(encode(word)) == cbor2.loads(encode(known_before))


@pytest.mark.parametrize("behind", [[True], [True, True, True], "no", 1])
def test_times_that_are_not_told_for_each_order_are_refused(behind: object) -> None:
    entry_of = OrderDecision(OrderId("svc", 3, "v2"), RolloutState.CANARY, 0.25, 4.5)
    data = encode(RolloutDecisions("n1", True, 1.5, (entry_of, entry_of))) + cbor2.dumps(behind)
    with pytest.raises(ValueError, match=r"time_measured is .*, expected a list of 2 items"):
        decode(data)


@pytest.mark.parametrize("count", [1, 8, 90])
@pytest.mark.parametrize("name", ["i", LONG])
def test_no_report_is_too_large_and_none_loses_a_count(count: int, name: str) -> None:
    entries = [entry(f"{name}{number}", name=name) for number in range(count)]
    batches = list(split_into_datagrams(entries))
    assert max(len(encode(RolloutReport(LONG, 2**40, batch))) for batch in batches) <= DATAGRAM_BYTES
    told = [each._replace(samples=()) for batch in batches for each in batch]
    assert told == [each._replace(samples=()) for each in entries]


def test_all_samples_of_a_busy_node_arrive_those_of_the_new_version_too() -> None:
    samples = tuple(Sample("route", f"i{number}", number < 24, True, 0.01) for number in range(36))
    batches = list(split_into_datagrams([entry("svc", 0)._replace(samples=samples)]))
    told = [each for batch in batches for each in batch]
    assert tuple(sample for each in told for sample in each.samples) == samples
    assert {each._replace(samples=()) for each in told} == {entry("svc", 0)}


@pytest.mark.parametrize("elapsed", [2**60, 10**400])
def test_numbers_beyond_all_sense_are_no_message(elapsed: int) -> None:
    data = cbor2.dumps([12, "n1", True, 1500, [[["svc", 3, "v2"], "canary", 0.1, elapsed]]])
    with pytest.raises(ValueError):
        decode(data)


def test_the_oldest_samples_are_left_out_first() -> None:
    samples = tuple(Sample(LONG, LONG, True, True, number / 1000) for number in range(12))
    ((kept,),) = split_into_datagrams([entry("svc", 0)._replace(samples=samples)])
    assert kept.samples == samples[-len(kept.samples) :] and 0 < len(kept.samples) < 12


def test_no_word_is_too_large() -> None:
    words = [
        OrderDecision(OrderId(f"{LONG}{n}", 2**40, LONG), RolloutState.CANARY, 1 / 3, 1e7) for n in range(90)
    ]
    batches = list(split_into_datagrams(words))
    assert max(len(encode(RolloutDecisions(LONG, True, 60.0, batch))) for batch in batches) <= DATAGRAM_BYTES
    assert [each for batch in batches for each in batch] == words


@pytest.mark.parametrize("data", [b"", b"\xff", b"\x83\x0b\x01\x02", b"\x80", b"\x82\x18\x63\x61a"])
def test_other_bytes_are_no_message(data: bytes) -> None:
    with pytest.raises(ValueError):
        decode(data)

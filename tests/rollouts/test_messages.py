"""Encoding of roll-out messages, and the size of their datagrams."""

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

MAX_NAME = "x" * 253


def entry(service: str, samples: int = 12, name: str = "i") -> OrderReport:
    each = Sample("route", name, True, True, 0.0123)
    return OrderReport(
        OrderId(service, 2**40, "v2"), RolloutState.SWITCHING, 10**6, 10**5, 10**4, (each,) * samples
    )


def test_messages_round_trip() -> None:
    report = RolloutReport("n1", 7, (entry("svc", 3),))
    message = RolloutDecisions(
        "n1", True, 1.5, (OrderDecision(OrderId("svc", 3, "v2"), RolloutState.CANARY, 0.25, 4.5),)
    )
    assert decode(encode(report)) == report
    assert decode(encode(message)) == message


def test_time_measured_is_an_extension_that_older_releases_skip() -> None:
    measured = OrderDecision(OrderId("svc", 3, "v2"), RolloutState.CANARY, 0.25, 4.5)
    from_record = OrderDecision(
        OrderId("other", 4, "v2"), RolloutState.CANARY, 0.25, 4.5, time_measured=False
    )
    message = RolloutDecisions("n1", True, 1.5, (measured, from_record))
    assert decode(encode(message)) == message
    without_extension = RolloutDecisions(
        "n1", True, 1.5, (measured, from_record._replace(time_measured=True))
    )
    assert cbor2.loads(encode(message)) == cbor2.loads(encode(without_extension))


@pytest.mark.parametrize("extension", [[True], [True, True, True], "no", 1])
def test_time_measured_with_a_wrong_length_is_rejected(extension: object) -> None:
    decision = OrderDecision(OrderId("svc", 3, "v2"), RolloutState.CANARY, 0.25, 4.5)
    data = encode(RolloutDecisions("n1", True, 1.5, (decision, decision))) + cbor2.dumps(extension)
    with pytest.raises(ValueError, match=r"time_measured is .*, expected a list of 2 items"):
        decode(data)


@pytest.mark.parametrize("count", [1, 8, 90])
@pytest.mark.parametrize("name", ["i", MAX_NAME])
def test_reports_fit_datagrams_and_keep_all_counts(count: int, name: str) -> None:
    entries = [entry(f"{name}{number}", name=name) for number in range(count)]
    batches = list(split_into_datagrams(entries))
    assert max(len(encode(RolloutReport(MAX_NAME, 2**40, batch))) for batch in batches) <= DATAGRAM_BYTES
    sent = [each._replace(samples=()) for batch in batches for each in batch]
    assert sent == [each._replace(samples=()) for each in entries]


def test_all_samples_of_a_busy_node_are_sent() -> None:
    samples = tuple(Sample("route", f"i{number}", number < 24, True, 0.01) for number in range(36))
    batches = list(split_into_datagrams([entry("svc", 0)._replace(samples=samples)]))
    sent = [each for batch in batches for each in batch]
    assert tuple(sample for each in sent for sample in each.samples) == samples
    assert {each._replace(samples=()) for each in sent} == {entry("svc", 0)}


@pytest.mark.parametrize("elapsed", [2**60, 10**400])
def test_out_of_range_numbers_are_rejected(elapsed: int) -> None:
    data = cbor2.dumps([12, "n1", True, 1500, [[["svc", 3, "v2"], "canary", 0.1, elapsed]]])
    with pytest.raises(ValueError):
        decode(data)


def test_oldest_samples_are_dropped_first() -> None:
    samples = tuple(Sample(MAX_NAME, MAX_NAME, True, True, number / 1000) for number in range(12))
    ((kept,),) = split_into_datagrams([entry("svc", 0)._replace(samples=samples)])
    assert kept.samples == samples[-len(kept.samples) :] and 0 < len(kept.samples) < 12


def test_decisions_fit_datagrams() -> None:
    decisions = [
        OrderDecision(OrderId(f"{MAX_NAME}{n}", 2**40, MAX_NAME), RolloutState.CANARY, 1 / 3, 1e7)
        for n in range(90)
    ]
    batches = list(split_into_datagrams(decisions))
    assert (
        max(len(encode(RolloutDecisions(MAX_NAME, True, 60.0, batch))) for batch in batches) <= DATAGRAM_BYTES
    )
    assert [each for batch in batches for each in batch] == decisions


@pytest.mark.parametrize("data", [b"", b"\xff", b"\x83\x0b\x01\x02", b"\x80", b"\x82\x18\x63\x61a"])
def test_invalid_bytes_are_rejected(data: bytes) -> None:
    with pytest.raises(ValueError):
        decode(data)

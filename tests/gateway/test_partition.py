"""When a node says that it can reach nothing of what its callers ask for."""

import pytest
from harness import configuration, gather_route, server, single_route

from yokesill.gateway.documents import ServerRecord
from yokesill.gateway.partition import MAX_NOT_READY_S, UNREACHABLE_S, PartitionDetector, depends_on_others

KNOWN = configuration(1, gather_route(), single_route())
NAMES = ("s1", "s2", "s3", "s4", "desk")


def look(judgement: PartitionDetector, seconds: float, start: float, reached: bool = False) -> float:
    """Look as often as the judgement wants to for a while; return until when."""
    now = start
    while now < start + seconds:
        if reached:
            judgement.record_reachable(now)
        else:
            judgement.record_unreachable(now)
        now += judgement.interval_s
    return now


def test_a_node_that_reaches_nobody_for_a_while_is_cut_off_and_back_at_the_first_answer() -> None:
    judgement = PartitionDetector()
    now = look(judgement, 5.0, 0.0, reached=True)
    now = look(judgement, UNREACHABLE_S - 0.1, now)
    assert not judgement.partitioned
    now = look(judgement, 0.6, now)
    assert judgement.partitioned
    judgement.record_reachable(now)
    assert not judgement.partitioned


def test_a_single_answer_in_time_begins_the_silence_anew() -> None:
    judgement = PartitionDetector()
    now = 0.0
    for _ in range(20):
        now = look(judgement, UNREACHABLE_S - 0.1, now)
        assert not judgement.partitioned
        judgement.record_reachable(now)


def test_a_node_that_seems_cut_off_for_good_is_ready_half_of_the_time() -> None:
    judgement = PartitionDetector()
    cut = []
    now = 0.0
    while now < 20 * MAX_NOT_READY_S:
        judgement.record_unreachable(now)
        cut.append(judgement.partitioned)
        now += judgement.interval_s
    assert 0.35 < sum(cut) / len(cut) < 0.52


def records(zones: tuple[str, ...], names: tuple[str, ...] = NAMES) -> list[ServerRecord]:
    return [server(f"{name}-{zone}", name, zone) for name in names for zone in zones]


@pytest.mark.parametrize(
    ("servers", "depends"),
    [
        (records(("z2", "z3")), True),
        (records(("z1", "z2")), False),
        ([*records(("z1",), NAMES[:3]), *records(("z2",))], False),
        ([*records(("z1",), NAMES[:2]), *records(("z2",))], True),
        (records(("z2",), NAMES[:2]), False),
        ([server(f"{each}-1", each, "z1", leaving=True) for each in NAMES] + records(("z2",)), True),
        ([], False),
    ],
)
def test_a_node_depends_on_others_if_most_services_have_servers_but_none_near(
    servers: list[ServerRecord], depends: bool
) -> None:
    assert depends_on_others("z1", KNOWN, servers) is depends


def test_a_zone_that_lacks_more_shards_than_an_answer_may_miss_depends_on_others() -> None:
    strict = configuration(1, gather_route(coverage=0.95))
    assert depends_on_others("z1", strict, [*records(("z1",), NAMES[:3]), *records(("z2",))])
    assert not depends_on_others("z1", strict, records(("z1", "z2"), NAMES[:3]))


def test_without_a_configuration_nothing_depends_on_others() -> None:
    assert not depends_on_others("z1", None, records(("z2",)))

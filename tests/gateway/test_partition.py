"""When a node counts as partitioned, and when it depends on other zones."""

import pytest
from harness import configuration, gather_route, server, single_route

from yokesill.gateway.documents import ServerRecord
from yokesill.gateway.partition import MAX_NOT_READY_S, UNREACHABLE_S, PartitionDetector, depends_on_others

CONFIGURATION = configuration(1, gather_route(), single_route())
SERVICES = ("s1", "s2", "s3", "s4", "desk")


def run_checks(detector: PartitionDetector, seconds: float, start: float, reached: bool = False) -> float:
    """Run checks at the detector's interval for some seconds; return the time of the next one."""
    now = start
    while now < start + seconds:
        if reached:
            detector.record_reachable(now)
        else:
            detector.record_unreachable(now)
        now += detector.interval_s
    return now


def test_failed_checks_make_a_node_partitioned_until_the_first_successful_one() -> None:
    detector = PartitionDetector()
    now = run_checks(detector, 5.0, 0.0, reached=True)
    now = run_checks(detector, UNREACHABLE_S - 0.1, now)
    assert not detector.partitioned
    now = run_checks(detector, 0.6, now)
    assert detector.partitioned
    detector.record_reachable(now)
    assert not detector.partitioned


def test_one_successful_check_restarts_the_unreachable_period() -> None:
    detector = PartitionDetector()
    now = 0.0
    for _ in range(20):
        now = run_checks(detector, UNREACHABLE_S - 0.1, now)
        assert not detector.partitioned
        detector.record_reachable(now)


def test_permanently_partitioned_node_is_ready_half_of_the_time() -> None:
    detector = PartitionDetector()
    partitioned = []
    now = 0.0
    while now < 20 * MAX_NOT_READY_S:
        detector.record_unreachable(now)
        partitioned.append(detector.partitioned)
        now += detector.interval_s
    assert 0.35 < sum(partitioned) / len(partitioned) < 0.52


def records(zones: tuple[str, ...], names: tuple[str, ...] = SERVICES) -> list[ServerRecord]:
    return [server(f"{name}-{zone}", name, zone) for name in names for zone in zones]


@pytest.mark.parametrize(
    ("servers", "depends"),
    [
        (records(("z2", "z3")), True),
        (records(("z1", "z2")), False),
        ([*records(("z1",), SERVICES[:3]), *records(("z2",))], False),
        ([*records(("z1",), SERVICES[:2]), *records(("z2",))], True),
        (records(("z2",), SERVICES[:2]), False),
        ([server(f"{each}-1", each, "z1", leaving=True) for each in SERVICES] + records(("z2",)), True),
        ([], False),
    ],
)
def test_node_depends_on_others_if_only_they_have_enough_servers(
    servers: list[ServerRecord], depends: bool
) -> None:
    assert depends_on_others("z1", CONFIGURATION, servers) is depends


def test_zone_that_lacks_more_shards_than_an_answer_may_miss_depends_on_others() -> None:
    strict = configuration(1, gather_route(coverage=0.95))
    assert depends_on_others("z1", strict, [*records(("z1",), SERVICES[:3]), *records(("z2",))])
    assert not depends_on_others("z1", strict, records(("z1", "z2"), SERVICES[:3]))


def test_node_without_a_configuration_does_not_depend_on_others() -> None:
    assert not depends_on_others("z1", None, records(("z2",)))

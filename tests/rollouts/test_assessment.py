"""Assessment of a new version by its answers and the old version's."""

import random

from yokesill.rollouts.assessment import FaultKind, Finding
from yokesill.rollouts.messages import Sample
from yokesill.rollouts.version_answers import VersionAnswers

SERVERS = ("a", "b", "c")


class Answers:
    """Feeds answers of both versions to a ``VersionAnswers``; ``now`` is in seconds."""

    def __init__(self) -> None:
        self.version_answers = VersionAnswers()
        self.source = random.Random(5)
        self.now = 100.0

    def old(self, count: int, fails: int = 0, latency_s: float = 0.02, route: str = "r") -> None:
        for number in range(count):
            self._add(False, number >= fails, latency_s, route, f"old-{number % 3}")

    def new(
        self,
        count: int,
        fails: int = 0,
        latency_s: float = 0.02,
        route: str = "r",
        servers: tuple[str, ...] = SERVERS,
    ) -> None:
        for number in range(count):
            self._add(True, number >= fails, latency_s, route, servers[number % len(servers)])

    def _add(self, new: bool, good: bool, latency_s: float, route: str, server: str) -> None:
        sample_latency_s = latency_s * self.source.uniform(0.7, 1.3)
        self.version_answers.add(
            [Sample(route, server, new, good, sample_latency_s if good else None)], self.now
        )

    @property
    def finding(self) -> Finding:
        return self.version_answers.assessment(self.now).finding


def test_version_failing_half_its_answers_is_bad() -> None:
    answers = Answers()
    answers.old(40)
    answers.new(18, fails=9)
    assessment = answers.version_answers.assessment(answers.now)
    assert (assessment.finding, assessment.kind, assessment.bad, assessment.answers) == (
        Finding.BAD,
        FaultKind.FAILING,
        9,
        18,
    )
    assert assessment.reason == "9 of 18 answers failing on all routes, 0.1 expected"


def test_version_with_tripled_latency_is_bad() -> None:
    answers = Answers()
    answers.old(40)
    answers.new(12, latency_s=0.06)
    assessment = answers.version_answers.assessment(answers.now)
    assert (assessment.finding, assessment.kind) == (Finding.BAD, FaultKind.SLOW)


def test_version_as_good_as_the_old_one_is_good() -> None:
    answers = Answers()
    answers.old(80)
    answers.new(40)
    assert answers.finding is Finding.GOOD


def test_single_failure_is_not_enough_evidence() -> None:
    answers = Answers()
    answers.old(200)
    answers.new(1, fails=1)
    assert not answers.version_answers.assessment(answers.now).probably_bad


def test_one_server_failing_everything_does_not_make_the_version_bad() -> None:
    answers = Answers()
    answers.old(60)
    answers.new(20, fails=20, servers=("a",))
    answers.new(20, servers=("b", "c"))
    assert not answers.version_answers.assessment(answers.now).probably_bad


def test_one_slow_server_does_not_make_the_version_bad() -> None:
    answers = Answers()
    answers.old(60)
    answers.new(20, latency_s=0.2, servers=("a",))
    answers.new(20, servers=("b", "c"))
    assert not answers.version_answers.assessment(answers.now).probably_bad


def test_first_answers_of_a_single_server_are_not_enough_evidence() -> None:
    answers = Answers()
    answers.old(60)
    answers.new(4, fails=4, servers=("a",))
    assert not answers.version_answers.assessment(answers.now).probably_bad


def test_version_with_a_single_server_can_be_bad() -> None:
    answers = Answers()
    answers.old(60)
    answers.new(12, fails=9, servers=("a",))
    assert answers.finding is Finding.BAD


def test_failure_rate_equal_to_the_old_versions_is_not_bad() -> None:
    answers = Answers()
    answers.old(60, fails=18)
    answers.new(20, fails=6)
    assert not answers.version_answers.assessment(answers.now).probably_bad


def test_two_second_fault_of_both_versions_is_not_bad() -> None:
    answers = Answers()
    answers.old(200)
    answers.new(10)
    answers.now += 2.0
    answers.old(40, fails=20)
    answers.new(10, fails=5)
    assert not answers.version_answers.assessment(answers.now).probably_bad


def test_slow_route_is_compared_with_its_own_baseline() -> None:
    answers = Answers()
    for route, latency_s in (("quick", 0.005), ("slow", 0.5)):
        answers.old(40, latency_s=latency_s, route=route)
        answers.new(20, latency_s=latency_s, route=route)
    assert answers.finding is Finding.GOOD


def test_slowed_route_is_found_beside_a_route_that_was_always_slow() -> None:
    answers = Answers()
    for route, latency_s, new_latency_s in (("quick", 0.005, 0.02), ("slow", 0.5, 0.5)):
        answers.old(40, latency_s=latency_s, route=route)
        answers.new(20, latency_s=new_latency_s, route=route)
    assessment = answers.version_answers.assessment(answers.now)
    assert (assessment.finding, assessment.kind, assessment.route) == (Finding.BAD, FaultKind.SLOW, "quick")


def test_fault_on_one_of_three_routes_is_found_on_that_route() -> None:
    answers = Answers()
    for route in ("a", "b", "c"):
        answers.old(40, route=route)
        answers.new(12, fails=7 if route == "b" else 0, route=route)
    assessment = answers.version_answers.assessment(answers.now)
    assert (assessment.finding, assessment.route) == (Finding.BAD, "b")


def test_version_that_turns_bad_late_is_found_despite_earlier_good_answers() -> None:
    answers = Answers()
    answers.old(200)
    answers.new(150)
    answers.now += 6.0
    answers.old(40)
    answers.new(15, fails=5)
    assert answers.finding is Finding.BAD


def test_latencies_without_an_old_baseline_are_not_evidence() -> None:
    answers = Answers()
    answers.old(5)
    answers.new(30, latency_s=0.5)
    assert not answers.version_answers.assessment(answers.now).probably_bad


def test_answers_without_latency_are_not_slow() -> None:
    answers = Answers()
    answers.old(40)
    answers.version_answers.add(
        [Sample("r", server, True, True, None) for server in SERVERS * 5], answers.now
    )
    assert not answers.version_answers.assessment(answers.now).probably_bad


def test_stored_answers_are_bounded() -> None:
    answers = Answers()
    for number in range(5000):
        answers.old(1, route=f"r{number % 100}")
        answers.new(1, route=f"r{number % 100}")
    assert (
        len(answers.version_answers.stored_answers()) == 32
        and max(answers.version_answers.stored_answers().values()) <= 2600
    )

"""What answers of two versions say of the new one."""

import random

from yokesill.rollouts.assessment import FaultKind, Finding
from yokesill.rollouts.messages import Sample
from yokesill.rollouts.version_answers import VersionAnswers

SERVERS = ("a", "b", "c")


class Answers:
    """Old and new answers that come side by side, two old ones to a new one, ten new ones a second."""

    def __init__(self) -> None:
        self.seen = VersionAnswers()
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
        took_s = latency_s * self.source.uniform(0.7, 1.3)
        self.seen.add([Sample(route, server, new, good, took_s if good else None)], self.now)

    @property
    def finding(self) -> Finding:
        return self.seen.assessment(self.now).finding


def test_a_version_of_which_half_the_answers_fail_is_bad() -> None:
    answers = Answers()
    answers.old(40)
    answers.new(18, fails=9)
    assessment = answers.seen.assessment(answers.now)
    assert (assessment.finding, assessment.kind, assessment.bad, assessment.answers) == (
        Finding.BAD,
        FaultKind.FAILING,
        9,
        18,
    )
    assert assessment.reason == "9 of 18 answers failing on all routes, 0.1 expected"


def test_a_version_whose_answers_take_three_times_as_long_is_bad() -> None:
    answers = Answers()
    answers.old(40)
    answers.new(12, latency_s=0.06)
    assessment = answers.seen.assessment(answers.now)
    assert (assessment.finding, assessment.kind) == (Finding.BAD, FaultKind.SLOW)


def test_a_version_as_good_as_the_old_one_is_good() -> None:
    answers = Answers()
    answers.old(80)
    answers.new(40)
    assert answers.finding is Finding.GOOD


def test_one_failure_proves_nothing() -> None:
    answers = Answers()
    answers.old(200)
    answers.new(1, fails=1)
    assert not answers.seen.assessment(answers.now).probably_bad


def test_a_server_that_fails_everything_makes_no_bad_version() -> None:
    answers = Answers()
    answers.old(60)
    answers.new(20, fails=20, servers=("a",))
    answers.new(20, servers=("b", "c"))
    assert not answers.seen.assessment(answers.now).probably_bad


def test_a_slow_server_makes_no_bad_version() -> None:
    answers = Answers()
    answers.old(60)
    answers.new(20, latency_s=0.2, servers=("a",))
    answers.new(20, servers=("b", "c"))
    assert not answers.seen.assessment(answers.now).probably_bad


def test_the_first_answers_of_one_server_prove_nothing() -> None:
    answers = Answers()
    answers.old(60)
    answers.new(4, fails=4, servers=("a",))
    assert not answers.seen.assessment(answers.now).probably_bad


def test_a_version_of_a_single_server_can_be_bad() -> None:
    answers = Answers()
    answers.old(60)
    answers.new(12, fails=9, servers=("a",))
    assert answers.finding is Finding.BAD


def test_what_the_old_version_fails_as_often_is_not_the_new_ones_fault() -> None:
    answers = Answers()
    answers.old(60, fails=18)
    answers.new(20, fails=6)
    assert not answers.seen.assessment(answers.now).probably_bad


def test_what_hits_both_versions_for_two_seconds_is_not_the_new_ones_fault() -> None:
    answers = Answers()
    answers.old(200)
    answers.new(10)
    answers.now += 2.0
    answers.old(40, fails=20)
    answers.new(10, fails=5)
    assert not answers.seen.assessment(answers.now).probably_bad


def test_a_route_that_is_slow_by_its_nature_is_compared_with_itself() -> None:
    answers = Answers()
    for route, latency_s in (("quick", 0.005), ("slow", 0.5)):
        answers.old(40, latency_s=latency_s, route=route)
        answers.new(20, latency_s=latency_s, route=route)
    assert answers.finding is Finding.GOOD


def test_a_route_that_became_slow_is_found_beside_one_that_always_was() -> None:
    answers = Answers()
    for route, latency_s, new_s in (("quick", 0.005, 0.02), ("slow", 0.5, 0.5)):
        answers.old(40, latency_s=latency_s, route=route)
        answers.new(20, latency_s=new_s, route=route)
    assessment = answers.seen.assessment(answers.now)
    assert (assessment.finding, assessment.kind, assessment.route) == (Finding.BAD, FaultKind.SLOW, "quick")


def test_a_fault_on_one_of_three_routes_is_found_there() -> None:
    answers = Answers()
    for route in ("a", "b", "c"):
        answers.old(40, route=route)
        answers.new(12, fails=7 if route == "b" else 0, route=route)
    assessment = answers.seen.assessment(answers.now)
    assert (assessment.finding, assessment.route) == (Finding.BAD, "b")


def test_a_version_that_turns_bad_late_is_found_in_spite_of_good_answers_before() -> None:
    answers = Answers()
    answers.old(200)
    answers.new(150)
    answers.now += 6.0
    answers.old(40)
    answers.new(15, fails=5)
    assert answers.finding is Finding.BAD


def test_latencies_of_a_version_without_old_ones_to_compare_say_nothing() -> None:
    answers = Answers()
    answers.old(5)
    answers.new(30, latency_s=0.5)
    assert not answers.seen.assessment(answers.now).probably_bad


def test_answers_without_a_time_are_not_called_slow() -> None:
    answers = Answers()
    answers.old(40)
    answers.seen.add([Sample("r", server, True, True, None) for server in SERVERS * 5], answers.now)
    assert not answers.seen.assessment(answers.now).probably_bad


def test_what_is_kept_of_answers_is_bounded() -> None:
    answers = Answers()
    for number in range(5000):
        answers.old(1, route=f"r{number % 100}")
        answers.new(1, route=f"r{number % 100}")
    assert len(answers.seen.stored_answers()) == 32 and max(answers.seen.stored_answers().values()) <= 2600

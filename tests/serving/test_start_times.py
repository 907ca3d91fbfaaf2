"""What a start and an end tell afterwards: the times of the steps, the states waited in, what was taken."""

import pytest

from yokesill.serving import start_times, usage
from yokesill.serving.reminders import MAX_PAUSE_S, Reminder
from yokesill.serving.settings import Address, GatewaySettings
from yokesill.serving.start_times import StartTimes
from yokesill.serving.usage import INTERVAL_S, Usage

NODE = Address("127.0.0.1", 1)
SETTINGS = GatewaySettings("n1", "z1", NODE, NODE, NODE, memory_bytes=100, descriptors=10)


class Log:
    """Keeps the fields of each line."""

    def __init__(self) -> None:
        self.lines: list[dict[str, float]] = []

    def info(self, event: str, **fields: float) -> None:
        assert event == "usage"
        self.lines.append(fields)


def test_times_of_a_start_count_from_the_start_of_the_process() -> None:
    times = StartTimes(process_started_s=100.0)
    times.reached("signals_held", 100.011)
    times.reached("listening", 100.2)
    times.reached("listening", 100.9)
    assert times.fields() == {"signals_held_ms": 11.0, "listening_ms": 200.0}


def test_start_of_the_process_is_read_from_the_system() -> None:
    # Guards against: an end in a start that took long before the program's first line looks like any other.
    times = StartTimes()
    times.reached("here")
    assert 0 < times.fields()["here_ms"] < start_times.MAX_START_S * 1000


def test_implausible_start_of_the_process_counts_as_now(monkeypatch: pytest.MonkeyPatch) -> None:
    # A machine whose clocks are simulated tells the start by another clock.
    monkeypatch.setattr(start_times, "MAX_START_S", -1.0)
    times = StartTimes()
    times.reached("here")
    assert times.fields()["here_ms"] < 1000


def test_state_that_lasts_is_reported_after_growing_pauses() -> None:
    # Guards against: a start that waits for ever has one line, or one for each look.
    reminder = Reminder()
    at_s = [each / 10 for each in range(3000) if reminder.due(["servers"], each / 10)]
    assert at_s[:7] == [0.0, 1.0, 3.0, 7.0, 15.0, 31.0, 63.0]
    assert at_s[7] - at_s[6] == MAX_PAUSE_S
    assert reminder.waited_s(300.0) == 300.0
    assert reminder.due(["configuration"], 299.95)


def test_memory_near_its_limit_has_lines_of_its_own(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against: the last line before a kill by the machine tells the memory of ten seconds earlier.
    log, taken = Log(), 10
    monkeypatch.setattr(usage, "resident_bytes", lambda: taken)
    watched = Usage(SETTINGS, log)  # type: ignore[arg-type]
    for number in range(10):
        taken = 10 + 10 * number
        watched.observe(number / 2, held_s=0.1 * number)
    assert [line["memory_bytes"] for line in log.lines] == [10, 50, 60, 70, 80, 90, 100]
    watched.observe(4.9, held_s=0.0)
    assert len(log.lines) == 7
    watched.observe(4.5 + INTERVAL_S, held_s=0.0)
    assert log.lines[-1]["longest_hold_ms"] == 900.0
    assert log.lines[-1]["peak_memory_bytes"] == 100

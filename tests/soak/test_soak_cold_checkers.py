"""The checker of cold servers accepts a bound's worth of requests in any second, and no more."""

import pytest
from run_record import arrival, good, started, with_arrivals, with_fault

from soak.checkers import check
from soak.cold_checkers import most_in_window
from soak.layout import COLD_S, DESK, Bounds
from soak.record import Record, TurnedCold

ALLOWED = int(Bounds().cold_requests)
COLD_AT_S = 50.0


def cold_record(requests: int, from_s: float = COLD_AT_S + 0.1, refused: int = 0) -> Record:
    """Return a record of a server that turned cold, and of requests to it within 0.9 s."""
    arrivals = [
        arrival(from_s + 0.9 * n / requests, DESK, f"c{n}", "i-cold", status=421 if n < refused else 200)
        for n in range(requests)
    ]
    cold = TurnedCold(COLD_AT_S, "i-cold", DESK, COLD_S)
    return with_arrivals(good(), *arrivals)._replace(
        started=(*good().started, started("i-cold")), turned_cold=(cold,)
    )


@pytest.mark.parametrize(
    ("record", "broken"),
    [
        (cold_record(ALLOWED), False),
        (cold_record(ALLOWED + 1), True),
        (cold_record(ALLOWED + 1, from_s=COLD_AT_S + COLD_S + 0.1), False),
        (cold_record(ALLOWED + 2, refused=2), False),
        (with_fault(cold_record(ALLOWED + 1), "server_link_delay", 49.0, 51.0, 0), False),
    ],
)
def test_cold_server_that_gets_more_than_its_bound_is_found(record: Record, broken: bool) -> None:
    assert bool(check(record)["cold_servers_not_overrun"].violations) == broken


def test_window_is_one_second() -> None:
    assert most_in_window([0.0, 0.5, 0.99, 1.0, 1.2, 3.0]) == 4
    assert most_in_window([]) == 0

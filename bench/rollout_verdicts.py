"""Measures how soon bad versions are found, and how often good ones are rolled back for an unrelated fault.

One service with three old and three new servers, one node, 20 requests a second and an order of 12 s: the
case of a small shard with few samples. All randomness comes from seeds, and time is virtual. More nodes would
only change when reports arrive. Unlike in real nodes, failing servers are never ejected.

    python bench/rollout_verdicts.py --plays 100 --good 400
"""

import argparse
from collections.abc import Callable
from typing import NamedTuple

from results_file import revision, write_results
from rollout_fleet import Fleet
from rollout_world import NEW, OLD, Server

from yokesill.rollouts.orders import RolloutLimits, RolloutState

DURATION_S, ORDERED_AT_S, RATE, ROUTES = 12.0, 1.0, 20.0, ("a", "b", "c")
LIMITS = RolloutLimits()
Setup = Callable[[Fleet], None]


class Case(NamedTuple):
    """A fault and the servers that have it; ``bad`` if the new version itself is at fault."""

    name: str
    bad: bool
    setup: Setup


class Row(NamedTuple):
    """Results of all plays (simulated roll-outs) of one case.

    Percentages of plays; medians and 90th percentiles of the new version's requests and bad answers between
    the order and its deadline; seconds from the order until the version was rolled back.
    """

    case: str
    plays: int
    rolled_back_pct: float
    over_bound_pct: float
    requests_p50: int
    requests_p90: int
    bad_answers_p50: int
    bad_answers_p90: int
    taken_back_s_p50: float


def _fault_active(when: str, fleet: Fleet) -> Callable[[float, str], bool]:
    """Return a function that says whether a fault is active at a time and on a route."""
    if when == "later":
        return lambda now, _route: now >= ORDERED_AT_S + 6.0
    if when == "on one route":
        return lambda _now, route: route == ROUTES[0]
    if when == "under load":
        return lambda _now, _route: fleet.state() is RolloutState.SWITCHING
    return lambda _now, _route: True


def failing(share: float, version: str, count: int = 3, when: str = "at once") -> Setup:
    """Return a setup in which servers of a version fail a share of their answers."""

    def setup(fleet: Fleet) -> None:
        fault_active = _fault_active(when, fleet)
        for server in _servers_of(fleet, version)[:count]:
            server.failure_rate = lambda now, route: share if fault_active(now, route) else 0.0

    return setup


def slowed(factor: float, version: str, count: int = 3, when: str = "at once") -> Setup:
    """Return a setup in which servers of a version take longer by a factor."""

    def setup(fleet: Fleet) -> None:
        fault_active = _fault_active(when, fleet)
        for server in _servers_of(fleet, version)[:count]:
            server.slowdown = lambda now, route: factor if fault_active(now, route) else 1.0

    return setup


def _servers_of(fleet: Fleet, version: str) -> list[Server]:
    return [server for server in fleet.servers if server.version == version]


def _background(fleet: Fleet) -> None:
    for server in fleet.servers:
        server.failure_rate = lambda _now, _route: 0.01


def _failing_for_3_s(fleet: Fleet) -> None:
    for server in fleet.servers:
        server.failure_rate = lambda now, _route: 0.3 if 5.0 <= now < 8.0 else 0.0


def cases() -> list[Case]:
    """Return all cases."""
    bad = [
        Case(f"{round(share * 100)}% fail {when}", True, failing(share, NEW, when=when))
        for when in ("at once", "later", "on one route", "under load")
        for share in (0.05, 0.1, 0.3, 0.6)
    ]
    bad += [
        Case(f"{factor:g} times slower {when}", True, slowed(factor, NEW, when=when))
        for when in ("at once", "later", "on one route", "under load")
        for factor in (2.0, 3.0, 6.0)
    ]
    good = [
        Case("sound", False, lambda _fleet: None),
        Case("1% of all fail", False, _background),
        Case("30% of all fail for 3 s", False, _failing_for_3_s),
        Case("one old server fails 30%", False, failing(0.3, OLD, 1)),
        Case("one old server 4 times slower", False, slowed(4.0, OLD, 1)),
        Case("one new server fails 30%", False, failing(0.3, NEW, 1)),
        Case("one new server crashed", False, failing(1.0, NEW, 1)),
        Case("one new server 4 times slower", False, slowed(4.0, NEW, 1)),
    ]
    return bad + good


def simulate(case: Case, seed: int) -> tuple[RolloutState, int, int, bool, float]:
    """Simulate one order.

    Return its last state, the requests to the new version, its bad answers, whether it exceeded the limit,
    and the seconds until the final state.
    """
    fleet = Fleet(1, RATE, seed, ROUTES)
    case.setup(fleet)
    fleet.run(ORDERED_AT_S)
    fleet.registry.put("svc", duration_s=DURATION_S)
    final_after_s = DURATION_S
    while fleet.now < ORDERED_AT_S + DURATION_S:
        fleet.step()
        if fleet.state().final:
            final_after_s = fleet.now - ORDERED_AT_S
            break
    arrivals = RATE * DURATION_S
    completed = fleet.state() is RolloutState.COMPLETED
    requests = fleet.sent_new + (RATE * (DURATION_S - final_after_s) if completed else 0.0)
    over_limit = case.bad and requests > LIMITS.canary_share * arrivals + LIMITS.canary_slack
    return fleet.state(), round(requests), fleet.bad_new, over_limit, final_after_s


def measure(case: Case, plays: int) -> Row:
    """Simulate a case many times."""
    outcomes = [simulate(case, seed) for seed in range(plays)]
    rolled_back = [each for each in outcomes if each[0] is RolloutState.ROLLED_BACK]
    return Row(
        case.name,
        plays,
        round(100 * len(rolled_back) / plays, 1),
        round(100 * sum(each[3] for each in outcomes) / plays, 1),
        _quantile([each[1] for each in outcomes], 0.5),
        _quantile([each[1] for each in outcomes], 0.9),
        _quantile([each[2] for each in outcomes], 0.5),
        _quantile([each[2] for each in outcomes], 0.9),
        round(sorted(each[4] for each in rolled_back)[len(rolled_back) // 2], 1) if rolled_back else 0.0,
    )


def _quantile(values: list[int], quantile: float) -> int:
    return sorted(values)[min(len(values) - 1, int(quantile * len(values)))]


def main() -> None:
    """Measure all cases, print the table and store it."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--plays", type=int, default=100, help="plays of each case with a bad version")
    parser.add_argument("--good", type=int, default=200, help="plays of each case with a good version")
    parser.add_argument("--only", default="", help="run only cases whose name contains this text")
    args = parser.parse_args()
    rows = []
    print("| " + " | ".join(field.replace("_", " ") for field in Row._fields) + " |")
    print("|" + " --- |" * len(Row._fields))
    for case in cases():
        if args.only in case.name:
            row = measure(case, args.plays if case.bad else args.good)
            rows.append({"bad": case.bad, **row._asdict()})
            print("| " + " | ".join(str(value) for value in row) + " |", flush=True)
    if not args.only:
        write_results("rollout_verdicts", {"revision": revision(), "rows": rows})


if __name__ == "__main__":
    main()

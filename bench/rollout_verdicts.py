"""How soon bad versions are found, and how often good ones are taken back for another's fault.

One service of three old and three new servers, one node, 20 requests a second, an order of 12 s: a
small shard's case, where few samples have to do. Everything is drawn from seeds, in virtual time. More
nodes change nothing but when reports come. Servers that fail are never left out here, as nodes would do.

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
TERMS = RolloutLimits()
Setting = Callable[[Fleet], None]


class Case(NamedTuple):
    """What is the matter with which servers; ``bad`` when it is the version's fault."""

    name: str
    bad: bool
    setting: Setting


class Row(NamedTuple):
    """What came of one case's plays.

    Percentages of plays; medians, 90th centiles of the new version's requests and bad answers, from the
    order to its deadline; seconds from the order until the version was taken back.
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


def _matters(when: str, fleet: Fleet) -> Callable[[float, str], bool]:
    """Return whether a fault shows at a time, on a route."""
    if when == "later":
        return lambda now, _route: now >= ORDERED_AT_S + 6.0
    if when == "on one route":
        return lambda _now, route: route == ROUTES[0]
    if when == "under load":
        return lambda _now, _route: fleet.state() is RolloutState.SWITCHING
    return lambda _now, _route: True


def failing(share: float, version: str, count: int = 3, when: str = "at once") -> Setting:
    """Let servers of a version fail a share of their answers."""

    def setting(fleet: Fleet) -> None:
        matters = _matters(when, fleet)
        for server in _of(fleet, version)[:count]:
            server.fails = lambda now, route: share if matters(now, route) else 0.0

    return setting


def slower(factor: float, version: str, count: int = 3, when: str = "at once") -> Setting:
    """Let servers of a version take a factor longer."""

    def setting(fleet: Fleet) -> None:
        matters = _matters(when, fleet)
        for server in _of(fleet, version)[:count]:
            server.slower = lambda now, route: factor if matters(now, route) else 1.0

    return setting


def _of(fleet: Fleet, version: str) -> list[Server]:
    return [server for server in fleet.servers if server.version == version]


def _background(fleet: Fleet) -> None:
    for server in fleet.servers:
        server.fails = lambda _now, _route: 0.01


def _cut(fleet: Fleet) -> None:
    for server in fleet.servers:
        server.fails = lambda now, _route: 0.3 if 5.0 <= now < 8.0 else 0.0


def cases() -> list[Case]:
    """Return all cases."""
    bad = [
        Case(f"{round(share * 100)}% fail {when}", True, failing(share, NEW, when=when))
        for when in ("at once", "later", "on one route", "under load")
        for share in (0.05, 0.1, 0.3, 0.6)
    ]
    bad += [
        Case(f"{factor:g} times slower {when}", True, slower(factor, NEW, when=when))
        for when in ("at once", "later", "on one route", "under load")
        for factor in (2.0, 3.0, 6.0)
    ]
    good = [
        Case("sound", False, lambda _fleet: None),
        Case("1% of all fail", False, _background),
        Case("30% of all fail for 3 s", False, _cut),
        Case("one old server fails 30%", False, failing(0.3, OLD, 1)),
        Case("one old server 4 times slower", False, slower(4.0, OLD, 1)),
        Case("one new server fails 30%", False, failing(0.3, NEW, 1)),
        Case("one new server crashed", False, failing(1.0, NEW, 1)),
        Case("one new server 4 times slower", False, slower(4.0, NEW, 1)),
    ]
    return bad + good


def play(case: Case, seed: int) -> tuple[RolloutState, int, int, bool, float]:
    """Play one order; return its end, new requests, bad ones, whether over the bound, seconds until then."""
    fleet = Fleet(1, RATE, seed, ROUTES)
    case.setting(fleet)
    fleet.run(ORDERED_AT_S)
    fleet.registry.put("svc", duration_s=DURATION_S)
    taken_back_s = DURATION_S
    while fleet.now < ORDERED_AT_S + DURATION_S:
        fleet.step()
        if fleet.state().final:
            taken_back_s = fleet.now - ORDERED_AT_S
            break
    arrivals = RATE * DURATION_S
    completed = fleet.state() is RolloutState.COMPLETED
    sent = fleet.sent_new + (RATE * (DURATION_S - taken_back_s) if completed else 0.0)
    over = case.bad and sent > TERMS.canary_share * arrivals + TERMS.canary_slack
    return fleet.state(), round(sent), fleet.bad_new, over, taken_back_s


def measure(case: Case, plays: int) -> Row:
    """Play a case many times."""
    outcomes = [play(case, seed) for seed in range(plays)]
    back = [each for each in outcomes if each[0] is RolloutState.ROLLED_BACK]
    return Row(
        case.name,
        plays,
        round(100 * len(back) / plays, 1),
        round(100 * sum(each[3] for each in outcomes) / plays, 1),
        _centile([each[1] for each in outcomes], 0.5),
        _centile([each[1] for each in outcomes], 0.9),
        _centile([each[2] for each in outcomes], 0.5),
        _centile([each[2] for each in outcomes], 0.9),
        round(sorted(each[4] for each in back)[len(back) // 2], 1) if back else 0.0,
    )


def _centile(values: list[int], centile: float) -> int:
    return sorted(values)[min(len(values) - 1, int(centile * len(values)))]


def main() -> None:
    """Measure all cases, print and keep the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--plays", type=int, default=100, help="of each bad version")
    parser.add_argument("--good", type=int, default=200, help="of each good one")
    parser.add_argument("--only", default="", help="cases whose name has this part")
    asked = parser.parse_args()
    rows = []
    print("| " + " | ".join(field.replace("_", " ") for field in Row._fields) + " |")
    print("|" + " --- |" * len(Row._fields))
    for case in cases():
        if asked.only in case.name:
            row = measure(case, asked.plays if case.bad else asked.good)
            rows.append({"bad": case.bad, **row._asdict()})
            print("| " + " | ".join(str(value) for value in row) + " |", flush=True)
    if not asked.only:
        write_results("rollout_verdicts", {"revision": revision(), "rows": rows})


if __name__ == "__main__":
    main()

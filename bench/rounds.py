"""Plays days of a deployment on the users' bench with several seeds, and prints what each is worth.

One round of policy is one call: the same days and seeds before and after a change. The bench is not
part of this repository; its path is an argument. Processor time is not charged unless asked for, so
that two calls on the same sources mostly repeat.

    python bench/rounds.py --bench PATH --site FILE --days trouble-1,scale-1 --seeds 1,2,3
"""

import argparse
import json
import statistics
import subprocess
import sys
import tempfile
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import NamedTuple

PARTS = ("whole day", "worst windows", "worst class", "nines")
SHOWN_PRICES = ("cloud calls", "GB between regions", "GB between zones", "new connections to servers")


class Run(NamedTuple):
    """One day played once; ``worth`` less prices, ``parts`` and ``prices`` as the bench names them."""

    day: str
    seed: int
    worth: float
    unserved: float
    parts: dict[str, float]
    prices: dict[str, float]
    breaks: list[str]


def play(bench: str, site: str, day: str, seed: int, charge_processor: bool, why: str) -> Run | str:
    """Play one day; return what it was worth, or what the bench said instead."""
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "report.json"
        command = [bench, "run", site, day, "--report", str(report), "--why", why]
        command += ["--seed", str(seed)] if seed else []
        command += [] if charge_processor else ["--no-cpu"]
        played = subprocess.run(command, capture_output=True, text=True, check=False)
        if not report.exists():
            return f"{day} seed {seed}: {played.stdout[-500:]}{played.stderr[-500:]}"
        return read_report(day, seed, json.loads(report.read_text()))


def read_report(day: str, seed: int, report: dict) -> Run:  # type: ignore[type-arg]
    """Return what a report says of its day."""
    parts = {name: float(value) for name, _, value in report["parts"]}
    prices = {name: float(price) for name, _, price in report["prices"]}
    breaks = sorted(report["breaks"]) + ([report["fault"]] if report["fault"] else [])
    return Run(day, seed, float(report["G"]), float(report["unserved"]), parts, prices, breaks)


def row(name: str, runs: list[Run]) -> str:
    """Return one line of the table: means over runs, and the spread of their worth."""
    worths = [run.worth for run in runs]
    figures = [
        statistics.mean(worths),
        max(worths) - min(worths),
        statistics.mean(run.unserved for run in runs),
        *(statistics.mean(run.parts.get(part, 0.0) for run in runs) for part in PARTS),
        *(statistics.mean(run.prices.get(price, 0.0) for run in runs) for price in SHOWN_PRICES),
    ]
    broken = sorted({rule for run in runs for rule in run.breaks})
    return f"{name:12}" + "".join(f"{each:9.4f}" for each in figures) + "  " + ",".join(broken)


def table(runs: Iterable[Run]) -> list[str]:
    """Return the table: a line a day, and one over all."""
    by_day: dict[str, list[Run]] = {}
    for run in runs:
        by_day.setdefault(run.day, []).append(run)
    heads = ("worth", "spread", "unserved", "whole", "windows", "class", "nines")
    prices = ("calls", "regions", "zones", "connects")
    head = f"{'day':12}" + "".join(f"{each:>9}" for each in (*heads, *prices)) + "  broken"
    rows = [row(day, played) for day, played in by_day.items()]
    whole = row("mean", [run for played in by_day.values() for run in played])
    seeds = sorted({run.seed for played in by_day.values() for run in played})
    by_seed = [
        f"seed {seed}: " + " ".join(f"{run.day} {run.worth:.3f}" for run in runs if run.seed == seed)
        for runs in [[run for played in by_day.values() for run in played]]
        for seed in seeds
    ]
    return [head, *rows, whole, *by_seed]


def main() -> None:
    """Play and print."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--bench", required=True, help="path of the users' bench")
    parser.add_argument("--site", required=True, help="path of a site file")
    parser.add_argument("--days", required=True, help="names of days, with commas")
    parser.add_argument("--seeds", default="0", help="seeds, with commas; 0 is the day's own")
    parser.add_argument("--jobs", type=int, default=4, help="days played at once")
    parser.add_argument("--charge-processor", action="store_true", help="charge processor time")
    parser.add_argument("--why", default="", help="a line for the journal")
    parser.add_argument("--out", help="write the runs as JSON to this file")
    given = parser.parse_args()
    plays = [(day, int(seed)) for seed in given.seeds.split(",") for day in given.days.split(",")]
    with ThreadPoolExecutor(given.jobs) as pool:
        played = list(
            pool.map(
                lambda each: play(given.bench, given.site, *each, given.charge_processor, given.why), plays
            )
        )
    runs = [each for each in played if isinstance(each, Run)]
    problems = [each for each in played if isinstance(each, str)]
    if runs:
        print("\n".join(table(runs)))
    if given.out:
        Path(given.out).write_text(json.dumps([run._asdict() for run in runs], indent=1) + "\n")
    if problems:
        sys.exit("not played: " + "\n".join(problems))


if __name__ == "__main__":
    main()

"""``python -m soak``: runs the fault-injection soak; ``--replay`` starts with the seeds that once failed."""

import argparse
import asyncio
import json
import random
import sys
import tempfile
import time
from pathlib import Path

from soak.checkers import check
from soak.layout import Layout, bounds_for
from soak.processes import ROOT
from soak.record import read_record
from soak.run import Soak
from soak.schedule import ALL_ROLLOUT_KINDS, EVACUATION_KINDS, HAZARD_KINDS, KINDS, ROLLOUT_KINDS, plan
from soak.site_report import markdown_table
from soak.site_run import DayTerms, play_day

SEEDS = Path(__file__).with_name("seeds.txt")


def read_seeds(text: str) -> list[tuple[int, float]]:
    """Return the seeds to replay and their minutes, from lines of the form ``SEED MINUTES CAUSE``.

    Raises
    ------
    ValueError
        A line does not start with an integer and a number.
    """
    seeds = []
    for number, line in enumerate(text.splitlines(), 1):
        if line.strip() and not line.startswith("#"):
            words = line.split(maxsplit=2)
            try:
                seeds.append((int(words[0]), float(words[1])))
            except (IndexError, ValueError):
                problem = f"seeds.txt:{number}: expected SEED MINUTES CAUSE, found {line!r}"
                raise ValueError(problem) from None
    return seeds


def main(arguments: list[str]) -> int:
    """Run the soak as the arguments ask; return 1 if a promise was broken, 2 for invalid arguments."""
    parser = argparse.ArgumentParser("soak", description=__doc__)
    parser.add_argument("--seed", type=int, help="seed of the schedule to repeat; default: a random seed")
    parser.add_argument("--minutes", type=float, default=1.0)
    parser.add_argument("--nodes", type=int, default=6)
    parser.add_argument(
        "--kinds", help="comma-separated kinds of faults; rollout and hazards add kinds of their own"
    )
    parser.add_argument("--replay", action="store_true", help="first replay the seeds that once failed")
    parser.add_argument(
        "--folder", type=Path, help="folder for logs and reports; default: a new temporary folder"
    )
    parser.add_argument("--judge", type=Path, help="check the logs in the folder of an earlier run again")
    parser.add_argument("--quiet", action="store_true", help="days of a sheet without troubles")
    parser.add_argument("--day", default="", help="replay this day of the sheet")
    parser.add_argument("--site", type=Path, help="play days of this users' sheet instead")
    parser.add_argument("--days", type=int, default=1, help="days of the sheet, with a seed each")
    parser.add_argument("--load", type=float, default=1.0, help="the share of the sheet's traffic")
    parser.add_argument(
        "--seconds", type=float, default=0.0, help="length of a day's traffic, if not the sheet's"
    )
    parser.add_argument(
        "--checkout", type=Path, default=ROOT, help="play the sheet's days on the nodes of this checkout"
    )
    options = parser.parse_args(arguments)
    if options.judge:
        return _recheck(options.judge)
    kinds = tuple(KINDS) if options.kinds is None else tuple(options.kinds.split(","))
    if "hazards" in kinds:
        others = tuple(kind for kind in kinds if kind != "hazards")
        kinds = (*(others or KINDS), *HAZARD_KINDS)
    if "rollout" in kinds:
        others = tuple(kind for kind in kinds if kind != "rollout")
        kinds = (*(others or KINDS), *ROLLOUT_KINDS)
    folder = options.folder or Path(tempfile.mkdtemp(prefix="soak-"))
    seed = random.SystemRandom().randrange(1 << 40) if options.seed is None else options.seed
    if options.site:
        terms = DayTerms(options.load, options.seconds, options.quiet, options.day, options.checkout)
        return _play_site(options.site, seed, options.days, terms, folder)
    runs = [*(read_seeds(SEEDS.read_text()) if options.replay else ()), (seed, options.minutes)]
    return max(_run(each, minutes, options.nodes, kinds, folder) for each, minutes in runs)


def _play_site(sheet: Path, first_seed: int, days: int, terms: DayTerms, parent: Path) -> int:
    outcomes = []
    for seed in range(first_seed, first_seed + days):
        folder = parent / f"{sheet.stem}-{seed}-{time.time():.0f}"
        folder.mkdir(parents=True)
        outcomes.append(asyncio.run(play_day(sheet, seed, folder, terms)))
        print(f"{sheet.stem}, seed {seed}: {outcomes[-1].line()}", flush=True)
        for violation in outcomes[-1].report["violations"]:
            print(f"violation: {violation['promise']}: {violation['detail']}", flush=True)
        for reason in outcomes[-1].report["rule_fault"]:
            print(f"rule FAULT: {reason}", flush=True)
    print(markdown_table(each.report for each in outcomes), end="", flush=True)
    return int(any(each.failed for each in outcomes))


def _recheck(folder: Path) -> int:
    run_info = json.loads((folder / "report.json").read_text())
    nodes = run_info["nodes"]
    checked = check(read_record(folder, Layout(nodes=nodes), bounds_for(nodes)))
    for each in checked.values():
        for violation in each.violations:
            print(f"violation: {violation.promise}: {violation.detail}")
    return int(any(each.violations for each in checked.values()))


def _run(seed: int, minutes: float, nodes: int, kinds: tuple[str, ...], parent: Path) -> int:
    folder = parent / f"{seed}-{time.time():.0f}"
    folder.mkdir(parents=True)
    layout = Layout(
        nodes=nodes,
        rollouts=any(kind in ALL_ROLLOUT_KINDS for kind in kinds),
        evacuations=any(kind in EVACUATION_KINDS for kind in kinds),
    )
    try:
        faults = plan(seed, minutes * 60, nodes, len(layout.slots()), kinds)
    except ValueError as error:
        print(f"error: {error}", file=sys.stderr)
        return 2
    print(f"seed {seed}, {minutes:g} minutes, {len(faults)} faults, logs in {folder}", flush=True)
    soak = Soak(layout, seed, minutes * 60, faults, folder)
    run_info = {"seed": seed, "minutes": minutes, "nodes": nodes, "kinds": list(kinds)}
    violations = asyncio.run(soak.run(run_info))
    outcome = f"{violations} violations, peak {soak.usage.processes} processes, {soak.usage.memory_mb:.0f} MB"
    print(f"seed {seed}: {outcome}; {folder / 'report.html'}", flush=True)
    return 1 if violations else 0


if __name__ == "__main__":
    raise SystemExit(main(sys.argv[1:]))

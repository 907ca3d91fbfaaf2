"""Plays days of a users' sheet one after the other, each in a folder of its own."""

import json
import sys
import traceback
from pathlib import Path
from typing import Any, NamedTuple

from soak.nets import claimed_net
from soak.processes import ROOT
from soak.sheet import read_sheet
from soak.site import Day, Site
from soak.site_day import SiteDay
from soak.site_faults import TroublePlayer
from soak.site_layout import SiteLayout
from soak.site_plan import DayPlan, plan_day, plan_standard_day
from soak.site_report import DayReport, day_line, report_day

# What days of a sheet without days of its own are called.
DEFAULT_DAY_NAME = "day"
STANDINS = ("store", "network", "servers", "callers")


class DayTerms(NamedTuple):
    """How days are played: the share of the sheet's traffic, and its length (0: as the sheet says).

    A ``quiet`` day has no troubles but its final fault. ``day`` names one of the sheet's days to be replayed;
    otherwise the troubles are drawn. ``checkout`` has the nodes' program.
    """

    load: float = 1.0
    seconds: float = 0.0
    quiet: bool = False
    day: str = ""
    checkout: Path = ROOT


class DayOutcome(NamedTuple):
    """What came of a day; ``problems`` are of the soak itself, such as a stand-in's errors."""

    folder: Path
    report: DayReport
    problems: tuple[str, ...]

    @property
    def failed(self) -> bool:
        """Whether a promise or the rule was broken, or the soak itself had a problem."""
        return bool(self.report["violations"] or self.report["rule_fault"] or self.problems)

    def line(self) -> str:
        """Return a day's line for the terminal."""
        return "; ".join((day_line(self.report), *self.problems, str(self.folder)))


def day_of(site: Site, seed: int, name: str = "") -> Day:
    """Return the day of the sheet whose traffic a seed takes, or the one of a name.

    Raises
    ------
    ValueError
        The sheet has no day of this name.
    """
    if name:
        found = [each for each in site.days if each.name == name]
        if not found:
            raise ValueError(f"no day {name!r}; there are {', '.join(each.name for each in site.days)}")
        return found[0]
    if site.days:
        return site.days[seed % len(site.days)]
    return Day(DEFAULT_DAY_NAME, seed, site.traffic, (), None)


def plan_of(site: Site, day: Day, seed: int, terms: DayTerms) -> DayPlan:
    """Return what strikes on a day: its own troubles, ones that the seed draws, or none."""
    seconds = terms.seconds or site.day_s
    if terms.quiet:
        return DayPlan(f"quiet-{day.name}", seed, seconds, (), day.final)
    if terms.day:
        return plan_standard_day(site, day)._replace(seconds=seconds)
    return plan_day(site, seed, seconds)


async def play_day(sheet: Path, seed: int, folder: Path, terms: DayTerms) -> DayOutcome:
    """Play the day of a seed, with its logs in ``folder``, on addresses that no other day plays on."""
    with claimed_net() as net:
        return await _play_day(sheet, SiteLayout(read_sheet(sheet), net), seed, folder, terms)


async def _play_day(sheet: Path, layout: SiteLayout, seed: int, folder: Path, terms: DayTerms) -> DayOutcome:
    site = layout.site
    sheet_day = day_of(site, seed, terms.day)
    plan = plan_of(site, sheet_day, seed, terms)
    day = SiteDay(layout, sheet, sheet_day, seed, folder, terms.load, terms.checkout)
    broken_off: tuple[str, ...] = ()
    try:
        await day.start()
        await day.play(plan, TroublePlayer().bring_about)
    except Exception as error:  # the days that follow are played all the same
        traceback.print_exc(file=sys.stderr)
        broken_off = (f"broken off: {error!r}",)
    finally:
        await day.end()
    return DayOutcome(folder, report_day(folder, layout, plan), broken_off + problems_of(folder))


def problems_of(folder: Path) -> tuple[str, ...]:
    """Return the problems of the soak itself: what its stand-ins wrote, and troubles that failed."""
    logs = [folder / f"{name}.log" for name in STANDINS]
    errors = [f"{path.name} has errors" for path in logs if path.exists() and path.stat().st_size]
    soak_events = _events(folder / "events-soak.jsonl")
    failed = [each["error"] for each in soak_events if each["what"] == "trouble_failed"]
    return (*errors, *failed)


def _events(path: Path) -> list[dict[str, Any]]:
    """Return the whole lines of an event log; its process may have been ended within the last one."""
    lines = path.read_text().split("\n")[:-1] if path.exists() else []
    return [json.loads(line) for line in lines]

"""A users' sheet becomes a deployment in the soak's own words, field by field."""

import tomllib
from pathlib import Path

import pytest

from soak.sheet import read_sheet
from soak.site import (
    Day,
    FinalFault,
    MachineGroup,
    RequestKind,
    ServiceGroup,
    SiteBounds,
    Tolerance,
    Trouble,
    ZoneTraffic,
)

SHEET = Path(__file__).with_name("small_site.toml")
ARCHIVE_TRAFFIC = ZoneTraffic("archive", 5.0, 3, {"search": 1.0})


# Guards against: days played with machines or limits that the sheet does not have.
def test_machines_have_the_sheets_limits_and_spares() -> None:
    assert read_sheet(SHEET).machines == (
        MachineGroup("reading-room", 2, 1, 0.5, 2, 300, 2000, 500.0),
        MachineGroup("archive", 1, 0, 0.4, 1, 250, 1000),
    )


# Guards against: servers that are stronger, patient or steadier than the sheet's.
def test_services_have_the_sheets_properties() -> None:
    catalogue, new, loans, _ = read_sheet(SHEET).services
    assert catalogue == ServiceGroup(
        name="catalogue",
        zones=("reading-room", "archive"),
        slots=2,
        queue=12,
        max_connections=26,
        copies=3,
        tells_load=True,
        pause_s=0.12,
        pause_every_s=3.0,
        cold_s=3.0,
        cold_factor=1.6,
        speeds=(0.8, 1.0, 1.3),
    )
    assert (new.later, new.speeds, new.zones) == (True, (1.0,), ("archive", "archive"))
    assert loans == ServiceGroup("loans", ("reading-room", "reading-room"), 3, 8, 50)


# Guards against: requests of another weight, deadline or width than the sheet's.
def test_kinds_of_requests_have_the_sheets_terms() -> None:
    assert read_sheet(SHEET).requests == (
        RequestKind("search", ("catalogue", "catalogue-new"), 0.1, 1.5, 1, 1, 0.005, 320, 10, 0.6),
        RequestKind("loan", ("loans", "loans-copy"), 0.4, 3.0, 2, 2, 0.02, 2000),
    )


# Guards against: traffic of another rate or mix than the sheet's.
def test_traffic_is_read_by_zone() -> None:
    mixed = ZoneTraffic("reading-room", 20.0, 8, {"search": 3.0, "loan": 1.0})
    assert read_sheet(SHEET).traffic == (mixed, ARCHIVE_TRAFFIC)


# Guards against: troubles that strike otherwise than the sheet says.
def test_troubles_keep_every_word_of_the_sheet() -> None:
    assert read_sheet(SHEET).troubles == (
        Trouble("srv_slow", how=("across", "busy"), share=0.25, factor=8.5, for_s=2.0),
        Trouble("node_kill", how=("power", "leader"), targets=1, for_s=1.0, on="core"),
        Trouble("shift", share=0.5, zone="archive", to_zone="reading-room", for_s=6.5),
    )


# Guards against: a day of the sheet whose own traffic, plan or final fault is lost.
def test_day_has_its_own_traffic_troubles_and_final_fault() -> None:
    assert read_sheet(SHEET).days == (
        Day(
            name="busy-1",
            seed=77,
            traffic=(ZoneTraffic("archive", 9.0, 3, {"search": 1.0}),),
            troubles=(
                Trouble("config_change", at_s=1.5, how=("route",), planned=True),
                Trouble("srv_crash", at_s=2.5, how=("dark", "all"), for_s=1.0, service="catalogue~2"),
            ),
            final=FinalFault("kill_all", 0.5, ("all",)),
        ),
    )


# Guards against: bounds and times of the rules that differ from the sheet's.
def test_bounds_and_times_are_in_seconds() -> None:
    site = read_sheet(SHEET)
    assert site.bounds == SiteBounds(
        contact_s=4.0,
        config_apply_s=2.5,
        drain_s=2.0,
        grace_s=6.0,
        recovery_s=10.0,
        max_skew_s=9.0,
        budget_ratio=0.2,
        budget_slack=56.0,
        budget_window_s=10.0,
        ack_s=5.0,
        catch_up_s=3.0,
    )
    assert (site.lead_s, site.day_s, site.late_seeds_s, site.heartbeat_s) == (5.0, 8.0, 0.3, 1.0)
    assert (site.idle_routes, site.writes_per_s, site.reads_per_s) == (3, 400.0, 2000.0)
    assert site.abrupt_share == 0.25
    assert (site.tolerance, site.loss_counts) == (Tolerance(2, 1, 0), False)


# Guards against: a sheet without optional tables that can't be played.
def test_sheet_without_optional_tables_is_read(tmp_path: Path) -> None:
    text = SHEET.read_text()
    for name in ("timing", "discovery", "config", "tolerate", "platform"):
        start = text.index(f"[{name}]\n")
        text = text[:start] + text[text.index("\n[", start) + 1 :]
    path = tmp_path / "bare.toml"
    path.write_text(text)
    site = read_sheet(path)
    assert (site.late_seeds_s, site.heartbeat_s, site.idle_routes) == (0.0, 1.2, 0)
    assert (site.tolerance, site.writes_per_s) == (Tolerance(), 0.0)


# Guards against: a day of a file that is no sheet, instead of an error.
def test_file_that_is_no_sheet_is_an_error(tmp_path: Path) -> None:
    path = tmp_path / "broken.toml"
    path.write_text("name = ")
    with pytest.raises(tomllib.TOMLDecodeError):
        read_sheet(path)
    path.write_text('name = "x"')
    with pytest.raises(KeyError):
        read_sheet(path)

"""Reads a users' sheet, a TOML file, and returns its deployment in the soak's own words."""

import tomllib
from pathlib import Path
from typing import Any

from soak.site import (
    Day,
    FinalFault,
    MachineGroup,
    RequestKind,
    ServiceGroup,
    Site,
    SiteBounds,
    Tolerance,
    Trouble,
    ZoneTraffic,
)

Table = dict[str, Any]
MS = 1000.0


def read_sheet(path: Path) -> Site:
    """Return the deployment of the sheet at ``path``.

    Raises
    ------
    KeyError
        The sheet lacks a field without which no day can be played.
    tomllib.TOMLDecodeError
        The file is not TOML.
    """
    sheet = tomllib.loads(path.read_text())
    timing, discovery, platform = (sheet.get(name, {}) for name in ("timing", "discovery", "platform"))
    return Site(
        name=sheet["name"],
        zones={each["name"]: each["region"] for each in sheet["zones"]},
        contracts=tuple(sheet["contracts"]),
        machines=tuple(_machines(each) for each in sheet["machines"]),
        services=tuple(_service(each) for each in sheet["services"]),
        requests=tuple(_request(each) for each in sheet["classes"]),
        traffic=_traffic(sheet["traffic"]),
        troubles=tuple(_trouble(each) for each in sheet.get("troubles", [])),
        days=tuple(_day(each, sheet) for each in sheet.get("day", [])),
        bounds=_bounds(sheet["bounds"], timing),
        lead_s=float(sheet["lead_s"]),
        day_s=float(sheet["length_s"]),
        late_seeds_s=timing.get("late_seeds_ms", 0.0) / MS,
        heartbeat_s=discovery.get("beat_ms", 1200) / MS,
        idle_routes=sheet.get("config", {}).get("idle_routes", 0),
        writes_per_s=float(platform.get("writes_per_s", 0.0)),
        reads_per_s=float(platform.get("reads_per_s", 0.0)),
        tolerance=Tolerance(**sheet.get("tolerate", {})),
        abrupt_share=timing.get("abrupt", 0.0),
        loss_counts=sheet.get("loss_counts", False),
    )


def _machines(table: Table) -> MachineGroup:
    return MachineGroup(
        zone=table["zone"],
        machines=table["count"],
        spares=table.get("spare", 0),
        cpu_share=float(table["cpu_share"]),
        cores=table.get("cores", 1),
        memory_mb=table["memory_mb"],
        descriptors=table["fds"],
        link_mbps=float(table.get("link_mbps", 1000.0)),
    )


def _service(table: Table) -> ServiceGroup:
    return ServiceGroup(
        name=table["name"],
        zones=tuple(each["zone"] for each in table["servers"] for _ in range(each["count"])),
        slots=table["slots"],
        queue=table["queue"],
        max_connections=table["conn_cap"],
        copies=table.get("copies", 0),
        later=table.get("later", False),
        tells_load=table.get("load_header", False),
        pause_s=table.get("pause_ms", 0.0) / MS,
        pause_every_s=float(table.get("pause_every_s", 0.0)),
        cold_s=float(table.get("cold_s", 0.0)),
        cold_factor=float(table.get("cold_x", 1.0)),
        speeds=tuple(table.get("speeds") or (1.0,)),
    )


def _request(table: Table) -> RequestKind:
    gather = table.get("gather", {})
    return RequestKind(
        name=table["name"],
        services=(table["service"], *table.get("also", ())),
        target_s=table["aim_ms"] / MS,
        deadline_s=table["deadline_ms"] / MS,
        priority=table.get("priority", 0),
        retries=table.get("retries", 0),
        work_s=table["work_ms"]["mean"] / MS,
        response_bytes=round(table["resp_bytes"]["mean"]),
        top_k=gather.get("top", 0),
        min_coverage=gather.get("least", 0.0),
    )


def _traffic(tables: list[Table]) -> tuple[ZoneTraffic, ...]:
    return tuple(
        ZoneTraffic(
            each["zone"],
            float(each["per_s"]),
            each["clients"],
            {kind: float(weight) for kind, weight in each["mix"].items()},
        )
        for each in tables
    )


def _trouble(table: Table, planned: bool = False) -> Trouble:
    return Trouble(
        kind=table["kind"],
        at_s=_optional(table, "at"),
        how=tuple(table.get("how", "").split()),
        share=_optional(table, "share"),
        targets=table.get("count"),
        factor=_optional(table, "x"),
        for_s=_optional(table, "for_s"),
        gap_s=_optional(table, "gap_s"),
        zone=table.get("zone", ""),
        to_zone=table.get("to", ""),
        service=table.get("service", ""),
        on=table.get("on", ""),
        planned=planned,
    )


def _optional(table: Table, name: str) -> float | None:
    return float(table[name]) if name in table else None


def _day(table: Table, sheet: Table) -> Day:
    traffic: list[Table] = table.get("traffic") or sheet["traffic"]
    planned = [_trouble(each, planned=True) for each in table.get("plan", [])]
    faults = [_trouble(each) for each in table.get("faults", [])]
    return Day(
        name=table["name"],
        seed=table["seed"],
        traffic=_traffic(traffic),
        troubles=(*planned, *faults),
        final=_final(table["closing"]) if "closing" in table else None,
    )


def _final(table: Table) -> FinalFault:
    return FinalFault(table["kind"], float(table["down_s"]), tuple(table.get("how", "").split()))


def _bounds(table: Table, timing: Table) -> SiteBounds:
    return SiteBounds(
        contact_s=table["touch_ms"] / MS,
        config_apply_s=table["config_ms"] / MS,
        drain_s=table["drain_ms"] / MS,
        grace_s=float(table["grace_s"]),
        recovery_s=float(table["recover_s"]),
        max_skew_s=table.get("outer_ms", 12000) / MS,
        budget_ratio=float(table["budget_ratio"]),
        budget_slack=float(table["budget_slack"]),
        budget_window_s=10.0,
        ack_s=table.get("ack_ms", 5000) / MS,
        catch_up_s=float(timing.get("catch_up_s", 4.0)),
    )

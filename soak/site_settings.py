"""The settings file of a site's node, with every field that its deployment determines."""

import json
from typing import Any

from soak.layout import CONTROL_PORT, FRONT_PORT, OWN_PORTS, READY_PORT, STORE_PORT
from soak.site import SiteBounds
from soak.site_layout import SiteLayout

Fields = dict[str, Any]
MS = 1000
HISTORY_S, VALUE_BYTES, MIN_TTL_MS = 20, 1 << 20, 1000
# Keys that belong to matters which a site may not have; they are there, and empty.
EMPTY_KEYS = ("dataDir", "keyFile", "cloud")
EMPTY_BOUNDS = ("evacuateMs", "warmupOvershoot", "warmupSlack")


def settings_fields(layout: SiteLayout, number: int, first: bool, seeds: tuple[str, ...]) -> Fields:
    """Return the settings of a node; ``first`` tells whether the whole system starts for the first time."""
    site, node = layout.site, layout.nodes()[number]
    return {
        "nodeName": node.name,
        "role": "gateway",
        "machineClass": "front",
        "serves": ["front", "control"],
        "ip": node.ip,
        "zone": node.zone,
        "region": node.region,
        "portRange": list(OWN_PORTS),
        "seedNodes": list(seeds),
        "bootstrap": first and not node.spare,
        "lossCounts": site.loss_counts,
        "discovery": "platform",
        "entryKind": "vip",
        "heartbeatMs": round(site.heartbeat_s * MS),
        "contracts": list(site.contracts),
        **dict.fromkeys(EMPTY_KEYS, ""),
        "zones": site.zones,
        "listenAddrs": {
            "front": f"{node.ip}:{FRONT_PORT}",
            "ready": f"{node.ip}:{READY_PORT}",
            "control": f"{node.ip}:{CONTROL_PORT}",
        },
        "limits": {
            "cpuShare": node.cpu_share,
            "cpuCores": node.cores,
            "memoryMb": node.memory_mb,
            "maxFds": node.descriptors,
            "linkMbps": node.link_mbps,
            "diskMb": 0,
        },
        "faultTolerance": site.tolerance._asdict(),
        "bounds": dict.fromkeys(EMPTY_BOUNDS, "") | _bound_fields(site.bounds),
        "platform": {
            "address": f"{layout.store_link(number)}:{STORE_PORT}",
            "form": "objects",
            "writes_per_s": site.writes_per_s,
            "reads_per_s": site.reads_per_s,
            "historyS": HISTORY_S,
            "value_bytes": VALUE_BYTES,
            "ttl_min_ms": MIN_TTL_MS,
        },
    }


def _bound_fields(bounds: SiteBounds) -> Fields:
    return {
        "seedLagS": bounds.seed_lag_s,
        "addrReuseS": bounds.address_reuse_s,
        "contactMs": round(bounds.contact_s * MS),
        "ackMs": round(bounds.ack_s * MS),
        "catchUpS": bounds.catch_up_s,
        "drainMs": round(bounds.drain_s * MS),
        "graceS": bounds.grace_s,
        "lossSlackMs": round(bounds.loss_slack_s * MS),
        "configApplyMs": round(bounds.config_apply_s * MS),
        "downgradeSlackMs": round(bounds.downgrade_slack_s * MS),
        "maxSkewMs": round(bounds.max_skew_s * MS),
        "retryBudgetRatio": bounds.budget_ratio,
        "retryWindowS": bounds.budget_window_s,
        "retrySlack": bounds.budget_slack,
        "recoveryS": bounds.recovery_s,
    }


def changed_fields(fields: Fields, changes: Fields) -> Fields:
    """Return fields with changed values; a change stands in the table that has its name, or at the top."""
    changed = {name: dict(value) if isinstance(value, dict) else value for name, value in fields.items()}
    for name, value in changes.items():
        tables = [table for table in changed.values() if isinstance(table, dict) and name in table]
        for table in tables or [changed]:
            table[name] = value
    return changed


def toml_text(fields: Fields) -> str:
    """Return fields as TOML; a value is a text, a number, a flag, a list of these, or a table of them."""
    tables = {name: value for name, value in fields.items() if isinstance(value, dict)}
    lines = [_line(name, value) for name, value in fields.items() if name not in tables]
    for name, table in tables.items():
        lines += [f"[{name}]", *(_line(key, value) for key, value in table.items())]
    return "\n".join(lines) + "\n"


def _line(name: str, value: Any) -> str:
    return f"{json.dumps(name)} = {json.dumps(value)}"

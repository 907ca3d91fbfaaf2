"""The operator's configuration of a site, by what has changed since the first one."""

from typing import Any, NamedTuple

from soak.layout import HOST
from soak.site import RequestKind
from soak.site_layout import SiteLayout, services_of

Table = dict[str, Any]
MAX_HEADER_BYTES, MAX_BODY_BYTES, HEADER_TIMEOUT_MS, IDLE_TIMEOUT_MS = 16384, 262144, 2000, 5000
LONGER_TIMEOUT = 1.25
MAIN_WEIGHT, OTHER_WEIGHT = 3, 1
IDLE, MOVE, SPLIT, TIMEOUT = "idle", "route", "skew", "timeout"


class ConfigurationState(NamedTuple):
    """What the newest configuration holds.

    ``cut`` is the number of the index's cut; ``moved`` and ``split`` are about routes that a single server
    answers: whether all or a part of their requests go to their other service.
    """

    version: int = 0
    cut: int = 0
    moved: bool = False
    split: bool = False
    longer_timeout: bool = False
    idle_routes: int = 0

    def changed(self, how: str, extra_routes: int) -> "ConfigurationState":
        """Return the state of the next version, changed in the way ``how``; by default idle routes change."""
        state = self._replace(version=self.version + 1, idle_routes=self.idle_routes + extra_routes)
        if how == MOVE:
            return state._replace(moved=not self.moved)
        if how == SPLIT:
            return state._replace(split=not self.split)
        if how == TIMEOUT:
            return state._replace(longer_timeout=not self.longer_timeout)
        return state._replace(idle_routes=state.idle_routes + (0 if extra_routes else 1))


def probe_path(version: int) -> str:
    """Return the path of the route that only this version and the next one have."""
    return f"/probe-{version}/"


def route_path(kind: str) -> str:
    """Return the path of a kind's route."""
    return f"/{kind}/"


def configuration(layout: SiteLayout, state: ConfigurationState) -> Table:
    """Return the configuration of a state."""
    kinds = layout.site.requests
    routes = [_route(layout, kind, kind.name, route_path(kind.name), state) for kind in kinds]
    idle = [(f"idle-{number}", kinds[number % len(kinds)]) for number in range(state.idle_routes)]
    routes += [_route(layout, kind, name, f"/{name}/", state) for name, kind in idle]
    routes += [
        _route(layout, kinds[0], f"probe-{version}", probe_path(version), state)
        for version in (state.version, state.version - 1)
    ]
    return {
        "configVersion": state.version,
        "routes": routes,
        "services": _services(layout),
        "limits": {
            "maxHeaderBytes": MAX_HEADER_BYTES,
            "maxBodyBytes": MAX_BODY_BYTES,
            "headerTimeoutMs": HEADER_TIMEOUT_MS,
            "idleTimeoutMs": IDLE_TIMEOUT_MS,
        },
    }


def gathered_groups(layout: SiteLayout, cut: int) -> set[str]:
    """Return the service groups that hold the shards of a cut of the index."""
    return {_group_at(kind, cut) for kind in layout.site.requests if kind.top_k}


def _group_at(kind: RequestKind, number: int) -> str:
    return kind.services[number % len(kind.services)]


def _services(layout: SiteLayout) -> list[Table]:
    return [
        {"name": service, "healthPath": "/health", "maxConnections": group.max_connections}
        for group in layout.site.services
        for service in services_of(group)
    ]


def _route(layout: SiteLayout, kind: RequestKind, name: str, path: str, state: ConfigurationState) -> Table:
    timeout_s = kind.deadline_s * (LONGER_TIMEOUT if state.longer_timeout else 1.0)
    route: Table = {
        "name": name,
        "host": HOST,
        "pathPrefix": path,
        "routeType": "idempotent",
        "maxAttempts": kind.retries + 1,
        "timeoutMs": round(timeout_s * 1000),
        "targetLatencyMs": round(kind.target_s * 1000),
        "priority": kind.priority,
    }
    return route | _destination(layout, kind, state)


def _destination(layout: SiteLayout, kind: RequestKind, state: ConfigurationState) -> Table:
    if kind.top_k:
        shards = services_of(layout.group(_group_at(kind, state.cut)))
        return {"gather": list(shards), "topK": kind.top_k, "minCoverage": kind.min_coverage}
    main, other = _group_at(kind, int(state.moved)), _group_at(kind, int(not state.moved))
    if state.split and main != other:
        weights = ((main, MAIN_WEIGHT), (other, OTHER_WEIGHT))
        return {"backends": [{"service": name, "weight": weight} for name, weight in weights]}
    return {"service": main}

"""The deployment of a run: addresses, services, the operator's configuration, the nodes' settings."""

import json
import os
from typing import Any, NamedTuple

from yokesill.platform.names import READY_PATH

ZONES = ("zone-a", "zone-b", "zone-c")
HOST = "search.example"
FRONT_PORT, READY_PORT, CONTROL_PORT, OWN_PORTS = 7000, 7001, 7002, (7003, 7010)
SERVER_PORT, OPERATOR_PORT, STORE_PORT = 7100, 7199, 7200
REPLICAS, DESK_SERVERS, SHARDS_B = 2, 3, 5
DESK = "desk"
SERVER_CAPACITY = 4
# The limits of each node, which the soak enforces as the machines do.
MEMORY_MB, MAX_DESCRIPTORS = 200, 512
FIRST_VERSION = "s1"
# Requests with this text in their path run longer than a node needs to stop accepting callers.
LONG_PATH_MARKER, LONG_WORK_S = "/long/", 0.8
# Requests with this text in their path crash every server that starts to run them.
DEADLY_PATH_MARKER, DEADLY_WORK_S, RESTART_S = "/deadly-", 0.004, 1.0


# What a cold server of the desk bears, and for how long it is cold.
COLD_REQUESTS_PER_S, COLD_S = 2.0, 3.0


class Bounds(NamedTuple):
    """The bounds of the deployment, used by both the settings files and the checkers."""

    contact_s: float = 4.0
    config_apply_s: float = 3.0
    downgrade_slack_s: float = 0.25
    drain_s: float = 3.0
    grace_s: float = 6.0
    loss_slack_s: float = 0.2
    recovery_s: float = 12.0
    # Less than a few failing servers would use: 18 retries for a shard's 120 requests in 10 s.
    budget_ratio: float = 0.1
    budget_window_s: float = 10.0
    budget_slack: float = 6.0
    max_skew_s: float = 12.0
    answer_slack_s: float = 0.5
    canary_share: float = 0.1
    canary_slack: float = 20.0
    rollback_s: float = 5.0
    evacuate_s: float = 5.0
    warmup_overshoot: float = 1.5
    warmup_slack: float = 5.0

    @property
    def cold_requests(self) -> float:
        """How many requests a cold server may get in any second."""
        return COLD_REQUESTS_PER_S * self.warmup_overshoot + self.warmup_slack


def bounds_for(nodes: int) -> Bounds:
    """Return the bounds for a deployment of ``nodes`` nodes.

    Each node learns on its own, from one rejected arrival, that another server now has an address. So the
    allowance for extra arrivals grows with the number of nodes, as it does in users' deployments.
    """
    return Bounds(budget_slack=max(Bounds().budget_slack, float(nodes)))


class RouteTerms(NamedTuple):
    """The properties of a route of the soak; ``top_k`` is 0 if a single server answers."""

    path: str
    repeatable: bool
    timeout_s: float
    target_s: float
    top_k: int = 0
    min_coverage: float = 0.0


ROUTES = {
    "wide": RouteTerms("/wide/", True, 1.5, 0.2, top_k=5, min_coverage=0.8),
    "read": RouteTerms("/read/", True, 2.0, 0.3),
    "once": RouteTerms("/once/", False, 2.0, 0.3),
}


class Layout(NamedTuple):
    """The deployment of a run; ``net`` is the second number of all its loopback addresses."""

    nodes: int = 6
    shards: int = 8
    net: int = 20 + os.getpid() % 200
    rollouts: bool = False
    evacuations: bool = False

    def address(self, block: int, number: int) -> str:
        """Return a loopback address; each block holds one kind of endpoint."""
        return f"127.{self.net}.{block}.{number + 1}"

    def node(self, number: int) -> str:
        """Return the address on which a node listens."""
        return self.address(1, number)

    def node_zone(self, number: int) -> str:
        """Return the zone of a node."""
        return ZONES[number % len(ZONES)]

    def shard_set(self, name: str) -> tuple[str, ...]:
        """Return the services of shard set ``a`` or ``b``."""
        return tuple(f"{name}{index}" for index in range(self.shards if name == "a" else SHARDS_B))

    def slots(self) -> tuple[str, ...]:
        """Return the service of each server slot, without the slots for new versions."""
        shards = [name for set_name in "ab" for name in self.shard_set(set_name) for _ in range(REPLICAS)]
        return (*shards, *[DESK] * DESK_SERVERS)

    def new_slots(self) -> range:
        """Return the slots in which servers of a rolled-out version start."""
        first = len(self.slots())
        return range(first, first + DESK_SERVERS)

    def links(self) -> dict[str, tuple[tuple[str, int], tuple[str, int]]]:
        """Return the listening and target address of each link, by name."""
        found = {}
        for number in range(self.nodes):
            found[f"front:{number}"] = (
                (self.address(6, number), FRONT_PORT),
                (self.node(number), FRONT_PORT),
            )
            store = (self.address(4, 0), STORE_PORT + number)
            found[f"store:{number}"] = ((self.address(5, number), STORE_PORT), store)
        for slot in range(len(self.slots()) + DESK_SERVERS):
            real = (self.address(2, slot), SERVER_PORT)
            found[f"server:{slot}"] = ((self.address(3, slot), SERVER_PORT), real)
        return found


def configuration(layout: Layout, version: int, shard_set: str) -> dict[str, Any]:
    """Return the operator's configuration, with the probe routes of this and the previous version."""
    routes = [_route(name, terms, layout, shard_set) for name, terms in ROUTES.items()]
    for number in (version, version - 1):
        probe = RouteTerms(f"/probe-{number}/", True, 2.0, 0.3)
        routes.append(_route(f"probe-{number}", probe, layout, shard_set))
    names = [*layout.shard_set("a"), *layout.shard_set("b"), DESK]
    services = [{"name": each, "healthPath": "/health", "maxConnections": 60} for each in names]
    if layout.evacuations:
        services[-1] |= {"warmupS": COLD_S, "warmupPerS": COLD_REQUESTS_PER_S}
    return {
        "configVersion": version,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 65536,
            "headerTimeoutMs": 2000,
            "idleTimeoutMs": 5000,
        },
    }


def _route(name: str, terms: RouteTerms, layout: Layout, shard_set: str) -> dict[str, Any]:
    route: dict[str, Any] = {
        "name": name,
        "host": HOST,
        "pathPrefix": terms.path,
        "routeType": "idempotent" if terms.repeatable else "non_idempotent",
        "maxAttempts": 2,
        "timeoutMs": round(terms.timeout_s * 1000),
        "targetLatencyMs": round(terms.target_s * 1000),
        "priority": 1,
    }
    if terms.top_k:
        shards = list(layout.shard_set(shard_set))
        return route | {"gather": shards, "topK": terms.top_k, "minCoverage": terms.min_coverage}
    return route | {"service": DESK}


def settings_text(layout: Layout, number: int, bounds: Bounds) -> str:
    """Return the text of a node's settings file."""
    ip = layout.node(number)
    seeds = [f"{layout.node(each)}:{CONTROL_PORT}" for each in range(min(3, layout.nodes))]
    contracts = ["base", "drain", "config", "cost", "retry", "recover", "scatter", "platform"]
    rollout, evacuations = "", ""
    if layout.evacuations:
        contracts.append("places")
        evacuations = (
            f"evacuateMs = {bounds.evacuate_s * 1000:.0f}\nwarmupOvershoot = {bounds.warmup_overshoot}\n"
            f"warmupSlack = {bounds.warmup_slack}\n"
        )
    if layout.rollouts:
        contracts.append("rollout")
        rollout = (
            f"canaryShare = {bounds.canary_share}\ncanarySlack = {bounds.canary_slack}\n"
            f"rollbackMs = {bounds.rollback_s * 1000:.0f}\n"
        )
    return f"""nodeName = "node-{number}"
zone = "{layout.node_zone(number)}"
ip = "{ip}"
portRange = {list(OWN_PORTS)}
seedNodes = {json.dumps(seeds)}
contracts = {json.dumps(contracts)}
[zones]
{"".join(f'{each} = "region"' + chr(10) for each in ZONES)}
[listenAddrs]
front = "{ip}:{FRONT_PORT}"
ready = "{ip}:{READY_PORT}"
control = "{ip}:{CONTROL_PORT}"
[limits]
cpuShare = 1.0
cpuCores = 1
memoryMb = {MEMORY_MB}
maxFds = {MAX_DESCRIPTORS}
[bounds]
contactMs = {bounds.contact_s * 1000:.0f}
configApplyMs = {bounds.config_apply_s * 1000:.0f}
drainMs = {bounds.drain_s * 1000:.0f}
graceS = {bounds.grace_s}
retryBudgetRatio = {bounds.budget_ratio}
retryWindowS = {bounds.budget_window_s}
retrySlack = {bounds.budget_slack}
{rollout}{evacuations}[platform]
address = "{layout.address(5, number)}:{STORE_PORT}"
"""


READY_URL_PATH = READY_PATH

"""What the gateway's decisions are tuned by; each value says what it stands for."""

from collections.abc import Collection
from dataclasses import dataclass, field, fields, replace
from typing import Any

from yokesill.gateway.limits.budget import BudgetLimits
from yokesill.gateway.servers.cold_starts import ColdStartLimits
from yokesill.rollouts.orders import RolloutLimits

DEFAULT_BUDGET = BudgetLimits(ratio=0.1, allowance=10.0, window_s=10.0)


@dataclass(frozen=True, slots=True)
class GatewayOptions:
    """Options of one node's router; times in seconds.

    ``fresh_margin_s`` is what of a caller's latency this node cannot see: connecting, the request's way
    here and the answer's way back; ``kept_margin_s`` the same without connecting. The hedge factors say
    after how many typical latencies an attempt counts as stalled. ``assumed_nodes`` stands in until
    the nodes were counted. ``removed_grace_s`` is how long a server whose entry is gone may still be a
    last resort: entries also vanish when the registry was down. ``rollouts`` are the figures of roll-outs;
    without them servers' versions don't count.

    The last ones are switches, each for one mechanism that experiments do without: parts that an
    answer can do without are left out where servers are slow (``leaves_out``), slow servers are asked
    at their pace (``paces``), refused connections bound the next ones (``heeds_refusals``), late
    attempts are hedged (``hedges``), what other nodes found of servers counts (``heeds_suspicions``),
    and a wave of hedges waits once (``postpones_hedges``). ``few_watchers`` is the node's, not the
    router's: a few nodes of a zone follow the registry and tell the others. So is ``hands_over``: nodes
    that meet few wide requests hand them to the zone's coordinators. And ``gathers_near_servers``: nodes
    of a zone without servers hand them to coordinators of a zone that has them.
    """

    zone: str
    node: str = ""
    regions: dict[str, str] = field(default_factory=dict)
    budget: BudgetLimits = DEFAULT_BUDGET
    cold_starts: ColdStartLimits = ColdStartLimits()  # noqa: RUF009 (immutable)
    rollouts: RolloutLimits | None = None
    fresh_margin_s: float = 0.0145
    kept_margin_s: float = 0.0115
    gather_hedge_factor: float = 2.0
    single_hedge_factor: float = 2.5
    minimum_hedge_delay_s: float = 0.004
    assumed_nodes: int = 16
    removed_grace_s: float = 1.5
    connection_share: float = 0.9
    zone_round_trip_s: float = 0.002
    region_round_trip_s: float = 0.025
    leaves_out: bool = True
    paces: bool = True
    heeds_refusals: bool = True
    hedges: bool = True
    heeds_suspicions: bool = True
    postpones_hedges: bool = True
    few_watchers: bool = True
    hands_over: bool = True
    gathers_near_servers: bool = True

    def without(self, names: Collection[str]) -> "GatewayOptions":
        """Return these options with some mechanisms switched off.

        Raises
        ------
        ValueError
            A name is no switch; the message says which there are.
        """
        switches = [each.name for each in fields(self) if each.type in (bool, "bool")]
        unknown = sorted(set(names) - set(switches))
        if unknown:
            raise ValueError(f"no such switch: {', '.join(unknown)}; known: {', '.join(switches)}")
        changes: dict[str, Any] = dict.fromkeys(names, False)
        return replace(self, **changes)

    def assumed_round_trip(self, zone: str) -> float:
        """Return the round trip to a server's zone until connecting has shown it."""
        if zone == self.zone:
            return 0.0
        if self.regions.get(zone) == self.regions.get(self.zone):
            return self.zone_round_trip_s
        return self.region_round_trip_s

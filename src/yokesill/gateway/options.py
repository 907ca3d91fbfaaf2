"""What a router is tuned by (`GatewayOptions`), and what of it can be switched off (`Switches`).

Values only, set once when a node starts. What operators may set comes from the settings
(``serving/settings``); the other figures stand here with their grounds, as constants of one rule stand in
that rule's module.
"""

from collections.abc import Collection
from dataclasses import dataclass, field, fields, replace

from yokesill.gateway.limits.budget import BudgetLimits
from yokesill.gateway.servers.cold_starts import ColdStartLimits
from yokesill.rollouts.orders import RolloutLimits

# Stands in where the settings name no budget: a tenth of the requests and 10 in each 10 s.
DEFAULT_BUDGET = BudgetLimits(ratio=0.1, allowance=10.0, window_s=10.0)


@dataclass(frozen=True, slots=True)
class Switches:
    """Mechanisms that ``YOKESILL_SWITCHED_OFF`` names to switch them off, for experiments.

    Parameters
    ----------
    leaves_out
        Shards that an answer can do without are skipped where their servers are slow (``requests/deferral``).
    paces
        Slow servers get attempts at their own pace (``servers/selection``, ``requests/pacing``).
    heeds_refusals
        A refused connection bounds the next ones and is no failure (``servers/connection_backoff``).
    hedges
        Late attempts are hedged (``requests/hedging``).
    heeds_suspicions
        Servers that the nodes together found slow or failing are avoided (``state_updates``).
    postpones_hedges
        A wave of hedges waits once, since this node is the likelier cause (``requests/hedging``).
    few_watchers
        A few nodes of a zone follow the registry and inform the others (``registry/following``).
    hands_over
        Wide requests are forwarded to the zone's coordinators (``coordinators/forwarding``).
    gathers_near_servers
        Nodes of a zone without servers forward them to a zone that has some (``coordinators``).
    """

    leaves_out: bool = True
    paces: bool = True
    heeds_refusals: bool = True
    hedges: bool = True
    heeds_suspicions: bool = True
    postpones_hedges: bool = True
    few_watchers: bool = True
    hands_over: bool = True
    gathers_near_servers: bool = True


@dataclass(frozen=True, slots=True)
class GatewayOptions:
    """Options of one node's router.

    Parameters
    ----------
    zone, node, regions
        This node's zone and name, and the region of each zone.
    budget, cold_starts, rollouts
        Limits that the settings name. Without ``rollouts`` servers' versions don't count.
    fresh_margin_s, reused_margin_s
        What of a caller's latency this node can't see, on a new and on an open connection: connecting, the
        request's way here and the answer's way back. Taken off the objective. 8.5 ms on an open connection
        was too short in a run: more answers were late.
    gather_hedge_factor, single_hedge_factor
        After this multiple of the typical latency an attempt of a wide or of another request is late.
        Above the spread of sound servers, and single requests hedge less.
    minimum_hedge_delay_s
        No attempt is late earlier: below, the node's own timers are what is late.
    assumed_nodes
        Shares capacity with so many nodes until they were counted.
    removed_grace_s
        How long a server whose entry vanished may be a last resort: entries also vanish when the registry was
        away. Set from the platform's contract (``serving/settings``).
    connection_share
        The share of the connections that a server can hold which all nodes together use. The rest covers
        nodes that count others differently for a while.
    zone_round_trip_s, region_round_trip_s
        How much longer a round trip to another zone or region takes, until a connection has shown it.
        Only their order matters, and only for the first attempts.
    switches
        What is switched off.
    """

    zone: str
    node: str = ""
    regions: dict[str, str] = field(default_factory=dict)
    budget: BudgetLimits = DEFAULT_BUDGET
    cold_starts: ColdStartLimits = ColdStartLimits()  # noqa: RUF009 (immutable)
    rollouts: RolloutLimits | None = None
    fresh_margin_s: float = 0.0145
    reused_margin_s: float = 0.0115
    gather_hedge_factor: float = 2.0
    single_hedge_factor: float = 2.5
    minimum_hedge_delay_s: float = 0.004
    assumed_nodes: int = 16
    removed_grace_s: float = 1.5
    connection_share: float = 0.9
    zone_round_trip_s: float = 0.002
    region_round_trip_s: float = 0.025
    switches: Switches = Switches()

    def without(self, names: Collection[str]) -> "GatewayOptions":
        """Return these options with some mechanisms switched off.

        Raises
        ------
        ValueError
            A name is no switch; the message says which there are.
        """
        known = [each.name for each in fields(Switches)]
        unknown = sorted(set(names) - set(known))
        if unknown:
            raise ValueError(f"no such switch: {', '.join(unknown)}; known: {', '.join(known)}")
        return replace(self, switches=replace(self.switches, **dict.fromkeys(names, False)))

    def assumed_round_trip(self, zone: str) -> float:
        """Return the extra round trip to a zone until connecting has shown it, in seconds."""
        if zone == self.zone:
            return 0.0
        if self.regions.get(zone) == self.regions.get(self.zone):
            return self.zone_round_trip_s
        return self.region_round_trip_s

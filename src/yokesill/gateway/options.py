"""Options of a router (`GatewayOptions`), and the mechanisms that can be switched off (`Switches`).

Values only, set once when a node starts. What operators may set comes from the settings
(``serving/settings``); the other values are documented here. Constants of a single rule are in that rule's
module.
"""

from collections.abc import Collection
from dataclasses import dataclass, field, fields, replace

from yokesill.gateway.limits.budget import BudgetLimits
from yokesill.gateway.servers.cold_starts import ColdStartLimits
from yokesill.rollouts.orders import RolloutLimits

# Used if the settings specify no budget: a tenth of the requests and 10 in each 10 s.
DEFAULT_BUDGET = BudgetLimits(ratio=0.1, allowance=10.0, window_s=10.0)


@dataclass(frozen=True, slots=True)
class Switches:
    """Mechanisms that ``YOKESILL_SWITCHED_OFF`` can switch off, for experiments.

    Parameters
    ----------
    leaves_out
        Shards that an answer does not need are skipped if their servers are slow (``requests/deferral``).
    paces
        Slow servers are sent attempts only at their own pace (``servers/selection``, ``requests/pacing``).
    heeds_refusals
        A refused connection limits further ones and is not a failure (``servers/connection_backoff``).
    hedges
        Late attempts are hedged (``requests/hedging``).
    heeds_suspicions
        Servers that the nodes together detected as slow or failing are avoided (``state_updates``).
    postpones_hedges
        Many simultaneous hedges are delayed once, since this node is the likelier cause
        (``requests/hedging``).
    few_watchers
        A few nodes of a zone follow the registry and inform the others (``registry/following``).
    hands_over
        Wide requests are forwarded to the zone's coordinators (``coordinators/forwarding``).
    gathers_near_servers
        Nodes of a zone without servers forward wide requests to a zone that has some (``coordinators``).
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
        Limits from the settings. Without ``rollouts``, servers' versions are ignored.
    fresh_margin_s, reused_margin_s
        The part of a caller's latency that this node can't observe, on a new and on a reused connection:
        connecting, and the network time of the request and the answer. Subtracted from the objective. With
        8.5 ms on a reused connection, more answers were late in a run.
    gather_hedge_factor, single_hedge_factor
        An attempt of a wide or of a single request is late after this multiple of the typical latency.
        Larger than the spread of healthy servers; single requests are hedged less.
    minimum_hedge_delay_s
        The shortest time after which an attempt is late. Below it, the lateness is that of the node's own
        timers.
    assumed_nodes
        The number of nodes among which capacity is shared until they have been counted.
    removed_grace_s
        How long a server whose entry vanished remains a last resort, since entries also vanish when the
        registry was unavailable. Set from the platform's contract (``serving/settings``).
    connection_share
        The share of a server's possible connections that all nodes together use. The rest covers nodes whose
        counts of the other nodes differ for a while.
    zone_round_trip_s, region_round_trip_s
        The assumed additional round trip to another zone or region until a connection has measured it. Only
        the order of the two matters, and only for the first attempts.
    switches
        The mechanisms that are switched off.
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
            A name is not a switch; the message lists the valid names.
        """
        known = [each.name for each in fields(Switches)]
        unknown = sorted(set(names) - set(known))
        if unknown:
            raise ValueError(f"no such switch: {', '.join(unknown)}; known: {', '.join(known)}")
        return replace(self, switches=replace(self.switches, **dict.fromkeys(names, False)))

    def assumed_round_trip(self, zone: str) -> float:
        """Return the additional round trip to assume for a zone until it has been measured, in seconds."""
        if zone == self.zone:
            return 0.0
        if self.regions.get(zone) == self.regions.get(self.zone):
            return self.zone_round_trip_s
        return self.region_round_trip_s

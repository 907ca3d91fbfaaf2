"""What the gateway's decisions are tuned by; each value says what it stands for."""

from dataclasses import dataclass, field

from yokesill.gateway.budget import BudgetTerms

DEFAULT_BUDGET = BudgetTerms(ratio=0.1, allowance=10.0, window=10.0)


@dataclass(frozen=True, slots=True)
class GatewayOptions:
    """Options of one node's router; times in seconds.

    ``fresh_margin`` is what of a caller's latency this node cannot see: connecting, the request's way
    here and the answer's way back; ``kept_margin`` the same without connecting. The hedge factors say
    after how many typical latencies an attempt counts as stalled. ``assumed_nodes`` stands in until
    the nodes were counted. ``removed_grace`` is how long a server whose entry is gone may still be a
    last resort: entries also vanish when the registry was down.

    The last options switch mechanisms off for experiments, see ``docs/decisions.md``.
    """

    zone: str
    node: str = ""
    regions: dict[str, str] = field(default_factory=dict)
    budget: BudgetTerms = DEFAULT_BUDGET
    fresh_margin: float = 0.0145
    kept_margin: float = 0.0115
    gather_hedge_factor: float = 2.0
    single_hedge_factor: float = 2.5
    minimum_hedge_delay: float = 0.004
    assumed_nodes: int = 16
    removed_grace: float = 1.5
    connection_share: float = 0.9
    zone_round_trip: float = 0.002
    region_round_trip: float = 0.025
    leaves_out: bool = True
    paces: bool = True
    withdraws: bool = True

    def assumed_round_trip(self, zone: str) -> float:
        """Return the round trip to a server's zone until connecting has shown it."""
        if zone == self.zone:
            return 0.0
        if self.regions.get(zone) == self.regions.get(self.zone):
            return self.zone_round_trip
        return self.region_round_trip

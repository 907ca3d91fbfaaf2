"""Settings of a gateway node, in the product's own terms; whoever reads a file fills them in."""

from dataclasses import dataclass, field, fields
from typing import NamedTuple

from yokesill.gateway.limits.budget import BudgetLimits
from yokesill.gateway.options import GatewayOptions
from yokesill.gateway.servers.cold_starts import ColdStartLimits
from yokesill.rollouts.orders import RolloutLimits

STOP_MARGIN = 0.4
WITHDRAW_SHARE = 0.5
WITHDRAW_CEILING = 3.2
GATHERING_SHARE, LONGEST_GATHERING_S = 0.3, 1.5
CHECK_SHARE = 0.55
# Servers that live have their entries back so long after the registry's return.
ENTRIES_BACK_S = 2.0
REMOVED_SHARE = 0.6


class Address(NamedTuple):
    """An IPv4 address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """``HOST:PORT``."""
        return f"{self.host}:{self.port}"


class SettingsProblem(NamedTuple):
    """One mistake in a settings file, and where it stands."""

    place: str
    message: str

    def __str__(self) -> str:
        """``PLACE: MESSAGE``."""
        return f"{self.place}: {self.message}"


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Who and where a node is, and the bounds that it keeps; times in seconds.

    ``peers`` answers other nodes (TCP); on ``datagrams`` (UDP) nodes tell one another of servers, on
    ``reports`` (UDP) watchers tell their zone of the registry, on ``rollout_datagrams`` (UDP) they decide
    together on roll-outs.
    ``configuration_bound_s`` is how long after the registry took a configuration it must be in force.
    ``leaving_bound_s`` is how long after the registry took that a server leaves it may still get work.
    ``evacuation_bound_s`` is the same for a zone that is evacuated; ``None`` where that never happens.
    ``cold_starts`` says how far all nodes together may go with a cold server, ``cores`` how much of a
    processor this node has. ``rollouts`` are the figures of roll-outs; ``None`` where there are none.
    ``recovery_bound_s`` is how long after a trouble of the registry a node may be behind.
    ``stop_grace_s`` is the time from the request to stop until the process is killed.
    ``switched_off`` names mechanisms that an experiment does without, see ``GatewayOptions``.
    """

    node: str
    zone: str
    callers: Address
    probes: Address
    registry: Address
    metrics: Address | None = None
    peers: Address | None = None
    datagrams: Address | None = None
    reports: Address | None = None
    rollout_datagrams: Address | None = None
    seeds: tuple[Address, ...] = ()
    regions: dict[str, str] = field(default_factory=dict)
    budget: BudgetLimits = BudgetLimits(ratio=0.1, allowance=10.0, window_s=10.0)  # noqa: RUF009 (frozen)
    stop_grace_s: float = 6.0
    configuration_bound_s: float = 3.0
    leaving_bound_s: float = 2.0
    recovery_bound_s: float = 4.0
    evacuation_bound_s: float | None = None
    cold_starts: ColdStartLimits = ColdStartLimits()  # noqa: RUF009 (immutable)
    cores: float = 1.0
    rollouts: RolloutLimits | None = None
    log_level: str = "info"
    switched_off: tuple[str, ...] = ()

    def changes(self, newer: "GatewaySettings") -> list[str]:
        """Return the names of the fields in which ``newer`` differs."""
        return [each.name for each in fields(self) if getattr(self, each.name) != getattr(newer, each.name)]

    @property
    def gathering_time_s(self) -> float:
        """How long changes of servers may gather before the next is asked for.

        Each answer of the registry is paid for, and servers' entries change all the time; what is
        left of the bound is for the answer's way and a slow registry.
        """
        return min(LONGEST_GATHERING_S, GATHERING_SHARE * self.leaving_bound_s)

    @property
    def removed_grace_s(self) -> float:
        """How long a server whose entry vanished may still be a last resort.

        Entries also lapse while the registry is away, and those of living servers come back soon
        after its return. What is left of the bound on leaving servers is for this node to learn of it
        and for the request's way.
        """
        return min(ENTRIES_BACK_S, REMOVED_SHARE * self.leaving_bound_s)

    @property
    def change_bound_s(self) -> float:
        """Within what time any change of the registry must be heeded."""
        bound_s = min(self.configuration_bound_s, self.leaving_bound_s)
        return bound_s if self.evacuation_bound_s is None else min(bound_s, self.evacuation_bound_s)

    @property
    def check_interval_s(self) -> float:
        """How often to look whether a wait for changes was swallowed; see ``FeedFollower``."""
        return CHECK_SHARE * self.recovery_bound_s

    @property
    def withdraw_time_s(self) -> float:
        """How long a stopping node still takes callers, so that whoever sends them learns of it."""
        return min(WITHDRAW_CEILING, self.stop_grace_s * WITHDRAW_SHARE)

    @property
    def drain_time_s(self) -> float:
        """How long after withdrawing what is in flight may still take."""
        return max(0.0, self.stop_grace_s - STOP_MARGIN - self.withdraw_time_s)

    def options(self) -> GatewayOptions:
        """Return the options of this node's router.

        Raises
        ------
        ValueError
            A name in ``switched_off`` is no switch.
        """
        options = GatewayOptions(
            self.zone,
            self.node,
            regions=self.regions,
            budget=self.budget,
            removed_grace_s=self.removed_grace_s,
            cold_starts=self.cold_starts,
            rollouts=self.rollouts,
        )
        return options.without(self.switched_off)

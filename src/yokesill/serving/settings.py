"""Settings of one gateway node, and the time limits derived from its bounds.

Filled in by ``platform.settings`` or ``cli.gateway_file``; the names of the fields appear in the log line
``settings_reloaded``. Each derived limit is a share of a bound that operators set, since bounds differ
between deployments.
"""

from dataclasses import dataclass, field, fields
from typing import NamedTuple

from yokesill.gateway.limits.budget import BudgetLimits
from yokesill.gateway.options import GatewayOptions
from yokesill.gateway.servers.cold_starts import ColdStartLimits
from yokesill.rollouts.orders import RolloutLimits

# Time kept at the end of a stop for closing and the last log lines.
STOP_MARGIN_S = 0.4
# Share of the stop's grace, and the most of it, for which a stopping node still accepts callers: readiness
# probes notice meanwhile; the rest is for requests in flight.
WITHDRAW_SHARE = 0.5
WITHDRAW_LIMIT_S = 3.2
# Share of the bound on leaving servers, and the most of it, for which changes gather into one call.
GATHERING_SHARE = 0.3
GATHERING_LIMIT_S = 1.5
# Share of the bound on recovery after which a swallowed wait is noticed; a check costs a tenth of a call.
# Derived from the bound: the check, the grace of 0.5 s and a new call fit into it
# (``docs/design/platform.md``).
CHECK_SHARE = 0.55
# Live servers have their entries back within this time after the registry's return: the platform's own
# figure.
ENTRIES_BACK_S = 2.0
# The most of the bound on leaving servers for which a removed one stays a last resort; the rest is for
# learning of the change and the request's way.
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

    Addresses: ``callers`` and ``probes`` (HTTP), ``peers`` for other nodes (HTTP), ``datagrams`` for findings
    on servers and requests (UDP), ``reports`` for the registry's watchers (UDP), ``rollout_datagrams`` for
    decisions on roll-outs (UDP). ``seeds`` have a first state for a node that starts without the registry,
    ``regions`` says in which region each zone is.

    Bounds that operators set: a configuration is in force ``configuration_bound_s`` after the registry
    accepted it; a leaving server gets no work after ``leaving_bound_s``, an evacuated zone after
    ``evacuation_bound_s`` (``None`` where zones are never evacuated); a node is current ``recovery_bound_s``
    after the registry's return; the process is killed ``stop_grace_s`` after the request to stop.

    ``cold_starts`` limits the work of all nodes at a cold server, ``cores`` is this node's share of
    processors, ``rollouts`` has the limits of roll-outs (``None`` without them), ``switched_off`` names
    mechanisms that an experiment does without, see ``GatewayOptions``.
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
    def coalescing_delay_s(self) -> float:
        """How long changes of servers gather before the next call.

        Each answer of the registry is paid for, and servers' entries change all the time; what is
        left of the bound is for the answer's way and a slow registry.
        """
        return min(GATHERING_LIMIT_S, GATHERING_SHARE * self.leaving_bound_s)

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
        """Within what time any change in the registry must take effect."""
        bound_s = min(self.configuration_bound_s, self.leaving_bound_s)
        return bound_s if self.evacuation_bound_s is None else min(bound_s, self.evacuation_bound_s)

    @property
    def check_interval_s(self) -> float:
        """How often to check whether a wait for changes was swallowed; see ``FeedFollower``."""
        return CHECK_SHARE * self.recovery_bound_s

    @property
    def withdraw_time_s(self) -> float:
        """How long a stopping node still accepts callers while readiness probes notice."""
        return min(WITHDRAW_LIMIT_S, self.stop_grace_s * WITHDRAW_SHARE)

    @property
    def drain_time_s(self) -> float:
        """How long requests in flight may still take after the listener closed."""
        return max(0.0, self.stop_grace_s - STOP_MARGIN_S - self.withdraw_time_s)

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

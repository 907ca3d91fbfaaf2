"""Settings of one gateway node and the time limits derived from its bounds.

Created by ``platform.settings`` or ``cli.gateway_file``. The log event ``settings_reloaded`` contains the
names of changed fields. Each derived limit is a share of a bound that operators set, since bounds differ
between deployments.
"""

from dataclasses import dataclass, field, fields
from typing import NamedTuple

from yokesill.gateway.limits.budget import BudgetLimits
from yokesill.gateway.options import GatewayOptions
from yokesill.gateway.servers.cold_starts import ColdStartLimits
from yokesill.rollouts.orders import RolloutLimits

# Time reserved at the end of a stop for closing connections and writing the last log lines.
STOP_MARGIN_S = 0.4
# Share of a stop's grace, before the time reserved at its end, in which the last answers are written; and the
# share by which they end sooner at most where the event loop is held.
ANSWER_MARGIN_SHARE, MAX_HELD_SHARE = 0.05, 0.2
# Time for which a stopping node still accepts callers while readiness probes detect that it is not ready: a
# share of the stop's grace, up to a maximum. The rest of the grace is for requests in flight.
WITHDRAW_SHARE = 0.5
MAX_WITHDRAW_TIME_S = 3.2
# Time for which changes of servers are coalesced into one call: a share of the bound on leaving servers, up
# to a maximum.
COALESCING_SHARE = 0.3
MAX_COALESCING_DELAY_S = 1.5
# Live servers restore their entries within this time after the registry has recovered; specified by the
# platform.
REREGISTRATION_TIME_S = 2.0
# Maximum share of the bound on leaving servers for which a removed server remains a last resort; the rest is
# for receiving the change and for sending the request.
MAX_REMOVED_SHARE = 0.6
# Shares of the memory limit: unfinished replies of servers and other nodes; what is held for callers, from
# the first byte of a head to the last one of an answer. The rest is for the program, its state and complete
# replies.
REPLY_MEMORY_SHARE, CALLER_MEMORY_SHARE = 0.2, 0.2
# Memory that there must be in the account for each connection of a caller, twice what an idle one takes.
CALLER_CONNECTION_BYTES = 20_000
# Shares of the memory limit for what the system holds in each direction, unread or unsent, of the connections
# of callers, of other nodes, and of each listener for probes.
CALLER_KERNEL_SHARE, PEER_KERNEL_SHARE, PROBE_KERNEL_SHARE = 0.1, 0.05, 0.01
# Descriptors that are not for sockets: files keep up to 200, fewer under a small limit.
MAX_FILE_DESCRIPTORS, FILE_DESCRIPTOR_SHARE = 200, 0.25
# Shares of the descriptors for sockets: connections of callers, of other nodes (which keep idle ones), and of
# each listener for probes.
CALLER_DESCRIPTOR_SHARE, PEER_DESCRIPTOR_SHARE, PROBE_DESCRIPTOR_SHARE = 0.45, 0.15, 0.03
# Shares for connections to servers and to coordinators. The rest is for the registry.
SERVER_DESCRIPTOR_SHARE, COORDINATOR_DESCRIPTOR_SHARE = 0.27, 0.05


class Address(NamedTuple):
    """An IPv4 address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """``HOST:PORT``."""
        return f"{self.host}:{self.port}"


class SettingsProblem(NamedTuple):
    """A mistake in a settings file; ``place`` is the path of the field.

    ``unreadable`` tells that there is no whole file, as while it is written or replaced; a node can run
    without a field that isn't ``needed``.
    """

    place: str
    message: str
    unreadable: bool = False
    needed: bool = True

    def __str__(self) -> str:
        """``PLACE: MESSAGE``."""
        return f"{self.place}: {self.message}"


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """A node's identity, addresses and bounds; times are in seconds.

    Addresses: ``callers`` and ``probes`` (HTTP), ``peers`` for other nodes (HTTP), ``datagrams`` for findings
    about servers and requests (UDP), ``reports`` for the registry's watchers (UDP), ``rollout_datagrams`` for
    decisions on roll-outs (UDP). ``seeds`` are nodes that send an initial state to a node that starts while
    the registry is unavailable. ``regions`` maps each zone to its region.

    Bounds that operators set: a configuration is in force at most ``configuration_bound_s`` after the
    registry accepted it; a leaving server gets no work after ``leaving_bound_s``, nor an evacuated zone after
    ``evacuation_bound_s`` (``None`` if zones are never evacuated); a node is up to date at most
    ``recovery_bound_s`` after the registry has recovered; the process is killed ``stop_grace_s`` after the
    request to stop.

    The process is killed when it takes more than ``memory_bytes``, and can't open more than ``descriptors``.

    ``cold_starts`` limits the work that all nodes together send to a cold server, ``cores`` is this node's
    share of processors, ``rollouts`` has the limits of roll-outs (``None`` without them), and
    ``switched_off`` names mechanisms that an experiment disables, see ``GatewayOptions``.
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
    memory_bytes: int = 256_000_000
    descriptors: int = 1024

    def changes(self, newer: "GatewaySettings") -> list[str]:
        """Return the names of the fields in which ``newer`` differs."""
        return [each.name for each in fields(self) if getattr(self, each.name) != getattr(newer, each.name)]

    @property
    def coalescing_delay_s(self) -> float:
        """Time for which changes of servers are coalesced before the next call of the registry.

        Each answer of the registry has a cost and servers' entries change all the time. The rest of the bound
        is for the answer's transfer and a slow registry.
        """
        return min(MAX_COALESCING_DELAY_S, COALESCING_SHARE * self.leaving_bound_s)

    @property
    def removed_grace_s(self) -> float:
        """How long a server may be used as a last resort after its entry was removed.

        Entries also expire while the registry is unavailable, and those of live servers return soon after it
        has recovered. The rest of the bound on leaving servers is for this node to receive the change and for
        sending the request.
        """
        return min(REREGISTRATION_TIME_S, MAX_REMOVED_SHARE * self.leaving_bound_s)

    @property
    def change_bound_s(self) -> float:
        """Time within which any change in the registry must take effect."""
        bound_s = min(self.configuration_bound_s, self.leaving_bound_s)
        return bound_s if self.evacuation_bound_s is None else min(bound_s, self.evacuation_bound_s)

    @property
    def withdraw_time_s(self) -> float:
        """How long a stopping node still accepts callers while readiness probes detect the stop."""
        return min(MAX_WITHDRAW_TIME_S, self.stop_grace_s * WITHDRAW_SHARE)

    @property
    def stop_time_s(self) -> float:
        """How long after the request to stop the process ends at the latest."""
        return max(self.withdraw_time_s, self.stop_grace_s - STOP_MARGIN_S)

    @property
    def answers_time_s(self) -> float:
        """How long after the request to stop every request has its answer."""
        return max(self.withdraw_time_s, self.stop_time_s - ANSWER_MARGIN_SHARE * self.stop_grace_s)

    @property
    def max_held_s(self) -> float:
        """By how much answers end sooner at most where the event loop is held."""
        return MAX_HELD_SHARE * self.stop_grace_s

    @property
    def reply_memory_bytes(self) -> int:
        """How many bytes unfinished replies may take together."""
        return int(REPLY_MEMORY_SHARE * self.memory_bytes)

    @property
    def caller_memory_bytes(self) -> int:
        """How many bytes may be held for callers, on all listeners together."""
        return int(CALLER_MEMORY_SHARE * self.memory_bytes)

    @property
    def caller_kernel_bytes(self) -> int:
        """How many bytes the system may hold of callers' connections, in each direction."""
        return int(CALLER_KERNEL_SHARE * self.memory_bytes)

    @property
    def peer_kernel_bytes(self) -> int:
        """How many bytes the system may hold of other nodes' connections, in each direction."""
        return int(PEER_KERNEL_SHARE * self.memory_bytes)

    @property
    def probe_kernel_bytes(self) -> int:
        """How many bytes the system may hold of the connections of each listener for probes."""
        return int(PROBE_KERNEL_SHARE * self.memory_bytes)

    @property
    def caller_connections(self) -> int:
        """How many connections of callers may be open; idle ones alone never fill the account."""
        most = self.caller_memory_bytes // CALLER_CONNECTION_BYTES
        return max(2, min(most, self._sockets(CALLER_DESCRIPTOR_SHARE)))

    @property
    def peer_connections(self) -> int:
        """How many connections of other nodes may be open."""
        return self._sockets(PEER_DESCRIPTOR_SHARE)

    @property
    def probe_connections(self) -> int:
        """How many connections of each listener for probes and metrics may be open."""
        return self._sockets(PROBE_DESCRIPTOR_SHARE)

    @property
    def server_connections(self) -> int:
        """How many connections to servers may be open."""
        return self._sockets(SERVER_DESCRIPTOR_SHARE)

    @property
    def coordinator_connections(self) -> int:
        """How many connections to coordinators may be open."""
        return self._sockets(COORDINATOR_DESCRIPTOR_SHARE)

    def _sockets(self, share: float) -> int:
        files = min(MAX_FILE_DESCRIPTORS, FILE_DESCRIPTOR_SHARE * self.descriptors)
        return max(2, int(share * (self.descriptors - files)))

    def options(self) -> GatewayOptions:
        """Return the options of this node's router.

        Raises
        ------
        ValueError
            A name in ``switched_off`` is not the name of a switch.
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

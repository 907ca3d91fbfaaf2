"""A users' deployment in the soak's own words: machines, services, requests, days and their troubles.

``soak.sheet`` reads one from a sheet; nothing else of the soak knows the sheet's words. All times are in
seconds; rates are per second.
"""

from typing import NamedTuple


class MachineGroup(NamedTuple):
    """Equal machines of a zone; ``spares`` may join during a day."""

    zone: str
    machines: int
    spares: int
    cpu_share: float
    cores: int
    memory_mb: int
    descriptors: int
    link_mbps: float = 1000.0


class ServiceGroup(NamedTuple):
    """A service, or ``copies`` of it, each a shard and a service of its own named ``NAME~NUMBER``.

    ``zones`` has the zone of each server of one copy. A ``later`` group starts when the index is cut anew.
    Each server pauses for ``pause_s`` every ``pause_every_s`` (0: never); ``speeds`` are factors of its work.
    """

    name: str
    zones: tuple[str, ...]
    slots: int
    queue: int
    max_connections: int
    copies: int = 0
    later: bool = False
    tells_load: bool = False
    pause_s: float = 0.0
    pause_every_s: float = 0.0
    cold_s: float = 0.0
    cold_factor: float = 1.0
    speeds: tuple[float, ...] = (1.0,)


class RequestKind(NamedTuple):
    """One kind of request, and so one route; ``top_k`` is 0 where a single server answers.

    ``services`` are the groups that may serve it: the first one at first, another after a change.
    """

    name: str
    services: tuple[str, ...]
    target_s: float
    deadline_s: float
    priority: int
    retries: int
    work_s: float
    response_bytes: int
    top_k: int = 0
    min_coverage: float = 0.0


class ZoneTraffic(NamedTuple):
    """What the clients of one zone send; ``mix`` has the weight of each kind of request."""

    zone: str
    per_s: float
    clients: int
    mix: dict[str, float]


class Trouble(NamedTuple):
    """A kind of trouble as the sheet draws it; ``how`` holds the words of its variant.

    ``at_s`` counts from the start of traffic, and is ``None`` where the seed decides. Fields that the sheet
    leaves out are ``None`` or empty.
    """

    kind: str
    at_s: float | None = None
    how: tuple[str, ...] = ()
    share: float | None = None
    targets: int | None = None
    factor: float | None = None
    for_s: float | None = None
    gap_s: float | None = None
    zone: str = ""
    to_zone: str = ""
    service: str = ""
    on: str = ""
    planned: bool = False


class FinalFault(NamedTuple):
    """What strikes all machines at the end of a day, for ``down_s``."""

    kind: str
    down_s: float
    how: tuple[str, ...] = ()


class Day(NamedTuple):
    """One day of the sheet."""

    name: str
    seed: int
    traffic: tuple[ZoneTraffic, ...]
    troubles: tuple[Trouble, ...]
    final: FinalFault | None


class SiteBounds(NamedTuple):
    """The bounds of the rules."""

    contact_s: float
    config_apply_s: float
    drain_s: float
    grace_s: float
    recovery_s: float
    max_skew_s: float
    budget_ratio: float
    budget_slack: float
    budget_window_s: float
    seed_lag_s: float = 3.0
    address_reuse_s: float = 2.0
    ack_s: float = 5.0
    catch_up_s: float = 4.0
    loss_slack_s: float = 0.2
    downgrade_slack_s: float = 0.25


class Tolerance(NamedTuple):
    """What a site may lose at once and still keep its rules."""

    machines: int = 0
    zones: int = 0
    regions: int = 0


class Site(NamedTuple):
    """A deployment; ``zones`` maps each zone to its region.

    ``abrupt_share`` is the share of leaving servers whose entry goes without a word of their leaving.
    """

    name: str
    zones: dict[str, str]
    contracts: tuple[str, ...]
    machines: tuple[MachineGroup, ...]
    services: tuple[ServiceGroup, ...]
    requests: tuple[RequestKind, ...]
    traffic: tuple[ZoneTraffic, ...]
    troubles: tuple[Trouble, ...]
    days: tuple[Day, ...]
    bounds: SiteBounds
    lead_s: float
    day_s: float
    late_seeds_s: float
    heartbeat_s: float
    idle_routes: int
    writes_per_s: float
    reads_per_s: float
    tolerance: Tolerance = Tolerance()
    loss_counts: bool = False
    abrupt_share: float = 0.0

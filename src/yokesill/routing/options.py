"""Options of the router, with defaults for production."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RoutingOptions:
    """Options for server selection and overload protection; times are in seconds.

    The booleans turn single mechanisms off, for the baseline. ``maximum_attempts`` bounds the attempts for a
    shard, ``budget_burst`` the extra attempts that can be saved up, and the limits (``initial_limit``,
    ``maximum_limit``) the concurrent requests to a server. ``waiting_bound`` is the maximum queue length of a
    shard, ``waiting_share`` the share of a query's time that it may wait (0.4: goodput at 1.5 times the
    capacity stays above 0.9 of that at capacity, docs/design/limits.md). ``remote_zone_penalty_s`` is added
    to the cost of servers in other zones, and for ``slow_start_s`` the cost of a cold server is raised. After
    ``ejection_failures`` in a row a server is ejected for ``ejection_base_s``, doubled with each ejection up
    to ``ejection_ceiling_s``. The weight of a load report halves every ``load_report_half_life_s``;
    ``retry_backoff_s`` is the backoff per attempt before a server is tried again.
    """

    zone: str = ""
    hedging: bool = True
    retries: bool = True
    limits: bool = True
    load_aware: bool = True
    ejection: bool = True
    maximum_attempts: int = 4
    budget_burst: float = 10.0
    initial_limit: float = 4.0
    maximum_limit: float = 64.0
    waiting_bound: int = 64
    waiting_share: float = 0.4
    remote_zone_penalty_s: float = 0.001
    slow_start_s: float = 3.0
    ejection_failures: int = 3
    ejection_base_s: float = 1.0
    ejection_ceiling_s: float = 30.0
    load_report_half_life_s: float = 0.2
    retry_backoff_s: float = 0.01


def thin_options(zone: str = "") -> RoutingOptions:
    """Return the baseline (``routing.thin``): one random replica, a fixed timeout, no protection."""
    return RoutingOptions(
        zone=zone, hedging=False, retries=False, limits=False, load_aware=False, ejection=False
    )

"""Options of the router; the defaults are for production, and none but ``waiting_share`` was measured."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RoutingOptions:
    """How the router chooses and protects; times in seconds.

    The switches (booleans) turn single mechanisms off, for the baseline. ``maximum_attempts`` bounds the
    attempts at a shard, ``budget_burst`` the extra attempts saved up, the limits how many requests a server
    gets at once. ``waiting_bound`` is the longest queue of a shard, ``waiting_share`` the share of a query's
    time that it may wait (0.4: goodput at 1.5 times the capacity stays above 0.9 of that at capacity,
    docs/design/limits.md). ``remote_zone_penalty_s`` is added to the cost of servers of other zones,
    ``slow_start_s`` how long a cold server is dearer. After ``ejection_failures`` in a row a server is
    ejected for ``ejection_base_s``, doubled up to ``ejection_ceiling_s``. A load report halves its weight in
    ``load_report_half_life_s``; ``retry_backoff_s`` is one attempt's backoff before a server is tried again.
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

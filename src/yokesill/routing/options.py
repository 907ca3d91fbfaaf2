"""Knobs of the router; the defaults are for production."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RoutingOptions:
    """How the router chooses and protects; times in seconds.

    The switches turn single mechanisms off, for baselines and for trials that show what a
    mechanism is for.
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
    remote_zone_penalty: float = 0.001
    slow_start: float = 3.0
    ejection_failures: int = 3
    ejection_base: float = 1.0
    ejection_ceiling: float = 30.0
    load_report_half_life: float = 0.2
    retry_backoff: float = 0.01


def thin_options(zone: str = "") -> RoutingOptions:
    """The baseline of every comparison: one random replica, a fixed time-out and nothing else."""
    return RoutingOptions(
        zone=zone, hedging=False, retries=False, limits=False, load_aware=False, ejection=False
    )

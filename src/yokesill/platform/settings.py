"""Converts the platform's settings file to the gateway's settings; reports every error with its place."""

import tomllib

from yokesill.gateway.limits.budget import BudgetLimits
from yokesill.gateway.servers.cold_starts import ColdStartLimits
from yokesill.rollouts.orders import RolloutLimits
from yokesill.serving.settings import GatewaySettings, SettingsProblem
from yokesill.serving.settings_reader import OptionalFields, SettingsReader

# The contract under which operators evacuate zones, and the default of its time bound.
EVACUATION_CONTRACT, DEFAULT_EVACUATION_BOUND_S = "places", 5.0
# The contract under which operators order roll-outs.
ROLLOUT_CONTRACT = "rollout"
# Smaller limits can't be meant: a process with a few connections takes more, or cuts off what is in flight.
MIN_MEMORY_MB, MIN_DESCRIPTORS, MIN_GRACE_S = 32, 32, 0.5


def parse_settings(text: str, known: OptionalFields | None = None) -> GatewaySettings | list[SettingsProblem]:
    """Parse settings; unknown fields are ignored, as the platform requires.

    ``known`` gives what fields that can't be read held before, and gets what the fields hold.
    """
    try:
        reader = SettingsReader(tomllib.loads(text), known or OptionalFields())
    except (ValueError, RecursionError) as error:
        return [SettingsProblem("(file)", str(error), unreadable=True)]
    callers, contracts = reader.address("listenAddrs.front"), reader.text_list("contracts")
    host = reader.optional_text("ip", callers.host)
    own_port, reports, rollout_datagrams = reader.port_addresses("portRange", host, 3)
    settings = GatewaySettings(
        node=reader.text("nodeName"),
        zone=reader.text("zone"),
        callers=callers,
        probes=reader.address("listenAddrs.ready"),
        registry=reader.address("platform.address"),
        metrics=own_port,
        datagrams=own_port,
        reports=reports,
        rollout_datagrams=rollout_datagrams,
        peers=reader.optional_address("listenAddrs.control"),
        seeds=reader.addresses("seedNodes"),
        regions=reader.text_table("zones"),
        budget=BudgetLimits(
            ratio=reader.number("bounds.retryBudgetRatio", 0.1),
            allowance=reader.number("bounds.retrySlack", 10.0),  # attempts in addition to the ratio
            window_s=max(1.0, reader.number("bounds.retryWindowS", 10.0)),
        ),
        configuration_bound_s=max(1.0, reader.number("bounds.configApplyMs", 3000) / 1000),
        # How long a leaving server may still get requests, not how long this node drains.
        leaving_bound_s=reader.number("bounds.drainMs", 2000) / 1000,
        # How long after the registry is available again a node may still be stale.
        recovery_bound_s=max(1.0, reader.number("bounds.contactMs", 4000) / 1000),
        evacuation_bound_s=_evacuation_bound_s(reader, contracts),
        cold_starts=ColdStartLimits(
            overshoot=reader.number("bounds.warmupOvershoot", 1.0),
            slack=reader.number("bounds.warmupSlack", 0.0),
        ),
        rollouts=_rollout_limits(reader, contracts),
        cores=reader.number("limits.cpuShare", 1.0) * reader.number("limits.cpuCores", 1.0),
        memory_bytes=int(reader.number("limits.memoryMb", 256, MIN_MEMORY_MB) * 1_000_000),
        descriptors=int(reader.number("limits.maxFds", 1024, MIN_DESCRIPTORS)),
        stop_grace_s=reader.number("bounds.graceS", 6.0, MIN_GRACE_S),
    )
    return reader.accept(settings)


def _evacuation_bound_s(reader: SettingsReader, contracts: tuple[str, ...]) -> float | None:
    """Return the time within which evacuations must take effect; ``None`` if the contracts have none."""
    bound_ms = reader.number("bounds.evacuateMs", 0.0)
    if bound_ms:
        return bound_ms / 1000
    return DEFAULT_EVACUATION_BOUND_S if EVACUATION_CONTRACT in contracts else None


def _rollout_limits(reader: SettingsReader, contracts: tuple[str, ...]) -> RolloutLimits | None:
    """Return the limits of roll-outs; ``None`` if the contracts have no roll-outs."""
    if ROLLOUT_CONTRACT not in contracts:
        return None
    defaults = RolloutLimits()
    return RolloutLimits(
        canary_share=reader.number("bounds.canaryShare", defaults.canary_share),
        canary_slack=reader.number("bounds.canarySlack", defaults.canary_slack),
        rollback_s=reader.number("bounds.rollbackMs", defaults.rollback_s * 1000) / 1000,
    )

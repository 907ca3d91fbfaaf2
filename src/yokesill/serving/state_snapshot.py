"""What a node knows, in the forms in which it tells other nodes.

Read from the router at the moment of the call; nothing is owned or kept here. ``registry.snapshots`` and
``registry.feed_states`` have the wire forms.
"""

from yokesill.gateway.events import (
    ConfigurationReceived,
    EvacuationsReplaced,
    QuarantineReplaced,
    RolloutsReplaced,
    ServersReplaced,
)
from yokesill.gateway.router import GatewayRouter
from yokesill.registry.feed_states import EVACUATIONS, QUARANTINE, ROLLOUTS, SERVERS, WholeFeed
from yokesill.registry.snapshots import encode_snapshot


def snapshot_of(router: GatewayRouter) -> bytes | None:
    """Return all that a router knows, for a starting node.

    ``None`` while it has no configuration, or does not know the orders of roll-outs where there are any.
    """
    configuration, servers = router.configuration, router.servers
    follows = router.options.rollouts is not None
    if configuration is None or (follows and not router.rollouts.synchronised):
        return None
    rollouts = (router.rollouts.recorded_orders(), servers.versions.established())
    quarantined = router.quarantine.detector.quarantined
    return encode_snapshot(configuration, servers.records(), servers.evacuated, *rollouts, quarantined)


def whole_feed(router: GatewayRouter, feed: str) -> WholeFeed | None:
    """Return one feed as a router knows it; ``None`` while it knows nothing of it."""
    if feed == SERVERS:
        return ServersReplaced(tuple(router.servers.records()))
    if feed == EVACUATIONS:
        return EvacuationsReplaced(router.servers.evacuated)
    if feed == ROLLOUTS:
        return RolloutsReplaced(router.rollouts.recorded_orders())
    if feed == QUARANTINE:
        return QuarantineReplaced(router.quarantine.detector.recorded)
    configuration = router.configuration
    return ConfigurationReceived(configuration) if configuration is not None else None


def configuration_version(router: GatewayRouter) -> int:
    """Return the version of the configuration in force; 0 without one."""
    return router.configuration.version if router.configuration is not None else 0

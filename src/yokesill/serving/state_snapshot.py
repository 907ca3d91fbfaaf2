"""Exports a router's state in the forms that a node sends to other nodes.

The state is read from the router at the time of the call; this module holds none. ``registry.snapshots`` and
``registry.feed_states`` define the wire formats.
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


def encode_router_snapshot(router: GatewayRouter) -> bytes | None:
    """Return a snapshot of the router's whole state for a starting node.

    ``None`` while the router has no configuration, or follows roll-outs and has not received their orders.
    """
    configuration, servers = router.configuration, router.servers
    follows_rollouts = router.options.rollouts is not None
    if configuration is None or (follows_rollouts and not router.rollouts.synchronised):
        return None
    rollouts = (router.rollouts.recorded_orders(), servers.versions.established())
    quarantined = router.quarantine.detector.quarantined
    return encode_snapshot(configuration, servers.records(), servers.evacuated, *rollouts, quarantined)


def whole_feed(router: GatewayRouter, feed: str) -> WholeFeed | None:
    """Return a router's state of one feed; ``None`` for the configuration before the first one."""
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
    """Return the version of the configuration in force; 0 if there is none."""
    return router.configuration.version if router.configuration is not None else 0

"""Builds a node's part in roll-outs from what the node has."""

import random
import time
from collections.abc import Callable, Collection

import anyio

from yokesill.gateway.events import RolloutDecisionsReceived
from yokesill.registry.feeds import NodeContact, RolloutRecords
from yokesill.rollouts.decider import RolloutDecider
from yokesill.rollouts.orders import RolloutLimits
from yokesill.serving.driver import GatewayDriver
from yokesill.serving.rollout_link import RolloutLink, RouterPort


def create_rollout_link(
    own: NodeContact,
    terms: RolloutLimits,
    driver: GatewayDriver,
    records: RolloutRecords,
    reaches_registry: Callable[[], bool],
    source: random.Random,
) -> RolloutLink:
    """Return a link that reports what the driver's router did and feeds it the deciders' words."""
    # Tells this node's starts apart; nobody compares which is later, so that a clock set back does no harm.
    incarnation = time.time_ns() // 1_000_000
    router = driver.router
    decider = RolloutDecider(own.node, incarnation, terms, source, anyio.current_time())
    side = RouterPort(
        report=lambda: router.rollout_report(anyio.current_time()),
        apply_decisions=lambda decisions: driver.feed(RolloutDecisionsReceived(decisions)),
        versions=router.version_counts,
        services=lambda: _services(driver),
    )
    return RolloutLink(own, incarnation, decider, side, records, reaches_registry)


def _services(driver: GatewayDriver) -> Collection[str] | None:
    configuration = driver.router.configuration
    return configuration.services.keys() if configuration is not None else None

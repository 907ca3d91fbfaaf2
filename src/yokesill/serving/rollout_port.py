"""Connects a node's roll-out link to its router."""

import random
import time
from collections.abc import Callable, Collection, Mapping

import anyio

from yokesill.gateway.events import RolloutDecisionsReceived
from yokesill.registry.feeds import NodeContact, RolloutRecords
from yokesill.rollouts.decider import RolloutDecider
from yokesill.rollouts.messages import OrderReport, RolloutDecisions
from yokesill.rollouts.orders import RolloutLimits
from yokesill.serving.driver import GatewayDriver
from yokesill.serving.rollout_link import RolloutLink


class RouterPort:
    """The interface of the node's router that a ``RolloutLink`` needs.

    Parameters
    ----------
    driver
        Feeds the node's router.
    """

    def __init__(self, driver: GatewayDriver) -> None:
        self._driver = driver
        self._router = driver.router

    def report(self) -> tuple[OrderReport, ...]:
        """Return this node's actions and observations under the open orders since the last call."""
        return self._router.rollout_report(anyio.current_time())

    def apply_decisions(self, decisions: RolloutDecisions) -> None:
        """Apply a decider's decisions."""
        self._driver.feed(RolloutDecisionsReceived(decisions))

    def version_counts(self, service: str) -> Mapping[str, int]:
        """Return the number of listed servers of a service by version."""
        return self._router.version_counts(service)

    def services(self) -> Collection[str] | None:
        """Return the services that the configuration in force names; ``None`` without one."""
        configuration = self._router.configuration
        return configuration.services.keys() if configuration is not None else None


def create_rollout_link(
    own: NodeContact,
    limits: RolloutLimits,
    driver: GatewayDriver,
    records: RolloutRecords,
    reaches_registry: Callable[[], bool],
    source: random.Random,
) -> RolloutLink:
    """Return a link that sends the reports of the driver's router and feeds it the deciders' decisions."""
    # Distinguishes this node's starts. Incarnations are not ordered, so setting the clock back does no harm.
    incarnation = time.time_ns() // 1_000_000
    decider = RolloutDecider(own.node, incarnation, limits, source, anyio.current_time())
    return RolloutLink(own, incarnation, decider, RouterPort(driver), records, reaches_registry)

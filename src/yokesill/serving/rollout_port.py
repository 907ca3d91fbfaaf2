"""Connects a node's share in roll-outs to its router."""

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
    """What a ``RolloutLink`` needs of the node's router.

    Parameters
    ----------
    driver
        Feeds the router.
    """

    def __init__(self, driver: GatewayDriver) -> None:
        self._driver = driver
        self._router = driver.router

    def report(self) -> tuple[OrderReport, ...]:
        """Return what this node did and saw under the open orders since the last call."""
        return self._router.rollout_report(anyio.current_time())

    def apply_decisions(self, decisions: RolloutDecisions) -> None:
        """Apply a decider's decisions."""
        self._driver.feed(RolloutDecisionsReceived(decisions))

    def version_counts(self, service: str) -> Mapping[str, int]:
        """Return how many servers of a service are listed, by their version."""
        return self._router.version_counts(service)

    def services(self) -> Collection[str] | None:
        """Return the services that the configuration in force names; ``None`` while there is none."""
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
    """Return a link that reports what the driver's router did and feeds it the deciders' decisions."""
    # Distinguishes this node's starts. Nobody compares which is later: a clock that is set back does no harm.
    incarnation = time.time_ns() // 1_000_000
    decider = RolloutDecider(own.node, incarnation, limits, source, anyio.current_time())
    return RolloutLink(own, incarnation, decider, RouterPort(driver), records, reaches_registry)

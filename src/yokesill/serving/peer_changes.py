"""Distributes the contacts of all live nodes to a node's components after each read of the node directory.

Holds no state; ``registry.node_presence`` calls it. The order of the calls matters: ``RemoteCoordinators``
must have the nodes before it returns which of them gather wide requests.
"""

from collections.abc import Iterable

from yokesill.coordinators.remote_coordinators import RemoteCoordinators
from yokesill.gateway.events import NodesUpdated
from yokesill.registry.feeds import NodeContact
from yokesill.registry.following import RegistryFollowing
from yokesill.registry.version_settlement import VersionSettlement
from yokesill.serving.driver import GatewayDriver
from yokesill.serving.findings import Findings
from yokesill.serving.reachability import Reachability
from yokesill.serving.rollout_link import RolloutLink


class PeerChanges:
    """Passes the contacts of all nodes to the components; see ``peers_changed``."""

    __slots__ = (
        "_driver",
        "_findings",
        "_following",
        "_reachability",
        "_remote_coordinators",
        "_rollouts",
        "_settlement",
    )

    def __init__(
        self,
        driver: GatewayDriver,
        following: RegistryFollowing,
        remote_coordinators: RemoteCoordinators,
        findings: Findings,
        rollouts: RolloutLink | None,
        reachability: Reachability,
        settlement: VersionSettlement,
    ) -> None:
        self._driver = driver
        self._following = following
        self._remote_coordinators = remote_coordinators
        self._findings = findings
        self._rollouts = rollouts
        self._reachability = reachability
        self._settlement = settlement

    def peers_changed(self, contacts: Iterable[NodeContact]) -> None:
        """Replace the nodes that this node exchanges findings and requests with."""
        contacts = tuple(contacts)
        self._following.set_nodes(contacts)
        if self._rollouts is not None:
            self._rollouts.set_nodes(contacts)
        self._reachability.set_nodes(contacts)
        self._settlement.set_nodes(contacts)
        self._remote_coordinators.set_nodes(contacts)
        coordinators = self._remote_coordinators.gathering(contacts)
        self._driver.feed(NodesUpdated(frozenset(each.node for each in contacts), coordinators))
        self._findings.set_nodes(contacts)

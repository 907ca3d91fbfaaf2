"""Applies events of the registry's feeds to a node, whether the registry or a peer sent them.

The router gets each event first, then the components that subscribed. Also decides whether the node has
received enough state to serve requests; readiness depends on this.
"""

from collections.abc import Callable

from yokesill.gateway.events import Event
from yokesill.serving.driver import GatewayDriver

Subscriber = Callable[[Event], None]


class FeedUpdates:
    """Passes events to the router, then to the subscribers in the order in which they subscribed.

    Parameters
    ----------
    driver
        Feeds the router.
    awaits_quarantine, awaits_rollouts
        Whether the node follows that feed and must have received it before it serves requests.
    """

    __slots__ = ("_driver", "_subscribers", "awaits_quarantine", "awaits_rollouts")

    def __init__(self, driver: GatewayDriver, awaits_quarantine: bool, awaits_rollouts: bool) -> None:
        self.awaits_quarantine = awaits_quarantine
        self.awaits_rollouts = awaits_rollouts
        self._driver = driver
        self._subscribers: list[Subscriber] = []

    def subscribe(self, subscriber: Subscriber) -> None:
        """Call ``subscriber`` with each event that is applied from now on."""
        self._subscribers.append(subscriber)

    def apply(self, event: Event) -> None:
        """Apply one event."""
        self._driver.feed(event)
        for subscriber in self._subscribers:
            subscriber(event)

    def synchronised(self) -> bool:
        """Whether a configuration and servers were received, so that requests can be served.

        The quarantined requests must also have been received, since the first request may be one of them,
        and so must the roll-out orders: during a roll-out the list of servers alone does not determine which
        version serves.
        """
        router = self._driver.router
        if router.configuration is None or len(router.servers) == 0:
            return False
        if self.awaits_quarantine and not router.quarantine.list_known:
            return False
        return router.rollouts.synchronised or not self.awaits_rollouts

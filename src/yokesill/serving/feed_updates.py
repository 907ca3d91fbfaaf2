"""Applies events of the registry's feeds to a node, whether the registry or a peer sent them.

The router comes first; the other components that need such events subscribe. Also knows whether enough
has been received to serve requests, on which readiness depends.
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
        Whether the node follows that feed, so that it must be known before requests are served.
    """

    __slots__ = ("_driver", "_subscribers", "awaits_quarantine", "awaits_rollouts")

    def __init__(self, driver: GatewayDriver, awaits_quarantine: bool, awaits_rollouts: bool) -> None:
        self.awaits_quarantine = awaits_quarantine
        self.awaits_rollouts = awaits_rollouts
        self._driver = driver
        self._subscribers: list[Subscriber] = []

    def subscribe(self, subscriber: Subscriber) -> None:
        """Call ``subscriber`` with each event that ``apply`` gets from now on."""
        self._subscribers.append(subscriber)

    def apply(self, event: Event) -> None:
        """Apply one event."""
        self._driver.feed(event)
        for subscriber in self._subscribers:
            subscriber(event)

    def synchronised(self) -> bool:
        """Whether requests can be served: a configuration and servers are known.

        So must be the quarantined requests, since the first request may be one of them, and the orders of
        roll-outs: during a roll-out the list of servers alone doesn't say which version serves.
        """
        router = self._driver.router
        if router.configuration is None or len(router.servers) == 0:
            return False
        if self.awaits_quarantine and not router.quarantine.list_known:
            return False
        return router.rollouts.synchronised or not self.awaits_rollouts

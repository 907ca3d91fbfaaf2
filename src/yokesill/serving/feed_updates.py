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
        """Whether everything was received without which requests can't be served."""
        return not self.missing()

    def missing(self) -> list[str]:
        """Return what was not received yet of that without which requests can't be served.

        A configuration and servers are needed, and the quarantined requests, since the first request may be
        one of them. So are the roll-out orders: during a roll-out the list of servers alone does not
        determine which version serves.
        """
        router = self._driver.router
        needed = {
            "configuration": router.configuration is not None,
            "servers": len(router.servers) > 0,
            "quarantine": router.quarantine.list_known or not self.awaits_quarantine,
            "rollouts": router.rollouts.synchronised or not self.awaits_rollouts,
        }
        return [name for name, received in needed.items() if not received]

"""How many servers of an order's target are listed, and since when there are none."""

from collections.abc import Mapping

from yokesill.rollouts.orders import RolloutOrder


class ListedVersions:
    """The listed servers of services with an order, by version; times in seconds of the node's clock."""

    def __init__(self) -> None:
        self._counts: dict[str, Mapping[str, int]] = {}
        self._gone_since_s: dict[str, float] = {}

    def set(self, service: str, counts: Mapping[str, int]) -> None:
        """Set how many servers of each version a service has."""
        self._counts[service] = dict(counts)

    def drop(self, service: str) -> None:
        """Forget a service."""
        self._counts.pop(service, None)
        self._gone_since_s.pop(service, None)

    def of_target(self, order: RolloutOrder, now: float) -> tuple[int | None, float]:
        """Return how many servers the target has, and for how long it has had none beside others.

        The number is ``None`` while nothing is known of the service.
        """
        counts = self._counts.get(order.service)
        servers = None if counts is None else counts.get(order.target, 0)
        gone = counts is not None and servers == 0 and sum(counts.values()) > 0
        if not gone:
            self._gone_since_s.pop(order.service, None)
            return servers, 0.0
        return servers, now - self._gone_since_s.setdefault(order.service, now)

"""Tracks how many servers of an order's target are listed, and how long there have been none."""

from collections.abc import Mapping

from yokesill.rollouts.orders import RolloutOrder


class ListedVersions:
    """Listed servers of services with an order, by version; times in seconds of the node's clock."""

    def __init__(self) -> None:
        self._counts: dict[str, Mapping[str, int]] = {}
        self._gone_since_s: dict[str, float] = {}

    def set(self, service: str, counts: Mapping[str, int]) -> None:
        """Set how many servers of each version a service has."""
        self._counts[service] = dict(counts)

    def drop(self, service: str) -> None:
        """Drop a service."""
        self._counts.pop(service, None)
        self._gone_since_s.pop(service, None)

    def of_target(self, order: RolloutOrder, now: float) -> tuple[int | None, float]:
        """Return the target's number of servers, and how long it has had none while other versions had.

        The number is ``None`` while the service's servers are unknown.
        """
        counts = self._counts.get(order.service)
        servers = None if counts is None else counts.get(order.target, 0)
        gone = counts is not None and servers == 0 and sum(counts.values()) > 0
        if not gone:
            self._gone_since_s.pop(order.service, None)
            return servers, 0.0
        return servers, now - self._gone_since_s.setdefault(order.service, now)

"""A node's part in roll-outs: which calls are canaries, and the evidence that it reports to the deciders.

Relies on ``rollouts/``: `NodeOrders` holds the orders and their effective states, `Canary` draws the share.
Owns what this node sent and saw under each open order. Times in seconds of the node's clock.
"""

from collections.abc import Callable, Collection, Iterable, Mapping

from yokesill.gateway.documents import Configuration, Route
from yokesill.gateway.messages import GatewayRequest
from yokesill.gateway.servers.server_state import ServerState
from yokesill.rollouts.canary import Canary
from yokesill.rollouts.messages import OrderReport, Sample
from yokesill.rollouts.node_orders import NodeOrders
from yokesill.rollouts.order_samples import OrderSamples
from yokesill.rollouts.orders import OrderId, RolloutState
from yokesill.rollouts.versions import ServiceVersions


class Rollouts:
    """All roll-outs as one node sees them."""

    def __init__(self, versions: ServiceVersions) -> None:
        self.orders = NodeOrders(versions, Canary())
        self._samples: dict[OrderId, OrderSamples] = {}
        self._repeatable: frozenset[str] = frozenset()

    @property
    def effective(self) -> Mapping[str, RolloutState]:
        """The effective state of each service that has an order."""
        return self.orders.effective

    def set_configuration(self, configuration: Configuration) -> None:
        """Find out which services are reached by requests that may be repeated."""
        routes = (each for each in configuration.routes if each.repeatable)
        self._repeatable = frozenset(name for each in routes for name in each.services)

    # --- canaries ---

    def canaries(
        self, request: GatewayRequest, route: Route, services: Collection[str], most: int, now: float
    ) -> list[str]:
        """Return the services, at most ``most``, whose new version a request is sent to.

        No request that another node may have sent before is a canary. One that may not be repeated is
        only where no other request could be, since its failure can't be hidden from its caller. Of the calls
        of a wide request those come first that the least share would choose.
        """
        if request.asked_before:
            return []
        canary, request_id = self.orders.canary, request.request_id
        ranked = []
        for service in services:
            order = self.orders.open.get(service)
            if order is None or self.effective[service] is not RolloutState.CANARY:
                continue
            if (route.repeatable or service not in self._repeatable) and canary.includes(
                request_id, order.id, now
            ):
                ranked.append((canary.rank(request_id, order.id), service))
        return [service for _, service in sorted(ranked)[:most]]

    def is_new(self, server: ServerState) -> bool:
        """Whether a server is of the version that an open order moves to."""
        order = self.orders.open.get(server.record.service) if self.effective else None
        return order is not None and server.record.version == order.target

    # --- evidence ---

    def sent(self, server: ServerState) -> None:
        """Count a request that is sent to a server."""
        order = self.orders.open.get(server.record.service)
        if order is not None:
            self._of(order.id).count_sent(server.record.version == order.target)

    def ended(
        self,
        server: ServerState,
        route: Route,
        succeeded: bool,
        sent_at: float,
        node_late_s: float,
        now: float,
    ) -> None:
        """Count how an attempt ended that says something of its server.

        ``sent_at`` is when it was sent and ``node_late_s`` how late this node itself is, in seconds.
        """
        order = self.orders.open.get(server.record.service)
        if order is None:
            return
        latency_s = None
        if succeeded and not server.cold(now):
            latency_s = max(0.0, now - sent_at - server.round_trip - node_late_s)
        new = server.record.version == order.target
        sample = Sample(route.name, server.record.instance, new, succeeded, latency_s)
        self._of(order.id).add(sample)

    def report(self, servers_of: Callable[[str], Iterable[ServerState]]) -> tuple[OrderReport, ...]:
        """Return what was sent and seen under each open order; each sample is reported once."""
        orders = list(self.orders.open.values())
        kept = {each.id for each in orders}
        self._samples = {order: each for order, each in self._samples.items() if order in kept}
        reports = []
        for order in orders:
            seen, state = self._of(order.id), self.effective[order.service]
            others = (each for each in servers_of(order.service) if each.record.version != order.target)
            in_flight = sum(each.in_flight for each in others)
            counts = (seen.sent_old, seen.sent_new, in_flight)
            reports.append(OrderReport(order.id, state, *counts, seen.take_samples()))
        return tuple(reports)

    def _of(self, order: OrderId) -> OrderSamples:
        seen = self._samples.get(order)
        if seen is None:
            seen = self._samples[order] = OrderSamples()
        return seen

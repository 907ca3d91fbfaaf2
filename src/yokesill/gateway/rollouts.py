"""A node's part in roll-outs: it selects canary calls and collects the evidence that deciders need.

Relies on ``rollouts/``: `NodeOrders` holds the orders and their effective states, `Canary` selects the share
of requests. Owns what this node sent and observed under each open order. Times are in seconds of the node's
clock.
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
    """All roll-outs from the view of one node."""

    def __init__(self, versions: ServiceVersions) -> None:
        self.orders = NodeOrders(versions, Canary())
        self._samples: dict[OrderId, OrderSamples] = {}
        self._repeatable: frozenset[str] = frozenset()

    @property
    def effective(self) -> Mapping[str, RolloutState]:
        """The effective state of each service that has an order."""
        return self.orders.effective

    def set_configuration(self, configuration: Configuration) -> None:
        """Determine which services are reached by repeatable requests."""
        routes = (each for each in configuration.routes if each.repeatable)
        self._repeatable = frozenset(name for each in routes for name in each.services)

    # --- canaries ---

    def canaries(
        self, request: GatewayRequest, route: Route, services: Collection[str], limit: int, now: float
    ) -> list[str]:
        """Return the services, at most ``limit``, at which a request goes to the new version.

        A request that another node may have sent before is never a canary. A request that may not be repeated
        is a canary only at services without repeatable requests, since its failure can't be hidden from its
        caller. Of the calls of a wide request, those that the smallest share would select take precedence.
        """
        if request.possibly_sent:
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
        return [service for _, service in sorted(ranked)[:limit]]

    def is_new(self, server: ServerState) -> bool:
        """Whether a server has the target version of an open order."""
        order = self.orders.open.get(server.record.service) if self.effective else None
        return order is not None and server.record.version == order.target

    # --- evidence ---

    def record_sent(self, server: ServerState) -> None:
        """Count a request that is sent to a server."""
        order = self.orders.open.get(server.record.service)
        if order is not None:
            self._samples_of(order.id).count_sent(server.record.version == order.target)

    def record_outcome(
        self,
        server: ServerState,
        route: Route,
        succeeded: bool,
        sent_at: float,
        node_late_s: float,
        now: float,
    ) -> None:
        """Record the outcome of an attempt that is evidence about its server.

        ``sent_at`` is when it was sent and ``node_late_s`` how late this node's own timers are, in seconds.
        """
        order = self.orders.open.get(server.record.service)
        if order is None:
            return
        latency_s = None
        if succeeded and not server.cold(now):
            latency_s = max(0.0, now - sent_at - server.round_trip - node_late_s)
        new = server.record.version == order.target
        sample = Sample(route.name, server.record.instance, new, succeeded, latency_s)
        self._samples_of(order.id).add(sample)

    def report(self, servers_of: Callable[[str], Iterable[ServerState]]) -> tuple[OrderReport, ...]:
        """Return a report for each open order; each sample is reported only once."""
        orders = list(self.orders.open.values())
        open_ids = {each.id for each in orders}
        self._samples = {order: each for order, each in self._samples.items() if order in open_ids}
        reports = []
        for order in orders:
            samples, state = self._samples_of(order.id), self.effective[order.service]
            old_servers = (each for each in servers_of(order.service) if each.record.version != order.target)
            in_flight = sum(each.in_flight for each in old_servers)
            counts = (samples.sent_old, samples.sent_new, in_flight)
            reports.append(OrderReport(order.id, state, *counts, samples.take_samples()))
        return tuple(reports)

    def _samples_of(self, order: OrderId) -> OrderSamples:
        samples = self._samples.get(order)
        if samples is None:
            samples = self._samples[order] = OrderSamples()
        return samples

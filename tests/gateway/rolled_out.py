"""A router harness with services of two versions, roll-out orders for them, and decisions of deciders."""

from collections.abc import Iterable
from dataclasses import replace
from typing import Any

from harness import BUDGET, RouterHarness, gather_route, server

from yokesill.gateway import events as ev
from yokesill.gateway.documents import Route, ServerRecord
from yokesill.gateway.options import GatewayOptions
from yokesill.rollouts.messages import OrderDecision, OrderReport, RolloutDecisions
from yokesill.rollouts.orders import RolloutLimits, RolloutOrder, RolloutState

ORDERED, CANARY, SWITCHING, COMPLETED, ROLLED_BACK = RolloutState
VALID_S = 1.5
ONE_SHARD = gather_route(services=("s1",), coverage=1.0)


def servers_of(service: str, version: str, count: int = 2) -> tuple[ServerRecord, ...]:
    """Return servers of a service and version, each in a separate zone."""
    return tuple(
        server(f"{service}-{version}-{number}", service, f"z{number}", version=version)
        for number in range(1, count + 1)
    )


def order_for(service: str, target: str = "v2") -> RolloutOrder:
    return RolloutOrder(service, target, 12.0, 5, 5)


class RolloutHarness(RouterHarness):
    """Services in service with v1, with additional servers of v2 and, if ``ordered``, an order for v2."""

    def __init__(
        self,
        *routes: Route,
        ordered: bool = True,
        servers: tuple[ServerRecord, ...] | None = None,
        **options: Any,
    ) -> None:
        routes = routes or (ONE_SHARD,)
        names = sorted({name for route in routes for name in route.services})
        old = tuple(each for name in names for each in servers_of(name, "v1"))
        new = tuple(each for name in names for each in servers_of(name, "v2"))
        defaults = GatewayOptions(zone="z1", budget=BUDGET, rollouts=RolloutLimits())
        super().__init__(
            *routes,
            servers=(*old, *new) if servers is None else servers,
            options=replace(defaults, **options),
        )
        self.orders = {name: order_for(name) for name in names}
        if ordered:
            for order in self.orders.values():
                self.feed(ev.RolloutOrdered(order))

    def receive_decisions(
        self, state: RolloutState, share: float = 1.0, valid_s: float = VALID_S, services: Iterable[str] = ()
    ) -> None:
        orders = [self.orders[name] for name in services or self.orders]
        decisions = tuple(OrderDecision(each.id, state, share, 1.0) for each in orders)
        self.feed(ev.RolloutDecisionsReceived(RolloutDecisions("d1", True, valid_s, decisions)))

    def record_state(self, state: RolloutState) -> None:
        for name, order in self.orders.items():
            self.orders[name] = order._replace(state=state, revision=order.revision + 1)
            self.feed(ev.RolloutOrdered(self.orders[name]))

    def versions(self, key: str) -> list[str]:
        """Return the versions of the servers that a request was sent to, in order."""
        return [each.server.version for each in self.attempts(key)]

    def send_requests(self, path: str = "/wide/x", requests: int = 20) -> set[str]:
        """Send requests and answer them; return the versions of the servers that got them."""
        keys = [self.arrive(path) for _ in range(requests)]
        self.advance(0.01)
        for key in keys:
            for attempt in self.attempts(key):
                self.answer(attempt)
        return {version for key in keys for version in self.versions(key)}

    def report(self) -> OrderReport:
        (report,) = self.router.rollout_report(self.now)
        return report

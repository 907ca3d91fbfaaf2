"""Drives a node's share in roll-outs: reports and decisions as datagrams, records to the registry.

While no order is open nothing is sent and nothing is done.
"""

import math
from collections.abc import Awaitable, Callable, Collection, Iterable, Mapping
from functools import partial
from typing import Protocol

import anyio

from yokesill.clock import running_clock
from yokesill.gateway.events import Event, RolloutOrdered, RolloutsReplaced, RolloutWithdrawn
from yokesill.logs import get_logger
from yokesill.registry.feeds import NodeContact, RolloutRecords
from yokesill.rollouts.datagrams import split_into_datagrams
from yokesill.rollouts.decider import RolloutDecider
from yokesill.rollouts.messages import OrderReport, RolloutDecisions, RolloutReport, decode, encode
from yokesill.serving.datagrams import DatagramSocket
from yokesill.serving.rollout_recorder import RolloutRecorder
from yokesill.serving.rollout_view import RolloutView, order_view
from yokesill.serving.settings import Address

# A decider looks so often at what was reported meanwhile: a version found bad is left that much sooner.
DECIDING_INTERVAL_S = 0.1
# Many orders that change in one moment are announced together: it adds little to the interval above.
URGENT_GAP_S = 0.05

Send = Callable[[str, bytes], Awaitable[None]]


class Router(Protocol):
    """The node's router, as far as roll-outs need it (``rollout_port.RouterPort``)."""

    def report(self) -> tuple[OrderReport, ...]:
        """Return what this node did and saw under the open orders since the last call."""

    def apply_decisions(self, decisions: RolloutDecisions) -> None:
        """Apply a decider's decisions."""

    def version_counts(self, service: str) -> Mapping[str, int]:
        """Return how many servers of a service are listed, by their version."""

    def services(self) -> Collection[str] | None:
        """Return the services that the configuration in force names; ``None`` while there is none."""


class RolloutLink:
    """Drives a ``RolloutDecider``.

    Parameters
    ----------
    own
        This node, as the others know it.
    incarnation
        Distinguishes this start of the node from others.
    decider
        Decides, if this node is to decide.
    router
        Gives reports and gets decisions.
    records
        Where states are kept for good.
    reaches_registry
        Whether the registry answers this node, as far as it knows.
    """

    def __init__(
        self,
        own: NodeContact,
        incarnation: int,
        decider: RolloutDecider,
        router: Router,
        records: RolloutRecords,
        reaches_registry: Callable[[], bool] = lambda: True,
    ) -> None:
        self._own = own
        self._incarnation = incarnation
        self._decider = decider
        self._router = router
        self._log = get_logger("rollouts")
        self._recorder = RolloutRecorder(decider, records, reaches_registry, self._wake, self._log)
        self._addresses: dict[str, str] = {}
        self._turn_wanted = anyio.Event()
        self._reported_at_s = self._announced_at_s = float("-inf")

    def set_nodes(self, contacts: Iterable[NodeContact]) -> None:
        """Set which nodes there are."""
        contacts = tuple(contacts)
        self._addresses = {each.node: each.rollouts for each in contacts if each.rollouts}
        self._addresses.pop(self._own.node, None)
        cores = {each.node: each.cores for each in contacts if each.rollouts}
        self._decider.set_nodes({**cores, self._own.node: self._own.cores})

    def apply_update(self, event: Event) -> None:
        """Apply what the registry, or another node, says of orders; other events change nothing."""
        now = anyio.current_time()
        match event:
            case RolloutOrdered(order):
                self._decider.set_order(order, now)
            case RolloutWithdrawn(service):
                self._decider.withdraw(service, now)
            case RolloutsReplaced(orders):
                self._decider.replace_orders(orders, now)
            case _:
                return
        self._wake()

    def view(self) -> RolloutView:
        """Return what this node knows of all orders; counts are whole at nodes that decide."""
        figures = self._decider.figures(anyio.current_time())
        return RolloutView(
            node=self._own.node,
            deciding=self._decider.deciding,
            orders=[order_view(each) for each in figures],
        )

    # --- running ---

    async def run(self, address: Address | None) -> None:
        """Run until cancelled; without a port this node follows the records and decides nothing."""
        datagrams = DatagramSocket(address, self._log)
        await datagrams.run(self.receive, partial(self.serve, datagrams.send))

    async def serve(self, send: Send) -> None:
        """Report and decide at each interval, and at once when something must be announced."""
        clock = running_clock()
        async with anyio.create_task_group() as tasks:
            while True:
                # Before deciding: what arrives while a datagram goes out asks for another turn.
                self._turn_wanted = anyio.Event()
                now = clock()
                self._update_decider(now)
                await self._report(send, now)
                for record in self._decider.tick(now):
                    self._recorder.start(record, tasks)
                await self._announce(send, now)
                for name, details in self._decider.take_log_events():
                    self._log.info(name, **details)
                pause_s = self._pause_s(now)
                with anyio.move_on_after(pause_s):
                    await self._turn_wanted.wait()

    def receive(self, data: bytes, sender: str, now: float) -> None:
        """Read a datagram from ``sender`` (``IP:PORT``); only nodes that announced themselves count.

        Raises
        ------
        ValueError
            It is no message.
        """
        message = decode(data)
        if self._addresses.get(message.node) != sender:
            return
        if isinstance(message, RolloutReport):
            self._decider.receive_report(message, now)
        else:
            self._decider.receive_decisions(message, now)
            self._router.apply_decisions(message)
        if self._decider.urgent(now):
            self._wake()

    def _wake(self) -> None:
        self._turn_wanted.set()

    def _pause_s(self, now: float) -> float:
        decider = self._decider
        if not decider.open_services(now):
            return math.inf
        return min(DECIDING_INTERVAL_S, decider.interval_s) if decider.deciding else decider.interval_s

    def _update_decider(self, now: float) -> None:
        decider = self._decider
        decider.set_registry(self._recorder.can_record(now), now)
        services = self._router.services()
        if services is not None:
            decider.set_services(services)
        for service in decider.open_services(now):
            decider.set_versions(service, self._router.version_counts(service))

    async def _report(self, send: Send, now: float) -> None:
        """Send this node's report to the deciders if it is due."""
        decider = self._decider
        if now - self._reported_at_s < decider.interval_s / 2:
            return
        self._reported_at_s = now
        report = RolloutReport(self._own.node, self._incarnation, self._router.report())
        if not report.orders:
            return
        datagrams = [encode(report._replace(orders=each)) for each in split_into_datagrams(report.orders)]
        for node in decider.report_targets(now):
            if node == self._own.node:
                decider.receive_report(report, now)
            for data in datagrams if node in self._addresses else ():
                await send(self._addresses[node], data)

    async def _announce(self, send: Send, now: float) -> None:
        """Send this node's decisions to all nodes if they are due."""
        silent_s = now - self._announced_at_s
        if silent_s < (URGENT_GAP_S if self._decider.urgent(now) else self._decider.interval_s / 2):
            return
        decisions = self._decider.decisions(now)
        if decisions is None:
            return
        self._announced_at_s = now
        self._router.apply_decisions(decisions)
        # A decider that can't reach the registry says so even when it has nothing to announce.
        for orders in tuple(split_into_datagrams(decisions.orders)) or ((),):
            data = encode(decisions._replace(orders=orders))
            for address in list(self._addresses.values()):
                await send(address, data)

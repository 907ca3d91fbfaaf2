"""Runs a node's part in roll-outs: exchanges reports and decisions as datagrams, writes records.

While no order is open, it sends nothing and does no work.
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

# How often a decider evaluates new reports; a shorter interval rolls a bad version back sooner.
DECIDING_INTERVAL_S = 0.1
# Minimum time between urgent announcements, so that orders that change at about the same time are announced
# together; adds little to ``DECIDING_INTERVAL_S``.
URGENT_ANNOUNCE_INTERVAL_S = 0.05

Send = Callable[[str, bytes], Awaitable[None]]


class Router(Protocol):
    """The interface of the node's router for roll-outs (``rollout_port.RouterPort``)."""

    def report(self) -> tuple[OrderReport, ...]:
        """Return this node's actions and observations under the open orders since the last call."""

    def apply_decisions(self, decisions: RolloutDecisions) -> None:
        """Apply a decider's decisions."""

    def version_counts(self, service: str) -> Mapping[str, int]:
        """Return the number of listed servers of a service by version."""

    def services(self) -> Collection[str] | None:
        """Return the services that the configuration in force names; ``None`` without one."""


class RolloutLink:
    """Runs a ``RolloutDecider``.

    Parameters
    ----------
    own
        This node's contact.
    incarnation
        Distinguishes this start of the node from earlier and later ones.
    decider
        Decides while this node is a decider.
    router
        Supplies reports and applies decisions.
    records
        The registry's records, which hold the orders' states permanently.
    reaches_registry
        Returns whether the registry answers this node, according to its last calls.
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
        self._iteration_requested = anyio.Event()
        self._reported_at_s = self._announced_at_s = float("-inf")

    def set_nodes(self, contacts: Iterable[NodeContact]) -> None:
        """Replace the known nodes."""
        contacts = tuple(contacts)
        self._addresses = {each.node: each.rollouts for each in contacts if each.rollouts}
        self._addresses.pop(self._own.node, None)
        cores = {each.node: each.cores for each in contacts if each.rollouts}
        self._decider.set_nodes({**cores, self._own.node: self._own.cores})

    def apply_update(self, event: Event) -> None:
        """Apply an event about orders from the registry or another node; ignore other events."""
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
        """Return this node's state of all orders; the counts are complete only at deciders."""
        figures = self._decider.figures(anyio.current_time())
        return RolloutView(
            node=self._own.node,
            deciding=self._decider.deciding,
            orders=[order_view(each) for each in figures],
        )

    # --- running ---

    async def run(self, address: Address | None) -> None:
        """Run until cancelled; without a port return, since this node then only follows the records."""
        datagrams = DatagramSocket(address, self._log)
        await datagrams.run(self.receive, partial(self.serve, datagrams.send))

    async def serve(self, send: Send) -> None:
        """Report and decide at each interval, and immediately when something must be announced."""
        clock = running_clock()
        async with anyio.create_task_group() as tasks:
            while True:
                # Reset before deciding, since a datagram that arrives while others are sent requests another
                # iteration.
                self._iteration_requested = anyio.Event()
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
                    await self._iteration_requested.wait()

    def receive(self, data: bytes, sender: str, now: float) -> None:
        """Handle a datagram from ``sender`` (``IP:PORT``); datagrams from unknown nodes are ignored.

        Raises
        ------
        ValueError
            The datagram is not a valid message.
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
        self._iteration_requested.set()

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
        since_announcement_s = now - self._announced_at_s
        if since_announcement_s < (
            URGENT_ANNOUNCE_INTERVAL_S if self._decider.urgent(now) else self._decider.interval_s / 2
        ):
            return
        decisions = self._decider.decisions(now)
        if decisions is None:
            return
        self._announced_at_s = now
        self._router.apply_decisions(decisions)
        # A decider that can't reach the registry announces this even without decisions.
        for orders in tuple(split_into_datagrams(decisions.orders)) or ((),):
            data = encode(decisions._replace(orders=orders))
            for address in list(self._addresses.values()):
                await send(address, data)

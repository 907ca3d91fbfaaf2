"""Carries a node's part in roll-outs: reports and words over UDP datagrams, records to the registry.

While no order is open nothing is sent and nothing is asked.
"""

import math
from collections.abc import Awaitable, Callable, Collection, Iterable, Mapping
from functools import partial

import anyio
import anyio.abc

from yokesill.clock import running_clock
from yokesill.gateway.events import Event, RolloutOrdered, RolloutsReplaced, RolloutWithdrawn
from yokesill.logs import get_logger
from yokesill.registry.feeds import NodeContact, RolloutRecords
from yokesill.rollouts.datagrams import in_datagrams
from yokesill.rollouts.decider import RolloutDecider
from yokesill.rollouts.messages import (
    OrderReport,
    RolloutDecisions,
    RolloutReport,
    decode,
    encode,
)
from yokesill.rollouts.orders import RolloutOrder
from yokesill.serving.datagrams import DatagramSocket
from yokesill.serving.rollout_view import RolloutView, view_of
from yokesill.serving.settings import Address
from yokesill.verdict import Failure

# A node that failed to write a record lets others decide for so long.
UNABLE_S = 2.0
# A decider looks so often at what was reported meanwhile: a version found bad is left that much sooner.
TURN_S = 0.1
# Many orders that change in one moment are told together.
URGENT_GAP_S = 0.05

Send = Callable[[str, bytes], Awaitable[None]]


class RouterPort:
    """What the link asks of the node's router.

    Parameters
    ----------
    report
        Return what this node did and saw under the open orders since it was last asked.
    apply_decisions
        Apply a decider's decisions.
    versions
        Return how many servers of a service are listed, by their version.
    services
        Return the services that the configuration in force names; ``None`` while there is none.
    """

    __slots__ = ("apply_decisions", "report", "services", "versions")

    def __init__(
        self,
        report: Callable[[], tuple[OrderReport, ...]],
        apply_decisions: Callable[[RolloutDecisions], None],
        versions: Callable[[str], Mapping[str, int]],
        services: Callable[[], Collection[str] | None],
    ) -> None:
        self.report = report
        self.apply_decisions = apply_decisions
        self.versions = versions
        self.services = services


class RolloutLink:
    """Drives a ``RolloutDecider``.

    Parameters
    ----------
    own
        This node, as the others know it.
    incarnation
        Tells this start of the node from others.
    decider
        Decides, if this node is to decide.
    router
        Where samples come from and words go.
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
        router: RouterPort,
        records: RolloutRecords,
        reaches_registry: Callable[[], bool] = lambda: True,
    ) -> None:
        self._own = own
        self._incarnation = incarnation
        self._decider = decider
        self._router = router
        self._records = records
        self._reaches_registry = reaches_registry
        self._addresses: dict[str, str] = {}
        self._unable_until_s = 0.0
        self._wanted = anyio.Event()
        self._reported_at_s = self._spoke_at_s = float("-inf")
        self._tasks: anyio.abc.TaskGroup | None = None
        self._send: Send | None = None
        self._log = get_logger("rollouts")

    # --- what is learnt ---

    def set_nodes(self, contacts: Iterable[NodeContact]) -> None:
        """Take which nodes there are."""
        contacts = tuple(contacts)
        self._addresses = {each.node: each.rollouts for each in contacts if each.rollouts}
        self._addresses.pop(self._own.node, None)
        cores = {each.node: each.cores for each in contacts if each.rollouts}
        self._decider.set_nodes({**cores, self._own.node: self._own.cores})

    def take(self, event: Event) -> None:
        """Take what the registry, or another node, tells of orders."""
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
        self._wanted.set()

    def view(self) -> RolloutView:
        """Return what this node knows of all orders; counts are whole at nodes that decide."""
        figures = self._decider.figures(anyio.current_time())
        return RolloutView(
            node=self._own.node, deciding=self._decider.deciding, orders=[view_of(each) for each in figures]
        )

    # --- running ---

    async def run(self, address: Address | None) -> None:
        """Carry until cancelled; without a port this node obeys the records and decides nothing."""
        datagrams = DatagramSocket(address, self._log)
        await datagrams.run(self.receive, partial(self.serve, datagrams.send))

    async def serve(self, send: Send) -> None:
        """Report and decide at each interval, and at once when something must be told."""
        self._send = send
        clock = running_clock()
        async with anyio.create_task_group() as self._tasks:
            while True:
                # Before deciding: what comes while a datagram goes out asks for another turn.
                self._wanted = anyio.Event()
                now = clock()
                await self._turn(now)
                pause_s = self._pause_s(now)
                with anyio.move_on_after(pause_s):
                    await self._wanted.wait()

    def _pause_s(self, now: float) -> float:
        if not self._decider.open_services(now):
            return math.inf
        return min(TURN_S, self._decider.interval_s) if self._decider.deciding else self._decider.interval_s

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
            self._wanted.set()

    async def _turn(self, now: float) -> None:
        """Report, decide, record and speak, as far as each is due."""
        decider = self._decider
        decider.set_registry(self._reaches_registry() and now >= self._unable_until_s, now)
        services = self._router.services()
        if services is not None:
            decider.set_services(services)
        for service in decider.open_services(now):
            decider.set_versions(service, self._router.versions(service))
        await self._report(now)
        for record in decider.tick(now):
            self._start_recording(record)
        await self._speak(now)
        for name, details in decider.take_log_events():
            self._log.info(name, **details)

    async def _report(self, now: float) -> None:
        decider = self._decider
        if now - self._reported_at_s < decider.interval_s / 2:
            return
        self._reported_at_s = now
        report = RolloutReport(self._own.node, self._incarnation, self._router.report())
        if not report.orders:
            return
        datagrams = [encode(report._replace(orders=each)) for each in in_datagrams(report.orders)]
        for node in decider.reporting_to(now):
            if node == self._own.node:
                decider.receive_report(report, now)
            for data in datagrams if node in self._addresses else ():
                await self._tell(self._addresses[node], data)

    async def _speak(self, now: float) -> None:
        silent_s = now - self._spoke_at_s
        if silent_s < (URGENT_GAP_S if self._decider.urgent(now) else self._decider.interval_s / 2):
            return
        word = self._decider.decisions(now)
        if word is None:
            return
        self._spoke_at_s = now
        self._router.apply_decisions(word)
        # One that can't reach the registry says so even when it has nothing to tell.
        for part in tuple(in_datagrams(word.orders)) or ((),):
            data = encode(word._replace(orders=part))
            for address in list(self._addresses.values()):
                await self._tell(address, data)

    async def _tell(self, address: str, data: bytes) -> None:
        if self._send is not None:
            await self._send(address, data)

    # --- records ---

    def _start_recording(self, order: RolloutOrder) -> None:
        if self._tasks is not None:
            self._tasks.start_soon(self._record, order)

    async def _record(self, order: RolloutOrder) -> None:
        """Write a record; what it comes to is told to the decider, whatever it is."""
        outcome = await self._records.record(order)
        now = anyio.current_time()
        if isinstance(outcome, Failure):
            self._unable_until_s = now + UNABLE_S
            self._log.warning(
                "rollout_not_recorded",
                service=order.service,
                state=order.state.value,
                reason=outcome.reason.value,
                verdict=outcome.verdict.label,
                detail=outcome.detail,
            )
        self._decider.recorded(order, outcome, now)
        self._wanted.set()

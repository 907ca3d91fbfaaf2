"""Runs one gateway node: starts it, makes it ready, serves, drains and stops it.

Owns the listeners and the tasks. ``builder`` creates the components that they run, and ``life_cycle`` holds
the state that readiness probes report.
"""

import random
import socket
from collections.abc import Awaitable, Callable
from functools import partial

import anyio

from yokesill import gc_tuning
from yokesill.callers.bounds import ListenerBounds
from yokesill.callers.listener import Listener, create_listener
from yokesill.gateway.events import StopPlanned
from yokesill.logs import LogOutput, get_logger
from yokesill.serving.builder import NodeComponents, build_node
from yokesill.serving.dependencies import Dependencies
from yokesill.serving.life_cycle import LifeCycle
from yokesill.serving.reminders import Reminder
from yokesill.serving.settings import Address, GatewaySettings
from yokesill.serving.start_times import StartTimes
from yokesill.serving.stop_clock import StopClock

# How often a start or a drain checks whether it is complete: negligible compared to a start of 165 ms
# (bench/startup.py) and a stop of seconds.
POLL_INTERVAL_S = 0.01
# Maximum age of a log line when it is written; a node that is killed loses the lines of this interval.
LOG_FLUSH_INTERVAL_S = 0.5
# Pause before the next attempt to listen on an address that is taken.
LISTEN_RETRY_PAUSE_S = 0.2
# How long a start may wait for the registry's feeds before that is logged.
START_REPORT_DELAY_S = 1.0


class GatewayProcess:
    """One node of the gateway; ``node`` is set when ``run`` starts.

    ``start_times`` has the steps of the start that were reached before.
    """

    node: NodeComponents

    def __init__(
        self,
        settings: GatewaySettings,
        dependencies: Dependencies,
        source: random.Random,
        output: LogOutput,
        start_times: StartTimes | None = None,
    ) -> None:
        self.settings = settings
        self._dependencies = dependencies
        self._random = source
        self._output = output
        self._stop_requested = anyio.Event()
        self._stop_asked_at_s: float | None = None
        self._listening = anyio.Event()
        self._side_listeners: list[Listener] = []
        self._log = get_logger("gateway")
        self._start_times = StartTimes() if start_times is None else start_times
        self.life_cycle = LifeCycle(self._log)

    async def run(self) -> None:
        """Run the node; returns when a planned stop is complete."""
        self.node = node = build_node(
            self.settings,
            self._dependencies,
            self.life_cycle,
            self._random,
            self._output,
            anyio.current_time(),
        )
        async with anyio.create_task_group() as task_group:
            await task_group.start(node.driver.run)
            for name, run in self._background_tasks().items():
                task_group.start_soon(node.supervisor.keep_running, name, run)
            for address, listener, listening in self._listeners():
                task_group.start_soon(self._listen, address, listener, listening)
            task_group.start_soon(node.supervisor.keep_running, "readiness", self._become_ready)
            await self._stop_requested.wait()
            await self._drain()
            task_group.cancel_scope.cancel()
        self._log.info("stopped", node=self.settings.node, **node.usage.fields())
        self._output.flush()

    def stop(self, asked_at_s: float | None = None) -> None:
        """Begin a planned stop; ``run`` returns when it is complete.

        Its grace is counted from ``asked_at_s``, in seconds of the node's clock, or else from now. Further
        calls change nothing.
        """
        if self._stop_asked_at_s is None:
            self._stop_asked_at_s = anyio.current_time() if asked_at_s is None else asked_at_s
        self._stop_requested.set()

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Apply the settings that can change while the node runs."""
        self.settings = settings
        self._dependencies.set_registry_address(settings.registry)
        self.node.bootstrap.set_seeds(settings.seeds)
        self.node.settlement.set_seeds(settings.seeds)
        self.node.router.set_budget(settings.budget)

    @property
    def ready(self) -> bool:
        """Whether readiness probes are answered with status 200."""
        return self.life_cycle.is_ready()

    def _background_tasks(self) -> dict[str, Callable[[], Awaitable[object]]]:
        """Return the background tasks, by their names in the log event ``part_failed``."""
        node = self.node
        parts: dict[str, Callable[[], Awaitable[object]]] = {
            "registry": node.following.run,
            "presence": node.presence.run,
            "findings": node.findings.run,
            "bootstrap": node.bootstrap.run,
            "versions": node.settlement.run,
            "reachability": node.reachability.run,
            "logs": self._flush_logs,
        }
        if node.rollouts is not None:
            parts["rollouts"] = partial(node.rollouts.run, self.settings.rollout_datagrams)
        return parts

    def _listeners(self) -> list[tuple[Address, Listener, socket.socket | None]]:
        """Return the listeners with their addresses; a socket is given where it already listens."""
        node, settings = self.node, self.settings
        listeners = [(settings.callers, node.listener, self._dependencies.callers_socket)]
        probe_bounds = ListenerBounds(settings.probe_connections, kernel_bytes=settings.probe_kernel_bytes)
        peer_bounds = ListenerBounds(settings.peer_connections, kernel_bytes=settings.peer_kernel_bytes)
        side = (
            (settings.probes, node.probes, probe_bounds),
            (settings.metrics, node.probes, probe_bounds),
            (settings.peers, node.peers, peer_bounds),
        )
        for address, application, bounds in side:
            if address is not None:
                listener = create_listener(application, bounds, node.caller_memory, node.report_closed)
                listeners.append((address, listener, None))
        self._side_listeners = [listener for _, listener, _ in listeners[1:]]
        return listeners

    async def _listen(
        self, address: Address, listener: Listener, listening: socket.socket | None = None
    ) -> None:
        """Listen on an address, as soon as it is free.

        An address may still be taken by the process before, or by a stranger's connection: the node waits,
        where its end would lead to the same start again.
        """
        reminder = Reminder()
        while True:
            try:
                await listener.start(address, listening)
                break
            except (OSError, OverflowError) as error:
                problem, now = repr(error), anyio.current_time()
                if reminder.due(problem, now):
                    waited_s = round(reminder.waited_s(now), 1)
                    self._log.error("listen_failed", address=str(address), problem=problem, waited_s=waited_s)
            await anyio.sleep(LISTEN_RETRY_PAUSE_S)
        if listener is self.node.listener:
            gc_tuning.freeze()
            self._start_times.reached("listening")
            self._log.info("listening", node=self.settings.node, callers=str(address))
            self._listening.set()

    async def _become_ready(self) -> None:
        await self._listening.wait()
        await self._until_synchronised()
        await self.node.settlement.settle()
        self.node.application.synchronised.set()
        self.life_cycle.apply_event("learnt")
        self._start_times.reached("ready")
        self._log.info("started", node=self.settings.node, **self._start_times.fields())
        gc_tuning.freeze()

    async def _until_synchronised(self) -> None:
        """Wait until requests can be served; a wait that lasts is logged with what is missing."""
        reminder, reported_from_s = Reminder(), anyio.current_time() + START_REPORT_DELAY_S
        while missing := self.node.updates.missing():
            now = anyio.current_time()
            if now >= reported_from_s and reminder.due(missing, now):
                waited_s = round(START_REPORT_DELAY_S + reminder.waited_s(now), 1)
                self._log.warning("start_waits", waits_for=missing, waited_s=waited_s)
            await anyio.sleep(POLL_INTERVAL_S)

    async def _drain(self) -> None:
        """Report not ready while still accepting requests, then finish the requests in flight."""
        node = self.node
        asked_at_s = self._stop_asked_at_s
        clock = StopClock(anyio.current_time() if asked_at_s is None else asked_at_s, self.settings)
        clock.observe_delay(anyio.current_time() - clock.asked_at_s)
        node.application.stopping = True
        self._plan_answers(clock)
        if self.life_cycle.apply_event("stop") == "withdrawing":
            while anyio.current_time() < clock.withdrawn_at_s:
                await self._pause(clock)
            self.life_cycle.apply_event("withdrawn")
        if self._listening.is_set():
            await node.listener.close_listener()
        with anyio.CancelScope(deadline=clock.end_at_s) as bound:
            node.listener.close_unused_connections()
            while self._in_flight or node.listener.server_state.connections:
                await self._pause(clock)
                node.listener.close_unused_connections()
        cut = self._in_flight
        self.life_cycle.apply_event("time_over" if bound.cancelled_caught else "idle", cut=cut)

    async def _pause(self, clock: StopClock) -> None:
        """Wait a moment; if the event loop was held meanwhile, requests get their answers sooner."""
        due_at_s = anyio.current_time() + POLL_INTERVAL_S
        await anyio.sleep_until(due_at_s)
        if clock.observe_delay(anyio.current_time() - due_at_s):
            self._plan_answers(clock)

    def _plan_answers(self, clock: StopClock) -> None:
        self.node.driver.feed(StopPlanned(clock.answers_by_s))
        self.node.application.end_waits_by(clock.answers_by_s)

    @property
    def _in_flight(self) -> int:
        """The number of unanswered requests from callers and other nodes."""
        return self.node.application.in_flight + self.node.coordinator.in_flight

    async def _flush_logs(self) -> None:
        while True:
            due_at_s = anyio.current_time() + LOG_FLUSH_INTERVAL_S
            await anyio.sleep_until(due_at_s)
            now = anyio.current_time()
            self.node.usage.observe(now, max(now - due_at_s, self.node.router.longest_lateness_s))
            self._output.flush()

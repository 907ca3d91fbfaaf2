"""The entry point of the gateway's decisions: takes typed events and returns typed actions.

Owns the node's requests in progress and which attempt belongs to which request. Dispatches each event:

- a request's arrival and timers, the ends of its attempts and its caller's disconnect to its
  ``RequestMachine``;
- the end of an attempt first to ``AttemptOutcomes``, so that the request decides on the server's new state;
- a free slot at a slow server to the next request in the ``PacingQueue``;
- everything else, which is updates from the registry and from other nodes, to ``StateUpdates``.

After each event, requests that it quarantined are given up, and servers that have been silent for too long
are reported. The router does no I/O, reads no clock and draws randomness only from the source it is given.
"""

import random
from collections.abc import Mapping
from functools import singledispatch
from typing import Any

from yokesill.gateway import events as ev, log_events
from yokesill.gateway.attempt_outcomes import AttemptOutcomes
from yokesill.gateway.context import GatewayContext, LiveAttempt
from yokesill.gateway.crash_tracker import CrashTracker
from yokesill.gateway.documents import Configuration, Route, ServerRecord
from yokesill.gateway.limits.budget import BudgetLimits
from yokesill.gateway.messages import GatewayRequest
from yokesill.gateway.options import GatewayOptions
from yokesill.gateway.requests.admission import admit, ends_too_soon
from yokesill.gateway.requests.request import RequestMachine
from yokesill.gateway.requests.splits import SplitCursors
from yokesill.gateway.servers.evidence import ServerEvidence
from yokesill.gateway.servers.server_table import ServerTable
from yokesill.gateway.state_updates import StateUpdates, apply_update
from yokesill.gateway.step import Step
from yokesill.rollouts.messages import OrderReport
from yokesill.rollouts.node_orders import NodeOrders
from yokesill.rollouts.orders import RolloutOrder
from yokesill.verdict import Failure, Reason


class GatewayRouter:
    """All requests, servers and budgets of one node."""

    def __init__(self, options: GatewayOptions, random_source: random.Random, now: float) -> None:
        self.options = options
        self.servers = ServerTable(options)
        self._context = GatewayContext(options, random_source, self.servers, now)
        self._requests: dict[str, RequestMachine] = {}
        self._machine_of_attempt: dict[int, RequestMachine] = {}
        self._cursors = SplitCursors(random_source)
        self._updates = StateUpdates(self._context, self._cursors)
        self._evidence = ServerEvidence(self._context, now)
        self._outcomes = AttemptOutcomes(self._context, self._evidence)

    def on_event(self, event: ev.Event, now: float) -> list[ev.Action]:
        """Handle one event; return the actions to carry out, in order."""
        step = Step(now)
        _handle(event, self, step)
        self._give_up_quarantined(step)
        self._evidence.report_silent_servers(self._route_of, now, step.actions)
        return step.actions

    # --- read access for other components ---

    @property
    def configuration(self) -> Configuration | None:
        """The newest configuration."""
        return self._context.configuration

    @property
    def in_flight(self) -> int:
        """The number of requests without a final answer."""
        return len(self._requests)

    @property
    def nodes(self) -> int:
        """The number of nodes that are assumed to share the budgets."""
        return self._context.node_shares.nodes

    @property
    def lateness_s(self) -> float:
        """The smoothed delay with which this node's own timers fire, in seconds."""
        return self._context.lateness_s

    @property
    def longest_lateness_s(self) -> float:
        """The longest delay with which one of this node's own timers fired, in seconds."""
        return self._context.longest_lateness_s

    @property
    def rollouts(self) -> NodeOrders:
        """The roll-outs that this node knows, and their effective states."""
        return self._context.rollouts.orders

    @property
    def quarantine(self) -> CrashTracker:
        """What is known of requests during which servers were lost."""
        return self._context.crashes

    def open_orders(self) -> tuple[RolloutOrder, ...]:
        """Return the orders received from the registry whose record is not final."""
        return tuple(each for each in self.rollouts.open.values() if each.revision)

    def version_counts(self, service: str) -> Mapping[str, int]:
        """Return the number of a service's servers of each version that are listed and not leaving."""
        return self.servers.version_counts(service)

    def rollout_report(self, now: float) -> tuple[OrderReport, ...]:
        """Return each open order's effective state, request totals, and the samples not reported yet."""
        return self._context.rollouts.report(self.servers.of_service)

    def estimate_count(self) -> int:
        """Return the number of estimates and budgets that are kept for routes and services."""
        return self._context.estimate_count()

    def may_still_start(self, record: ServerRecord, now: float) -> bool:
        """Whether an attempt that waited on this node may go to its server."""
        return self._context.eligibility.may_still_start(record, now)

    def set_budget(self, limits: BudgetLimits) -> None:
        """Apply other limits; what was spent still counts unless the length of the window changes."""
        self._context.set_budget(limits)

    def ends_too_soon(self, request: GatewayRequest, now: float) -> bool:
        """Whether a request that arrives now would be refused because this node is about to end."""
        route = self.configuration.find(request.host, request.path) if self.configuration else None
        return route is not None and ends_too_soon(request, route, self._context, now)

    # --- requests ---

    def _request_arrived(self, request: GatewayRequest, step: Step) -> None:
        """Start a request if it is admitted, refuse it otherwise."""
        admitted = admit(request, self._context, step.now)
        if isinstance(admitted, Failure):
            step.actions.append(ev.Refuse(request.key, admitted))
            return
        machine = RequestMachine(request, admitted, self._cursors.services_of(admitted), self._context)
        self._requests[request.key] = machine
        machine.begin(step)
        self._track(machine, step)

    def _timer_fired(self, event: ev.TimerFired, step: Step) -> None:
        if event.kind is ev.TimerKind.PACING:
            self._context.pacing_queue.clear_wake_up(event.key)
            self._serve_queue(event.key, step)
            return
        machine = self._requests.get(event.key)
        if machine is not None:
            machine.timer(event.kind, step)
            self._track(machine, step)

    def _serve_queue(self, service: str, step: Step) -> None:
        """Give free slots at a service's slow servers to the requests that wait for them, in queue order."""
        queue = self._context.pacing_queue
        while (request := queue.next(service, step.now)) is not None:
            dispatch_step = Step(step.now)
            free_at_s = request.dispatch_deferred(service, dispatch_step)
            self._track(request, dispatch_step)
            step.actions.extend(dispatch_step.actions)
            if free_at_s is not None:
                if queue.schedule_wake_up(service, free_at_s):
                    step.actions.append(ev.SetTimer(service, ev.TimerKind.PACING, free_at_s))
                return

    def _caller_left(self, key: str, step: Step) -> None:
        machine = self._requests.pop(key, None)
        if machine is not None:
            machine.caller_left(step)
            self._track(machine, step)

    def _stop_planned(self, answers_by_s: float, step: Step) -> None:
        self._context.answers_by_s = answers_by_s
        for machine in self._requests.values():
            machine.end_by(answers_by_s, step)

    def _give_up_quarantined(self, step: Step) -> None:
        """Give up the requests in progress that have just been quarantined."""
        if not self._context.crashes.newly_quarantined:
            return
        fingerprints = self._context.crashes.take_newly_quarantined()
        for machine in [each for each in self._requests.values() if each.fingerprint in fingerprints]:
            give_up_step = Step(step.now)
            machine.quarantine(give_up_step)
            self._track(machine, give_up_step)
            step.actions.extend(give_up_step.actions)

    def _track(self, machine: RequestMachine, step: Step) -> None:
        """Record the attempts that a request sent or cancelled in a step; drop the request once it is done.

        The step must not contain attempts of other requests.
        """
        for action in step.actions:
            if isinstance(action, ev.SendAttempt):
                self._machine_of_attempt[action.attempt.number] = machine
            elif isinstance(action, ev.CancelAttempt):
                self._machine_of_attempt.pop(action.number, None)
        if machine.done:
            self._requests.pop(machine.request.key, None)

    # --- attempts ---

    def _attempt_answered(self, event: ev.AttemptAnswered, step: Step) -> None:
        attempt, machine = self._end_attempt(event.number)
        if attempt is None or machine is None:
            return
        service = attempt.server.record.service
        self._outcomes.answered(attempt, machine.route, event, step)
        crashes = self._context.crashes
        if len(crashes.detector):
            crashes.answered(machine.fingerprint, service, attempt.probe, step.actions)
        machine.answered(event.number, event.reply, step)
        self._track(machine, step)
        self._serve_queue(service, step)

    def _attempt_failed(self, number: int, failure: Failure, step: Step) -> None:
        attempt, machine = self._end_attempt(number)
        if attempt is None or machine is None:
            return
        step.actions.append(log_events.attempt_failed(attempt, machine.request, failure, step.now))
        if failure.reason is Reason.CONNECTION_LOST:
            machine.server_lost(attempt, step)
            # Must precede machine.failed(), which would send the request to the next server.
            self._give_up_quarantined(step)
        self._outcomes.failed(attempt, machine.route, failure, step)
        machine.failed(number, failure, step)
        self._track(machine, step)
        self._serve_queue(attempt.server.record.service, step)

    def _end_attempt(self, number: int) -> tuple[LiveAttempt | None, RequestMachine | None]:
        return self._context.release(number), self._machine_of_attempt.pop(number, None)

    def _route_of(self, number: int) -> Route | None:
        """Return the route of an attempt in flight."""
        machine = self._machine_of_attempt.get(number)
        return None if machine is None else machine.route

    def _connections_changed(self, event: ev.ConnectionsChanged) -> None:
        server = self.servers.get(event.instance)
        if server is not None:
            server.connections.open = event.open_connections


# --- event dispatch ---


@singledispatch
def _handle(event: Any, router: GatewayRouter, step: Step) -> None:
    """Handle an event; types without a handler below are state updates."""
    apply_update(event, router._updates, step.now, step.actions)


@_handle.register
def _(event: ev.RequestArrived, router: GatewayRouter, step: Step) -> None:
    router._request_arrived(event.request, step)


@_handle.register
def _(event: ev.AttemptAnswered, router: GatewayRouter, step: Step) -> None:
    router._attempt_answered(event, step)


@_handle.register
def _(event: ev.AttemptFailed, router: GatewayRouter, step: Step) -> None:
    router._attempt_failed(event.number, event.failure, step)


@_handle.register
def _(event: ev.TimerFired, router: GatewayRouter, step: Step) -> None:
    router._timer_fired(event, step)


@_handle.register
def _(event: ev.CallerLeft, router: GatewayRouter, step: Step) -> None:
    router._caller_left(event.key, step)


@_handle.register
def _(event: ev.StopPlanned, router: GatewayRouter, step: Step) -> None:
    router._stop_planned(event.answers_by_s, step)


@_handle.register
def _(event: ev.ConnectionsChanged, router: GatewayRouter, step: Step) -> None:
    router._connections_changed(event)

"""The gateway's one interface: typed events in, typed actions out.

Owns a node's requests under way and which attempt belongs to which; hands each event to whom it concerns:

- a request's arrival, timers, attempts and its caller's leaving to its ``RequestMachine``;
- an attempt's end first to ``AttemptOutcomes``: the request then decides on the server's newest state;
- a free slot at a slow server to the request whose turn it is (``PacingQueue``);
- everything else, what the registry and the other nodes report, to ``StateUpdates``.

After each event, requests that were quarantined by it are given up, and servers that have been silent for
long are reported. The router does no I/O, reads no clock and draws randomness only from the source it was
given.
"""

import random
from collections.abc import Mapping
from functools import singledispatch
from typing import Any

from yokesill.gateway import events as ev, log_events
from yokesill.gateway.attempt_outcomes import AttemptOutcomes
from yokesill.gateway.context import GatewayContext, LiveAttempt
from yokesill.gateway.crash_tracker import CrashTracker
from yokesill.gateway.documents import Configuration, Route
from yokesill.gateway.limits.budget import BudgetLimits
from yokesill.gateway.messages import GatewayRequest
from yokesill.gateway.options import GatewayOptions
from yokesill.gateway.requests.admission import admit
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
        self._owners: dict[int, RequestMachine] = {}
        self._cursors = SplitCursors(random_source)
        self._updates = StateUpdates(self._context, self._cursors)
        self._evidence = ServerEvidence(self._context, now)
        self._outcomes = AttemptOutcomes(self._context, self._evidence)

    def on_event(self, event: ev.Event, now: float) -> list[ev.Action]:
        """Handle one event; return what is to be done, in order."""
        step = Step(now)
        _handle(event, self, step)
        self._give_up_quarantined(step)
        self._evidence.report_silent_servers(self._route_of, now, step.actions)
        return step.actions

    # --- what others read ---

    @property
    def configuration(self) -> Configuration | None:
        """The newest configuration."""
        return self._context.configuration

    @property
    def in_flight(self) -> int:
        """How many requests have no final answer yet."""
        return len(self._requests)

    @property
    def nodes(self) -> int:
        """How many nodes are taken to share the budgets."""
        return self._context.node_shares.nodes

    @property
    def lateness_s(self) -> float:
        """How late this node's own timers come lately, in seconds."""
        return self._context.lateness_s

    @property
    def rollouts(self) -> NodeOrders:
        """The roll-outs that this node knows, and their effective states."""
        return self._context.rollouts.orders

    @property
    def quarantine(self) -> CrashTracker:
        """What is known of requests under which servers ended."""
        return self._context.crashes

    def open_orders(self) -> tuple[RolloutOrder, ...]:
        """Return the orders whose record is not final, as far as the registry itself sent them."""
        return tuple(each for each in self.rollouts.open.values() if each.revision)

    def version_counts(self, service: str) -> Mapping[str, int]:
        """Return how many servers of each version a service has that are listed and don't leave."""
        return self.servers.version_counts(service)

    def rollout_report(self, now: float) -> tuple[OrderReport, ...]:
        """Return each open order's effective state and what was sent and seen; samples are reported once."""
        return self._context.rollouts.report(self.servers.of_service)

    def kept_estimates(self) -> int:
        """How many routes and services something learned is kept."""
        return self._context.kept_estimates()

    def set_budget(self, limits: BudgetLimits) -> None:
        """Keep to other limits from now on; what was spent still counts."""
        self._context.set_budget(limits)

    # --- requests ---

    def _request_arrived(self, request: GatewayRequest, step: Step) -> None:
        """Refuse a request that is not admitted, or begin it."""
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
        """Let requests that wait for slow servers of a service have free slots, in their order."""
        queue = self._context.pacing_queue
        while (request := queue.next(service, step.now)) is not None:
            turn = Step(step.now)
            free_at_s = request.dispatch_deferred(service, turn)
            self._track(request, turn)
            step.actions.extend(turn.actions)
            if free_at_s is not None:
                if queue.schedule_wake_up(service, free_at_s):
                    step.actions.append(ev.SetTimer(service, ev.TimerKind.PACING, free_at_s))
                return

    def _caller_left(self, key: str, step: Step) -> None:
        machine = self._requests.pop(key, None)
        if machine is not None:
            machine.caller_left(step)
            self._track(machine, step)

    def _give_up_quarantined(self, step: Step) -> None:
        """Give up what is under way of requests that have just been quarantined."""
        if not self._context.crashes.newly_quarantined:
            return
        fingerprints = self._context.crashes.take_newly_quarantined()
        for machine in [each for each in self._requests.values() if each.fingerprint in fingerprints]:
            given_up = Step(step.now)
            machine.quarantine(given_up)
            self._track(machine, given_up)
            step.actions.extend(given_up.actions)

    def _track(self, machine: RequestMachine, step: Step) -> None:
        """Note the attempts that a request has sent or cancelled in a step, and whether it is done.

        The step must hold no attempts that other requests have sent.
        """
        for action in step.actions:
            if isinstance(action, ev.SendAttempt):
                self._owners[action.attempt.number] = machine
            elif isinstance(action, ev.CancelAttempt):
                self._owners.pop(action.number, None)
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
            # Before the request itself handles the failure, which would send it to the next server.
            self._give_up_quarantined(step)
        self._outcomes.failed(attempt, machine.route, failure, step)
        machine.failed(number, failure, step)
        self._track(machine, step)
        self._serve_queue(attempt.server.record.service, step)

    def _end_attempt(self, number: int) -> tuple[LiveAttempt | None, RequestMachine | None]:
        return self._context.release(number), self._owners.pop(number, None)

    def _route_of(self, number: int) -> Route | None:
        """Return the route of an attempt under way."""
        machine = self._owners.get(number)
        return None if machine is None else machine.route

    def _connections_changed(self, event: ev.ConnectionsChanged) -> None:
        server = self.servers.get(event.instance)
        if server is not None:
            server.connections.open = event.open_connections


# --- who handles which event ---


@singledispatch
def _handle(event: Any, router: GatewayRouter, step: Step) -> None:
    """Handle an event; those that aren't registered below are state updates."""
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
def _(event: ev.ConnectionsChanged, router: GatewayRouter, step: Step) -> None:
    router._connections_changed(event)

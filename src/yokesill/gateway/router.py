"""The gateway's one interface: typed events in, typed actions out."""

import random
from collections.abc import Mapping
from functools import singledispatch
from typing import Any

from yokesill.gateway import events as ev, log_events
from yokesill.gateway.context import GatewayContext, LiveAttempt
from yokesill.gateway.crash_tracker import CrashTracker, quarantined
from yokesill.gateway.documents import Configuration, Route, Split
from yokesill.gateway.limits.budget import BudgetLimits
from yokesill.gateway.messages import GatewayRequest
from yokesill.gateway.options import GatewayOptions
from yokesill.gateway.requests.fingerprints import fingerprint
from yokesill.gateway.requests.request import RequestMachine
from yokesill.gateway.requests.splits import SplitCursors
from yokesill.gateway.servers.evidence import ServerEvidence
from yokesill.gateway.servers.server_state import ACTIVE
from yokesill.gateway.servers.server_table import ServerTable
from yokesill.gateway.state_updates import StateUpdates, apply_update
from yokesill.quarantine.detector import QuarantineStatus
from yokesill.rollouts.messages import OrderReport
from yokesill.rollouts.node_orders import NodeOrders
from yokesill.rollouts.orders import RolloutOrder
from yokesill.verdict import Failure, Reason, Verdict

NOT_READY_RETRY_AFTER_MS = 300


class GatewayRouter:
    """All requests, servers and budgets of one node."""

    def __init__(self, options: GatewayOptions, random_source: random.Random, now: float) -> None:
        self.options = options
        self.servers = ServerTable(options)
        self._context = GatewayContext(options, random_source, self.servers, now)
        self._requests: dict[str, RequestMachine] = {}
        self._owners: dict[int, RequestMachine] = {}
        self._cursors = SplitCursors(random_source)
        self._learning = StateUpdates(self._context, self._cursors)
        self._evidence = ServerEvidence(self._context, now)

    @property
    def configuration(self) -> Configuration | None:
        """The newest configuration learnt."""
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
    def lateness(self) -> float:
        """How late this node's own timers come lately, in seconds."""
        return self._context.lateness

    @property
    def rollouts(self) -> NodeOrders:
        """The roll-outs that this node knows, and what it obeys of them."""
        return self._context.rollouts.orders

    def open_orders(self) -> tuple[RolloutOrder, ...]:
        """Return the orders whose record is not final, as far as the registry itself told them."""
        return tuple(each for each in self.rollouts.open.values() if each.revision)

    def version_counts(self, service: str) -> Mapping[str, int]:
        """Return how many servers of each version a service has that are listed and don't leave."""
        return self.servers.version_counts(service)

    def rollout_report(self, now: float) -> tuple[OrderReport, ...]:
        """Return what this node obeys, sent and saw under each open order; samples are told once."""
        return self._context.rollouts.report(self.servers.of_service)

    def kept_estimates(self) -> int:
        """How many routes and services something learnt is kept of."""
        return self._context.kept_estimates()

    def set_budget(self, terms: BudgetLimits) -> None:
        """Keep to other terms from now on; what was spent still counts."""
        self._context.set_budget(terms)

    def on_event(self, event: ev.Event, now: float) -> list[ev.Action]:
        """Take one event; return what is to be done, in order."""
        actions: list[ev.Action] = []
        _take(event, self, now, actions)
        self._stop_quarantined(now, actions)
        self._evidence.tell_of_silent_servers(self._route_of, now, actions)
        return actions

    # --- requests ---

    def _timer(self, event: ev.TimerFired, now: float, actions: list[ev.Action]) -> None:
        if event.kind is ev.TimerKind.PACING:
            self._context.waiting.looked(event.key)
            self._serve_waiting(event.key, now, actions)
            return
        machine = self._requests.get(event.key)
        if machine is not None:
            machine.timer(event.kind, now, actions)
            self._settle(machine, actions)

    def _serve_waiting(self, service: str, now: float, actions: list[ev.Action]) -> None:
        """Let requests that wait for room at a service have it, in their order."""
        waiting = self._context.waiting
        while (request := waiting.next(service, now)) is not None:
            taken: list[ev.Action] = []
            room_at_s = request.dispatch_deferred(service, now, taken)
            self._settle(request, taken)
            actions.extend(taken)
            if room_at_s is not None:
                if waiting.look_again(service, room_at_s):
                    actions.append(ev.SetTimer(service, ev.TimerKind.PACING, room_at_s))
                return

    def _arrived(self, request: GatewayRequest, now: float, actions: list[ev.Action]) -> None:
        configuration = self._context.configuration
        if configuration is None:
            failure = Failure(
                Reason.NOT_READY, Verdict.NOT_RUN, "no configuration yet", NOT_READY_RETRY_AFTER_MS
            )
            actions.append(ev.Refuse(request.key, failure))
            return
        route = configuration.find(request.host, request.path)
        if route is None:
            detail = f"no route for {request.host}{request.path} in version {configuration.version}"
            failure = Failure(Reason.UNKNOWN_SERVICE, Verdict.NOT_RUN, detail)
            actions.append(ev.Refuse(request.key, failure))
            return
        if self._context.crashes.standing(request, now) is QuarantineStatus.QUARANTINED:
            verdict = Verdict.MAY_HAVE_RUN if request.asked_before else Verdict.NOT_RUN
            actions.append(ev.Refuse(request.key, quarantined(fingerprint(request), verdict)))
            return
        services = self._services_of(route)
        machine = RequestMachine(request, route, services, configuration.version, self._context)
        self._requests[request.key] = machine
        machine.begin(now, actions)
        self._settle(machine, actions)

    def _services_of(self, route: Route) -> tuple[str, ...]:
        if not isinstance(route.destination, Split):
            return route.destination.services
        return (self._cursors.next(route.name, route.destination),)

    def _settle(self, machine: RequestMachine, actions: list[ev.Action]) -> None:
        """Keep track of a machine's new attempts, and drop it once it has its final answer."""
        for action in actions:
            if isinstance(action, ev.SendAttempt):
                self._owners[action.attempt.number] = machine
            elif isinstance(action, ev.CancelAttempt):
                self._owners.pop(action.number, None)
        if machine.done:
            self._requests.pop(machine.request.key, None)

    def _caller_left(self, key: str, actions: list[ev.Action]) -> None:
        machine = self._requests.pop(key, None)
        if machine is not None:
            machine.caller_left(actions)
            self._settle(machine, actions)

    # --- attempts ---

    def _answered(self, event: ev.AttemptAnswered, now: float, actions: list[ev.Action]) -> None:
        attempt, machine = self._end(event.number)
        if attempt is None or machine is None:
            return
        server, reply = attempt.server, event.reply
        if event.sent_at_s is not None:
            # What an attempt waited on this node, for its turn or a connection, is not the server's doing.
            attempt.sent_at_s = event.sent_at_s
        if event.connected_in_s is not None:
            self.servers.connected(server, event.connected_in_s)
        typical = self._context.typical(machine.route)
        if reply.status >= 500:
            state = server.failed(attempt.sent_at_s, now)
        else:
            late = self._context.lateness
            state = server.answered(attempt.sent_at_s, typical.median, reply.load, now, late)
            typical.record(now - attempt.sent_at_s)
        if self._context.rollouts.effective:
            late = self._context.lateness
            self._context.rollouts.ended(server, machine.route, reply.succeeded, attempt.sent_at_s, late, now)
        self._note_state(attempt, state, reply.status, now, actions)
        self._evidence.tell(attempt, now, actions)
        if len(self._context.crashes.detector):
            service = server.record.service
            self._context.crashes.answered(machine.fingerprint, service, attempt.trial, actions)
        machine.answered(event.number, reply, now, actions)
        self._settle(machine, actions)
        self._serve_waiting(server.record.service, now, actions)

    def _failed(self, number: int, failure: Failure, now: float, actions: list[ev.Action]) -> None:
        attempt, machine = self._end(number)
        if attempt is None or machine is None:
            return
        actions.append(log_events.attempt_failed(attempt, machine.request, failure, now))
        if failure.reason is Reason.CONNECTION_LOST:
            machine.lost(attempt, now, actions)
            # Before the request itself hears of it, which would try the next server.
            self._stop_quarantined(now, actions)
        if failure.reason is Reason.SHED:
            attempt.server.shed(now)
        elif failure.reason is Reason.BACKEND_LEAVING:
            attempt.server.leave()
        elif failure.reason is Reason.CONNECTION_REFUSED and self.options.heeds_refusals:
            attempt.server.connections.refused(now)
        elif self._evidence.counts(attempt, machine.route, failure, now):
            state = attempt.server.failed(attempt.sent_at_s, now)
            if self._context.rollouts.effective:
                self._context.rollouts.ended(
                    attempt.server, machine.route, False, attempt.sent_at_s, 0.0, now
                )
            self._note_state(attempt, state, failure.reason.value, now, actions)
            self._evidence.tell(attempt, now, actions)
        machine.failed(number, failure, now, actions)
        self._settle(machine, actions)
        self._serve_waiting(attempt.server.record.service, now, actions)

    # --- requests under which servers end ---

    @property
    def quarantine(self) -> CrashTracker:
        """What is known of requests under which servers ended."""
        return self._context.crashes

    def _stop_quarantined(self, now: float, actions: list[ev.Action]) -> None:
        """Give up what is under way of requests that were quarantined just now."""
        if not self._context.crashes.newly_quarantined:
            return
        fingerprints = self._context.crashes.take_new()
        for machine in [each for each in self._requests.values() if each.fingerprint in fingerprints]:
            stopped: list[ev.Action] = []
            machine.quarantine(now, stopped)
            self._settle(machine, stopped)
            actions.extend(stopped)

    def _route_of(self, number: int) -> Route | None:
        """Return the route of an attempt under way."""
        machine = self._owners.get(number)
        return None if machine is None else machine.route

    def _end(self, number: int) -> tuple[LiveAttempt | None, RequestMachine | None]:
        return self._context.release(number), self._owners.pop(number, None)

    def _note_state(
        self, attempt: LiveAttempt, state: str | None, why: object, now: float, actions: list[ev.Action]
    ) -> None:
        if state is None or state == ACTIVE:
            return
        actions.append(log_events.server_state(attempt, state, why, now))


Actions = list[ev.Action]


@singledispatch
def _take(event: Any, router: GatewayRouter, now: float, actions: Actions) -> None:
    apply_update(event, router._learning, now, actions)


@_take.register
def _(event: ev.RequestArrived, router: GatewayRouter, now: float, actions: Actions) -> None:
    router._arrived(event.request, now, actions)


@_take.register
def _(event: ev.AttemptAnswered, router: GatewayRouter, now: float, actions: Actions) -> None:
    router._answered(event, now, actions)


@_take.register
def _(event: ev.AttemptFailed, router: GatewayRouter, now: float, actions: Actions) -> None:
    router._failed(event.number, event.failure, now, actions)


@_take.register
def _(event: ev.TimerFired, router: GatewayRouter, now: float, actions: Actions) -> None:
    router._timer(event, now, actions)


@_take.register
def _(event: ev.CallerLeft, router: GatewayRouter, now: float, actions: Actions) -> None:
    router._caller_left(event.key, actions)


@_take.register
def _(event: ev.ConnectionsChanged, router: GatewayRouter, now: float, actions: Actions) -> None:
    server = router.servers.get(event.instance)
    if server is not None:
        server.connections.open = event.open_connections

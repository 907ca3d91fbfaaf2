"""The router of ``yokesill serve``: the only interface to a node's data-path decisions.

``Router.on_event`` takes a typed event and the time and returns actions. The router owns the queries in
flight, the state of the services, the servers and the waiters. It does no I/O.
"""

import random

from yokesill.policy.facts import Facts
from yokesill.resources import documents
from yokesill.resources.keys import ServiceName
from yokesill.routing import events as ev
from yokesill.routing.admission import admit, queue_delay
from yokesill.routing.compiled import CompiledService
from yokesill.routing.context import RoutingContext
from yokesill.routing.messages import QueryRequest, ServerReport
from yokesill.routing.options import RoutingOptions
from yokesill.routing.query import DEFAULT_RETRY_AFTER_MS, QueryMachine
from yokesill.routing.servers import LEAVING, ServerState, ServerTable
from yokesill.routing.service import ServiceState
from yokesill.routing.waiting import ShardKey, Waiter
from yokesill.verdict import Failure, Reason, Verdict

# The quantile of the class's latency that admission adds to the expected wait of a query.
ADMISSION_QUANTILE = 0.9
# Failures that count towards the ejection of a server; shed and declined attempts don't.
SERVER_FAULTS = frozenset(
    {
        Reason.CONNECT_FAILED,
        Reason.CONNECTION_LOST,
        Reason.TIMED_OUT,
        Reason.MALFORMED_REPLY,
        Reason.FOREIGN_REPLY,
        Reason.BACKEND_ERROR,
    }
)


class Router:
    """Routes all queries of a node; events enter only through ``on_event``."""

    def __init__(self, options: RoutingOptions, random_source: random.Random) -> None:
        self._context: RoutingContext[QueryMachine] = RoutingContext(
            options, random_source, ServerTable(options)
        )
        self._services: dict[ServiceName, ServiceState] = {}
        self._queries: dict[str, QueryMachine] = {}

    # --- state for reading ---

    @property
    def servers(self) -> ServerTable:
        """The servers of all services at this node."""
        return self._context.servers

    @property
    def queries_in_flight(self) -> int:
        """The number of queries without a final answer."""
        return len(self._queries)

    def service(self, name: ServiceName) -> ServiceState | None:
        """Return the state of a service, if it is installed."""
        return self._services.get(name)

    def services(self) -> list[ServiceState]:
        """Return the state of every service."""
        return list(self._services.values())

    # --- events ---

    def on_event(self, event: ev.Event, now: float) -> list[ev.Action]:
        """Handle one event at ``now`` (seconds) and return the actions to carry out, in order."""
        actions: list[ev.Action] = []
        match event:
            case ev.QueryArrived(query):
                self._query_arrived(query, now, actions)
            case ev.AttemptAnswered():
                self._attempt_answered(event, now, actions)
            case ev.AttemptFailed():
                self._attempt_failed(event, now, actions)
            case ev.TimerFired(query_id, kind):
                machine = self._queries.get(query_id)
                if machine is not None:
                    machine.on_timer(kind, now, actions)
                    self._forget_if_finished(machine)
            case ev.CallerLeft(query_id):
                machine = self._queries.pop(query_id, None)
                if machine is not None:
                    machine.abandon(now, actions)
            case ev.ServerObserved():
                self._server_observed(event, now, actions)
            case ev.ServerLeaving(address, incarnation):
                self._server_leaving(address, incarnation, now)
            case ev.ServiceInstalled(service):
                self._install(service)
            case ev.ServiceRemoved(name):
                self._services.pop(name, None)
                self._rebuild_shards()
        self._serve_waiters(now, actions)
        return actions

    # --- queries ---

    def _query_arrived(self, query: QueryRequest, now: float, actions: list[ev.Action]) -> None:
        failure = self._start(query, now, actions)
        if failure is not None:
            actions.append(ev.Refuse(query.query_id, failure))

    def _start(self, query: QueryRequest, now: float, actions: list[ev.Action]) -> Failure | None:
        service = self.service(query.service)
        if service is None:
            return Failure(Reason.UNKNOWN_SERVICE, Verdict.NOT_RUN, f"no service {query.service}")
        policy = service.compiled.policies.get(query.request_class)
        if policy is None:
            known = ", ".join(sorted(service.compiled.policies))
            detail = f"no class {query.request_class!r}; known: {known}"
            return Failure(Reason.UNKNOWN_CLASS, Verdict.NOT_RUN, detail)
        snapshot = service.pin(self.servers)
        if snapshot is None:
            detail = "no replica has told yet which snapshots it holds"
            return Failure(Reason.NO_SNAPSHOT, Verdict.NOT_RUN, detail, DEFAULT_RETRY_AFTER_MS)
        shards = service.requested_shards(snapshot, query.key_hash)
        keys: list[ShardKey] = [(query.service, shard.id, snapshot) for shard in shards]
        delay = queue_delay(self._context.waiting, keys, now)
        facts = _facts(query, policy.priority, service, delay, now)
        outcome = policy.evaluate(facts).outcome
        if isinstance(outcome, documents.Refuse):
            return Failure(Reason.POLICY_REFUSED, Verdict.NOT_RUN, outcome.refuse, outcome.retry_after_ms)
        deadline = min(query.deadline_at_s, now + outcome.wait_ms / 1000)
        tail = service.latency_of(query.request_class).quantile(ADMISSION_QUANTILE, now) or 0.0
        longest = max((self._context.waiting.length(key) for key in keys), default=0)
        options = self._context.options
        refusal = admit(query, deadline, policy.priority, delay, tail, longest, options, now)
        if refusal is not None:
            return refusal
        machine = QueryMachine(query, service, policy, outcome, facts, snapshot, self._context, now)
        self._queries[query.query_id] = machine
        machine.start(now, actions)
        self._forget_if_finished(machine)
        return None

    def _forget_if_finished(self, machine: QueryMachine) -> None:
        if machine.finished:
            self._queries.pop(machine.query.query_id, None)

    # --- attempts ---

    def _attempt_answered(self, event: ev.AttemptAnswered, now: float, actions: list[ev.Action]) -> None:
        machine, server, sent_at = self._end_attempt(event.attempt_id)
        if machine is None or server is None:
            return
        self._observe(server, event.report, sent_at, now, actions)
        if not machine.has_attempt(event.attempt_id):
            return
        machine.service.count_shed(False)
        # A shard reply that must not be merged counts as a failure of the server, however fast it was.
        defect = machine.defect(event.partial)
        changed = server.record_answer(now - sent_at, now) if defect is None else server.record_failure(now)
        if changed:
            self.servers.generation += 1
        if defect is None:
            machine.on_answer(event.partial, now, actions)
        else:
            machine.on_failure(event.attempt_id, Failure(defect, Verdict.RAN), now, actions)
        self._forget_if_finished(machine)

    def _attempt_failed(self, event: ev.AttemptFailed, now: float, actions: list[ev.Action]) -> None:
        machine, server, sent_at = self._end_attempt(event.attempt_id)
        if machine is None or server is None:
            return
        self._observe(server, event.report, sent_at, now, actions)
        reason = event.failure.reason
        machine.service.count_shed(reason is Reason.SHED)
        if reason is Reason.SHED:
            server.back_off(now)
        elif reason in SERVER_FAULTS and server.record_failure(now):
            self.servers.generation += 1
        if machine.has_attempt(event.attempt_id):
            machine.on_failure(event.attempt_id, event.failure, now, actions)
            self._forget_if_finished(machine)

    def _end_attempt(self, attempt_id: str) -> tuple[QueryMachine | None, ServerState | None, float]:
        machine = self._context.attempt_owners.get(attempt_id)
        if machine is None:
            return None, None, 0.0
        attempt = machine.live_attempt(attempt_id)
        self._context.release(attempt_id, attempt.server)
        return machine, attempt.server, attempt.sent_at_s

    # --- servers ---

    def _observe(
        self,
        server: ServerState,
        report: ServerReport | None,
        asked_at: float,
        now: float,
        actions: list[ev.Action],
    ) -> None:
        if report is None:
            return
        was_leaving, held = server.state == LEAVING, server.servable()
        if server.apply_report(report, asked_at, now):
            self.servers.generation += 1
            self._evict_waiters(held - server.servable(), now, actions)
        if report.leaving and not was_leaving:
            actions.append(ev.AnnounceLeaving(server.address, report.incarnation))

    def _evict_waiters(self, dropped: set[ShardKey], now: float, actions: list[ev.Action]) -> None:
        """Dispatch the waiters for a dropped snapshot again, since no server may hold it any more."""
        for key in sorted(dropped, key=str):
            for waiter in self._context.waiting.evict(key):
                self._end_wait(waiter, now, actions)

    def _end_wait(self, waiter: Waiter, now: float, actions: list[ev.Action]) -> None:
        machine = self._queries.get(waiter.query_id)
        if machine is not None:
            machine.on_wait_ended(waiter.shard_id, now, actions)
            self._forget_if_finished(machine)

    def _server_observed(self, event: ev.ServerObserved, now: float, actions: list[ev.Action]) -> None:
        server = self.servers.get(event.address)
        if server is None:
            return
        if event.report is None:
            if server.record_failure(now):
                self.servers.generation += 1
            return
        self._observe(server, event.report, event.asked_at, now, actions)
        self._context.freed.append(server)

    def _server_leaving(self, address: str, incarnation: str, now: float) -> None:
        server = self.servers.get(address)
        if server is not None and server.mark_leaving(incarnation, now):
            self.servers.generation += 1

    def _install(self, compiled: CompiledService) -> None:
        service = self._services.get(compiled.name)
        if service is None:
            service = ServiceState.create(compiled, self._context.options)
            self._services[compiled.name] = service
        service.install(compiled, self.servers)
        self._rebuild_shards()

    def _rebuild_shards(self) -> None:
        for server in self.servers.all():
            server.shards.clear()
        for service in self._services.values():
            for shard_map in service.compiled.maps.values():
                for shard in shard_map.shards:
                    for server in service.servers_of(shard_map.epoch, shard.id):
                        server.shards.add((service.compiled.name, shard.id))
        self.servers.discard_unused()
        self.servers.generation += 1

    # --- waiters ---

    def _serve_waiters(self, now: float, actions: list[ev.Action]) -> None:
        """Give released slots to the next waiters."""
        freed = self._context.freed
        while freed:
            server = freed.pop()
            while server.can_accept(now):
                waiter = self._context.waiting.pop_next(server.servable(), now)
                if waiter is None:
                    break
                before = server.in_flight
                self._end_wait(waiter, now, actions)
                if server.in_flight == before:
                    # The waiter did not use the slot, perhaps because it has tried this server already.
                    break


def _facts(query: QueryRequest, priority: int, service: ServiceState, delay: float, now: float) -> Facts:
    return Facts(
        request_class=query.request_class,
        namespace=query.service.namespace,
        keyed=query.key_hash is not None,
        size=query.size,
        deadline_ms=(query.deadline_at_s - now) * 1000,
        priority=priority,
        repeatable=query.repeatable,
        queue_delay_ms=delay * 1000,
        shed_rate=service.shed_rate,
    )

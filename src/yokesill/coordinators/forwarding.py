"""Forwards wide requests to coordinators, and returns them to this node if no coordinator serves them.

The decisions, in order: whether the request must run here; which coordinator gets it (one of another zone
first if this zone has no servers of the route, then one of this zone); whether the coordinator's answer is
final (``fallback``); whether a second coordinator may be tried. Times are in seconds of the node's clock.
``gateway.forwarding`` chooses among coordinators and ``client`` makes the call.
"""

from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import NamedTuple

import anyio

from yokesill.callers.answers import HttpAnswer
from yokesill.coordinators.client import CoordinatorClient
from yokesill.coordinators.fallback import fallback_verdict
from yokesill.coordinators.messages import ForwardedRequest, GatheredAnswer, encode_forwarded
from yokesill.coordinators.remote_coordinators import RemoteCoordinators
from yokesill.gateway.documents import Configuration, Route
from yokesill.gateway.events import LogEvent
from yokesill.gateway.forwarding import Coordinator, CoordinatorChoice, is_wide
from yokesill.gateway.messages import GatewayRequest
from yokesill.telemetry.observer import CoordinatedEnding, Observer
from yokesill.verdict import Failure, Reason, Verdict

# Time reserved before the deadline for answering the caller even if the coordinator doesn't answer.
ANSWER_MARGIN_S = 0.012
# Share of the latency objective within which a coordinator must acknowledge a request: the rest must be
# enough to gather it here. Also the share within which a second coordinator may be tried.
ACKNOWLEDGE_SHARE = 0.35
# Each coordinator that doesn't serve a request costs a hop. A third would answer after the objective.
MAX_COORDINATORS = 2
# Failures that say nothing about the coordinator, and that the next one would not change.
OF_THIS_NODE = frozenset({Reason.DEADLINE_EXCEEDED, Reason.CONNECTION_LIMIT})


class _Target(NamedTuple):
    """A coordinator and the ``CoordinatorChoice`` that selected it and records the call's outcome."""

    node: str
    coordinator: Coordinator
    choice: CoordinatorChoice


class Forwarder:
    """Runs a request at a coordinator, if one should serve it and does.

    Parameters
    ----------
    choice
        Selects a coordinator of this zone, or none.
    client
        Calls coordinators.
    coordinators
        Returns the zone's live coordinators.
    configuration
        Returns the configuration in force here.
    observer
        Logs and counts the outcomes of requests.
    remote_coordinators
        Returns coordinators in the zones that have a request's servers, if this node's zone has none.
    runs_here
        Returns whether a request must not be forwarded because it is suspected of crashing servers: if the
        coordinator failed, two nodes would send it.
    """

    def __init__(
        self,
        choice: CoordinatorChoice,
        client: CoordinatorClient,
        coordinators: Callable[[], Mapping[str, Coordinator]],
        configuration: Callable[[], Configuration | None],
        observer: Observer,
        remote_coordinators: RemoteCoordinators | None = None,
        runs_here: Callable[[GatewayRequest], bool] = lambda _request: False,
    ) -> None:
        self._choice = choice
        self._client = client
        self._coordinators = coordinators
        self._configuration = configuration
        self._observer = observer
        self._remote_coordinators = remote_coordinators
        self._runs_here = runs_here

    async def __call__(self, request: GatewayRequest) -> HttpAnswer | GatewayRequest:
        """Return a coordinator's final answer, or the request in the form in which this node must run it."""
        configuration = self._configuration()
        route = configuration.find(request.host, request.path) if configuration else None
        if configuration is None or route is None or self._runs_here(request):
            return request
        for attempt in range(MAX_COORDINATORS):
            now = anyio.current_time()
            if attempt and now - request.arrived_at_s > ACKNOWLEDGE_SHARE * route.objective_s:
                return request
            target = self._select(route, attempt == 0, now)
            if target is None:
                return request
            reply = await self._send(target, request, route, configuration.version, now)
            outcome = self._outcome(request, route, target, reply, now)
            if isinstance(outcome, HttpAnswer):
                return outcome
            request = self._fall_back(target, request, outcome, isinstance(reply, GatheredAnswer))
            if request.possibly_sent or outcome.reason in OF_THIS_NODE:
                return request
        return request

    def _select(self, route: Route, first: bool, now: float) -> _Target | None:
        """Return the coordinator to try: near the servers if they are in other zones, else of this zone."""
        remote = self._remote_coordinators
        if first and remote is not None and is_wide(route):
            remote_candidates = remote.coordinators(route, now)
            node = remote.choice.choose(route, remote_candidates, now)
            if node is not None:
                return _Target(node, remote_candidates[node], remote.choice)
        coordinators = self._coordinators()
        node = self._choice.choose(route, coordinators, now)
        return None if node is None else _Target(node, coordinators[node], self._choice)

    async def _send(
        self, target: _Target, request: GatewayRequest, route: Route, version: int, now: float
    ) -> GatheredAnswer | Failure:
        caller_timeout_s = _caller_timeout_s(request, route)
        waited_s = now - request.arrived_at_s + target.choice.hop_s
        deadline_at_s = _deadline_at_s(request, route)
        if waited_s >= caller_timeout_s or now >= deadline_at_s:
            return Failure(Reason.DEADLINE_EXCEEDED, Verdict.NOT_RUN, "no time left before the deadline")
        forwarded = ForwardedRequest(version, waited_s, replace(request, caller_timeout_s=caller_timeout_s))
        return await self._client.send(
            target.coordinator.address,
            request.request_id,
            encode_forwarded(forwarded),
            ACKNOWLEDGE_SHARE * route.objective_s,
            deadline_at_s,
        )

    def _outcome(
        self,
        request: GatewayRequest,
        route: Route,
        target: _Target,
        reply: GatheredAnswer | Failure,
        sent_at_s: float,
    ) -> HttpAnswer | Failure:
        """Return the answer if it is final, else the failure after which another node runs the request."""
        if isinstance(reply, Failure):
            return reply
        now = anyio.current_time()
        target.choice.record_hop(now - sent_at_s - reply.gathering_s, target.node)
        answer = reply.answer
        verdict = fallback_verdict(answer, route, _deadline_at_s(request, route) - now)
        if verdict is not None:
            return Failure(Reason(answer.outcome), verdict, f"{answer.status}: {answer.outcome}")
        ending = CoordinatedEnding(
            route=route.name,
            status=answer.status,
            outcome=answer.outcome,
            coordinator=target.node,
            elapsed_s=now - request.arrived_at_s,
            gathering_s=reply.gathering_s,
        )
        self._observer.coordinated(request, ending)
        return answer

    def _fall_back(
        self, target: _Target, request: GatewayRequest, failure: Failure, answered: bool
    ) -> GatewayRequest:
        """Return the request for the next node; ``answered`` if the coordinator works but lacks servers."""
        now = anyio.current_time()
        if answered or failure.reason is Reason.OVERLOADED:
            target.choice.refused(target.node, now)
        elif failure.reason not in OF_THIS_NODE:
            target.choice.lost(target.node, now, target.coordinator.zone)
        details: dict[str, object] = {
            "request": request.request_id,
            "coordinator": target.node,
            "reason": failure.reason.value,
            "verdict": failure.verdict.label,
            "detail": failure.detail,
        }
        self._observer.log_event(LogEvent("coordinator_missed", details))
        return request if failure.verdict is Verdict.NOT_RUN else replace(request, possibly_sent=True)


def _caller_timeout_s(request: GatewayRequest, route: Route) -> float:
    return request.caller_timeout_s if request.caller_timeout_s is not None else route.timeout_s


def _deadline_at_s(request: GatewayRequest, route: Route) -> float:
    """Return when a coordinator's answer must have arrived."""
    timeout_s = min(route.timeout_s, _caller_timeout_s(request, route))
    return request.arrived_at_s + timeout_s - ANSWER_MARGIN_S

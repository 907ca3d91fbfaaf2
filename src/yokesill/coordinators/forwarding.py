"""Hands wide requests over to the zone's coordinators, or back to this node when none takes them."""

from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import NamedTuple

import anyio

from yokesill.callers.answers import HttpAnswer
from yokesill.coordinators.client import CoordinatorClient
from yokesill.coordinators.fallback import should_retry_elsewhere
from yokesill.coordinators.messages import GatheredAnswer, HandedRequest, encode_handed
from yokesill.coordinators.remote_coordinators import RemoteCoordinators
from yokesill.gateway.documents import Configuration, Route
from yokesill.gateway.events import LogEvent
from yokesill.gateway.forwarding import Coordinator, CoordinatorChoice, is_wide
from yokesill.gateway.messages import GatewayRequest
from yokesill.telemetry.observer import CoordinatedEnding, Observer
from yokesill.verdict import Failure, Reason, Verdict

# So long before its time is over a caller gets an answer, whatever the coordinator does.
LAST_MOMENT_S = 0.012
# How much of the aim may pass until a coordinator says that it has a request: what is left must be
# enough to gather here.
ACKNOWLEDGE_SHARE = 0.35
# Each one asked in vain costs a hop; a third would come too late for a first answer in time.
MOST_COORDINATORS = 2


class _Chosen(NamedTuple):
    """A coordinator, and whose choice it was."""

    node: str
    coordinator: Coordinator
    choice: CoordinatorChoice


class Forwarder:
    """Runs a request at a coordinator if one should and does take it.

    Parameters
    ----------
    choice
        Decides which coordinator, if any.
    client
        Calls it.
    coordinators
        Return the zone's coordinators that live.
    configuration
        Return the configuration in force here.
    observer
        Is told how it ended.
    near_servers
        Knows the coordinators of zones that have a request's servers, if this node's has none.
    runs_here
        Whether a request is not to be handed on: one that is suspected of ending servers would be sent by
        two nodes where the coordinator is lost.
    """

    def __init__(
        self,
        choice: CoordinatorChoice,
        client: CoordinatorClient,
        coordinators: Callable[[], Mapping[str, Coordinator]],
        configuration: Callable[[], Configuration | None],
        observer: Observer,
        near_servers: RemoteCoordinators | None = None,
        runs_here: Callable[[GatewayRequest], bool] = lambda _request: False,
    ) -> None:
        self._choice = choice
        self._client = client
        self._coordinators = coordinators
        self._configuration = configuration
        self._observer = observer
        self._near_servers = near_servers
        self._runs_here = runs_here

    async def __call__(self, request: GatewayRequest) -> HttpAnswer | GatewayRequest:
        """Return a coordinator's final answer, or the request as this node must run it itself."""
        configuration = self._configuration()
        route = configuration.find(request.host, request.path) if configuration else None
        if configuration is None or route is None or self._runs_here(request):
            return request
        for number in range(MOST_COORDINATORS):
            now = anyio.current_time()
            if number and now - request.arrived_at_s > ACKNOWLEDGE_SHARE * route.objective_s:
                return request
            chosen = self._choose(route, number == 0, now)
            if chosen is None:
                return request
            gathered = await self._ask(chosen, request, route, configuration.version, now)
            answered = isinstance(gathered, GatheredAnswer)
            outcome = self._judge(request, route, chosen, gathered, now)
            if isinstance(outcome, HttpAnswer):
                return outcome
            request = self._go_around(chosen, request, outcome, answered)
            if request.asked_before or outcome.reason is Reason.DEADLINE_EXCEEDED:
                return request
        return request

    def _choose(self, route: Route, first: bool, now: float) -> _Chosen | None:
        """Return who is to gather: near the servers if that is not here, else in this zone, or nobody."""
        if first and self._near_servers is not None and is_wide(route):
            elsewhere = self._near_servers.coordinators(route, now)
            node = self._near_servers.choice.choose(route, elsewhere, now)
            if node is not None:
                return _Chosen(node, elsewhere[node], self._near_servers.choice)
        coordinators = self._coordinators()
        node = self._choice.choose(route, coordinators, now)
        return None if node is None else _Chosen(node, coordinators[node], self._choice)

    def _judge(
        self,
        request: GatewayRequest,
        route: Route,
        chosen: _Chosen,
        gathered: GatheredAnswer | Failure,
        asked_at: float,
    ) -> HttpAnswer | Failure:
        """Return the answer to pass on, or why this node doesn't leave it at that."""
        if isinstance(gathered, Failure):
            return gathered
        now = anyio.current_time()
        chosen.choice.took(now - asked_at - gathered.gathering_s, chosen.node)
        answer = gathered.answer
        verdict = should_retry_elsewhere(answer, route, _until(request, route) - now)
        if verdict is not None:
            return Failure(Reason(answer.outcome), verdict, f"{answer.status}: {answer.outcome}")
        self._tell(request, route, chosen.node, gathered, now)
        return answer

    async def _ask(
        self, chosen: _Chosen, request: GatewayRequest, route: Route, version: int, now: float
    ) -> GatheredAnswer | Failure:
        patience = request.caller_timeout_s if request.caller_timeout_s is not None else route.timeout_s
        waited_s = now - request.arrived_at_s + chosen.choice.hop_s
        until = _until(request, route)
        if waited_s >= patience or now >= until:
            return Failure(Reason.DEADLINE_EXCEEDED, Verdict.NOT_RUN, "no time is left")
        message = encode_handed(HandedRequest(version, waited_s, replace(request, caller_timeout_s=patience)))
        acknowledge_s = ACKNOWLEDGE_SHARE * route.objective_s
        address = chosen.coordinator.address
        return await self._client.ask(address, request.request_id, message, acknowledge_s, until)

    def _tell(
        self, request: GatewayRequest, route: Route, node: str, gathered: GatheredAnswer, now: float
    ) -> None:
        answer = gathered.answer
        ending = CoordinatedEnding(
            route=route.name,
            status=answer.status,
            outcome=answer.outcome,
            coordinator=node,
            elapsed_s=now - request.arrived_at_s,
            gathering_s=gathered.gathering_s,
        )
        self._observer.coordinated(request, ending)

    def _go_around(
        self, chosen: _Chosen, request: GatewayRequest, failure: Failure, answered: bool
    ) -> GatewayRequest:
        """Return the request as it is run elsewhere; ``answered``: the coordinator works, without servers."""
        now = anyio.current_time()
        if answered or failure.reason is Reason.OVERLOADED:
            chosen.choice.refused(chosen.node, now)
        elif failure.reason is not Reason.DEADLINE_EXCEEDED:
            chosen.choice.lost(chosen.node, now, chosen.coordinator.zone)
        details: dict[str, object] = {
            "request": request.request_id,
            "coordinator": chosen.node,
            "reason": failure.reason.value,
            "verdict": failure.verdict.label,
            "detail": failure.detail,
        }
        self._observer.note(LogEvent("coordinator_missed", details))
        return request if failure.verdict is Verdict.NOT_RUN else replace(request, asked_before=True)


def _until(request: GatewayRequest, route: Route) -> float:
    """Return when a request's caller must have its answer, in seconds of the node's clock."""
    patience = request.caller_timeout_s if request.caller_timeout_s is not None else route.timeout_s
    return request.arrived_at_s + min(route.timeout_s, patience) - LAST_MOMENT_S

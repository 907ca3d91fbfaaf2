"""Feeds events to the gateway's router and executes the actions that it returns.

Performs all I/O of the router: callers' requests, attempts at servers, timers. Owns the requests that have no
final answer yet. Components that need some of the actions set a callback, see ``GatewayDriver``.
"""

from collections.abc import Callable
from typing import Protocol

import anyio
from anyio.abc import TaskStatus

from yokesill.clock import Clock, running_clock
from yokesill.gateway import events as ev
from yokesill.gateway.documents import ServerRecord
from yokesill.gateway.messages import Attempt, GatewayRequest
from yokesill.gateway.router import GatewayRouter
from yokesill.supervision import Supervisor
from yokesill.timers import Timers

CrashFinding = ev.LossObserved | ev.AnswerObserved | ev.QuarantineStatusDecided


class Client(Protocol):
    """Sends attempts to servers.

    ``connections_changed`` is called with an instance and the number of open connections to it. ``may_start``
    returns whether a server may still get work, and is asked before an attempt is written to it.
    """

    connections_changed: Callable[[str, int], None]
    may_start: Callable[[ServerRecord], bool]

    async def run(self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED) -> None:
        """Run until cancelled; reports that it has started once attempts may be sent."""

    def send(self, attempt: Attempt, done: Callable[[ev.AttemptAnswered | ev.AttemptFailed], None]) -> None:
        """Send an attempt; ``done`` is called when it ends, never within this call."""

    def cancel(self, number: int) -> None:
        """Cancel an attempt; ``done`` is not called."""

    def forget(self, instance: str) -> None:
        """Close the idle connections to a server that was removed."""


class GatewayDriver:
    """Runs requests to their final answer; the only caller of ``GatewayRouter.on_event``.

    ``log_event`` is called with each decision that is logged. ``Findings`` sets the callbacks:
    ``on_server_observed`` gets servers that other nodes should know of, ``on_crash_finding`` gets losses and
    answers of suspected requests, ``on_server_forgotten`` gets servers that were removed long ago.
    ``last_remote_answer_s`` is when a server of another zone last answered, in seconds of the node's clock.
    """

    def __init__(
        self,
        router: GatewayRouter,
        client: Client,
        log_event: Callable[[ev.LogEvent], None],
        supervisor: Supervisor | None = None,
    ) -> None:
        self.router = router
        self._client = client
        client.connections_changed = lambda instance, count: self.feed(ev.ConnectionsChanged(instance, count))
        client.may_start = lambda server: router.may_still_start(server, self._clock())
        self._log_event = log_event
        self._timers: Timers[ev.TimerFired] = Timers(self.feed, supervisor)
        self._waiting: dict[str, anyio.Event] = {}
        self._final_answers: dict[str, ev.FinalAnswer] = {}
        self.on_server_observed: Callable[[ev.ServerObserved], None] = lambda _observed: None
        self.on_crash_finding: Callable[[CrashFinding], None] = lambda _finding: None
        self.on_server_forgotten: Callable[[str], None] = lambda _instance: None
        self._clock: Clock = anyio.current_time
        self.last_remote_answer_s = float("-inf")

    async def run(self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED) -> None:
        """Run until cancelled; reports that it has started once requests may be executed."""
        self._clock = running_clock()
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(self._timers.run)
            await task_group.start(self._client.run)
            task_status.started()

    async def execute(self, request: GatewayRequest) -> ev.FinalAnswer:
        """Run a request to its final answer; cancelling the call means that the caller disconnected."""
        done = anyio.Event()
        self._waiting[request.key] = done
        try:
            self.feed(ev.RequestArrived(request))
            await done.wait()
            return self._final_answers[request.key]
        except BaseException:
            self.feed(ev.CallerLeft(request.key))
            raise
        finally:
            self._waiting.pop(request.key, None)
            self._final_answers.pop(request.key, None)

    def feed(self, event: ev.Event) -> None:
        """Feed one event to the router and execute the actions that it returns."""
        for action in self.router.on_event(event, self._clock()):
            self._execute_action(action)

    def _remote_attempt_ended(self, event: ev.AttemptAnswered | ev.AttemptFailed) -> None:
        if isinstance(event, ev.AttemptAnswered):
            self.last_remote_answer_s = self._clock()
        self.feed(event)

    def _execute_action(self, action: ev.Action) -> None:
        match action:
            case ev.SendAttempt(attempt):
                local = attempt.server.zone == self.router.options.zone
                self._client.send(attempt, self.feed if local else self._remote_attempt_ended)
            case ev.SetTimer(key, kind, at):
                self._timers.set(at, ev.TimerFired(key, kind))
            case ev.CancelAttempt(number):
                self._client.cancel(number)
            case ev.LogEvent():
                self._log_event(action)
            case ev.ForgetServer(instance):
                self._client.forget(instance)
                self.on_server_forgotten(instance)
            case ev.ServerObserved():
                self.on_server_observed(action)
            case ev.LossObserved() | ev.AnswerObserved() | ev.QuarantineStatusDecided():
                self.on_crash_finding(action)
            case ev.PassOn(key) | ev.Gathered(key) | ev.Refuse(key):
                self._finish(key, action)

    def _finish(self, key: str, final: ev.FinalAnswer) -> None:
        done = self._waiting.get(key)
        if done is not None:
            self._final_answers[key] = final
            done.set()

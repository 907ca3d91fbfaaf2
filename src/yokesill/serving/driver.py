"""Feeds the gateway's router and carries its actions out."""

from collections.abc import Callable
from typing import Protocol

import anyio
import anyio.abc

from yokesill.gateway import events as ev
from yokesill.gateway.messages import Attempt, GatewayRequest
from yokesill.gateway.router import GatewayRouter
from yokesill.timers import Timers


class Client(Protocol):
    """The way to servers."""

    async def call(self, attempt: Attempt) -> ev.AttemptAnswered | ev.AttemptFailed:
        """Send an attempt and return how it ended."""

    async def forget(self, instance: str) -> None:
        """Drop what is kept for a server that is gone."""


class GatewayDriver:
    """Runs requests to their final answer; the only caller of ``GatewayRouter.on_event``.

    ``note`` takes each decision that is worth a line in the log.
    """

    def __init__(self, router: GatewayRouter, client: Client, note: Callable[[ev.Note], None]) -> None:
        self.router = router
        self._client = client
        self._note = note
        self._timers: Timers[ev.TimerFired] = Timers(self.feed)
        self._scopes: dict[int, anyio.CancelScope] = {}
        self._waiting: dict[str, anyio.Event] = {}
        self._finals: dict[str, ev.FinalAnswer] = {}
        self._tasks: anyio.abc.TaskGroup | None = None

    async def run(self) -> None:
        """Serve until cancelled."""
        async with anyio.create_task_group() as self._tasks:
            self._tasks.start_soon(self._timers.run)

    async def execute(self, request: GatewayRequest) -> ev.FinalAnswer:
        """Run a request to its final answer; cancelling the call says that the caller left."""
        done = anyio.Event()
        self._waiting[request.key] = done
        try:
            self.feed(ev.RequestArrived(request))
            await done.wait()
            return self._finals[request.key]
        except BaseException:
            self.feed(ev.CallerLeft(request.key))
            raise
        finally:
            self._waiting.pop(request.key, None)
            self._finals.pop(request.key, None)

    def feed(self, event: ev.Event) -> None:
        """Give the router one event and carry out what it says."""
        for action in self.router.on_event(event, anyio.current_time()):
            self._act(action)

    def _act(self, action: ev.Action) -> None:
        match action:
            case ev.SendAttempt(attempt):
                self._start(attempt)
            case ev.SetTimer(key, kind, at):
                self._timers.set(at, ev.TimerFired(key, kind))
            case ev.CancelAttempt(number):
                scope = self._scopes.pop(number, None)
                if scope is not None:
                    scope.cancel()
            case ev.Note():
                self._note(action)
            case ev.ForgetServer(instance):
                if self._tasks is not None:
                    self._tasks.start_soon(self._client.forget, instance)
            case ev.PassOn(key) | ev.Gathered(key) | ev.Refuse(key):
                self._finish(key, action)

    def _finish(self, key: str, final: ev.FinalAnswer) -> None:
        done = self._waiting.get(key)
        if done is not None:
            self._finals[key] = final
            done.set()

    def _start(self, attempt: Attempt) -> None:
        if self._tasks is None:
            raise RuntimeError("the driver does not run")
        scope = anyio.CancelScope()
        self._scopes[attempt.number] = scope
        self._tasks.start_soon(self._run_attempt, attempt, scope)

    async def _run_attempt(self, attempt: Attempt, scope: anyio.CancelScope) -> None:
        with scope:
            outcome = await self._client.call(attempt)
            self._scopes.pop(attempt.number, None)
            self.feed(outcome)

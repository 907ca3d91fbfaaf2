"""Feeds events to the router of ``yokesill serve`` and carries out its actions.

Each attempt is a task with a cancel scope. The caller of ``execute`` waits for the final answer of its query.
"""

from collections.abc import Callable

import anyio
import anyio.abc

from yokesill.backends.base import BackendClient
from yokesill.routing import events as ev
from yokesill.routing.messages import Attempt, QueryRequest
from yokesill.routing.router import Router
from yokesill.supervision import Supervisor
from yokesill.timers import Timers
from yokesill.verdict import Failure, Reason, Verdict

FinalAnswer = ev.Answer | ev.Refuse


class QueryDriver:
    """Executes queries; the only caller of ``Router.on_event``."""

    def __init__(
        self,
        router: Router,
        backends: BackendClient,
        announce_leaving: Callable[[ev.AnnounceLeaving], None],
        supervisor: Supervisor | None = None,
    ) -> None:
        self._supervisor = supervisor or Supervisor()
        self._router = router
        self._backends = backends
        self._announce_leaving = announce_leaving
        self._timers = Timers(self.feed, self._supervisor)
        self._scopes: dict[str, anyio.CancelScope] = {}
        self._done_events: dict[str, anyio.Event] = {}
        self._finals: dict[str, FinalAnswer] = {}
        self._task_group: anyio.abc.TaskGroup | None = None

    async def run(self) -> None:
        """Serve until cancelled."""
        async with anyio.create_task_group() as self._task_group:
            self._task_group.start_soon(self._timers.run)

    async def execute(self, query: QueryRequest) -> FinalAnswer:
        """Run a query to its final answer; when cancelled, report to the router that the caller left."""
        done = anyio.Event()
        self._done_events[query.query_id] = done
        try:
            self.feed(ev.QueryArrived(query))
            await done.wait()
            return self._finals[query.query_id]
        except BaseException:
            self.feed(ev.CallerLeft(query.query_id))
            raise
        finally:
            self._done_events.pop(query.query_id, None)
            self._finals.pop(query.query_id, None)

    def feed(self, event: ev.Event) -> None:
        """Pass one event to the router and carry out the actions it returns."""
        for action in self._router.on_event(event, anyio.current_time()):
            self._act(action)

    def _act(self, action: ev.Action) -> None:
        match action:
            case ev.SendAttempt(attempt):
                self._start_attempt(attempt)
            case ev.CancelAttempt(attempt_id):
                scope = self._scopes.pop(attempt_id, None)
                if scope is not None:
                    scope.cancel()
            case ev.SetTimer(query_id, kind, at):
                self._timers.set(at, ev.TimerFired(query_id, kind))
            case ev.Answer(query_id) | ev.Refuse(query_id):
                self._finish(query_id, action)
            case ev.AnnounceLeaving():
                self._announce_leaving(action)

    def _finish(self, query_id: str, final: FinalAnswer) -> None:
        done = self._done_events.get(query_id)
        if done is not None:
            self._finals[query_id] = final
            done.set()

    def _start_attempt(self, attempt: Attempt) -> None:
        if self._task_group is None:
            raise RuntimeError("the query driver is not running")
        scope = anyio.CancelScope()
        self._scopes[attempt.attempt_id] = scope
        self._task_group.start_soon(self._run_attempt, attempt, scope)

    async def _run_attempt(self, attempt: Attempt, scope: anyio.CancelScope) -> None:
        with scope:
            outcome = await self._outcome(attempt)
            self._scopes.pop(attempt.attempt_id, None)
            self._supervisor.call("attempts", self.feed, outcome)

    async def _outcome(self, attempt: Attempt) -> ev.AttemptAnswered | ev.AttemptFailed:
        """Return the outcome of an attempt; an unexpected exception fails only this attempt."""
        try:
            return await self._backends.call(attempt)
        except Exception as error:
            self._supervisor.report("attempts", error)
            failure = Failure(Reason.CONNECTION_LOST, Verdict.MAY_HAVE_RUN, repr(error))
            return ev.AttemptFailed(attempt.attempt_id, failure)

"""Sends attempts to servers over HTTP/1.1 and reports by events, with a verdict, how each one ended.

Owns the connections to servers and the calls in progress. Nothing here waits for one attempt: a reply, a
deadline or a free connection calls back. Relies on ``connections`` for one server's connections, ``opening``
for new ones, ``losses`` for what a lost connection means, ``deadlines`` for time-outs.
"""

from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup, TaskStatus

from yokesill.charts.flat import transition_table
from yokesill.clock import Clock, running_clock
from yokesill.comm.http_reply import HttpReplyReader, ReplyError
from yokesill.comm.http_status import MISDIRECTED
from yokesill.gateway.events import AttemptAnswered, AttemptFailed
from yokesill.gateway.messages import Attempt
from yokesill.serving.header_names import HeaderNames
from yokesill.supervision import Supervisor
from yokesill.timers import Timers
from yokesill.upstreams.attempt_bytes import encode_attempt, read_reply
from yokesill.upstreams.attempt_call import VERDICT_OF_STATE, AttemptCall, Done
from yokesill.upstreams.connection_set import ServerConnectionPool, idle_time_s
from yokesill.upstreams.connections import ServerConnection
from yokesill.upstreams.deadlines import Deadlines
from yokesill.upstreams.losses import reason_of_loss, silent_since_s
from yokesill.upstreams.opening import OpeningFailure, open_connection
from yokesill.upstreams.wires import Dial, dial_tcp
from yokesill.verdict import Failure, Reason, Verdict

# How long an attempt waits for a connection: the server may begin to leave meanwhile and must get no new work
# after that.
CONNECTION_WAIT_S = 0.5


class ServerClient:
    """Sends attempts, each on a connection of its own.

    Parameters
    ----------
    names
        The headers spoken with servers.
    dial
        Opens connections.
    supervisor
        Learns of failures within it.
    """

    def __init__(
        self, names: HeaderNames, dial: Dial = dial_tcp, supervisor: Supervisor | None = None
    ) -> None:
        self._supervisor = supervisor or Supervisor()
        self.connections_opened = 0
        self.connections_changed: Callable[[str, int], None] = lambda _instance, _count: None
        self._names = names
        self._dial = dial
        self._sets: dict[str, ServerConnectionPool] = {}
        self._calls: dict[int, AttemptCall] = {}
        self._table = transition_table("attempt")
        self._sent_state = self._table[("connecting", "connection_ready")]
        self._timers: Timers[Callable[[], None]] = Timers(lambda due: due(), self._supervisor)
        self._deadlines = Deadlines(self._timers, self._expire)
        self._tasks: TaskGroup | None = None
        self._clock: Clock = anyio.current_time

    async def run(self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED) -> None:
        """Open connections and watch deadlines until cancelled."""
        self._clock = running_clock()
        async with anyio.create_task_group() as self._tasks:
            self._tasks.start_soon(self._timers.run)
            task_status.started()

    def send(self, attempt: Attempt, done: Done) -> None:
        """Send an attempt; ``done`` is called when it ends, at its deadline at the latest."""
        connections = self._set_of(attempt)
        call = AttemptCall(attempt, connections, done)
        self._calls[attempt.number] = call
        self._deadlines.watch(call)
        if connections.reserve(attempt.connection_limit):
            self._proceed(call)
        else:
            self._wait(call)

    def cancel(self, number: int) -> None:
        """Cancel an attempt; ``done`` is not called."""
        call = self._take_out(number)
        if call is not None:
            self._abandon(call)

    def forget(self, instance: str) -> None:
        """Close the idle connections to a server that is gone."""
        connections = self._sets.pop(instance, None)
        if connections is not None:
            connections.close()

    # --- getting a connection ---

    def _set_of(self, attempt: Attempt) -> ServerConnectionPool:
        server = attempt.server
        connections = self._sets.get(server.instance)
        if connections is None:
            instance = server.instance
            connections = ServerConnectionPool(
                server.host, server.port, lambda count: self.connections_changed(instance, count)
            )
            self._sets[instance] = connections
        return connections

    def _wait(self, call: AttemptCall) -> None:
        def proceed(connection: ServerConnection | None) -> None:
            call.waiter = None
            if connection is not None:
                self._start(call, connection)
            else:
                self._proceed(call)

        def too_long() -> None:
            if call.waiter is proceed:
                self._fail(call, Reason.OVERLOADED, "all connections are in use")

        call.waiter = proceed
        call.connections.wait(proceed)
        self._timers.set(self._clock() + CONNECTION_WAIT_S, too_long)

    def _proceed(self, call: AttemptCall) -> None:
        """Use an idle connection, or open one, in the place that was reserved."""
        idle = call.connections.take_idle(self._clock(), check=not call.attempt.repeatable)
        if idle is not None:
            self._start(call, idle)
            return
        if self._tasks is None:
            raise RuntimeError("the client does not run")
        self._tasks.start_soon(self._supervisor.run_once, "connections", self._open, call)

    async def _open(self, call: AttemptCall) -> None:
        """Open a connection for a call; if the call ended meanwhile, the next one gets it."""
        connections, started = call.connections, self._clock()
        try:
            opened = await open_connection(connections, self._dial, call.attempt.deadline_at_s, self._clock)
        except Exception as error:
            # The call ends, and its place among the connections is free again.
            self._supervisor.report("connections", error)
            opened = OpeningFailure(Reason.CONNECT_FAILED, repr(error))
        if isinstance(opened, OpeningFailure):
            connections.drop(None)
            if self._is_live(call):
                self._fail(call, opened.reason, opened.detail)
            return
        self.connections_opened += 1
        connections.opened()
        if not self._is_live(call):
            connections.give_back(opened, self._clock() + idle_time_s(None))
            return
        call.connected_in_s = opened.opened_in_s = self._clock() - started
        self._start(call, opened)

    def _is_live(self, call: AttemptCall) -> bool:
        return self._calls.get(call.attempt.number) is call

    # --- the exchange ---

    def _start(self, call: AttemptCall, connection: ServerConnection) -> None:
        now = self._clock()
        attempt = call.attempt
        call.connection = connection
        call.state = self._sent_state
        call.sent_at = now
        request = encode_attempt(attempt, self._names, attempt.deadline_at_s - now)
        bodiless = attempt.request.method == b"HEAD"
        connection.start(request, bodiless, lambda outcome: self._ended(call, outcome))

    def _ended(self, call: AttemptCall, outcome: HttpReplyReader | Exception) -> None:
        if isinstance(outcome, ReplyError):
            self._fail(call, Reason.MALFORMED_REPLY, str(outcome))
        elif isinstance(outcome, Exception):
            now = self._clock()
            reason = reason_of_loss(call, outcome, now)
            if reason is Reason.CONNECTION_REFUSED:
                call.connections.refused_at = now
            self._fail(call, reason, repr(outcome))
        else:
            self._take_reply(call, outcome)

    def _take_reply(self, call: AttemptCall, reader: HttpReplyReader) -> None:
        headers = dict(reader.headers)
        reply = read_reply(call.attempt, reader, headers, self._names)
        self._take_out(call.attempt.number)
        self._release(call, reader, headers, clean=not isinstance(reply, Failure))
        if isinstance(reply, Failure):
            event = "declined" if reply.verdict is Verdict.NOT_RUN else "failed"
            verdict = VERDICT_OF_STATE[self._table[(call.state, event)]]
            call.done(AttemptFailed(call.attempt.number, Failure(reply.reason, verdict, reply.detail)))
        else:
            number = call.attempt.number
            call.done(AttemptAnswered(number, reply, call.connected_in_s, call.sent_at))

    def _release(
        self, call: AttemptCall, reader: HttpReplyReader, headers: dict[bytes, bytes], clean: bool
    ) -> None:
        """Keep the connection only after a whole reply to this very request."""
        connection, call.connection = call.connection, None
        if connection is None:
            return
        declined = self._names.not_executed in headers or reader.status == MISDIRECTED
        usable = (clean or declined) and reader.keep_alive and not reader.surplus
        if usable and connection.sent_whole():
            rest = idle_time_s(headers.get(b"keep-alive"))
            connection.rested_at = self._clock()
            call.connections.give_back(connection, self._clock() + rest)
        else:
            call.connections.drop(connection)

    # --- ends without a reply ---

    def _take_out(self, number: int) -> AttemptCall | None:
        """Remove a call that ends."""
        call = self._calls.pop(number, None)
        if call is not None:
            self._deadlines.forget(call)
        return call

    def _expire(self, call: AttemptCall) -> None:
        if not self._is_live(call):
            return
        if call.waiter is not None:
            self._fail(call, Reason.OVERLOADED, "all connections are in use")
        elif call.connection is None:
            self._fail(call, Reason.CONNECT_FAILED, "not connected by the deadline")
        else:
            since_s = silent_since_s(call, self._clock())
            if since_s is not None:
                call.connections.distrust(since_s)
            self._fail(call, Reason.TIMED_OUT, "no whole answer by the deadline")

    def _fail(self, call: AttemptCall, reason: Reason, detail: str) -> None:
        if self._take_out(call.attempt.number) is None:
            return
        verdict = VERDICT_OF_STATE[self._table[(call.state, "failed")]]
        self._abandon(call)
        call.done(AttemptFailed(call.attempt.number, Failure(reason, verdict, detail)))

    def _abandon(self, call: AttemptCall) -> None:
        """Release what a call holds: its place among those that wait, or its connection in mid-exchange."""
        if call.waiter is not None:
            call.connections.stop_waiting(call.waiter)
            call.waiter = None
        if call.connection is not None:
            connection, call.connection = call.connection, None
            call.connections.drop(connection)
